#include "relay.h"

#include <string.h>

#include "error.h"
#include "index.h"
#include "prefix-route.h"
#include "relay-end.h"
#include "relay-ready.h"
#include "state.h"

/*
 * A call is failed this long after its time limit, so that an upstream can
 * still report its own time-out.
 */
#define DEADLINE_MARGIN_MS 150
/*
 * Part of the bound on withdrawn keys that is reserved for the time in which
 * a call reaches its upstream.
 */
#define REVOKE_MARGIN_MS 500

/*
 * Whether the configuration is recent enough to hold every key withdrawal
 * that must already be enforced.
 */
static bool
key_state_is_current(const struct ct_state *state)
{
    return ct_store_age_ms(state, CT_TOPIC_CONFIG) <
           state->self.bounds.revoke_ms - REVOKE_MARGIN_MS;
}

/*
 * Whether a key or route that the configuration does not name is known not to
 * exist: it may be one of the items that could not be read.
 */
static bool
config_is_complete(const struct ct_state *state)
{
    return key_state_is_current(state) && !state->store.config_partial;
}

static enum ct_refusal
refuse_key(const struct ct_state *state, const struct ct_relay_call *call)
{
    if (!call->has_key) {
        return CT_REFUSAL_NO_KEY;
    }
    return config_is_complete(state) ? CT_REFUSAL_UNKNOWN_KEY
                                     : CT_REFUSAL_NOT_CURRENT;
}

static enum ct_refusal
authenticate_call(const struct ct_state *state,
                  const struct ct_relay_call *call, struct ct_relay *relay)
{
    struct ct_handle handle = ct_keys_find(&state->keys, &call->key);
    const struct ct_key_row *key = ct_table_get(&state->keys.rows, handle);
    bool usable = call->has_key && ct_keys_usable(&state->keys, handle);

    if (!key_state_is_current(state)) {
        return CT_REFUSAL_NOT_CURRENT;
    }
    if (!usable) {
        return refuse_key(state, call);
    }
    relay->organisation =
        ct_config_organisation(&state->config, &key->key.organisation);
    return ct_handle_is_none(relay->organisation) ? refuse_key(state, call)
                                                  : CT_REFUSAL_COUNT;
}

/*
 * Whether the call runs only for the organisation that holds its key. A key
 * is checked even if none is required: it may have been withdrawn.
 */
static bool
needs_key(const struct ct_state *state, const struct ct_prefix_route *route,
          const struct ct_relay_call *call)
{
    return !route->open_to_all &&
           (state->store.keys_required || call->has_key);
}

/*
 * Sets the call's members from its route and organisation. Returns
 * CT_REFUSAL_COUNT if the call may run, else the reason for refusing it.
 */
static enum ct_refusal
admit_call(struct ct_state *state, const struct ct_relay_call *call,
           struct ct_relay *relay)
{
    const struct ct_organisation_row *organisation;
    const struct ct_prefix_route_row *route;
    enum ct_refusal reason = CT_REFUSAL_COUNT;

    /* The first full read of the topic contains the evacuations as well. */
    if (!state->store.config_known ||
        ct_store_age_ms(state, CT_TOPIC_CONFIG) == CT_MS_NEVER) {
        return CT_REFUSAL_NOT_READY;
    }
    relay->route =
        ct_prefix_route_find(&state->config, &call->authority, &call->path);
    route = ct_table_get(&state->config.prefix_routes, relay->route);
    if (!route) {
        return config_is_complete(state) ? CT_REFUSAL_ROUTE_UNKNOWN
                                         : CT_REFUSAL_NOT_CURRENT;
    }
    relay->repeat = route->conf.repeat;
    relay->stream = route->conf.stream;
    relay->attempts_max = route->conf.attempts;
    relay->prefix_hash = route->conf.sticky ? call->prefix_hash : 0;
    relay->parts = call->parts;
    relay->prompt_tokens = call->prompt_tokens;
    relay->deadline_ms = state->now_ms + route->conf.timeout_ms;
    if (call->timeout_ms > 0 && call->timeout_ms < route->conf.timeout_ms) {
        relay->deadline_ms = state->now_ms + call->timeout_ms;
    }
    if (!ct_relay_can_finish_call(state, route,
                                  relay->deadline_ms - state->now_ms)) {
        return CT_REFUSAL_DRAINING;
    }
    if (needs_key(state, &route->conf, call)) {
        reason = authenticate_call(state, call, relay);
    }
    organisation =
        ct_table_get(&state->config.organisations, relay->organisation);
    relay->rank = ct_rank_level(&state->config.rank_levels,
                                organisation && organisation->conf.has_rank
                                    ? organisation->conf.rank
                                    : route->conf.rank,
                                route->conf.rank);
    relay->pool = ct_prefix_route_pool(
        route, ct_hash_bytes(CT_HASH_SEED, call->request_id.text,
                             (uint32_t)strlen(call->request_id.text)));
    if (reason == CT_REFUSAL_COUNT && ct_handle_is_none(relay->pool)) {
        return CT_REFUSAL_NO_UPSTREAM;
    }
    return reason;
}

static void
reference_config(struct ct_state *state, const struct ct_relay *relay)
{
    ct_table_ref(&state->config.organisations, relay->organisation);
    ct_table_ref(&state->config.prefix_routes, relay->route);
    ct_table_ref(&state->config.pools, relay->pool);
}

