#include "relay-end.h"

#include <string.h>

#include "index.h"
#include "relay-choice.h"
#include "relay-ready.h"
#include "state.h"

/* Delay after which a caller may retry a refused call. */
#define RETRY_AFTER_MS 200
/*
 * Delay after which a caller may retry a call whose upstreams are all in
 * evacuated zones; every host knows of a restored zone within seconds.
 */
#define EVACUATED_RETRY_AFTER_MS 2000
/* Notices change, so a longer time tells callers nothing. */
#define LIMITED_RETRY_AFTER_MAX_MS 60000

void
ct_relays_init(struct ct_relays *relays)
{
    memset(relays, 0, sizeof(*relays));
    ct_table_init(&relays->rows, sizeof(struct ct_relay), CT_RELAYS_MAX, NULL);
    ct_table_init(&relays->attempts, sizeof(struct ct_relay_attempt), 0, NULL);
    relays->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
    ct_memory_budget_init(&relays->budget);
    relays->retry_windows =
        g_array_new(FALSE, TRUE, sizeof(struct ct_retry_window));
}

void
ct_relays_free(struct ct_relays *relays)
{
    g_array_free(relays->retry_windows, TRUE);
    g_hash_table_destroy(relays->by_caller);
    ct_memory_budget_free(&relays->budget);
    ct_table_free(&relays->attempts);
    ct_table_free(&relays->rows);
}

struct ct_retry_window *
ct_relay_retry_window(struct ct_state *state, struct ct_handle pool)
{
    GArray *retry_windows = state->relays.retry_windows;

    if (pool.index >= retry_windows->len) {
        g_array_set_size(retry_windows, pool.index + 1);
    }
    return &g_array_index(retry_windows, struct ct_retry_window, pool.index);
}

/* Returns the name of the upstream that runs the call, or of the last one. */
static struct ct_name
upstream_name(const struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_relay_attempt *attempt =
        ct_table_get(&state->relays.attempts, relay->attempt);
    const struct ct_upstream_row *upstream =
        attempt ? ct_table_get(&state->config.upstreams, attempt->upstream)
                : NULL;

    return upstream ? upstream->conf.name : relay->last_upstream;
}

struct ct_log_effect *
ct_relay_log(struct ct_state *state, const struct ct_relay *relay,
             enum ct_log_event event)
{
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, relay->organisation);
    const struct ct_prefix_route_row *route =
        ct_table_get(&state->config.prefix_routes, relay->route);
    struct ct_log_effect *log =
        &ct_emit_effect(state, CT_EFFECT_LOG_EVENT)->u.log;

    log->event = event;
    log->request_id = relay->id;
    if (organisation) {
        log->name = organisation->conf.name;
    }
    if (route) {
        log->other = route->conf.name;
    }
    log->config_version = relay->config_version;
    log->config_age_ms = relay->config_age_ms;
    log->elapsed_ms = state->now_ms - relay->arrived_ms;
    log->attempts = relay->sent_attempts + relay->unsent_attempts;
    log->upstream = upstream_name(state, relay);
    if (relay->last_outcome) {
        CT_TEXT_SET(log->outcome, ct_outcome_text(relay->last_outcome));
    }
    return log;
}

static ct_ms
retry_after_ms(const struct ct_state *state, const struct ct_relay *relay,
               enum ct_refusal reason)
{
    switch (reason) {
    case CT_REFUSAL_PROMPT_QUARANTINED:
        return ct_prompt_quarantine_retry_after_ms(state, &relay->parts);
    case CT_REFUSAL_UPSTREAM_LIMITED:
        return CLAMP(ct_relay_new_call_in_ms(state, relay), RETRY_AFTER_MS,
                     LIMITED_RETRY_AFTER_MAX_MS);
    case CT_REFUSAL_ZONE_EVACUATED:
        return EVACUATED_RETRY_AFTER_MS;
    default:
        return RETRY_AFTER_MS;
    }
}

