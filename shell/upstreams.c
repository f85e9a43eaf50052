#include "upstreams.h"

#include <string.h>

#include "attempt.h"
#include "cancel-request.h"
#include "error.h"
#include "index.h"

/* At most this many stored bytes are scanned again for a resumed stream. */
#define RESCAN_BYTES (64 * 1024)
/* Usage figures are not read from a plain JSON response larger than this. */
#define USAGE_BODY_MAX_BYTES (1024 * 1024)
#define MS_PER_S 1000
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503
#define FIRST_SERVER_ERROR 500

struct ct_upstreams {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_http *http;
    struct ct_response_store *responses;
    struct ct_table attempts;
    /* Maps the reducer's handle to struct ct_attempt. */
    GHashTable *by_handle;
    /* Maps a pool to the value of its Authorization header. */
    GHashTable *credentials;
    struct ct_cancel_requests *cancel_requests;
};

static void
post_event(struct ct_attempt *attempt, struct ct_event *event)
{
    event->u.attempt.attempt = attempt->effect.attempt;
    ct_loop_post(attempt->upstreams->loop, event);
}

/* Frees the attempt's row and its resources; posts no event. */
static void
remove_attempt(struct ct_attempt *attempt)
{
    struct ct_upstreams *up = attempt->upstreams;

    ev_timer_stop(ct_loop_ev(up->loop), &attempt->timeout);
    ct_transfer_clear(&attempt->transfer);
    ct_sse_scan_free(&attempt->scan);
    ct_response_store_end_write(up->responses, attempt->effect.request,
                                attempt->effect.attempt);
    if (attempt->body != NULL) {
        ct_stored_call_unref(attempt->body);
    }
    g_hash_table_remove(up->by_handle, &attempt->effect.attempt);
    ct_table_unref(&up->attempts, attempt->row);
}

/* Reads the usage figures of a complete response that is no event stream. */
static void
read_usage(struct ct_attempt *attempt)
{
    struct ct_response_store *responses = attempt->upstreams->responses;
    struct ct_handle reader;
    char *json;
    uint32_t n;

    if (attempt->effect.kind != CT_CALL_CHAT || attempt->head.event_stream ||
        attempt->offset > USAGE_BODY_MAX_BYTES) {
        return;
    }
    reader = ct_response_store_open_reader(responses, attempt->effect.request);
    json = g_malloc(attempt->offset + 1);
    n = ct_response_store_read(responses, reader, 0, json,
                               (uint32_t)attempt->offset);
    ct_response_usage_parse(json, n, &attempt->scan.usage);
    g_free(json);
    ct_response_store_close_reader(responses, reader);
}

static void
end_attempt(struct ct_attempt *attempt, enum ct_outcome outcome)
{
    struct ct_loop *loop = attempt->upstreams->loop;
    struct ct_event event = {.type = CT_EVENT_ATTEMPT_DONE};

    if (outcome == CT_OUTCOME_COMPLETE) {
        read_usage(attempt);
    }
    event.u.attempt.attempt = attempt->effect.attempt;
    event.u.attempt.status = attempt->head.status;
    event.u.attempt.outcome = outcome;
    event.u.attempt.prompt_tokens = attempt->scan.usage.prompt_tokens;
    event.u.attempt.total_tokens = attempt->scan.usage.completion_tokens;
    remove_attempt(attempt);
    ct_loop_post(loop, &event);
}

/*
 * Feeds the scanner the last bytes that an earlier attempt stored, because the
 * new attempt may begin inside a line.
 */
static void
rescan_stored_bytes(struct ct_attempt *attempt)
{
    struct ct_response_store *responses = attempt->upstreams->responses;
    uint64_t from =
        attempt->offset > RESCAN_BYTES ? attempt->offset - RESCAN_BYTES : 0;
    struct ct_handle reader =
        ct_response_store_open_reader(responses, attempt->effect.request);
    char *stored = g_malloc(RESCAN_BYTES);
    uint32_t n = ct_response_store_read(responses, reader, from, stored,
                                        (uint32_t)(attempt->offset - from));

    ct_sse_scan_push(&attempt->scan, stored, n);
    g_free(stored);
    ct_response_store_close_reader(responses, reader);
}

/* Makes the attempt the writer of the response. */
static int
begin_response(struct ct_attempt *attempt)
{
    int err;

    if (attempt->is_writer) {
        return CT_OK;
    }
    err = ct_response_store_begin_write(
        attempt->upstreams->responses, attempt->effect.request,
        attempt->effect.attempt, attempt->effect.resume_offset);
    if (err < 0) {
        /* Another attempt of the request is the writer. */
        attempt->early_outcome = CT_OUTCOME_CANCELLED;
        return err;
    }
    attempt->is_writer = true;
    if (attempt->head.event_stream && attempt->offset > 0) {
        rescan_stored_bytes(attempt);
    }
    return CT_OK;
}