static void
init_relay(const struct ct_state *state, const struct ct_relay_call *call,
           struct ct_relay *relay)
{
    memset(relay, 0, sizeof(*relay));
    relay->id = call->request_id;
    relay->caller = call->caller;
    relay->stored_caller = call->caller;
    relay->last_event = call->last_event;
    relay->arrived_ms = state->now_ms;
    relay->config_version = state->store.config_version;
    relay->config_age_ms = ct_store_age_ms(state, CT_TOPIC_CONFIG);
}

bool
ct_relay_on_head(struct ct_state *state, const struct ct_relay_call *call,
                 struct ct_handle *organisation, uint32_t *rank)
{
    struct ct_relay relay;
    enum ct_refusal reason;

    init_relay(state, call, &relay);
    reason = admit_call(state, call, &relay);
    if (reason != CT_REFUSAL_COUNT) {
        ct_increment_counter(state, CT_COUNTER_CALLS);
        ct_relay_refuse(state, &relay, reason);
        return false;
    }
    *organisation = relay.organisation;
    *rank = relay.rank;
    return true;
}

void
ct_relay_on_rejected(struct ct_state *state,
                     const struct ct_call_rejected *rejected)
{
    ct_increment_counter(state, CT_COUNTER_CALLS);
    state->counters.refusals[rejected->reason]++;
    ct_limited_log(state, CT_LOG_CALLS_REJECTED,
                   ct_refusal_text(rejected->reason));
    ct_emit_refusal(state, rejected->caller, &rejected->request_id,
                    rejected->reason, CT_NOT_RUN, 0);
    ct_memory_budget_remove(&state->relays.budget, rejected->caller);
}

void
ct_relay_on_arrived(struct ct_state *state, const struct ct_relay_call *call)
{
    struct ct_relays *relays = &state->relays;
    struct ct_relay relay;
    enum ct_refusal reason;
    struct ct_handle handle;
    struct ct_relay *row;

    ct_increment_counter(state, CT_COUNTER_CALLS);
    relays->arrived_ms = state->now_ms;
    if (ct_memory_budget_add(&relays->budget, call->caller,
                             call->body_bytes + CT_RELAY_CALL_BYTES) < 0) {
        state->out->err = CT_ERR_NO_MEMORY;
        return;
    }
    init_relay(state, call, &relay);
    reason = admit_call(state, call, &relay);
    if (reason == CT_REFUSAL_COUNT &&
        ct_prompt_quarantine_blocks(state, &relay.parts) &&
        !ct_prompt_quarantine_may_probe(state, &relay.parts)) {
        reason = CT_REFUSAL_PROMPT_QUARANTINED;
    }
    if (reason == CT_REFUSAL_COUNT &&
        !ct_memory_budget_has_room(&relays->budget, &state->self.bounds,
                                   relay.rank, CT_RANK_LEVELS)) {
        reason = CT_REFUSAL_OVERLOAD;
    }
    if (reason == CT_REFUSAL_COUNT &&
        ct_table_add(&relays->rows, &handle) < 0) {
        reason = CT_REFUSAL_TABLE_FULL;
    }
    if (reason != CT_REFUSAL_COUNT) {
        ct_relay_refuse(state, &relay, reason);
        return;
    }
    row = ct_table_get(&relays->rows, handle);
    *row = relay;
    ct_index_add(relays->by_caller, &row->caller, handle);
    reference_config(state, row);
    ct_retry_window_add_call(ct_relay_retry_window(state, row->pool),
                             &state->self.bounds, state->now_ms);
    ct_arm_timer(state, row->deadline_ms - state->now_ms + DEADLINE_MARGIN_MS,
                 CT_TIMER_RELAY, handle);
    ct_relay_send(state, handle);
}

void
ct_relay_on_delivered(struct ct_state *state, uint64_t caller)
{
    ct_memory_budget_remove(&state->relays.budget, caller);
}

void
ct_relay_on_caller_disconnected(struct ct_state *state, uint64_t caller)
{
    struct ct_handle handle = ct_index_get(state->relays.by_caller, &caller);
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);

    ct_relay_on_delivered(state, caller);
    if (!relay) {
        return;
    }
    ct_increment_counter(state, CT_COUNTER_CALLERS_DISCONNECTED);
    ct_relay_log(state, relay, CT_LOG_RELAY_GONE)->number =
        (int64_t)relay->last_event;
    /*
     * A non-streaming call that may run only once and may have run is not
     * cancelled, so that the upstream finishes it.
     */
    if (relay->repeat == CT_REPEAT_NEVER && !relay->stream &&
        relay->may_have_run) {
        g_hash_table_remove(state->relays.by_caller, &relay->caller);
        relay->caller = 0;
        return;
    }
    ct_relay_cancel(state, relay);
    ct_relay_remove(state, handle, relay);
}

void
ct_relays_abort_all(struct ct_state *state)
{
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (ct_table_next(&state->relays.rows, &cursor, &handle)) {
        ct_relay_on_timer(state, handle);
    }
}

void
ct_relay_on_timer(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);

    if (relay) {
        ct_relay_fail(state, handle,
                      relay->may_have_run ? CT_REFUSAL_UPSTREAM_SILENT
                                          : CT_REFUSAL_NO_UPSTREAM);
    }
}
