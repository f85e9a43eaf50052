#include <string.h>

#include "error.h"
#include "refusal-body.h"
#include "relay-call.h"

#define STREAM_BLOCK_BYTES 4096
/*
 * Complete responses from this size on are written in parts of it. Shorter
 * ones are passed to libmicrohttpd at once: the kernel's send buffer takes
 * them whole.
 */
#define WHOLE_BLOCK_BYTES (64 * 1024)
/* Change of the unread bytes after which the reducer is told. */
#define UNREAD_STEP_BYTES (16 * 1024)
/*
 * Written bytes are freed when they are more than this, and more than this
 * part of a buffer. A stream that nobody reads keeps the rest of them.
 */
#define COMPACT_MIN_BYTES (4 * 1024)
#define COMPACT_DIVISOR 4
/*
 * Streams together may hold this part of the memory for calls unread. Each may
 * hold a part of what the others leave: few streams are buffered far ahead,
 * and many stay within the limit together.
 */
#define ALL_STREAMS_DIVISOR 2
#define ONE_STREAM_DIVISOR 8
#define STREAM_MIN_BYTES (16 * 1024)
#define STREAM_MAX_BYTES (1024 * 1024)
#define JSON "application/json"

static bool
closes_connection(const struct relay_call *call)
{
    /* Few connections can have a large pool, so each serves one call. */
    if (relay_connections_is_large(call->connection)) {
        return true;
    }
    return call->io->draining &&
           !ct_input_meter_has_more(relay_connections_meter(call->connection),
                                    call->connection);
}

static void
set_response(struct relay_call *call, uint32_t status,
             struct MHD_Response *response)
{
    call->response = response;
    call->status = status;
    if (closes_connection(call)) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    relay_call_resume(call);
}

static struct MHD_Response *
make_refusal(const struct relay_refusal *refusal)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        refusal->body->len, refusal->body->str, MHD_RESPMEM_MUST_COPY);

    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            refusal->media_type);
    if (refusal->retry_name != NULL) {
        MHD_add_response_header(response, refusal->retry_name,
                                refusal->retry_value);
    }
    return response;
}

void
relay_response_refuse(struct ct_relay_io *io,
                      const struct ct_refuse_effect *refuse)
{
    struct relay_call *call = relay_call_find(io, refuse->caller);
    uint32_t status = (uint32_t)ct_refusal_status(refuse->reason);
    struct relay_refusal refusal = {.media_type = JSON};
    GString *body;
    char value[32];

    if (call == NULL || call->response != NULL) {
        return;
    }
    call->open = false;
    body = g_string_new(NULL);
    ct_refusal_body(refuse->reason, refuse->run_state, &refuse->request_id,
                    refuse->retry_after_ms, body);
    refusal.body = body;
    if (refuse->retry_after_ms > 0 && refuse->run_state == CT_NOT_RUN) {
        refusal.retry_name = io->dialect->ops->retry_after(
            io->dialect, refuse->retry_after_ms, value, sizeof(value));
        refusal.retry_value = value;
    }
    if (!relay_body_refuse(call, status, &refusal)) {
        set_response(call, status, make_refusal(&refusal));
    }
    g_string_free(body, TRUE);
}

static void
report_unread(struct relay_call *call)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_RESPONSE_UNREAD};
    guint unread = call->pending->len - call->pending_offset;
    guint reported = call->reported_unread;

    if (MAX(unread, reported) - MIN(unread, reported) < UNREAD_STEP_BYTES &&
        (unread > 0 || reported == 0)) {
        return;
    }
    call->reported_unread = unread;
    event.u.unread.caller = relay_call_number(call);
    event.u.unread.unread_bytes = unread;
    event.u.unread.buffered_bytes = call->whole ? 0 : unread;
    event.u.unread.has_read = unread < reported;
    ct_loop_post(call->io->loop, &event);
}

static guint
unread_bytes(const struct relay_call *call)
{
    return call->pending != NULL ? call->pending->len - call->pending_offset
                                 : 0;
}

/* Updates the call's part of io->unread_bytes. */
static void
count_unread(struct relay_call *call)
{
    guint unread = call->whole ? 0 : unread_bytes(call);

    call->io->unread_bytes += unread;
    call->io->unread_bytes -= call->counted_unread;
    call->counted_unread = unread;
}

void
relay_response_clear(struct relay_call *call)
{
    call->io->unread_bytes -= call->counted_unread;
    call->counted_unread = 0;
}

/* Returns how many bytes of one stream may be unread now. */
static uint64_t
stream_limit(const struct ct_relay_io *io)
{
    uint64_t limit = io->memory_bytes / ALL_STREAMS_DIVISOR;
    uint64_t left = limit > io->unread_bytes ? limit - io->unread_bytes : 0;

    return CLAMP(left / ONE_STREAM_DIVISOR, STREAM_MIN_BYTES,
                 STREAM_MAX_BYTES);
}

bool
relay_response_has_room(const struct ct_relay_io *io, uint64_t caller,
                        struct ct_handle attempt, guint posted_bytes)
{
    const struct relay_call *call = relay_call_find(io, caller);

    /*
     * Until an attempt's first event is forwarded, the caller's reading cannot
     * resume it, so it is not held.
     */
    return call == NULL || !ct_handle_eq(call->source, attempt) ||
           unread_bytes(call) + posted_bytes < stream_limit(io);
}

