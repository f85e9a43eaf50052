#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "relay-call.h"
#include "sse-split.h"

#define FIRST_FINAL_STATUS 200
#define FIRST_FAILED_STATUS 300
/* A response that exceeds these limits is aborted. */
#define RESPONSE_MAX_BYTES (16 * 1024 * 1024)
#define FAILURE_MAX_BYTES (1024 * 1024)
/* The same for what a stream sends between the ends of two events. */
#define EVENT_MAX_BYTES (256 * 1024)
/*
 * A buffer that held so much is freed when it is empty: the next bytes may be
 * far away if the caller does not read.
 */
#define FREE_MIN_BYTES (4 * 1024)
/* Growth of a response after which the reducer is told what is held. */
#define HELD_STEP_BYTES (64 * 1024)

struct relay_attempt *
relay_attempt_find(const struct ct_relay_io *io, struct ct_handle handle)
{
    return g_hash_table_lookup(io->by_handle, &handle);
}

uint32_t
relay_attempt_status(const struct relay_attempt *attempt)
{
    return attempt->head.status;
}

const GPtrArray *
relay_attempt_lines(const struct relay_attempt *attempt)
{
    return attempt->lines;
}

void
relay_attempt_move_bytes(struct relay_attempt *attempt, guint n,
                         GByteArray *out)
{
    n = MIN(n, attempt->received->len);
    attempt->posted_bytes -= MIN(n, attempt->posted_bytes);
    g_byte_array_append(out, attempt->received->data, n);
    if (n == attempt->received->len && n >= FREE_MIN_BYTES) {
        g_byte_array_unref(attempt->received);
        attempt->received = g_byte_array_new();
        return;
    }
    g_byte_array_remove_range(attempt->received, 0, n);
}

GByteArray *
relay_attempt_take_bytes(struct relay_attempt *attempt)
{
    GByteArray *bytes = attempt->received;

    attempt->received = g_byte_array_new();
    attempt->posted_bytes = 0;
    return bytes;
}

void
relay_attempt_continue(struct relay_attempt *attempt)
{
    ct_http_continue(&attempt->transfer);
}

void
relay_attempt_free(struct relay_attempt *attempt)
{
    struct ct_relay_io *io = attempt->io;

    ct_transfer_clear(&attempt->transfer);
    relay_message_unref(attempt->message);
    g_ptr_array_unref(attempt->lines);
    g_byte_array_unref(attempt->received);
    g_hash_table_remove(io->by_handle, &attempt->start.attempt);
    ct_table_unref(&io->attempts, attempt->row);
}

static void
post_progress(struct relay_attempt *attempt, struct ct_event *event)
{
    event->u.progress.attempt = attempt->start.attempt;
    ct_loop_post(attempt->io->loop, event);
}

static int
on_before_send(struct ct_transfer *transfer)
{
    struct relay_attempt *attempt = (struct relay_attempt *)transfer;
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_SENT};

    if (attempt->sent) {
        /* Sent at most once, even if libcurl would resend the request. */
        return CT_ERR_INVALID;
    }
    attempt->sent = true;
    post_progress(attempt, &event);
    return CT_OK;
}

static void
begin_head(struct relay_attempt *attempt, const char *line)
{
    const char *status = strchr(line, ' ');

    memset(&attempt->head, 0, sizeof(attempt->head));
    attempt->head.status = status ? (uint32_t)strtoul(status, NULL, 10) : 0;
    g_ptr_array_set_size(attempt->lines, 0);
}

static void
parse_header_line(struct relay_attempt *attempt, char *line)
{
    const struct ct_dialect *dialect = attempt->io->dialect;
    char *colon = strchr(line, ':');
    const char *name = line;
    const char *value;
    bool pass;

    if (colon == NULL) {
        return;
    }
    *colon = '\0';
    value = g_strstrip(colon + 1);
    pass = dialect->ops->response_header(dialect, &attempt->start, name, value,
                                         &attempt->head);
    if (pass) {
        g_ptr_array_add(attempt->lines, g_strconcat(name, ": ", value, NULL));
    }
}

/* The head of another request's response says nothing about this upstream. */
static void
post_head(struct relay_attempt *attempt)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_HEAD};

    if (attempt->head.id_matches) {
        event.u.progress.status = attempt->head.status;
        event.u.progress.notice = attempt->head.notice;
        post_progress(attempt, &event);
    }
}

