#include "relay-quarantine.h"

#include "relay-end.h"
#include "state.h"

#define STATUS_OK 200

/*
 * Logs each part of the prompt: a part that many upstreams met when they
 * failed may have crashed them.
 */
static void
log_lost_parts(struct ct_state *state, const struct ct_relay *relay,
               const struct ct_relay_progress *progress)
{
    for (uint32_t i = 0; i < relay->parts.n; i++) {
        struct ct_log_effect *log =
            ct_relay_log(state, relay, CT_LOG_RELAY_PART_LOST);

        log->prompt_part = relay->parts.ids[i];
        log->status = progress->status;
    }
}

/* Whether the upstream failed before the first event of its response. */
static bool
lost_before_first_event(const struct ct_relay_attempt *attempt,
                        const struct ct_relay_progress *progress)
{
    return progress->outcome == CT_OUTCOME_CONNECTION_LOST &&
           progress->closed_early && !attempt->first_event_seen;
}

/* Identifies an upstream and its start, the same on all hosts. */
static uint64_t
hash_upstream_start(const struct ct_state *state,
                    const struct ct_upstream_row *upstream)
{
    ct_ms started_ms =
        ct_upstream_registry_started_ms(state, &upstream->conf.name);

    return ct_hash_bytes(upstream->name_hash, &started_ms, sizeof(started_ms));
}

void
ct_relay_report_to_quarantine(struct ct_state *state,
                              const struct ct_relay *relay,
                              const struct ct_relay_attempt *attempt,
                              const struct ct_relay_progress *progress)
{
    if (lost_before_first_event(attempt, progress)) {
        log_lost_parts(state, relay, progress);
        ct_prompt_quarantine_on_crash(
            state, &relay->parts,
            hash_upstream_start(state, ct_table_get(&state->config.upstreams,
                                                    attempt->upstream)),
            progress->status == STATUS_OK);
    }
    else if (progress->outcome == CT_OUTCOME_COMPLETE &&
             progress->status == STATUS_OK && !attempt->first_event_seen) {
        ct_prompt_quarantine_on_answer(state, &relay->parts);
    }
}
