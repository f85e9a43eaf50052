#include <string.h>
#include <sys/socket.h>

#include "error.h"
#include "relay-call.h"

#define MS_PER_S 1000.0
/* How often the reducer is told which bodies have grown. */
#define PROGRESS_INTERVAL_MS 250
/*
 * A refused call whose body is at most this long is read to its end, so that
 * the connection stays usable, if the rest arrives within the wait.
 */
#define DISCARD_MAX_BYTES (64 * 1024)
#define DISCARD_WAIT_MS 300
/*
 * Time for which more of a refused body is read and discarded after the
 * refusal was sent: closing earlier would reset the connection, and the caller
 * might not see the refusal.
 */
#define LINGER_MS 2000

static int
connection_fd(const struct relay_call *call)
{
    return MHD_get_connection_info(call->connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

static const char *
request_header(const struct relay_call *call, const char *name)
{
    return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
                                       name);
}

static uint64_t
peer_address(const struct relay_call *call)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        call->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

    return info != NULL ? ct_socket_peer_address(info->client_addr) : 0;
}

bool
relay_body_is_expected(const struct relay_call *call)
{
    return call->info.body_chunked || call->info.body_bytes > 0;
}

void
relay_body_read_size(struct relay_call *call)
{
    uint32_t max_bytes = call->io->limits.body_bytes;
    const char *length = request_header(call, MHD_HTTP_HEADER_CONTENT_LENGTH);
    guint64 bytes = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;

    call->info.body_chunked =
        request_header(call, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL;
    call->too_large = bytes > max_bytes;
    call->info.body_bytes =
        call->info.body_chunked ? max_bytes : (uint32_t)MIN(bytes, max_bytes);
    call->info.peer = peer_address(call);
}

static void
post_progress(struct relay_call *call, bool blocked)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_BODY_PROGRESS};

    call->reported_bytes = call->message->body->len;
    event.u.body_progress.caller = relay_call_number(call);
    event.u.body_progress.bytes = call->message->body->len;
    event.u.body_progress.blocked = blocked;
    ct_loop_post(call->io->loop, &event);
}

/* Reports the bodies that have grown; stops when none is being read. */
static void
on_progress_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_relay_io *io = timer->data;
    struct relay_call *call;
    struct ct_handle handle;
    uint32_t cursor = 0;
    bool reading = false;

    (void)events;
    while ((call = ct_table_next(&io->calls, &cursor, &handle))) {
        if (!call->admitted || call->phase != RELAY_BODY) {
            continue;
        }
        reading = true;
        if (call->message->body->len != call->reported_bytes) {
            post_progress(call, false);
        }
    }
    if (!reading) {
        ev_timer_stop(ev, timer);
    }
}

void
relay_body_init(struct ct_relay_io *io)
{
    ev_timer_init(&io->progress_timer, on_progress_timer, 0,
                  PROGRESS_INTERVAL_MS / MS_PER_S);
    io->progress_timer.data = io;
}

void
relay_body_stop(struct ct_relay_io *io)
{
    ev_timer_stop(ct_loop_ev(io->loop), &io->progress_timer);
}

void
relay_body_request(struct relay_call *call)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_HEAD_ARRIVED};

    call->phase = RELAY_ADMISSION;
    relay_call_suspend(call);
    event.u.relay = call->info;
    call->posted = true;
    call->open = true;
    ct_loop_post(call->io->loop, &event);
}

/* Makes the buffer as large as the grant, so that it grows without a copy. */
static void
reserve_body(struct relay_message *message, guint bytes)
{
    GByteArray *larger = g_byte_array_sized_new(bytes);

    g_byte_array_append(larger, message->body->data, message->body->len);
    g_byte_array_unref(message->body);
    message->body = larger;
}

void
relay_body_grant(struct ct_relay_io *io, const struct ct_body_grant *grant)
{
    struct relay_call *call = relay_call_find(io, grant->caller);

    if (call == NULL ||
        (call->phase != RELAY_ADMISSION && call->phase != RELAY_BODY)) {
        return;
    }
    call->admitted = true;
    call->granted_bytes = grant->bytes;
    reserve_body(call->message, grant->bytes);
    if (!ev_is_active(&io->progress_timer)) {
        ev_timer_again(ct_loop_ev(io->loop), &io->progress_timer);
    }
    relay_call_resume(call);
}

/* Frees the body; what more of it arrives is discarded. */
static void
begin_discard(struct relay_call *call)
{
    call->phase = RELAY_DISCARDING;
    g_byte_array_unref(call->message->body);
    call->message->body = g_byte_array_new();
}