static int
on_before_send(struct ct_transfer *transfer)
{
    struct ct_attempt *attempt = (struct ct_attempt *)transfer;
    const struct ct_clock *clock = ct_loop_clock(attempt->upstreams->loop);
    struct ct_event event = {.type = CT_EVENT_ATTEMPT_SENT};

    if (ct_clock_steady_ms(clock) >= attempt->effect.not_after_ms) {
        /*
         * Not if libcurl resends the request on a reused connection: the first
         * send may have run.
         */
        if (!attempt->sent) {
            attempt->early_outcome = CT_OUTCOME_EXPIRED;
        }
        return CT_ERR_TIMEOUT;
    }
    if (!attempt->sent) {
        attempt->sent = true;
        post_event(attempt, &event);
    }
    return CT_OK;
}

static void
restart_timeout(struct ct_attempt *attempt, ct_ms timeout_ms)
{
    struct ev_loop *ev = ct_loop_ev(attempt->upstreams->loop);

    attempt->timeout.repeat = (double)MAX(timeout_ms, 1) / MS_PER_S;
    ev_now_update(ev);
    ev_timer_again(ev, &attempt->timeout);
}

/*
 * Only events are progress of a stream; a response of another kind must be
 * complete within its total time, however its bytes are spread over it.
 */
static void
restart_timeout_after_head(struct ct_attempt *attempt)
{
    const struct ct_clock *clock = ct_loop_clock(attempt->upstreams->loop);
    ct_ms elapsed_ms = ct_clock_steady_ms(clock) - attempt->started_ms;

    if (attempt->head.event_stream) {
        restart_timeout(attempt, attempt->effect.gap_timeout_ms);
        return;
    }
    restart_timeout(attempt, attempt->effect.total_timeout_ms - elapsed_ms);
}

/* Whether the response is something else than the rest of a stream. */
static bool
breaks_resumed_stream(const struct ct_attempt *attempt)
{
    return attempt->effect.resume_offset > 0 &&
           (attempt->head.status != STATUS_OK || !attempt->head.event_stream);
}

static int
on_head_end(struct ct_attempt *attempt)
{
    struct ct_event event = {.type = CT_EVENT_ATTEMPT_HEAD};
    const struct ct_response_head *head = &attempt->head;

    if (!head->id_matches) {
        attempt->early_outcome = CT_OUTCOME_MISMATCH;
        return CT_ERR_INVALID;
    }
    if (head->status >= FIRST_SERVER_ERROR) {
        attempt->early_outcome =
            head->status == STATUS_UNAVAILABLE && head->declined
                ? CT_OUTCOME_DECLINED
                : CT_OUTCOME_FAILED;
        return CT_OK;
    }
    if (breaks_resumed_stream(attempt)) {
        attempt->early_outcome = CT_OUTCOME_FAILED;
        return CT_OK;
    }
    restart_timeout_after_head(attempt);
    ct_response_store_set_media_type(attempt->upstreams->responses,
                                     attempt->effect.request,
                                     head->media_type);
    event.u.attempt.status = head->status;
    post_event(attempt, &event);
    return CT_OK;
}

static int
on_header(struct ct_transfer *transfer, const char *line, size_t n)
{
    struct ct_attempt *attempt = (struct ct_attempt *)transfer;

    /* Trailers, which follow the body, are ignored. */
    if (attempt->head_complete ||
        !ct_response_head_parse_line(&attempt->head, line, n,
                                     &attempt->effect.request_id)) {
        return CT_OK;
    }
    attempt->head_complete = true;
    return on_head_end(attempt);
}

static int
on_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    struct ct_attempt *attempt = (struct ct_attempt *)transfer;
    int err;

    if (attempt->early_outcome != 0) {
        return CT_OK;
    }
    err = begin_response(attempt);
    if (err == CT_OK) {
        err = ct_response_store_append(
            attempt->upstreams->responses, attempt->effect.request,
            attempt->effect.attempt, data, (uint32_t)n);
    }
    if (err < 0) {
        return err;
    }
    if (attempt->head.event_stream) {
        uint64_t events = attempt->scan.events;

        attempt->unposted_tokens += ct_sse_scan_push(&attempt->scan, data, n);
        if (attempt->scan.events > events) {
            restart_timeout(attempt, attempt->effect.gap_timeout_ms);
        }
    }
    attempt->unposted_bytes += (uint32_t)n;
    return CT_OK;
}

