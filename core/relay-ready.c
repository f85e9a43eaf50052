#include "relay-ready.h"

#include "state.h"

/*
 * Time that a call needs before the process exits. With a grace period of 8 s
 * no stream is accepted later than 2.9 s after the stop began: the platform
 * counts an aborted stream as lost if it was sent later than 3 s after the
 * stop began.
 */
#define STREAM_MIN_REMAINING_MS 4400
#define PLAIN_MIN_REMAINING_MS 1000
/*
 * The recent duration of a route's calls is that of the longest one, which
 * approaches those after it within this number of calls.
 */
#define RECENT_CALLS 16
#define RECENT_MARGIN_PERCENT 25
/* Time between the exit deadline and the kill, for writing the last bytes. */
#define KILL_MARGIN_MS 700
/*
 * A host is not ready for callers if its configuration becomes too old within
 * this time.
 */
#define READY_MARGIN_MS 900

bool
ct_relay_is_ready(const struct ct_state *state, ct_ms now_ms)
{
    ct_ms covered_until_ms =
        state->store.topics[CT_TOPIC_CONFIG].covered_until_ms;

    return state->store.config_known && !state->draining &&
           state->store.topics[CT_TOPIC_UPSTREAMS].full_read_done &&
           now_ms - covered_until_ms <
               state->self.bounds.revoke_ms - READY_MARGIN_MS;
}

ct_ms
ct_relay_exit_deadline_ms(const struct ct_state *state)
{
    return state->drain_started_ms + state->self.bounds.grace_ms -
           KILL_MARGIN_MS;
}

/*
 * Returns the time to reserve for a call. Without knowledge of its route a
 * plain call is assumed to take all its time: its caller could not tell
 * whether one that is cut off has run.
 */
static ct_ms
needed_ms(const struct ct_prefix_route_row *route, ct_ms limit_ms)
{
    ct_ms min_ms =
        route->conf.stream ? STREAM_MIN_REMAINING_MS : PLAIN_MIN_REMAINING_MS;
    ct_ms expected_ms =
        route->recent_ms + route->recent_ms * RECENT_MARGIN_PERCENT / 100;

    if (!route->recent_ms && !route->conf.stream) {
        expected_ms = limit_ms;
    }
    return MAX(min_ms, MIN(expected_ms, limit_ms));
}

bool
ct_relay_can_finish_call(const struct ct_state *state,
                         const struct ct_prefix_route_row *route,
                         ct_ms limit_ms)
{
    return !state->draining ||
           (!state->drained && state->now_ms + needed_ms(route, limit_ms) <
                                   ct_relay_exit_deadline_ms(state));
}

void
ct_relay_record_duration(struct ct_prefix_route_row *route, ct_ms duration_ms)
{
    ct_ms excess_ms = route->recent_ms - duration_ms;

    if (excess_ms < 0) {
        route->recent_ms = duration_ms;
        return;
    }
    route->recent_ms = MAX(route->recent_ms - excess_ms / RECENT_CALLS, 1);
}
