#include "operators.h"

#include <string.h>

#include "error.h"
#include "http-server.h"
#include "json-text.h"
#include "host-response-body.h"
#include "state-body.h"

#define CONNECTIONS_MAX 64
#define IDLE_TIMEOUT_S 30
#define CONNECTION_BYTES (16 * 1024)
#define BODY_MAX_BYTES 4096
#define JSON "application/json"
#define TEXT "text/plain; charset=utf-8"
#define EXPLAIN_PATH "/explain/"

struct ct_operators {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_operators_options options;
    struct ct_http_server server;
    struct ct_table requests;
};

struct operator_request {
    struct ct_handle handle;
    struct MHD_Connection *connection;
    GString *body;
    /* Waits for an effect that responds. */
    bool suspended;
    struct MHD_Response *response;
    uint32_t status;
};

static uint64_t
get_request_number(const struct operator_request *request)
{
    return (uint64_t)request->handle.generation << 32 | request->handle.index;
}

static struct operator_request *
find_request(const struct ct_operators *op, uint64_t number)
{
    struct ct_handle handle = {
        .index = (uint32_t)number,
        .generation = (uint32_t)(number >> 32),
    };

    return ct_table_get(&op->requests, handle);
}

/* Sets the response; takes ownership of the text. */
static void
set_response(struct operator_request *request, uint32_t status,
             const char *media_type, GString *text)
{
    request->response = MHD_create_response_from_buffer(text->len, text->str,
                                                        MHD_RESPMEM_MUST_COPY);
    request->status = status;
    MHD_add_response_header(request->response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            media_type);
    g_string_free(text, TRUE);
}

static void
set_error_response(struct operator_request *request, uint32_t status,
                   const char *type)
{
    GString *text = g_string_new(NULL);

    g_string_printf(text, "{\"error\":\"%s\"}", type);
    set_response(request, status, JSON, text);
}

static ct_ms
now_ms(const struct ct_operators *op)
{
    return ct_clock_steady_ms(ct_loop_clock(op->loop));
}

static void
respond_with_counters(struct ct_operators *op,
                      struct operator_request *request)
{
    GString *text = g_string_new(NULL);

    ct_counters_text(ct_state_counters(op->options.state), text);
    if (op->options.append_counters != NULL) {
        op->options.append_counters(op->options.arg, text);
    }
    set_response(request, MHD_HTTP_OK, TEXT, text);
}

static void
respond_with_state(struct ct_operators *op, struct operator_request *request)
{
    GString *text = g_string_new(NULL);

    ct_state_body(op->options.state, &op->options.host, now_ms(op), text);
    set_response(request, MHD_HTTP_OK, JSON, text);
}

static void
respond_with_health(struct ct_operators *op, struct operator_request *request)
{
    enum ct_health health = ct_state_health(op->options.state, now_ms(op));
    GString *text = g_string_new(NULL);

    g_string_printf(text, "{\"state\":\"%s\"}", ct_health_text(health));
    set_response(request,
                 health == CT_HEALTH_READY ? MHD_HTTP_OK
                                           : MHD_HTTP_SERVICE_UNAVAILABLE,
                 JSON, text);
}

/* Suspends the request and posts the event, whose effect responds. */
static void
post_request(struct ct_operators *op, struct operator_request *request,
             const struct ct_event *event)
{
    MHD_suspend_connection(request->connection);
    request->suspended = true;
    ct_loop_post(op->loop, event);
}

static void
request_explanation(struct ct_operators *op, struct operator_request *request,
                    const char *id)
{
    struct ct_event event = {.type = CT_EVENT_EXPLAIN_REQUESTED};

    if (CT_TEXT_SET(event.u.explain_request.request_id, id) < 0) {
        set_error_response(request, MHD_HTTP_NOT_FOUND, "unknown");
        return;
    }
    event.u.explain_request.caller = get_request_number(request);
    post_request(op, request, &event);
}

