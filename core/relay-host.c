#include "relay-host.h"

#include "relay-ready.h"
#include "state.h"

/*
 * Callers may connect for this long after the drain started, because they
 * cache the addresses that they looked up.
 */
#define MIN_DRAIN_MS 5500
/*
 * If no call has arrived for this long, all callers are assumed to use other
 * hosts.
 */
#define QUIET_MS 1000
/*
 * This long before the exit deadline tallies are written even if calls are
 * still running.
 */
#define FLUSH_MS 600
#define DRAIN_CHECK_MS 100

void
ct_relay_host_start(struct ct_state *state)
{
    ct_emit_log(state, CT_LOG_HOST_STARTED, &state->self.host,
                state->self.writer.text, 0);
    ct_store_sync_start(state);
    ct_quarantine_sync_start(state);
    state->leadership.changed_ms = state->now_ms;
    ct_leadership_join(state);
    ct_group_read_members(state);
    ct_replication_start(state);
    ct_load_sharing_start(state);
    ct_tallies_start(state);
}

void
ct_relay_host_drain(struct ct_state *state)
{
    if (state->draining) {
        return;
    }
    state->draining = true;
    state->drain_started_ms = state->now_ms;
    ct_emit_effect(state, CT_EFFECT_STORE_LEAVE);
    ct_emit_log(state, CT_LOG_DRAIN_STARTED, &state->self.host, NULL,
                state->relays.rows.live);
    ct_arm_timer(state, DRAIN_CHECK_MS, CT_TIMER_DRAIN, CT_NO_HANDLE);
}

void
ct_relay_host_on_drain_timer(struct ct_state *state)
{
    bool quiet = state->relays.rows.live == 0 &&
                 state->relays.budget.charges.live == 0 &&
                 state->now_ms - state->drain_started_ms >= MIN_DRAIN_MS &&
                 state->now_ms - state->relays.arrived_ms >= QUIET_MS;
    bool last = state->now_ms >= ct_relay_exit_deadline_ms(state) - FLUSH_MS;
    bool flushed = (quiet || last) && ct_tallies_flush(state);

    if (state->drained) {
        return;
    }
    if ((quiet && flushed) ||
        state->now_ms >= ct_relay_exit_deadline_ms(state)) {
        state->drained = true;
        ct_emit_log(state, CT_LOG_DRAIN_DONE, &state->self.host, NULL,
                    state->relays.rows.live);
        ct_relays_abort_all(state);
        ct_emit_effect(state, CT_EFFECT_DRAINED);
        return;
    }
    ct_arm_timer(state, DRAIN_CHECK_MS, CT_TIMER_DRAIN, CT_NO_HANDLE);
}