static int
on_header(struct ct_transfer *transfer, const char *line, size_t n)
{
    struct relay_attempt *attempt = (struct relay_attempt *)transfer;
    char *copy;

    /* Trailers, which follow the body, are ignored. */
    if (attempt->head_complete) {
        return CT_OK;
    }
    copy = g_strchomp(g_strndup(line, n));
    if (g_str_has_prefix(copy, "HTTP/")) {
        begin_head(attempt, copy);
    }
    else if (copy[0] == '\0') {
        attempt->head_complete = attempt->head.status >= FIRST_FINAL_STATUS;
        if (attempt->head_complete) {
            post_head(attempt);
        }
    }
    else {
        parse_header_line(attempt, copy);
    }
    g_free(copy);
    return CT_OK;
}

static bool
is_success(const struct relay_attempt *attempt)
{
    return attempt->head.status >= FIRST_FINAL_STATUS &&
           attempt->head.status < FIRST_FAILED_STATUS;
}

/* Whether the bytes may be accepted as the response to this call. */
static bool
is_acceptable(const struct relay_attempt *attempt)
{
    return attempt->head_complete && attempt->head.id_matches &&
           (attempt->head.proven || !is_success(attempt));
}

/*
 * Returns how many bytes the attempt may hold that were not posted: those of a
 * stream are posted with the end of their event, others with the response.
 */
static size_t
max_unposted_bytes(const struct relay_attempt *attempt)
{
    if (!is_success(attempt)) {
        return FAILURE_MAX_BYTES;
    }
    return attempt->start.stream ? EVENT_MAX_BYTES : RESPONSE_MAX_BYTES;
}

/*
 * Whether more of a stream may be read. The part of an event that is not
 * complete does not count as unread: the caller can read nothing of it.
 */
static bool
takes_data(const struct ct_transfer *transfer)
{
    const struct relay_attempt *attempt =
        (const struct relay_attempt *)transfer;

    return !attempt->start.stream ||
           relay_response_has_room(attempt->io, attempt->start.caller,
                                   attempt->start.attempt,
                                   attempt->posted_bytes);
}

static int
on_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    struct relay_attempt *attempt = (struct relay_attempt *)transfer;
    size_t unposted = attempt->received->len - attempt->posted_bytes;

    if (!is_acceptable(attempt) ||
        unposted + n > max_unposted_bytes(attempt)) {
        return CT_ERR_INVALID;
    }
    g_byte_array_append(attempt->received, (const guint8 *)data, (guint)n);
    if (attempt->start.stream && is_success(attempt)) {
        ct_sse_split_push(&attempt->split, data, n);
    }
    return CT_OK;
}

/* Posts what the attempt holds, each time that it has grown by a step. */
static void
post_held(struct relay_attempt *attempt)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_HELD};

    if (attempt->received->len < attempt->held_bytes + HELD_STEP_BYTES) {
        return;
    }
    attempt->held_bytes = attempt->received->len;
    event.u.progress.bytes = attempt->received->len;
    post_progress(attempt, &event);
}

/*
 * Posts the number and bytes of the stream events that became complete since
 * the last call.
 */
static void
on_flush(struct ct_transfer *transfer)
{
    struct relay_attempt *attempt = (struct relay_attempt *)transfer;
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_DATA};
    const struct ct_sse_split *split = &attempt->split;

    post_held(attempt);
    if (split->events == attempt->posted_events) {
        return;
    }
    event.u.progress.events = split->events - attempt->posted_events;
    event.u.progress.bytes =
        (uint32_t)(split->complete_bytes - attempt->split_complete);
    event.u.progress.last_event = split->last_id;
    attempt->posted_events = split->events;
    attempt->split_complete = split->complete_bytes;
    attempt->posted_bytes += event.u.progress.bytes;
    post_progress(attempt, &event);
}

static enum ct_outcome
classify_outcome(const struct relay_attempt *attempt, CURLcode result)
{
    if (!attempt->sent) {
        return CT_OUTCOME_NOT_SENT;
    }
    /* A refusal of another request does not say that this one was not run. */
    if (attempt->head_complete && !attempt->head.id_matches) {
        return CT_OUTCOME_MISMATCH;
    }
    if (attempt->head_complete && attempt->head.declined) {
        return CT_OUTCOME_DECLINED;
    }
    if (result != CURLE_OK || !is_acceptable(attempt)) {
        return CT_OUTCOME_CONNECTION_LOST;
    }
    /* A stream that ends inside an event is truncated. */
    if (attempt->start.stream && is_success(attempt) &&
        attempt->received->len > attempt->posted_bytes) {
        return CT_OUTCOME_CONNECTION_LOST;
    }
    return CT_OUTCOME_COMPLETE;
}