static int
parse_digest(const char *hex, struct ct_digest *digest)
{
    if (hex == NULL || strlen(hex) != 2 * sizeof(digest->bytes)) {
        return CT_ERR_INVALID;
    }
    for (size_t i = 0; i < sizeof(digest->bytes); i++) {
        int high = g_ascii_xdigit_value(hex[2 * i]);
        int low = g_ascii_xdigit_value(hex[2 * i + 1]);

        if (high < 0 || low < 0) {
            return CT_ERR_INVALID;
        }
        digest->bytes[i] = (uint8_t)(high << 4 | low);
    }
    return CT_OK;
}

static void
request_withdrawal(struct ct_operators *op, struct operator_request *request)
{
    struct ct_event event = {.type = CT_EVENT_KEY_WITHDRAWAL_REQUESTED};
    struct ct_json json;
    JsonObject *object = NULL;
    int err = ct_json_parse(&json, request->body->str, request->body->len);

    if (err == CT_OK) {
        object = ct_json_object(&json);
        err = object == NULL
                  ? CT_ERR_INVALID
                  : parse_digest(ct_json_get_string(object, "digest"),
                                 &event.u.key_withdrawal.key);
    }
    ct_json_free(&json);
    if (err < 0) {
        set_error_response(request, MHD_HTTP_BAD_REQUEST, "bad-request");
        return;
    }
    event.u.key_withdrawal.caller = get_request_number(request);
    post_request(op, request, &event);
}

static void
start_drain(struct ct_operators *op, struct operator_request *request)
{
    op->options.drain(op->options.arg);
    set_response(request, MHD_HTTP_ACCEPTED, JSON, g_string_new("{}"));
}

static void
route_get_request(struct ct_operators *op, struct operator_request *request,
                  const char *url)
{
    if (strcmp(url, "/counters") == 0 || strcmp(url, "/metrics") == 0) {
        respond_with_counters(op, request);
    }
    else if (strcmp(url, "/state") == 0) {
        respond_with_state(op, request);
    }
    else if (strcmp(url, "/health") == 0) {
        respond_with_health(op, request);
    }
    else if (g_str_has_prefix(url, EXPLAIN_PATH)) {
        request_explanation(op, request, url + strlen(EXPLAIN_PATH));
    }
    else {
        set_error_response(request, MHD_HTTP_NOT_FOUND, "unknown");
    }
}

static void
route_request(struct ct_operators *op, struct operator_request *request,
              const char *url, const char *method)
{
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        route_get_request(op, request, url);
    }
    else if (strcmp(method, MHD_HTTP_METHOD_POST) != 0) {
        set_error_response(request, MHD_HTTP_METHOD_NOT_ALLOWED, "method");
    }
    else if (strcmp(url, "/drain") == 0) {
        start_drain(op, request);
    }
    else if (strcmp(url, "/keys/withdraw") == 0) {
        request_withdrawal(op, request);
    }
    else {
        set_error_response(request, MHD_HTTP_NOT_FOUND, "unknown");
    }
}

static struct operator_request *
add_request(struct ct_operators *op, struct MHD_Connection *connection)
{
    struct operator_request *request;
    struct ct_handle handle;

    if (ct_table_add(&op->requests, &handle) < 0) {
        return NULL;
    }
    request = ct_table_get(&op->requests, handle);
    request->handle = handle;
    request->connection = connection;
    request->body = g_string_new(NULL);
    return request;
}

static bool
is_declared_too_large(struct MHD_Connection *connection)
{
    const char *length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

    return length != NULL &&
           g_ascii_strtoull(length, NULL, 10) > BODY_MAX_BYTES;
}

/* Responds to a head whose body is too large, before any of it is read. */
static enum MHD_Result
begin_request(struct operator_request *request)
{
    if (!is_declared_too_large(request->connection)) {
        return MHD_YES;
    }
    set_error_response(request, MHD_HTTP_CONTENT_TOO_LARGE, "too-large");
    return MHD_queue_response(request->connection, request->status,
                              request->response);
}

