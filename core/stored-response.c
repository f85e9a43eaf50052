#include "stored-response.h"

#include <string.h>

#include "peer-status.h"
#include "request.h"
#include "state.h"

static void
refuse_query(struct ct_state *state, const struct ct_response_request *query,
             enum ct_refusal reason)
{
    state->counters.refusals[reason]++;
    ct_emit_refusal(state, query->caller, &query->request_id, reason,
                    CT_MAY_HAVE_RUN, 0);
}

/*
 * Whether the key may read the response: it must belong to the organisation of
 * the request.
 */
static bool
may_read_response(const struct ct_state *state,
                  const struct ct_response_request *query,
                  const struct ct_request *request)
{
    struct ct_handle handle = ct_keys_find(&state->keys, &query->key);
    const struct ct_key_row *key = ct_table_get(&state->keys.rows, handle);
    struct ct_handle organisation;

    if (!query->has_key || !ct_keys_usable(&state->keys, handle)) {
        return false;
    }
    organisation =
        ct_config_organisation(&state->config, &key->key.organisation);
    return ct_handle_eq(organisation, request->organisation);
}

/*
 * Requests from all peers a lookup of the response. Returns false if no lookup
 * was started. The host that retains the response checks the key.
 */
static bool
start_peer_lookup(struct ct_state *state,
                  const struct ct_response_request *query)
{
    struct ct_peer_message message;
    struct ct_response_lookup *lookup;
    struct ct_handle handle;

    if (state->peer_status.n_up == 0 ||
        ct_table_add(&state->response_lookups, &handle) < 0) {
        return false;
    }
    lookup = ct_table_get(&state->response_lookups, handle);
    lookup->query = *query;
    ct_arm_timer(state, CT_RESPONSE_LOOKUP_TIMEOUT_MS,
                 CT_TIMER_RESPONSE_LOOKUP, handle);
    memset(&message, 0, sizeof(message));
    message.type = CT_PEER_RESPONSE_LOOKUP;
    message.u.request_id = query->request_id;
    ct_peer_status_send_all(state, &message, NULL);
    return true;
}

void
ct_stored_response_on_peer_lookup(struct ct_state *state,
                                  const struct ct_peer_message *message)
{
    struct ct_handle handle = ct_request_find(state, &message->u.request_id);
    struct ct_peer_message reply;

    if (!ct_request_get(state, handle)) {
        return;
    }
    memset(&reply, 0, sizeof(reply));
    reply.type = CT_PEER_RESPONSE_FOUND;
    reply.u.request_id = message->u.request_id;
    ct_peer_status_send(state, &message->sender, &reply);
}

void
ct_stored_response_on_peer_found(struct ct_state *state,
                                 const struct ct_peer_message *message)
{
    const struct ct_host_conf_row *host =
        ct_table_get(&state->config.hosts,
                     ct_config_host(&state->config, &message->sender));
    const struct ct_response_lookup *lookup;
    struct ct_handle handle;
    uint32_t cursor = 0;

    if (!host) {
        return;
    }
    while (
        (lookup = ct_table_next(&state->response_lookups, &cursor, &handle))) {
        struct ct_redirect_effect *redirect;

        if (strcmp(lookup->query.request_id.text,
                   message->u.request_id.text) != 0) {
            continue;
        }
        redirect = &ct_emit_effect(state, CT_EFFECT_REDIRECT)->u.redirect;
        redirect->caller = lookup->query.caller;
        redirect->address = host->conf.caller_address;
        redirect->request_id = lookup->query.request_id;
        redirect->offset = lookup->query.offset;
        ct_table_unref(&state->response_lookups, handle);
    }
}

void
ct_stored_response_on_lookup_timer(struct ct_state *state,
                                   struct ct_handle handle)
{
    const struct ct_response_lookup *lookup =
        ct_table_get(&state->response_lookups, handle);

    if (lookup) {
        refuse_query(state, &lookup->query, CT_REFUSAL_RESPONSE_UNKNOWN);
        ct_table_unref(&state->response_lookups, handle);
    }
}

void
ct_stored_response_on_caller_disconnected(struct ct_state *state,
                                          uint64_t caller)
{
    const struct ct_response_lookup *lookup;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (
        (lookup = ct_table_next(&state->response_lookups, &cursor, &handle))) {
        if (lookup->query.caller == caller) {
            ct_table_unref(&state->response_lookups, handle);
        }
    }
}

void
ct_stored_response_on_request(struct ct_state *state,
                              const struct ct_response_request *query)
{
    struct ct_handle handle = ct_request_find(state, &query->request_id);
    struct ct_request *request = ct_request_get(state, handle);

    if (!request && start_peer_lookup(state, query)) {
        return;
    }
    if (!request || !may_read_response(state, query, request) ||
        query->offset > request->response_bytes) {
        refuse_query(state, query, CT_REFUSAL_RESPONSE_UNKNOWN);
        return;
    }
    ct_request_attach_caller(state, handle, query->caller, query->offset);
}

void
ct_stored_response_on_retention_timer(struct ct_state *state,
                                      struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);

    if (request && request->state == CT_REQUEST_RETAINED &&
        request->finished_ms + CT_RESPONSE_RETENTION_MS <= state->now_ms) {
        ct_request_remove(state, handle);
    }
}