/* Posts the bytes stored since the last call, as one event. */
static void
on_flush(struct ct_transfer *transfer)
{
    struct ct_attempt *attempt = (struct ct_attempt *)transfer;
    struct ct_event event = {.type = CT_EVENT_ATTEMPT_DATA};

    if (attempt->unposted_bytes == 0) {
        return;
    }
    event.u.attempt.offset = attempt->offset;
    event.u.attempt.bytes = attempt->unposted_bytes;
    event.u.attempt.tokens = attempt->unposted_tokens;
    attempt->offset += attempt->unposted_bytes;
    attempt->unposted_bytes = 0;
    attempt->unposted_tokens = 0;
    post_event(attempt, &event);
}

static enum ct_outcome
classify_outcome(struct ct_attempt *attempt, CURLcode result)
{
    if (attempt->early_outcome != 0) {
        return attempt->early_outcome;
    }
    if (!attempt->sent) {
        return CT_OUTCOME_NOT_SENT;
    }
    if (result != CURLE_OK || !attempt->head_complete ||
        !attempt->head.framed) {
        return CT_OUTCOME_CONNECTION_LOST;
    }
    /* A response without a body has no writer yet. */
    if (begin_response(attempt) < 0) {
        return attempt->early_outcome;
    }
    if (attempt->head.event_stream && !attempt->scan.done) {
        return CT_OUTCOME_CONNECTION_LOST;
    }
    return CT_OUTCOME_COMPLETE;
}

static void
on_done(struct ct_transfer *transfer, CURLcode result)
{
    struct ct_attempt *attempt = (struct ct_attempt *)transfer;

    end_attempt(attempt, classify_outcome(attempt, result));
}

static void
on_timeout(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_attempt *attempt = timer->data;

    (void)ev;
    (void)events;
    end_attempt(attempt,
                attempt->sent ? CT_OUTCOME_GAP_TIMEOUT : CT_OUTCOME_NOT_SENT);
}

/* Returns the value of the Authorization header, or NULL. */
static const char *
find_credential(const struct ct_upstreams *up, const struct ct_name *pool)
{
    return g_hash_table_lookup(up->credentials, pool->text);
}

static void
cancel_attempt(struct ct_upstreams *up, struct ct_handle handle)
{
    struct ct_attempt *attempt = g_hash_table_lookup(up->by_handle, &handle);

    if (attempt == NULL) {
        return;
    }
    if (attempt->sent && attempt->effect.kind == CT_CALL_CHAT) {
        ct_cancel_requests_send(up->cancel_requests, &attempt->effect,
                                find_credential(up, &attempt->effect.pool));
    }
    end_attempt(attempt, CT_OUTCOME_CANCELLED);
}

/* Adds the headers of the allow-list; an upstream receives no others. */
static int
add_headers(struct ct_attempt *attempt)
{
    const struct ct_attempt_effect *effect = &attempt->effect;
    const struct ct_stored_call *body = attempt->body;
    struct ct_transfer *transfer = &attempt->transfer;
    const char *credential =
        find_credential(attempt->upstreams, &effect->pool);
    char number[24];
    int err;

    err = ct_transfer_add_header(transfer, "X-Request-Id",
                                 effect->request_id.text);
    if (effect->kind == CT_CALL_CHAT) {
        /* The body was parsed as JSON, whatever media type the caller gave. */
        err |= ct_transfer_add_header(transfer, "Content-Type",
                                      "application/json");
    }
    else if (body->media_type[0] != '\0') {
        err |=
            ct_transfer_add_header(transfer, "Content-Type", body->media_type);
    }
    if (body->idempotency_key.text[0] != '\0') {
        err |= ct_transfer_add_header(transfer, "Idempotency-Key",
                                      body->idempotency_key.text);
    }
    if (effect->kind == CT_CALL_CHAT) {
        g_snprintf(number, sizeof(number), "%u", effect->priority);
        err |= ct_transfer_add_header(transfer, "X-Priority", number);
    }
    if (effect->resume_offset > 0) {
        g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
                   effect->resume_offset);
        err |= ct_transfer_add_header(transfer, "X-Resume-From", number);
    }
    if (credential != NULL) {
        err |= ct_transfer_add_header(transfer, "Authorization", credential);
    }
    return err < 0 ? CT_ERR_NO_MEMORY : CT_OK;
}

