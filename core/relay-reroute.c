#include "relay-reroute.h"

#include "relay-backup.h"
#include "relay-end.h"
#include "state.h"

static void
reroute_call(struct ct_state *state, const struct ct_relay_attempt *attempt)
{
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, attempt->upstream);
    struct ct_handle handle = attempt->relay;
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);

    ct_increment_counter(state, CT_COUNTER_ATTEMPTS_REROUTED);
    relay->last_upstream = upstream->conf.name;
    relay->last_outcome = CT_OUTCOME_CANCELLED;
    if (ct_relay_backup_needed(relay)) {
        /* No other upstream has a copy from which the run can continue. */
        ct_relay_fail(state, handle, CT_REFUSAL_UPSTREAM_FAILED);
        return;
    }
    ct_relay_cancel(state, relay);
    ct_relay_send(state, handle);
}

/*
 * A call that only one upstream can continue may still reach it in a zone that
 * is unreachable now.
 */
static bool
is_to_be_rerouted(const struct ct_state *state,
                  const struct ct_relay_attempt *attempt)
{
    return ct_evacuation_bars(state, attempt->upstream) ||
           (ct_zone_reachability_bars(state, attempt->upstream) &&
            !ct_relay_backup_needed(
                ct_table_get(&state->relays.rows, attempt->relay)));
}

void
ct_relay_reroute_unsent(struct ct_state *state)
{
    const struct ct_relay_attempt *attempt;
    uint32_t cursor = 0;

    while ((attempt = ct_table_next(&state->relays.attempts, &cursor, NULL))) {
        if (!attempt->sent && is_to_be_rerouted(state, attempt)) {
            reroute_call(state, attempt);
        }
    }
}