static enum MHD_Result
handle_request(void *arg, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *data,
               size_t *n, void **context)
{
    struct ct_operators *op = arg;
    struct operator_request *request = *context;

    (void)version;
    if (request == NULL) {
        *context = request = add_request(op, connection);
        return request != NULL ? begin_request(request) : MHD_NO;
    }
    if (*n > 0) {
        if (request->body->len + *n > BODY_MAX_BYTES) {
            return MHD_NO;
        }
        g_string_append_len(request->body, data, (gssize)*n);
        *n = 0;
        return MHD_YES;
    }
    if (request->response == NULL) {
        route_request(op, request, url, method);
    }
    if (request->response == NULL) {
        return request->suspended ? MHD_YES : MHD_NO;
    }
    return MHD_queue_response(connection, request->status, request->response);
}

static void
on_completed(void *arg, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    struct ct_operators *op = arg;
    struct operator_request *request = *context;

    (void)connection;
    (void)code;
    if (request != NULL) {
        ct_table_unref(&op->requests, request->handle);
        *context = NULL;
    }
}

static void
clear_request(void *row)
{
    struct operator_request *request = row;

    g_string_free(request->body, TRUE);
    if (request->response != NULL) {
        MHD_destroy_response(request->response);
    }
}

static void
resume_request(struct ct_operators *op, struct operator_request *request)
{
    if (request->suspended) {
        request->suspended = false;
        MHD_resume_connection(request->connection);
        ct_http_server_wake(&op->server);
    }
}

static void
respond_with_explanation(struct ct_operators *op,
                         const struct ct_effect *effect)
{
    struct operator_request *request =
        find_request(op, effect->u.explain.caller);
    GString *text;

    if (request == NULL) {
        return;
    }
    if (effect->rows.n > 0) {
        text = g_string_new(NULL);
        ct_explain_body(effect->rows.data, text);
        set_response(request, MHD_HTTP_OK, JSON, text);
    }
    else {
        set_error_response(request, MHD_HTTP_NOT_FOUND, "unknown");
    }
    resume_request(op, request);
}

static void
respond_to_withdrawal(struct ct_operators *op, const struct ct_effect *effect)
{
    struct operator_request *request = find_request(op, effect->u.caller);
    GString *text;

    if (request == NULL) {
        return;
    }
    text = g_string_new(NULL);
    ct_withdrawal_body(effect->rows, text);
    set_response(request, MHD_HTTP_OK, JSON, text);
    resume_request(op, request);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    struct ct_operators *op = (struct ct_operators *)executor;

    switch (effect->type) {
    case CT_EFFECT_REPLY_EXPLAIN:
        respond_with_explanation(op, effect);
        return true;
    case CT_EFFECT_REPLY_WITHDRAWAL:
        respond_to_withdrawal(op, effect);
        return true;
    default:
        return false;
    }
}

static void
free_operators(struct ct_executor *executor)
{
    struct ct_operators *op = (struct ct_operators *)executor;
    struct operator_request *request;
    struct ct_handle row;
    uint32_t cursor = 0;

    while ((request = ct_table_next(&op->requests, &cursor, &row))) {
        resume_request(op, request);
    }
    ct_http_server_stop(&op->server);
    ct_table_free(&op->requests);
    g_free(op);
}

int
ct_operators_new(struct ct_loop *loop,
                 const struct ct_operators_options *options,
                 struct ct_operators **out)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_operators,
    };
    struct ct_operators *op = g_new0(struct ct_operators, 1);
    const struct MHD_OptionItem mhd_options[] = {
        {MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES, NULL},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, op},
        {MHD_OPTION_END, 0, NULL},
    };
    int err;

    op->executor.ops = &ops;
    op->loop = loop;
    op->options = *options;
    ct_table_init(&op->requests, sizeof(struct operator_request), 0,
                  clear_request);
    err = ct_http_server_start(&op->server, loop, options->address,
                               handle_request, op, mhd_options);
    if (err < 0) {
        ct_table_free(&op->requests);
        g_free(op);
        return err;
    }
    *out = op;
    return CT_OK;
}

struct ct_executor *
ct_operators_executor(struct ct_operators *operators)
{
    return &operators->executor;
}

uint16_t
ct_operators_port(const struct ct_operators *operators)
{
    return operators->server.port;
}
