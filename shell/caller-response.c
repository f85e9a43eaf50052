#include <string.h>
#include <sys/socket.h>

#include "caller.h"
#include "refusal-body.h"
#include "reply-body.h"

/* Buffer of a response of known size; a stream uses its connection's. */
#define BLOCK_BYTES (16 * 1024)
#define STREAM_BLOCK_BYTES 1024
#define JSON "application/json"
#define EVENT_STREAM "text/event-stream"
#define ANSWERS_PATH "/v1/answers/"

/* The response is ready to be sent, by a handler that runs soon. */
static void
set_response(struct ct_caller *caller, uint32_t status,
             struct MHD_Response *response)
{
    if (caller->response != NULL) {
        MHD_destroy_response(caller->response);
    }
    caller->response = response;
    caller->status = status;
    MHD_add_response_header(response, "X-Request-Id", caller->request_id.text);
    if (caller->callers->draining) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    ct_caller_resume(caller);
}

/* A body made here; takes over the text. */
static struct MHD_Response *
text_response(GString *body, const char *media_type)
{
    gsize n = body->len;
    char *text = g_string_free(body, FALSE);
    struct MHD_Response *response =
        MHD_create_response_from_buffer(n, text, MHD_RESPMEM_MUST_COPY);

    g_free(text);
    if (response != NULL) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                                media_type);
    }
    return response;
}

static void
add_retry_after(struct MHD_Response *response, ct_ms retry_after_ms)
{
    char seconds[24];

    if (retry_after_ms <= 0) {
        return;
    }
    g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
               ct_retry_after_s(retry_after_ms));
    MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