/* Lets the upstream send on once the caller has read enough. */
static void
continue_source(struct relay_call *call)
{
    struct relay_attempt *attempt = relay_attempt_find(call->io, call->source);

    if (attempt != NULL && unread_bytes(call) < stream_limit(call->io)) {
        relay_attempt_continue(attempt);
    }
}

/* Empties the buffer; one of more than a few small writes is freed. */
static void
empty_pending(struct relay_call *call)
{
    if (call->pending->len > COMPACT_MIN_BYTES) {
        g_byte_array_unref(call->pending);
        call->pending = g_byte_array_new();
    }
    g_byte_array_set_size(call->pending, 0);
    call->pending_offset = 0;
}

/* Frees the written bytes, but not after each small write. */
static void
compact_pending(struct relay_call *call)
{
    if (call->pending_offset == call->pending->len) {
        empty_pending(call);
    }
    else if (call->pending_offset > COMPACT_MIN_BYTES &&
             call->pending_offset > call->pending->len / COMPACT_DIVISOR) {
        g_byte_array_remove_range(call->pending, 0, call->pending_offset);
        call->pending_offset = 0;
    }
}

/* Passes the pending bytes of a streamed response to libmicrohttpd. */
static ssize_t
read_stream(void *arg, uint64_t position, char *out, size_t max)
{
    struct relay_call *call = arg;
    size_t n = MIN(call->pending->len - call->pending_offset, max);

    (void)position;
    if (call->disconnected) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (n > 0) {
        memcpy(out, call->pending->data + call->pending_offset, n);
        call->pending_offset += (guint)n;
        compact_pending(call);
        count_unread(call);
        report_unread(call);
        continue_source(call);
        return (ssize_t)n;
    }
    if (call->aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (call->ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    relay_call_suspend(call);
    return 0;
}

static void
add_response_headers(struct MHD_Response *response, const GPtrArray *lines)
{
    for (guint i = 0; i < lines->len; i++) {
        char *line = g_strdup(g_ptr_array_index(lines, i));
        char *colon = strchr(line, ':');

        if (colon != NULL) {
            *colon = '\0';
            MHD_add_response_header(response, line, g_strstrip(colon + 1));
        }
        g_free(line);
    }
}

/* Makes a response of the pending bytes; short ones are handed over. */
static struct MHD_Response *
make_whole_response(struct relay_call *call)
{
    gsize n = call->pending->len;
    guint8 *bytes;

    call->whole = true;
    if (n >= WHOLE_BLOCK_BYTES) {
        return MHD_create_response_from_callback(n, WHOLE_BLOCK_BYTES,
                                                 read_stream, call, NULL);
    }
    bytes = g_byte_array_steal(call->pending, &n);

    return MHD_create_response_from_buffer_with_free_callback(n, bytes,
                                                              g_free);
}

static void
begin_response(struct relay_call *call, const struct relay_attempt *attempt)
{
    struct MHD_Response *response;

    call->stream = !call->ended;
    if (call->stream) {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, call, NULL);
    }
    else {
        response = make_whole_response(call);
    }
    add_response_headers(response, relay_attempt_lines(attempt));
    set_response(call, relay_attempt_status(attempt), response);
}

static void
append_bytes(struct relay_call *call, struct relay_attempt *attempt, guint n)
{
    if (call->pending == NULL) {
        call->pending = g_byte_array_new();
    }
    relay_attempt_move_bytes(attempt, n, call->pending);
}

void
relay_response_forward(struct ct_relay_io *io,
                       const struct ct_relay_forward *forward)
{
    struct relay_call *call = relay_call_find(io, forward->caller);
    struct relay_attempt *attempt = relay_attempt_find(io, forward->attempt);

    if (call == NULL || attempt == NULL) {
        return;
    }
    if (call->pending == NULL && forward->is_last) {
        call->pending = relay_attempt_take_bytes(attempt);
    }
    else {
        append_bytes(call, attempt, forward->bytes);
    }
    call->source = forward->attempt;
    if (forward->is_last) {
        call->ended = true;
        call->open = false;
    }
    if (forward->is_first) {
        begin_response(call, attempt);
    }
    else {
        relay_call_resume(call);
    }
    count_unread(call);
    report_unread(call);
}

void
relay_response_abort(struct ct_relay_io *io, uint64_t caller)
{
    struct relay_call *call = relay_call_find(io, caller);

    if (call == NULL) {
        return;
    }
    call->open = false;
    call->aborted = true;
    relay_call_resume(call);
}

/*
 * With SO_LINGER of 0 the later close() is a reset, which frees what the
 * kernel holds for the caller.
 */
void
relay_response_cut_off(struct ct_relay_io *io, uint64_t caller)
{
    struct relay_call *call = relay_call_find(io, caller);
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    int fd;

    if (call == NULL) {
        return;
    }
    call->open = false;
    call->disconnected = true;
    if (call->pending != NULL) {
        call->pending_offset = call->pending->len;
        empty_pending(call);
        count_unread(call);
    }
    fd = MHD_get_connection_info(call->connection,
                                 MHD_CONNECTION_INFO_CONNECTION_FD)
             ->connect_fd;
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd, SHUT_RDWR);
    relay_call_resume(call);
}
