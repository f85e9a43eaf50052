#include "drain.h"

#include "state.h"

/* Time without a new request before the process may exit. */
#define QUIET_MS 500
/*
 * Callers that continue to send requests to a draining host delay its exit by
 * no more than this.
 */
#define QUIET_LIMIT_MS 5000
#define CHECK_PERIOD_MS 100

/*
 * Whether the refusals are in the log. If the log is down they are not waited
 * for, because the drain must end.
 */
static bool
are_refusals_logged(const struct ct_state *state)
{
    return state->refusals.pending->len == 0 || state->log.failing;
}

static bool
is_quiet(const struct ct_state *state)
{
    return are_refusals_logged(state) &&
           state->now_ms - state->requests.last_arrival_ms >= QUIET_MS;
}

static bool
is_idle(const struct ct_state *state)
{
    return state->requests.active == 0 &&
           (is_quiet(state) ||
            state->now_ms - state->drain_started_ms >= QUIET_LIMIT_MS);
}

void
ct_drain_start(struct ct_state *state)
{
    if (state->draining) {
        return;
    }
    state->draining = true;
    state->drain_started_ms = state->now_ms;
    state->requests.last_arrival_ms = state->now_ms;
    ct_emit_log(state, CT_LOG_DRAIN_STARTED, &state->self.host, NULL,
                state->requests.active);
    ct_arm_timer(state, CHECK_PERIOD_MS, CT_TIMER_DRAIN, CT_NO_HANDLE);
}

void
ct_drain_on_timer(struct ct_state *state)
{
    if (state->drained) {
        return;
    }
    /*
     * Peers must have been sent copies of the usage totals before this process
     * exits.
     */
    if (!ct_usage_flush(state) || !is_idle(state)) {
        ct_arm_timer(state, CHECK_PERIOD_MS, CT_TIMER_DRAIN, CT_NO_HANDLE);
        return;
    }
    state->drained = true;
    ct_emit_log(state, CT_LOG_DRAIN_DONE, &state->self.host, NULL, 0);
    ct_emit_effect(state, CT_EFFECT_DRAINED);
}