static int
prepare_transfer(struct ct_attempt *attempt)
{
    static const struct ct_transfer_ops ops = {
        .before_send = on_before_send,
        .header = on_header,
        .data = on_data,
        .flush = on_flush,
        .done = on_done,
    };
    const struct ct_stored_call *body = attempt->body;
    char *target;
    size_t n = 0;
    const void *bytes;
    int err;

    if (body == NULL) {
        return CT_ERR_NOT_FOUND;
    }
    target = g_strconcat(attempt->effect.path.text, body->query ? "?" : NULL,
                         body->query, NULL);
    err = ct_transfer_init(&attempt->transfer, attempt->upstreams->http, &ops,
                           attempt->effect.address.text, target);
    g_free(target);
    if (err < 0) {
        return err;
    }
    bytes = body->bytes ? g_bytes_get_data(body->bytes, &n) : NULL;
    ct_transfer_set_request(&attempt->transfer, body->method, bytes, n);
    if (!attempt->effect.at_most_once) {
        ct_transfer_share_connection(&attempt->transfer);
    }
    return add_headers(attempt);
}

static struct ct_attempt *
add_attempt(struct ct_upstreams *up, const struct ct_attempt_effect *effect)
{
    struct ct_attempt *attempt;
    struct ct_handle row;

    if (ct_table_add(&up->attempts, &row) < 0) {
        return NULL;
    }
    attempt = ct_table_get(&up->attempts, row);
    attempt->upstreams = up;
    attempt->row = row;
    attempt->effect = *effect;
    attempt->offset = effect->resume_offset;
    attempt->transfer.http = up->http;
    attempt->body = ct_response_store_bind_body(up->responses, effect->request,
                                                effect->caller);
    if (attempt->body != NULL) {
        g_rc_box_acquire(attempt->body);
    }
    ct_sse_scan_init(&attempt->scan);
    attempt->started_ms = ct_clock_steady_ms(ct_loop_clock(up->loop));
    ev_timer_init(&attempt->timeout, on_timeout, 0, 0);
    attempt->timeout.data = attempt;
    g_hash_table_insert(up->by_handle, &attempt->effect.attempt, attempt);
    return attempt;
}

static void
start_attempt(struct ct_upstreams *up, const struct ct_attempt_effect *effect)
{
    struct ct_attempt *attempt = add_attempt(up, effect);

    if (attempt == NULL) {
        struct ct_event event = {.type = CT_EVENT_ATTEMPT_DONE};

        event.u.attempt.attempt = effect->attempt;
        event.u.attempt.outcome = CT_OUTCOME_NOT_SENT;
        ct_loop_post(up->loop, &event);
        return;
    }
    if (prepare_transfer(attempt) < 0 ||
        ct_http_start(up->http, &attempt->transfer) < 0) {
        end_attempt(attempt, CT_OUTCOME_NOT_SENT);
        return;
    }
    restart_timeout(attempt, effect->gap_timeout_ms);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_upstreams *up = (struct ct_upstreams *)executor;

    switch (effect->type) {
    case CT_EFFECT_START_ATTEMPT:
        start_attempt(up, &effect->u.attempt);
        return true;
    case CT_EFFECT_CANCEL_ATTEMPT:
        cancel_attempt(up, effect->u.attempt.attempt);
        return true;
    default:
        return false;
    }
}

static void
free_upstreams(struct ct_executor *executor)
{
    struct ct_upstreams *up = (struct ct_upstreams *)executor;
    struct ct_attempt *attempt;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((attempt = ct_table_next(&up->attempts, &cursor, &handle))) {
        remove_attempt(attempt);
    }
    ct_cancel_requests_free(up->cancel_requests);
    g_hash_table_destroy(up->by_handle);
    g_hash_table_destroy(up->credentials);
    ct_table_free(&up->attempts);
    g_free(up);
}

struct ct_upstreams *
ct_upstreams_new(struct ct_loop *loop, struct ct_http *http,
                 struct ct_response_store *responses)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_upstreams,
    };
    struct ct_upstreams *up = g_new0(struct ct_upstreams, 1);

    up->executor.ops = &ops;
    up->loop = loop;
    up->http = http;
    up->responses = responses;
    ct_table_init(&up->attempts, sizeof(struct ct_attempt), 0, NULL);
    up->by_handle = g_hash_table_new(ct_handle_hash, ct_handle_equal);
    up->credentials =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    up->cancel_requests = ct_cancel_requests_new(http);
    return up;
}

struct ct_executor *
ct_upstreams_executor(struct ct_upstreams *upstreams)
{
    return &upstreams->executor;
}

void
ct_upstreams_set_credential(struct ct_upstreams *upstreams,
                            const struct ct_name *pool, const char *secret)
{
    g_hash_table_replace(upstreams->credentials, g_strdup(pool->text),
                         g_strconcat("Bearer ", secret, NULL));
}

uint32_t
ct_upstreams_attempt_count(const struct ct_upstreams *upstreams)
{
    return upstreams->attempts.live;
}