void
ct_relay_refuse(struct ct_state *state, const struct ct_relay *relay,
                enum ct_refusal reason)
{
    enum ct_run_state run_state =
        relay->may_have_run ? CT_MAY_HAVE_RUN : CT_NOT_RUN;
    struct ct_log_effect *log =
        ct_relay_log(state, relay, CT_LOG_RELAY_REFUSED);

    CT_TEXT_SET(log->reason, ct_refusal_text(reason));
    log->status = (uint32_t)ct_refusal_status(reason);
    state->counters.refusals[reason]++;
    if (relay->caller) {
        ct_emit_refusal(state, relay->caller, &relay->id, reason, run_state,
                        retry_after_ms(state, relay, reason));
    }
    if (reason == CT_REFUSAL_PROMPT_QUARANTINED) {
        ct_prompt_quarantine_on_refused(state, &relay->parts);
    }
}

/* Frees the call's attempt; later events of the attempt are ignored. */
void
ct_relay_end_attempt(struct ct_state *state, struct ct_relay *relay,
                     enum ct_outcome outcome)
{
    struct ct_relay_attempt *attempt =
        ct_table_get(&state->relays.attempts, relay->attempt);
    struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, attempt->upstream);

    upstream->in_flight--;
    if (!attempt->sent) {
        ct_cold_upstreams_on_sent(state, attempt->upstream);
    }
    state->relay_balance->ops->ended(state->relay_balance, attempt->upstream,
                                     outcome, state->now_ms);
    ct_upstream_speed_on_stream(state, attempt->upstream, &attempt->timing);
    ct_table_unref(&state->config.upstreams, attempt->upstream);
    ct_table_unref(&state->relays.attempts, relay->attempt);
    relay->attempt = CT_NO_HANDLE;
}

void
ct_relay_cancel(struct ct_state *state, struct ct_relay *relay)
{
    if (ct_handle_is_none(relay->attempt)) {
        return;
    }
    ct_emit_effect(state, CT_EFFECT_RELAY_CANCEL_ATTEMPT)->u.relay.attempt =
        relay->attempt;
    ct_relay_end_attempt(state, relay, CT_OUTCOME_CANCELLED);
}

void
ct_relay_remove(struct ct_state *state, struct ct_handle handle,
                struct ct_relay *relay)
{
    ct_table_unref(&state->config.organisations, relay->organisation);
    ct_table_unref(&state->config.prefix_routes, relay->route);
    ct_table_unref(&state->config.pools, relay->pool);
    /* No entry exists if the caller disconnected earlier. */
    g_hash_table_remove(state->relays.by_caller, &relay->caller);
    ct_table_unref(&state->relays.rows, handle);
}

void
ct_relay_fail(struct ct_state *state, struct ct_handle handle,
              enum ct_refusal reason)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    struct ct_log_effect *log;

    ct_relay_cancel(state, relay);
    if (!relay->response_started) {
        ct_relay_refuse(state, relay, reason);
        ct_relay_remove(state, handle, relay);
        return;
    }
    ct_increment_counter(state, CT_COUNTER_RESPONSES_ABORTED);
    log = ct_relay_log(state, relay, CT_LOG_RELAY_BROKEN);
    CT_TEXT_SET(log->reason, ct_refusal_text(reason));
    log->number = (int64_t)relay->last_event;
    if (relay->caller) {
        ct_emit_effect(state, CT_EFFECT_RELAY_ABORT_RESPONSE)->u.caller =
            relay->caller;
    }
    ct_relay_remove(state, handle, relay);
}

void
ct_relay_complete(struct ct_state *state, struct ct_handle handle,
                  uint32_t status)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    struct ct_log_effect *log = ct_relay_log(state, relay, CT_LOG_RELAY_ENDED);

    struct ct_prefix_route_row *route =
        ct_table_get(&state->config.prefix_routes, relay->route);

    ct_increment_counter(state, CT_COUNTER_RESPONSES_COMPLETE);
    ct_relay_record_duration(route, state->now_ms - relay->arrived_ms);
    log->status = status;
    log->number = relay->first_event_ms;
    ct_latency_add(&state->counters.latencies[CT_LATENCY_COMPLETE],
                   state->now_ms - relay->arrived_ms);
    ct_relay_remove(state, handle, relay);
}
