#include <stdlib.h>
#include <string.h>

#include "call-body.h"
#include "caller.h"
#include "error.h"
#include "uuid.h"

#define ADDRESSES_PATH "/v1/addresses"
#define ANSWERS_PATH "/v1/answers/"
#define CHAT_SUFFIX "/chat/completions"
#define BEARER "Bearer "

/* A caller's key is kept only as its digest. */
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
header(struct ct_caller *caller, const char *name)
{
    return MHD_lookup_connection_value(caller->connection, MHD_HEADER_KIND,
                                       name);
}

static bool
read_key(struct ct_caller *caller, struct ct_digest *digest)
{
    const char *value = header(caller, MHD_HTTP_HEADER_AUTHORIZATION);

    if (value == NULL ||
        g_ascii_strncasecmp(value, BEARER, strlen(BEARER)) != 0 ||
        value[strlen(BEARER)] == '\0') {
        return false;
    }
    digest_text(value + strlen(BEARER), digest);
    return true;
}

static void
post(struct ct_caller *caller, const struct ct_event *event)
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
    post(caller, &event);
}

static void
ask_addresses(struct ct_caller *caller)
{
    struct ct_event event = {.type = CT_EVENT_ADDRESSES_REQUESTED};

    event.u.caller = ct_caller_number(caller);
    post(caller, &event);
}

static void
ask_answer(struct ct_caller *caller, const char *id)
{
    struct ct_event event = {.type = CT_EVENT_RESPONSE_REQUESTED};
    struct ct_response_request *ask = &event.u.response_request;
    const char *offset = MHD_lookup_connection_value(
        caller->connection, MHD_GET_ARGUMENT_KIND, "offset");
    guint64 value = 0;

    if (CT_TEXT_SET(ask->request_id, id) < 0 ||
        (offset != NULL && !g_ascii_string_to_unsigned(
                               offset, 10, 0, G_MAXINT64, &value, NULL))) {
        ct_caller_reject(caller, CT_REFUSAL_BAD_REQUEST);
        return;
    }
    ask->caller = ct_caller_number(caller);
    ask->offset = value;
    ask->has_key = read_key(caller, &ask->key);
    post(caller, &event);
}

static bool
is_known_method(const char *method)
{
    static const char *const methods[] = {
        MHD_HTTP_METHOD_GET,   MHD_HTTP_METHOD_POST,   MHD_HTTP_METHOD_PUT,
        MHD_HTTP_METHOD_PATCH, MHD_HTTP_METHOD_DELETE, NULL};

    return g_strv_contains(methods, method);
}

/* What of the request is sent on, should it be run. */
static int
store_call(struct ct_caller *caller, const char *method)
{
    struct ct_stored_call *call = g_rc_box_new0(struct ct_stored_call);
    const char *type = header(caller, MHD_HTTP_HEADER_CONTENT_TYPE);
    const char *key = header(caller, "Idempotency-Key");
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
    ct_response_store_put_body(caller->callers->answers,
                               ct_caller_number(caller), call);
    return CT_OK;
}

static int
read_idempotency_key(struct ct_caller *caller, struct ct_call *call)
{
    const char *key = header(caller, "Idempotency-Key");

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
        ct_call_plain_body(caller->body->len, call);
        return CT_OK;
    }
    return ct_call_body_parse((const char *)caller->body->data,
                              caller->body->len, call);
}

static void
call(struct ct_caller *caller, const char *url, const char *method)
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
    post(caller, &event);
}

static void
begin_wait(struct ct_caller *caller)
{
    caller->phase = CT_CALLER_WAITING;
    ct_caller_connection_stop(ct_caller_connection_of(caller->connection));
    ct_caller_suspend(caller);
}

/* The request is whole: hand it to the reducer and wait. */
static void
dispatch(struct ct_caller *caller, const char *url, const char *method)
{
    bool is_get = strcmp(method, MHD_HTTP_METHOD_GET) == 0;

    begin_wait(caller);
    if (is_get && strcmp(url, ADDRESSES_PATH) == 0) {
        ask_addresses(caller);
    }
    else if (is_get && g_str_has_prefix(url, ANSWERS_PATH)) {
        ask_answer(caller, url + strlen(ANSWERS_PATH));
    }
    else {
        call(caller, url, method);
    }
}

/* Whether the head alone says that the request is too large. */
static bool
is_oversize(struct ct_caller *caller)
{
    const struct ct_caller_limits *limits = &caller->callers->limits;
    const char *length = header(caller, MHD_HTTP_HEADER_CONTENT_LENGTH);
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
    if (is_oversize(caller)) {
        /* Answered now; libmicrohttpd then closes the connection. */
        begin_wait(caller);
        ct_caller_reject(caller, CT_REFUSAL_TOO_LARGE);
        return MHD_YES;
    }
    caller->phase = CT_CALLER_BODY;
    ct_caller_connection_wait(ct_caller_connection_of(caller->connection),
                              caller->handle);
    return MHD_YES;
}

/* A body without a length in its head is read on, within reason. */
static enum MHD_Result
read_part(struct ct_caller *caller, const char *data, size_t *n)
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
respond(struct ct_caller *caller)
{
    if (caller->gone) {
        return MHD_NO;
    }
    if (caller->response == NULL) {
        ct_caller_suspend(caller);
        return MHD_YES;
    }
    caller->phase = CT_CALLER_ANSWERING;
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
            return read_part(caller, data, n);
        }
        dispatch(caller, url, method);
        return MHD_YES;
    case CT_CALLER_WAITING:
        return respond(caller);
    default:
        return MHD_NO;
    }
}

/* The first that is known of a request: its target. */
void *
ct_caller_uri(void *arg, const char *uri, struct MHD_Connection *connection)
{
    struct ct_caller *caller = ct_caller_add(arg);
    const char *query = strchr(uri, '?');

    ct_caller_connection_used(ct_caller_connection_of(connection));
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
