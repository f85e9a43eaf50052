#include <stdlib.h>
#include <string.h>

#include "call-body.h"
#include "caller.h"
#include "error.h"
#include "uuid.h"

#define ADDRESSES_PATH "/v1/addresses"
#define RESPONSES_PATH "/v1/answers/"
#define CHAT_SUFFIX "/chat/completions"
#define BEARER "Bearer "

/* Only the digest of a caller's key is stored. */
static void
digest_text(const char *text, struct ct_digest *digest)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize n = sizeof(digest->bytes);

    g_checksum_update(sum, (const guchar *)text, (gssize)strlen(text));
    g_checksum_get_digest(sum, digest->bytes, &n);
    g_checksum_free(sum);
}

static const char *
get_header(struct ct_caller *caller, const char *name)
{
    return MHD_lookup_connection_value(caller->connection, MHD_HEADER_KIND,
                                       name);
}

static bool
read_key(struct ct_caller *caller, struct ct_digest *digest)
{
    const char *value = get_header(caller, MHD_HTTP_HEADER_AUTHORIZATION);

    if (value == NULL ||
        g_ascii_strncasecmp(value, BEARER, strlen(BEARER)) != 0 ||
        value[strlen(BEARER)] == '\0') {
        return false;
    }
    digest_text(value + strlen(BEARER), digest);
    return true;
}

static void
post_event(struct ct_caller *caller, const struct ct_event *event)
{
    caller->open = true;
    ct_loop_post(caller->callers->loop, event);
}

void
ct_caller_reject(struct ct_caller *caller, enum ct_refusal reason)
{
    struct ct_event event = {.type = CT_EVENT_CALL_REJECTED};

    event.u.rejected.caller = ct_caller_number(caller);
    event.u.rejected.request_id = caller->request_id;
    event.u.rejected.reason = reason;
    post_event(caller, &event);
}

static void
request_addresses(struct ct_caller *caller)
{
    struct ct_event event = {.type = CT_EVENT_ADDRESSES_REQUESTED};

    event.u.caller = ct_caller_number(caller);
    post_event(caller, &event);
}

static void
request_response(struct ct_caller *caller, const char *id)
{
    struct ct_event event = {.type = CT_EVENT_RESPONSE_REQUESTED};
    struct ct_response_request *request = &event.u.response_request;
    const char *offset = MHD_lookup_connection_value(
        caller->connection, MHD_GET_ARGUMENT_KIND, "offset");
    guint64 value = 0;

    if (CT_TEXT_SET(request->request_id, id) < 0 ||
        (offset != NULL && !g_ascii_string_to_unsigned(
                               offset, 10, 0, G_MAXINT64, &value, NULL))) {
        ct_caller_reject(caller, CT_REFUSAL_BAD_REQUEST);
        return;
    }
    request->caller = ct_caller_number(caller);
    request->offset = value;
    request->has_key = read_key(caller, &request->key);
    post_event(caller, &event);
}

static bool
is_known_method(const char *method)
{
    static const char *const methods[] = {
        MHD_HTTP_METHOD_GET,   MHD_HTTP_METHOD_POST,   MHD_HTTP_METHOD_PUT,
        MHD_HTTP_METHOD_PATCH, MHD_HTTP_METHOD_DELETE, NULL};

    return g_strv_contains(methods, method);
}

/* Stores the parts of the request that an attempt sends to an upstream. */
static int
store_call(struct ct_caller *caller, const char *method)
{
    struct ct_stored_call *call = g_rc_box_new0(struct ct_stored_call);
    const char *type = get_header(caller, MHD_HTTP_HEADER_CONTENT_TYPE);
    const char *key = get_header(caller, "Idempotency-Key");
    int err = ct_text_set(call->method, sizeof(call->method), method);

    if (err == CT_OK && type != NULL) {
        err = ct_text_set(call->media_type, sizeof(call->media_type), type);
    }
    if (err == CT_OK && key != NULL) {
        err = CT_TEXT_SET(call->idempotency_key, key);
    }
    call->query = g_steal_pointer(&caller->query);
    call->bytes = g_byte_array_free_to_bytes(caller->body);
    caller->body = NULL;
    if (err < 0) {
        ct_stored_call_unref(call);
        return err;
    }
    ct_response_store_put_body(caller->callers->responses,
                               ct_caller_number(caller), call);
    return CT_OK;
}

static int
read_idempotency_key(struct ct_caller *caller, struct ct_call *call)
{
    const char *key = get_header(caller, "Idempotency-Key");

    if (key == NULL) {
        return CT_OK;
    }
    call->has_idempotency_key = true;
    digest_text(key, &call->idempotency_key);
    return ct_uuid7_parse(key, &call->idempotency_wall_ms);
}

static int
read_body(struct ct_caller *caller, const char *url, struct ct_call *call)
{
    if (!g_str_has_suffix(url, CHAT_SUFFIX)) {
        ct_call_body_set_plain(caller->body->len, call);
        return CT_OK;
    }
    return ct_call_body_parse((const char *)caller->body->data,
                              caller->body->len, call);
}

