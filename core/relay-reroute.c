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

void
ct_relay_reroute_unsent(struct ct_state *state)
{
    const struct ct_relay_attempt *attempt;
    uint32_t cursor = 0;

    while ((attempt = ct_table_next(&state->relays.attempts, &cursor, NULL))) {
        if (!attempt->sent && ct_evacuation_bars(state, attempt->upstream)) {
            reroute_call(state, attempt);
        }
    }
}