/* Writes a refusal past libmicrohttpd, which then sees the closed socket. */
static void
refuse_raw(struct ct_caller *caller, const struct ct_refuse_effect *refuse)
{
    GString *body = g_string_new(NULL);
    GString *text = g_string_new(NULL);
    bool has_row = caller->connection != NULL;

    ct_refusal_body(refuse->reason, refuse->run_state, &caller->request_id,
                    refuse->retry_after_ms, body);
    g_string_printf(
        text,
        "HTTP/1.1 %d %s\r\nContent-Type: " JSON "\r\nX-Request-Id: %s\r\n"
        "X-Refusal: %s\r\nX-Run-State: %s\r\nContent-Length: %zu\r\n"
        "Connection: close\r\n\r\n%s",
        ct_refusal_status(refuse->reason),
        MHD_get_reason_phrase_for((unsigned)ct_refusal_status(refuse->reason)),
        caller->request_id.text, ct_refusal_text(refuse->reason),
        ct_run_state_text(refuse->run_state), body->len, body->str);
    (void)!send(caller->fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(caller->fd, SHUT_RDWR);
    g_string_free(body, TRUE);
    g_string_free(text, TRUE);
    /* Else libmicrohttpd ends the request. */
    if (!has_row) {
        ct_caller_remove(caller);
    }
}

static void
refuse(struct ct_caller *caller, const struct ct_refuse_effect *refuse)
{
    GString *body = g_string_new(NULL);
    struct MHD_Response *response;

    caller->open = false;
    ct_response_store_drop_body(caller->callers->answers,
                                ct_caller_number(caller));
    if (caller->phase == CT_CALLER_CUT) {
        g_string_free(body, TRUE);
        refuse_raw(caller, refuse);
        return;
    }
    ct_refusal_body(refuse->reason, refuse->run_state, &caller->request_id,
                    refuse->retry_after_ms, body);
    response = text_response(body, JSON);
    MHD_add_response_header(response, "X-Refusal",
                            ct_refusal_text(refuse->reason));
    MHD_add_response_header(response, "X-Run-State",
                            ct_run_state_text(refuse->run_state));
    add_retry_after(response, refuse->retry_after_ms);
    set_response(caller, (uint32_t)ct_refusal_status(refuse->reason),
                 response);
}

/* Part of the event that tells of a broken stream; then the hard end. */
static ssize_t
read_tail(struct ct_caller *caller, char *out, size_t max)
{
    size_t n;

    if (caller->whole) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (caller->tail == NULL) {
        caller->tail = g_string_new("\n\n");
        ct_refusal_stream_event(caller->reason, CT_MAY_HAVE_RUN,
                                &caller->request_id, 0, caller->tail);
    }
    n = MIN(caller->tail->len - caller->tail_written, max);
    if (n == 0) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    memcpy(out, caller->tail->str + caller->tail_written, n);
    caller->tail_written += (uint32_t)n;
    return (ssize_t)n;
}

static ssize_t
read_answer(void *arg, uint64_t position, char *out, size_t max)
{
    struct ct_caller *caller = arg;
    uint64_t offset = caller->start + position;
    uint32_t n;

    if (caller->gone) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (offset < caller->end) {
        n = ct_response_store_read(caller->callers->answers, caller->reader,
                                   offset, out,
                                   (uint32_t)MIN(max, caller->end - offset));
        return n > 0 ? (ssize_t)n : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (caller->ended) {
        return read_tail(caller, out, max);
    }
    ct_caller_suspend(caller);
    return 0;
}

static void
respond_with_answer(struct ct_caller *caller, uint32_t status, uint64_t size)
{
    const char *type =
        ct_response_store_type(caller->callers->answers, caller->reader);
    struct MHD_Response *response = MHD_create_response_from_callback(
        size, caller->stream ? STREAM_BLOCK_BYTES : BLOCK_BYTES, read_answer,
        caller, NULL);

    if (*type == '\0') {
        type = caller->stream ? EVENT_STREAM : JSON;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    set_response(caller, status, response);
}

/* A stream begins now; another answer once all of it is there. */
static void
write_head(struct ct_caller *caller, const struct ct_write_effect *write)
{
    caller->status = write->status;
    caller->stream = write->stream;
    caller->request_id = write->request_id;
    caller->reader =
        ct_response_store_open(caller->callers->answers, write->request);
    if (caller->stream) {
        respond_with_answer(caller, write->status, MHD_SIZE_UNKNOWN);
    }
}

static void
write_data(struct ct_caller *caller, const struct ct_write_effect *write)
{
    if (caller->end == 0) {
        caller->start = write->offset;
    }
    caller->end = MAX(caller->end, write->offset + write->bytes);
    if (caller->stream) {
        ct_caller_resume(caller);
    }
}

static void
write_end(struct ct_caller *caller, const struct ct_write_effect *write)
{
    struct ct_refuse_effect refusal = {
        .reason = write->reason,
        .run_state = CT_MAY_HAVE_RUN,
    };

    caller->open = false;
    caller->ended = true;
    caller->whole = write->whole;
    caller->reason = write->reason;
    ct_response_store_drop_body(caller->callers->answers,
                                ct_caller_number(caller));
    if (caller->stream) {
        ct_caller_resume(caller);
    }
    else if (write->whole) {
        respond_with_answer(caller, caller->status,
                            caller->end - caller->start);
    }
    else {
        refuse(caller, &refusal);
    }
}

static void
reply_addresses(struct ct_caller *caller, const struct ct_effect *effect)
{
    GString *body = g_string_new(NULL);

    caller->open = false;
    ct_addresses_body(effect->u.addresses.lifetime_ms, effect->rows, body);
    set_response(caller, MHD_HTTP_OK, text_response(body, JSON));
}

static void
redirect(struct ct_caller *caller, const struct ct_redirect_effect *redirect)
{
    struct MHD_Response *response = text_response(g_string_new("{}"), JSON);
    char *location = g_strdup_printf(
        "http://%s" ANSWERS_PATH "%s?offset=%" G_GUINT64_FORMAT,
        redirect->address.text, redirect->request_id.text, redirect->offset);

    caller->open = false;
    MHD_add_response_header(response, MHD_HTTP_HEADER_LOCATION, location);
    g_free(location);
    set_response(caller, MHD_HTTP_TEMPORARY_REDIRECT, response);
}

/* The caller's number that each effect of this port names. */
static uint64_t
number_of(const struct ct_effect *effect)
{
    switch (effect->type) {
    case CT_EFFECT_REFUSE_REQUEST:
        return effect->u.refuse.caller;
    case CT_EFFECT_REPLY_ADDRESSES:
        return effect->u.addresses.caller;
    case CT_EFFECT_REDIRECT:
        return effect->u.redirect.caller;
    default:
        return effect->u.write.caller;
    }
}

bool
ct_caller_run(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_callers *callers = (struct ct_callers *)executor;
    struct ct_caller *caller;

    switch (effect->type) {
    case CT_EFFECT_WRITE_HEAD:
    case CT_EFFECT_WRITE_DATA:
    case CT_EFFECT_WRITE_END:
    case CT_EFFECT_REFUSE_REQUEST:
    case CT_EFFECT_REPLY_ADDRESSES:
    case CT_EFFECT_REDIRECT:
        break;
    default:
        return false;
    }
    caller = ct_caller_find(callers, number_of(effect));
    if (caller == NULL || !caller->open) {
        return true;
    }
    switch (effect->type) {
    case CT_EFFECT_WRITE_HEAD:
        write_head(caller, &effect->u.write);
        break;
    case CT_EFFECT_WRITE_DATA:
        write_data(caller, &effect->u.write);
        break;
    case CT_EFFECT_WRITE_END:
        write_end(caller, &effect->u.write);
        break;
    case CT_EFFECT_REFUSE_REQUEST:
        refuse(caller, &effect->u.refuse);
        break;
    case CT_EFFECT_REPLY_ADDRESSES:
        reply_addresses(caller, effect);
        break;
    default:
        redirect(caller, &effect->u.redirect);
        break;
    }
    return true;
}