/*
 * Whether the upstream, not this host, ended the response too early: a
 * response that is rejected is not a crash.
 */
static bool
is_closed_early(CURLcode result)
{
    return result == CURLE_OK || result == CURLE_RECV_ERROR ||
           result == CURLE_SEND_ERROR || result == CURLE_GOT_NOTHING ||
           result == CURLE_PARTIAL_FILE;
}

static void
on_done(struct ct_transfer *transfer, CURLcode result)
{
    struct relay_attempt *attempt = (struct relay_attempt *)transfer;
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_DONE};

    event.u.progress.outcome = classify_outcome(attempt, result);
    event.u.progress.closed_early =
        event.u.progress.outcome == CT_OUTCOME_CONNECTION_LOST &&
        is_closed_early(result);
    event.u.progress.status = attempt->head.status;
    event.u.progress.remaining_bytes =
        attempt->received->len - attempt->posted_bytes;
    post_progress(attempt, &event);
}

static int
add_headers(struct relay_attempt *attempt, ct_ms left_ms)
{
    const struct relay_message *message = attempt->message;
    struct ct_transfer *transfer = &attempt->transfer;
    const struct ct_dialect *dialect = attempt->io->dialect;
    int err = CT_OK;

    for (guint i = 0; i < message->lines->len && err == CT_OK; i++) {
        err = ct_transfer_add_header_line(
            transfer, g_ptr_array_index(message->lines, i));
    }
    /* Keep libcurl from adding headers that the caller did not send. */
    if (err == CT_OK && !message->has_accept) {
        err = ct_transfer_add_header(transfer, "Accept", "");
    }
    if (err == CT_OK && !message->has_media_type) {
        err = ct_transfer_add_header(transfer, "Content-Type", "");
    }
    if (err == CT_OK) {
        err = dialect->ops->attempt_headers(dialect, &attempt->start, left_ms,
                                            transfer);
    }
    return err;
}

static int
prepare_transfer(struct relay_attempt *attempt)
{
    static const struct ct_transfer_ops ops = {
        .before_send = on_before_send,
        .header = on_header,
        .takes_data = takes_data,
        .data = on_data,
        .flush = on_flush,
        .done = on_done,
    };
    const struct relay_message *message = attempt->message;
    struct ct_transfer *transfer = &attempt->transfer;
    ct_ms left_ms = attempt->start.deadline_ms -
                    ct_clock_steady_ms(ct_loop_clock(attempt->io->loop));
    int err = ct_transfer_init(transfer, attempt->io->http, &ops,
                               attempt->start.address.text, message->target);

    if (err < 0) {
        return err;
    }
    ct_transfer_set_request(transfer, message->method, message->body->data,
                            message->body->len);
    if (attempt->start.stream) {
        /* Its events are forwarded; only those not yet complete are kept. */
        ct_transfer_set_body_limit(transfer, SIZE_MAX);
    }
    ct_transfer_enable_keepalive(transfer);
    return add_headers(attempt, MAX(left_ms, 1));
}

static struct relay_attempt *
add_attempt(struct ct_relay_io *io, const struct ct_relay_start *start,
            const struct relay_call *call)
{
    struct relay_attempt *attempt;
    struct ct_handle row;

    if (ct_table_add(&io->attempts, &row) < 0) {
        return NULL;
    }
    attempt = ct_table_get(&io->attempts, row);
    attempt->io = io;
    attempt->row = row;
    attempt->start = *start;
    attempt->transfer.http = io->http;
    attempt->message = g_rc_box_acquire(call->message);
    attempt->lines = g_ptr_array_new_with_free_func(g_free);
    attempt->received = g_byte_array_new();
    g_hash_table_insert(io->by_handle, &attempt->start.attempt, attempt);
    return attempt;
}

void
relay_attempt_start(struct ct_relay_io *io, const struct ct_relay_start *start)
{
    const struct relay_call *call = relay_call_find(io, start->caller);
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_DONE};
    struct relay_attempt *attempt =
        call != NULL ? add_attempt(io, start, call) : NULL;

    if (attempt != NULL && prepare_transfer(attempt) == CT_OK &&
        ct_http_start(io->http, &attempt->transfer) == CT_OK) {
        return;
    }
    event.u.progress.attempt = start->attempt;
    event.u.progress.outcome = CT_OUTCOME_NOT_SENT;
    ct_loop_post(io->loop, &event);
}
