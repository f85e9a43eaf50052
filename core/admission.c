#include "admission.h"

#include <string.h>

#include "peer-status.h"
#include "state.h"

bool
ct_admission_may_serve(const struct ct_state *state, ct_ms now_ms)
{
    return ct_peer_status_is_current(state, now_ms);
}

/*
 * Returns why this host may not serve callers, or CT_REFUSAL_COUNT if it may.
 */
static enum ct_refusal
check_host(const struct ct_state *state)
{
    if (!state->log.ready) {
        return CT_REFUSAL_NOT_READY;
    }
    if (state->draining) {
        return CT_REFUSAL_DRAINING;
    }
    if (!ct_admission_may_serve(state, state->now_ms)) {
        return CT_REFUSAL_NOT_CURRENT;
    }
    return CT_REFUSAL_COUNT;
}

/* Looks up the caller's key and its organisation. */
static enum ct_refusal
check_key(const struct ct_state *state, const struct ct_call *call,
          struct ct_request *request)
{
    const struct ct_key_row *key;

    if (!call->has_key) {
        return CT_REFUSAL_NO_KEY;
    }
    request->key = ct_keys_find(&state->keys, &call->key);
    key = ct_table_get(&state->keys.rows, request->key);
    if (!key || (!key->offset && !key->key.withdrawn)) {
        return CT_REFUSAL_UNKNOWN_KEY;
    }
    request->organisation =
        ct_config_organisation(&state->config, &key->key.organisation);
    if (key->key.withdrawn) {
        return CT_REFUSAL_KEY_WITHDRAWN;
    }
    if (ct_handle_is_none(request->organisation)) {
        return CT_REFUSAL_UNKNOWN_KEY;
    }
    return CT_REFUSAL_COUNT;
}

static enum ct_refusal
check_route(const struct ct_state *state, const struct ct_call *call,
            struct ct_request *request)
{
    const struct ct_class_row *klass;
    const struct ct_pool_row *pool;

    klass = ct_table_get(&state->config.classes, request->klass);
    pool = ct_table_get(&state->config.pools, request->pool);
    if (!klass || !pool) {
        return CT_REFUSAL_ROUTE_UNKNOWN;
    }
    request->tier = klass->conf.tier;
    if (!ct_config_may_call(&state->config, request->route,
                            request->organisation)) {
        return CT_REFUSAL_ROUTE_FORBIDDEN;
    }
    if (pool->conf.kind == CT_POOL_ENGINE && call->kind != CT_CALL_CHAT) {
        return CT_REFUSAL_BAD_REQUEST;
    }
    request->kind =
        pool->conf.kind == CT_POOL_ENGINE ? CT_CALL_CHAT : CT_CALL_PLAIN;
    return CT_REFUSAL_COUNT;
}

static void
add_text(GChecksum *sum, const char *text, uint32_t min)
{
    g_checksum_update(sum, (const guchar *)text,
                      ct_text_hash_bytes(text, min));
}

/*
 * Returns a digest over the organisation, the route and the idempotency key,
 * because the key is scoped to one organisation and one route.
 */
static struct ct_digest
claim_digest(const struct ct_state *state, const struct ct_call *call,
             const struct ct_request *request)
{
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, request->organisation);
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    struct ct_digest digest;
    gsize n = sizeof(digest.bytes);

    add_text(sum, organisation->conf.name.text, CT_NAME_HASH_BYTES_MIN);
    add_text(sum, call->path.text, CT_PATH_HASH_BYTES_MIN);
    g_checksum_update(sum, call->idempotency_key.bytes,
                      sizeof(call->idempotency_key.bytes));
    g_checksum_get_digest(sum, digest.bytes, &n);
    g_checksum_free(sum);
    return digest;
}

static enum ct_refusal
check_idempotency_key(const struct ct_state *state, const struct ct_call *call,
                      struct ct_request *request)
{
    if (request->idempotent) {
        return CT_REFUSAL_COUNT;
    }
    if (!call->has_idempotency_key) {
        return CT_REFUSAL_KEY_REQUIRED;
    }
    if (!ct_claim_in_horizon(call->idempotency_wall_ms, state->wall_ms)) {
        return CT_REFUSAL_KEY_TOO_OLD;
    }
    request->key_wall_ms = call->idempotency_wall_ms;
    request->claim = claim_digest(state, call, request);
    return CT_REFUSAL_COUNT;
}

/* Runs even if a check fails, so that every refusal can name the route. */
static void
find_route(const struct ct_state *state, const struct ct_call *call,
           struct ct_request *request)
{
    const struct ct_route_row *route;

    request->route =
        ct_config_route(&state->config, &call->path, &call->model);
    route = ct_table_get(&state->config.routes, request->route);
    if (route) {
        request->klass = route->klass;
        request->pool = route->pool;
        request->idempotent = route->conf.idempotent;
    }
}

enum ct_refusal
ct_admission_check_call(const struct ct_state *state,
                        const struct ct_call *call, struct ct_request *request)
{
    enum ct_refusal reason = check_host(state);

    find_route(state, call, request);
    if (reason == CT_REFUSAL_COUNT) {
        reason = check_key(state, call, request);
    }
    if (reason == CT_REFUSAL_COUNT) {
        reason = check_route(state, call, request);
    }
    if (reason == CT_REFUSAL_COUNT) {
        reason = check_idempotency_key(state, call, request);
    }
    return reason;
}
