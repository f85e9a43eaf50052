#include "discovery-port.h"

#include <string.h>

#include "error.h"
#include "relay-host.h"

#define CONNECTIONS_MAX 512
#define TIMEOUT_S 60
#define CONNECTION_BYTES (8 * 1024)
#define JSON "application/json"

struct ct_discovery_port {
    struct ct_executor executor;
    struct ct_loop *loop;
    const struct ct_dialect *dialect;
    const struct ct_state *state;
    struct ct_http_server guide;
    struct ct_http_server ready;
    /* struct ask */
    struct ct_table asks;
};

/* A request for addresses that waits for the reducer. */
struct ask {
    struct ct_handle handle;
    struct MHD_Connection *connection;
    struct MHD_Response *response;
    bool suspended;
};

static enum MHD_Result
answer_status(struct MHD_Connection *connection, unsigned status)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result = MHD_queue_response(connection, status, response);

    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
handle_ready(void *arg, struct MHD_Connection *connection, const char *url,
             const char *method, const char *version, const char *data,
             size_t *n, void **context)
{
    const struct ct_discovery_port *guide = arg;
    ct_ms now_ms = ct_clock_steady_ms(ct_loop_clock(guide->loop));

    (void)method;
    (void)version;
    (void)data;
    (void)context;
    *n = 0;
    if (strcmp(url, guide->dialect->ops->ready_path) != 0) {
        return answer_status(connection, MHD_HTTP_NOT_FOUND);
    }
    return answer_status(connection,
                         ct_relay_host_is_ready(guide->state, now_ms)
                             ? MHD_HTTP_OK
                             : MHD_HTTP_SERVICE_UNAVAILABLE);
}

static enum MHD_Result
ask_reducer(struct ct_discovery_port *guide, struct MHD_Connection *connection,
            void **context)
{
    struct ct_event event = {.type = CT_EVENT_ADDRESSES_REQUESTED};
    struct ct_handle handle;
    struct ask *ask;

    if (ct_table_add(&guide->asks, &handle) < 0) {
        return MHD_NO;
    }
    ask = ct_table_get(&guide->asks, handle);
    ask->handle = handle;
    ask->connection = connection;
    ask->suspended = true;
    *context = ask;
    MHD_suspend_connection(connection);
    event.u.caller = (uint64_t)handle.generation << 32 | handle.index;
    ct_loop_post(guide->loop, &event);
    return MHD_YES;
}

static enum MHD_Result
handle_guide(void *arg, struct MHD_Connection *connection, const char *url,
             const char *method, const char *version, const char *data,
             size_t *n, void **context)
{
    struct ct_discovery_port *guide = arg;
    struct ask *ask = *context;

    (void)method;
    (void)version;
    (void)data;
    *n = 0;
    if (ask != NULL) {
        return ask->response != NULL
                   ? MHD_queue_response(connection, MHD_HTTP_OK, ask->response)
                   : MHD_NO;
    }
    if (strcmp(url, guide->dialect->ops->addresses_path) != 0) {
        return answer_status(connection, MHD_HTTP_NOT_FOUND);
    }
    return ask_reducer(guide, connection, context);
}

static void
completed(void *arg, struct MHD_Connection *connection, void **context,
          enum MHD_RequestTerminationCode code)
{
    struct ct_discovery_port *guide = arg;
    struct ask *ask = *context;

    (void)connection;
    (void)code;
    if (ask != NULL) {
        *context = NULL;
        ct_table_unref(&guide->asks, ask->handle);
    }
}

static void
clear_ask(void *row)
{
    struct ask *ask = row;

    if (ask->response != NULL) {
        MHD_destroy_response(ask->response);
    }
}

static void
resume(struct ct_discovery_port *guide, struct ask *ask)
{
    if (ask->suspended) {
        ask->suspended = false;
        MHD_resume_connection(ask->connection);
        ct_http_server_wake(&guide->guide);
    }
}

static void
answer_addresses(struct ct_discovery_port *guide,
                 const struct ct_effect *effect)
{
    struct ct_handle handle = {
        .index = (uint32_t)effect->u.addresses.caller,
        .generation = (uint32_t)(effect->u.addresses.caller >> 32),
    };
    struct ask *ask = ct_table_get(&guide->asks, handle);
    GString *body;

    if (ask == NULL) {
        return;
    }
    body = g_string_new(NULL);
    guide->dialect->ops->addresses(guide->dialect, effect->rows.data,
                                   effect->rows.n,
                                   effect->u.addresses.lifetime_ms, body);
    ask->response = MHD_create_response_from_buffer(body->len, body->str,
                                                    MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(ask->response, MHD_HTTP_HEADER_CONTENT_TYPE, JSON);
    g_string_free(body, TRUE);
    resume(guide, ask);
}

static bool
run(struct ct_executor *executor, const struct ct_effect *effect)
{
    if (effect->type != CT_EFFECT_REPLY_ADDRESSES) {
        return false;
    }
    answer_addresses((struct ct_discovery_port *)executor, effect);
    return true;
}

static void
free_guide(struct ct_executor *executor)
{
    struct ct_discovery_port *guide = (struct ct_discovery_port *)executor;
    struct ct_handle handle;
    uint32_t cursor = 0;
    struct ask *ask;

    while ((ask = ct_table_next(&guide->asks, &cursor, &handle))) {
        resume(guide, ask);
    }
    ct_http_server_stop(&guide->guide);
    ct_http_server_stop(&guide->ready);
    ct_table_free(&guide->asks);
    g_free(guide);
}

static int
start(struct ct_discovery_port *guide, struct ct_http_server *server,
      const char *address, MHD_AccessHandlerCallback handler)
{
    const struct MHD_OptionItem options[] = {
        {MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, TIMEOUT_S, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES, NULL},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)completed, guide},
        {MHD_OPTION_END, 0, NULL},
    };

    return ct_http_server_start(server, guide->loop, address, handler, guide,
                                options);
}

int
ct_discovery_port_new(struct ct_loop *loop,
                      const struct ct_discovery_port_options *options,
                      struct ct_discovery_port **out)
{
    static const struct ct_executor_ops ops = {
        .run = run,
        .free = free_guide,
    };
    struct ct_discovery_port *guide = g_new0(struct ct_discovery_port, 1);
    int err;

    guide->executor.ops = &ops;
    guide->loop = loop;
    guide->dialect = options->dialect;
    guide->state = options->state;
    ct_table_init(&guide->asks, sizeof(struct ask), 0, clear_ask);
    err = start(guide, &guide->guide, options->guide_address, handle_guide);
    if (err == CT_OK) {
        err =
            start(guide, &guide->ready, options->ready_address, handle_ready);
    }
    if (err < 0) {
        free_guide(&guide->executor);
        return err;
    }
    *out = guide;
    return CT_OK;
}

struct ct_executor *
ct_discovery_port_executor(struct ct_discovery_port *guide)
{
    return &guide->executor;
}

uint16_t
ct_discovery_port_number(const struct ct_discovery_port *guide)
{
    return guide->guide.port;
}

uint16_t
ct_discovery_port_ready_number(const struct ct_discovery_port *guide)
{
    return guide->ready.port;
}
