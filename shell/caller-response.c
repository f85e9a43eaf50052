#include <string.h>
#include <sys/socket.h>

#include "caller.h"
#include "refusal-body.h"
#include "host-response-body.h"

/* Buffer of a response of known size; a stream uses that of its connection. */
#define BLOCK_BYTES (16 * 1024)
#define STREAM_BLOCK_BYTES 1024
#define JSON "application/json"
#define EVENT_STREAM "text/event-stream"
#define RESPONSES_PATH "/v1/answers/"

/* Whether the caller sent a further request on its connection. */
static bool
has_more_input(const struct ct_caller *caller)
{
    return caller->connection != NULL &&
           ct_input_meter_has_more(
               &ct_caller_connection_of(caller->connection)->meter,
               caller->connection);
}

/* Sets the response, which the access handler queues after the resume. */
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
    if (caller->callers->draining && !has_more_input(caller)) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    ct_caller_resume(caller);
}

/* Makes a response from the body, which it takes ownership of. */
static struct MHD_Response *
make_response(GString *body, const char *media_type)
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

/*
 * Writes a refusal directly to the socket and shuts the socket down, which
 * libmicrohttpd sees as a closed connection.
 */
static void
write_raw_refusal(struct ct_caller *caller,
                  const struct ct_refuse_effect *refuse)
{
    GString *body = g_string_new(NULL);
    GString *text = g_string_new(NULL);
    bool has_connection = caller->connection != NULL;

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
    /* Otherwise libmicrohttpd ends the request, which removes it. */
    if (!has_connection) {
        ct_caller_remove(caller);
    }
}

static void
write_refusal(struct ct_caller *caller, const struct ct_refuse_effect *refuse)
{
    GString *body = g_string_new(NULL);
    struct MHD_Response *response;

    caller->open = false;
    ct_response_store_drop_body(caller->callers->responses,
                                ct_caller_number(caller));
    if (caller->phase == CT_CALLER_RAW) {
        g_string_free(body, TRUE);
        write_raw_refusal(caller, refuse);
        return;
    }
    ct_refusal_body(refuse->reason, refuse->run_state, &caller->request_id,
                    refuse->retry_after_ms, body);
    response = make_response(body, JSON);
    MHD_add_response_header(response, "X-Refusal",
                            ct_refusal_text(refuse->reason));
    MHD_add_response_header(response, "X-Run-State",
                            ct_run_state_text(refuse->run_state));
    add_retry_after(response, refuse->retry_after_ms);
    set_response(caller, (uint32_t)ct_refusal_status(refuse->reason),
                 response);
}

/* Reads the final event of an aborted stream, then ends it with an error. */
static ssize_t
read_final_event(struct ct_caller *caller, char *out, size_t max)
{
    size_t n;

    if (caller->complete) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (caller->final_event == NULL) {
        caller->final_event = g_string_new("\n\n");
        ct_refusal_stream_event(caller->reason, CT_MAY_HAVE_RUN,
                                &caller->request_id, 0, caller->final_event);
    }
    n = MIN(caller->final_event->len - caller->final_event_written, max);
    if (n == 0) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    memcpy(out, caller->final_event->str + caller->final_event_written, n);
    caller->final_event_written += (uint32_t)n;
    return (ssize_t)n;
}

static ssize_t
read_response(void *arg, uint64_t position, char *out, size_t max)
{
    struct ct_caller *caller = arg;
    uint64_t offset = caller->start_offset + position;
    uint32_t n;

    if (caller->disconnected) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (offset < caller->end_offset) {
        n = ct_response_store_read(
            caller->callers->responses, caller->reader, offset, out,
            (uint32_t)MIN(max, caller->end_offset - offset));
        return n > 0 ? (ssize_t)n : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (caller->ended) {
        return read_final_event(caller, out, max);
    }
    ct_caller_suspend(caller);
    return 0;
}

static void
start_response(struct ct_caller *caller, uint32_t status, uint64_t size)
{
    const char *type = ct_response_store_media_type(caller->callers->responses,
                                                    caller->reader);
    struct MHD_Response *response = MHD_create_response_from_callback(
        size, caller->stream ? STREAM_BLOCK_BYTES : BLOCK_BYTES, read_response,
        caller, NULL);

    if (*type == '\0') {
        type = caller->stream ? EVENT_STREAM : JSON;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    set_response(caller, status, response);
}

/* Starts a stream now; any other response is started by write_end(). */
static void
write_head(struct ct_caller *caller, const struct ct_write_effect *write)
{
    caller->status = write->status;
    caller->stream = write->stream;
    caller->request_id = write->request_id;
    caller->reader = ct_response_store_open_reader(caller->callers->responses,
                                                   write->request);
    if (caller->stream) {
        start_response(caller, write->status, MHD_SIZE_UNKNOWN);
    }
}

static void
write_data(struct ct_caller *caller, const struct ct_write_effect *write)
{
    if (caller->end_offset == 0) {
        caller->start_offset = write->offset;
    }
    caller->end_offset = MAX(caller->end_offset, write->offset + write->bytes);
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
    caller->complete = write->complete;
    caller->reason = write->reason;
    ct_response_store_drop_body(caller->callers->responses,
                                ct_caller_number(caller));
    if (caller->stream) {
        ct_caller_resume(caller);
    }
    else if (write->complete) {
        start_response(caller, caller->status,
                       caller->end_offset - caller->start_offset);
    }
    else {
        write_refusal(caller, &refusal);
    }
}

static void
write_addresses(struct ct_caller *caller, const struct ct_effect *effect)
{
    GString *body = g_string_new(NULL);

    caller->open = false;
    ct_addresses_body(effect->u.addresses.lifetime_ms, effect->rows, body);
    set_response(caller, MHD_HTTP_OK, make_response(body, JSON));
}

static void
write_redirect(struct ct_caller *caller,
               const struct ct_redirect_effect *redirect)
{
    struct MHD_Response *response = make_response(g_string_new("{}"), JSON);
    char *location = g_strdup_printf(
        "http://%s" RESPONSES_PATH "%s?offset=%" G_GUINT64_FORMAT,
        redirect->address.text, redirect->request_id.text, redirect->offset);

    caller->open = false;
    MHD_add_response_header(response, MHD_HTTP_HEADER_LOCATION, location);
    g_free(location);
    set_response(caller, MHD_HTTP_TEMPORARY_REDIRECT, response);
}

/* Returns the number of the request to which the effect responds. */
static uint64_t
get_caller_number(const struct ct_effect *effect)
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
    caller = ct_caller_find(callers, get_caller_number(effect));
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
        write_refusal(caller, &effect->u.refuse);
        break;
    case CT_EFFECT_REPLY_ADDRESSES:
        write_addresses(caller, effect);
        break;
    default:
        write_redirect(caller, &effect->u.redirect);
        break;
    }
    return true;
}