void
relay_body_reject(struct relay_call *call, enum ct_refusal reason)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_CALL_REJECTED};

    event.u.rejected.caller = relay_call_number(call);
    event.u.rejected.request_id = call->info.request_id;
    event.u.rejected.reason = reason;
    call->posted = true;
    call->open = true;
    ct_loop_post(call->io->loop, &event);
}

enum MHD_Result
relay_body_read(struct relay_call *call, const char *data, size_t *n)
{
    GByteArray *body = call->message->body;
    size_t taken;

    if (body->len + *n > call->io->limits.body_bytes) {
        *n = 0;
        begin_discard(call);
        relay_body_reject(call, CT_REFUSAL_TOO_LARGE);
        return MHD_YES;
    }
    taken = MIN(*n, call->granted_bytes - body->len);
    g_byte_array_append(body, (const guint8 *)data, (guint)taken);
    *n -= taken;
    if (*n > 0) {
        /* The library keeps the rest and reads no more while suspended. */
        relay_call_suspend(call);
        post_progress(call, true);
    }
    return MHD_YES;
}

/* libmicrohttpd then reads the end of the connection and closes it. */
static void
end_connection(struct relay_call *call)
{
    shutdown(connection_fd(call), SHUT_RDWR);
}

/*
 * Writes the refusal past libmicrohttpd, which takes no response while it
 * reads a body. Nothing else is being written, since the responses to earlier
 * requests of the connection are complete.
 */
static void
send_refusal(struct relay_call *call)
{
    struct ev_loop *ev = ct_loop_ev(call->io->loop);
    int fd = connection_fd(call);
    gsize n = call->refusal->len;

    call->refusal_sent = true;
    if (send(fd, call->refusal->str, n, MSG_NOSIGNAL | MSG_DONTWAIT) !=
            (ssize_t)n ||
        shutdown(fd, SHUT_WR) < 0) {
        end_connection(call);
        return;
    }
    ev_timer_set(&call->discard_timer, LINGER_MS / MS_PER_S, 0);
    ev_timer_start(ev, &call->discard_timer);
}

static void
on_discard_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct relay_call *call = timer->data;

    (void)ev;
    (void)events;
    if (call->refusal_sent) {
        end_connection(call);
        return;
    }
    send_refusal(call);
}

static GString *
make_refusal_text(uint32_t status, const struct relay_refusal *refusal)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text, "HTTP/1.1 %u %s\r\nConnection: close\r\nContent-Type: %s\r\n",
        status, MHD_get_reason_phrase_for(status), refusal->media_type);
    if (refusal->retry_name != NULL) {
        g_string_append_printf(text, "%s: %s\r\n", refusal->retry_name,
                               refusal->retry_value);
    }
    g_string_append_printf(text, "Content-Length: %zu\r\n\r\n%s",
                           refusal->body->len, refusal->body->str);
    return text;
}

/* Whether the caller waits for the response to its head before it sends. */
static bool
awaits_continue(const struct relay_call *call)
{
    const char *expect = request_header(call, MHD_HTTP_HEADER_EXPECT);

    return call->phase == RELAY_ADMISSION && !call->admitted &&
           expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0;
}

bool
relay_body_refuse(struct relay_call *call, uint32_t status,
                  const struct relay_refusal *refusal)
{
    bool is_short = !call->info.body_chunked && !call->too_large &&
                    call->info.body_bytes <= DISCARD_MAX_BYTES;

    if (call->phase == RELAY_WAITING) {
        return false;
    }
    if (awaits_continue(call)) {
        call->phase = RELAY_WAITING;
        return false;
    }
    call->repeats_head = call->phase == RELAY_ADMISSION;
    begin_discard(call);
    call->refusal = make_refusal_text(status, refusal);
    ev_timer_init(&call->discard_timer, on_discard_timer,
                  DISCARD_WAIT_MS / MS_PER_S, 0);
    call->discard_timer.data = call;
    if (is_short) {
        ev_timer_start(ct_loop_ev(call->io->loop), &call->discard_timer);
        return false;
    }
    send_refusal(call);
    relay_call_resume(call);
    return true;
}

void
relay_body_end_discard(struct relay_call *call)
{
    call->phase = RELAY_WAITING;
    if (call->refusal != NULL) {
        ev_timer_stop(ct_loop_ev(call->io->loop), &call->discard_timer);
    }
}

void
relay_body_clear(struct relay_call *call)
{
    if (call->refusal != NULL) {
        ev_timer_stop(ct_loop_ev(call->io->loop), &call->discard_timer);
        g_string_free(call->refusal, TRUE);
    }
}