static void
post_call(struct ct_caller *caller, const char *url, const char *method)
{
    struct ct_event event = {.type = CT_EVENT_CALL_ARRIVED};
    struct ct_call *c = &event.u.call;

    if (caller->too_large) {
        ct_caller_reject(caller, CT_REFUSAL_TOO_LARGE);
        return;
    }
    if (CT_TEXT_SET(c->path, url) < 0) {
        ct_caller_reject(caller, CT_REFUSAL_ROUTE_UNKNOWN);
        return;
    }
    if (!is_known_method(method) || read_idempotency_key(caller, c) < 0 ||
        read_body(caller, url, c) < 0 || store_call(caller, method) < 0) {
        ct_caller_reject(caller, CT_REFUSAL_BAD_REQUEST);
        return;
    }
    c->caller = ct_caller_number(caller);
    c->request_id = caller->request_id;
    c->has_key = read_key(caller, &c->key);
    post_event(caller, &event);
}

static void
suspend_for_response(struct ct_caller *caller)
{
    struct ct_caller_connection *connection =
        ct_caller_connection_of(caller->connection);

    caller->phase = CT_CALLER_WAITING;
    ct_caller_connection_stop(connection);
    ct_input_meter_add(&connection->meter, caller->connection,
                       caller->body != NULL ? caller->body->len : 0);
    ct_caller_suspend(caller);
}

/* Suspends the complete request and posts its event. */
static void
dispatch_request(struct ct_caller *caller, const char *url, const char *method)
{
    bool is_get = strcmp(method, MHD_HTTP_METHOD_GET) == 0;

    suspend_for_response(caller);
    if (is_get && strcmp(url, ADDRESSES_PATH) == 0) {
        request_addresses(caller);
    }
    else if (is_get && g_str_has_prefix(url, RESPONSES_PATH)) {
        request_response(caller, url + strlen(RESPONSES_PATH));
    }
    else {
        post_call(caller, url, method);
    }
}

/* Whether the head alone shows that the request is too large. */
static bool
is_declared_too_large(struct ct_caller *caller)
{
    const struct ct_caller_limits *limits = &caller->callers->limits;
    const char *length = get_header(caller, MHD_HTTP_HEADER_CONTENT_LENGTH);
    size_t head_bytes =
        MHD_get_connection_info(caller->connection,
                                MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
            ->header_size;

    return head_bytes > limits->head_bytes ||
           (length != NULL && strtoull(length, NULL, 10) > limits->body_bytes);
}

static enum MHD_Result
read_head(struct ct_caller *caller)
{
    caller->body = g_byte_array_new();
    if (is_declared_too_large(caller)) {
        /* Refused now; libmicrohttpd then closes the connection. */
        suspend_for_response(caller);
        ct_caller_reject(caller, CT_REFUSAL_TOO_LARGE);
        return MHD_YES;
    }
    caller->phase = CT_CALLER_BODY;
    ct_caller_connection_wait(ct_caller_connection_of(caller->connection),
                              caller->handle);
    return MHD_YES;
}

/*
 * Adds data to the body. If the body exceeds the limit and its head declared
 * no length, discards it and reads on; the connection is closed if the rest
 * exceeds the limit as well.
 */
static enum MHD_Result
read_body_part(struct ct_caller *caller, const char *data, size_t *n)
{
    uint32_t limit = caller->callers->limits.body_bytes;

    if (caller->body->len + *n <= limit) {
        g_byte_array_append(caller->body, (const guint8 *)data, (guint)*n);
    }
    else if (caller->too_large) {
        return MHD_NO;
    }
    else {
        caller->too_large = true;
        g_byte_array_set_size(caller->body, 0);
    }
    *n = 0;
    ct_caller_connection_wait(ct_caller_connection_of(caller->connection),
                              caller->handle);
    return MHD_YES;
}

static enum MHD_Result
queue_response(struct ct_caller *caller)
{
    if (caller->disconnected) {
        return MHD_NO;
    }
    if (caller->response == NULL) {
        ct_caller_suspend(caller);
        return MHD_YES;
    }
    caller->phase = CT_CALLER_RESPONDING;
    return MHD_queue_response(caller->connection, caller->status,
                              caller->response);
}

enum MHD_Result
ct_caller_handle(void *arg, struct MHD_Connection *connection, const char *url,
                 const char *method, const char *version, const char *data,
                 size_t *n, void **context)
{
    struct ct_caller *caller = *context;

    (void)arg;
    (void)version;
    if (caller == NULL) {
        return MHD_NO;
    }
    switch (caller->phase) {
    case CT_CALLER_HEAD:
        caller->connection = connection;
        caller->fd = ct_caller_connection_of(connection)->fd;
        return read_head(caller);
    case CT_CALLER_BODY:
        if (*n > 0) {
            return read_body_part(caller, data, n);
        }
        dispatch_request(caller, url, method);
        return MHD_YES;
    case CT_CALLER_WAITING:
        return queue_response(caller);
    default:
        return MHD_NO;
    }
}

/* Adds a row; libmicrohttpd calls this first for each request. */
void *
ct_caller_uri(void *arg, const char *uri, struct MHD_Connection *connection)
{
    struct ct_caller *caller = ct_caller_add(arg);
    const char *query = strchr(uri, '?');

    ct_caller_connection_mark_used(ct_caller_connection_of(connection));
    if (caller != NULL && query != NULL) {
        caller->query = g_strdup(query + 1);
    }
    return caller;
}

void
ct_caller_completed(void *arg, struct MHD_Connection *connection,
                    void **context, enum MHD_RequestTerminationCode code)
{
    struct ct_caller *caller = *context;

    (void)arg;
    (void)code;
    if (caller == NULL) {
        return;
    }
    *context = NULL;
    ct_caller_connection_wait(ct_caller_connection_of(connection),
                              CT_NO_HANDLE);
    ct_caller_remove(caller);
}
