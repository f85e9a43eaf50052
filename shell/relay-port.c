#include <string.h>

#include "error.h"
#include "relay-call.h"

/*
 * A body up to this size that was received with its head is read at once;
 * it is charged when it is complete.
 */
#define WITH_HEAD_MAX_BYTES (64 * 1024)

/* Iterates over the headers of a call, which the dialect parses. */
struct header_scan {
    struct relay_call *call;
    int err;
};

static enum MHD_Result
add_header(void *arg, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
    struct header_scan *scan = arg;
    struct relay_message *message = scan->call->message;
    const struct ct_dialect *dialect = scan->call->io->dialect;
    bool pass = false;
    int err;

    (void)kind;
    value = value != NULL ? value : "";
    err = dialect->ops->call_header(dialect, name, value, &scan->call->info,
                                    &pass);
    if (err < 0) {
        scan->err = err;
        return MHD_NO;
    }
    if (!pass) {
        return MHD_YES;
    }
    message->has_accept |= g_ascii_strcasecmp(name, "Accept") == 0;
    message->has_media_type |= g_ascii_strcasecmp(name, "Content-Type") == 0;
    /* libcurl drops a header without a value unless it ends in ";". */
    g_ptr_array_add(message->lines, value[0] != '\0'
                                        ? g_strconcat(name, ": ", value, NULL)
                                        : g_strconcat(name, ";", NULL));
    return MHD_YES;
}

static void
set_path(struct relay_call *call)
{
    const char *query = strchr(call->message->target, '?');
    size_t n = query != NULL ? (size_t)(query - call->message->target)
                             : strlen(call->message->target);

    n = MIN(n, sizeof(call->info.path.text) - 1);
    memcpy(call->info.path.text, call->message->target, n);
}

static bool
is_invalid(const struct relay_call *call)
{
    return call->malformed || call->info.request_id.text[0] == '\0';
}

/* Suspends the complete call and posts its event. */
static void
dispatch_call(struct relay_call *call)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_CALL_ARRIVED};

    call->phase = RELAY_WAITING;
    ct_input_meter_add(relay_connections_meter(call->connection),
                       call->connection, call->message->body->len);
    relay_call_suspend(call);
    if (is_invalid(call)) {
        relay_body_reject(call, CT_REFUSAL_BAD_REQUEST);
        return;
    }
    call->info.body_bytes = call->message->body->len;
    event.u.relay = call->info;
    call->posted = true;
    call->open = true;
    ct_loop_post(call->io->loop, &event);
}

/*
 * Whether the body is short and was received with the head, so that the call
 * needs no admission before it.
 */
static bool
is_body_received(const struct relay_call *call)
{
    return !call->info.body_chunked &&
           call->info.body_bytes <= WITH_HEAD_MAX_BYTES &&
           ct_input_meter_has_body(relay_connections_meter(call->connection),
                                   call->connection, call->info.body_bytes);
}

/* Whether the pool had room for a head above the limit. */
static bool
is_head_too_large(const struct relay_call *call)
{
    const union MHD_ConnectionInfo *head = MHD_get_connection_info(
        call->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

    return relay_connections_is_large(call->connection) && head != NULL &&
           head->header_size > call->io->accept.head_max_bytes;
}

/* Responds as the library does if a head does not fit in the pool. */
static enum MHD_Result
refuse_head(struct relay_call *call)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result queued;

    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    queued = MHD_queue_response(
        call->connection, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, response);
    MHD_destroy_response(response);
    call->phase = RELAY_RESPONDING;
    return queued;
}

static enum MHD_Result
read_head(struct relay_call *call, const char *method)
{
    struct header_scan scan = {call, CT_OK};

    if (is_head_too_large(call)) {
        return refuse_head(call);
    }
    call->message->method = g_strdup(method);
    MHD_get_connection_values(call->connection, MHD_HEADER_KIND, add_header,
                              &scan);
    call->malformed = scan.err < 0;
    set_path(call);
    relay_body_read_size(call);
    if (relay_body_is_expected(call) &&
        (call->too_large || is_invalid(call))) {
        call->phase = RELAY_ADMISSION;
        relay_call_suspend(call);
        relay_body_reject(call, call->too_large ? CT_REFUSAL_TOO_LARGE
                                                : CT_REFUSAL_BAD_REQUEST);
        return MHD_YES;
    }
    if (relay_body_is_expected(call) && !is_body_received(call)) {
        relay_body_request(call);
        return MHD_YES;
    }
    call->granted_bytes = call->info.body_bytes;
    call->phase = RELAY_BODY;
    return MHD_YES;
}

static enum MHD_Result
queue_response(struct relay_call *call)
{
    if (call->disconnected) {
        return MHD_NO;
    }
    if (call->response == NULL) {
        relay_call_suspend(call);
        return MHD_YES;
    }
    call->phase = RELAY_RESPONDING;
    return MHD_queue_response(call->connection, call->status, call->response);
}

/* Discards what was read; responds at the end unless that was done before. */
static enum MHD_Result
discard_body(struct relay_call *call, size_t *n)
{
    if (call->repeats_head || *n > 0) {
        call->repeats_head = false;
        *n = 0;
        return MHD_YES;
    }
    if (call->refusal_sent) {
        return MHD_NO;
    }
    relay_body_end_discard(call);
    ct_input_meter_add(relay_connections_meter(call->connection),
                       call->connection, call->info.body_bytes);
    return queue_response(call);
}

enum MHD_Result
relay_port_handle(void *arg, struct MHD_Connection *connection,
                  const char *url, const char *method, const char *version,
                  const char *data, size_t *n, void **context)
{
    struct relay_call *call = *context;

    (void)arg;
    (void)url;
    (void)version;
    if (call == NULL) {
        return MHD_NO;
    }
    switch (call->phase) {
    case RELAY_HEAD:
        call->connection = connection;
        return read_head(call, method);
    case RELAY_ADMISSION:
        /* Called again for the head, now that the call was admitted. */
        if (call->disconnected) {
            return MHD_NO;
        }
        call->phase = RELAY_BODY;
        return MHD_YES;
    case RELAY_BODY:
        if (call->disconnected) {
            return MHD_NO;
        }
        if (*n > 0) {
            return relay_body_read(call, data, n);
        }
        dispatch_call(call);
        return MHD_YES;
    case RELAY_DISCARDING:
        return discard_body(call, n);
    case RELAY_WAITING:
        return queue_response(call);
    default:
        return MHD_NO;
    }
}

void *
relay_port_uri(void *arg, const char *uri, struct MHD_Connection *connection)
{
    struct relay_call *call = relay_call_add(arg);

    (void)connection;
    if (call != NULL) {
        call->message->target = g_strdup(uri);
    }
    return call;
}

void
relay_port_completed(void *arg, struct MHD_Connection *connection,
                     void **context, enum MHD_RequestTerminationCode code)
{
    struct relay_call *call = *context;

    (void)arg;
    (void)connection;
    (void)code;
    if (call != NULL) {
        *context = NULL;
        relay_call_remove(call);
    }
}
