#include "discovery-port.h"

#include <string.h>

#include "error.h"
#include "relay-ready.h"

#define CONNECTIONS_MAX 512
#define IDLE_TIMEOUT_S 60
#define CONNECTION_BYTES (8 * 1024)
#define JSON "application/json"

struct ct_discovery_port {
    struct ct_executor executor;
    struct ct_loop *loop;
    const struct ct_dialect *dialect;
    const struct ct_state *state;
    struct ct_http_server discovery;
    struct ct_http_server readiness;
    /* struct address_request */
    struct ct_table requests;
};

/* A request for addresses that waits for the reducer's response. */
struct address_request {
    struct ct_handle handle;
    struct MHD_Connection *connection;
    struct MHD_Response *response;
    bool suspended;
};

static enum MHD_Result
queue_status(struct MHD_Connection *connection, unsigned status)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result = MHD_queue_response(connection, status, response);

    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
handle_readiness(void *arg, struct MHD_Connection *connection, const char *url,
                 const char *method, const char *version, const char *data,
                 size_t *n, void **context)
{
    const struct ct_discovery_port *port = arg;
    ct_ms now_ms = ct_clock_steady_ms(ct_loop_clock(port->loop));

    (void)method;
    (void)version;
    (void)data;
    (void)context;
    *n = 0;
    if (strcmp(url, port->dialect->ops->ready_path) != 0) {
        return queue_status(connection, MHD_HTTP_NOT_FOUND);
    }
    return queue_status(connection, ct_relay_is_ready(port->state, now_ms)
                                        ? MHD_HTTP_OK
                                        : MHD_HTTP_SERVICE_UNAVAILABLE);
}

static enum MHD_Result
request_addresses(struct ct_discovery_port *port,
                  struct MHD_Connection *connection, void **context)
{
    struct ct_event event = {.type = CT_EVENT_ADDRESSES_REQUESTED};
    struct ct_handle handle;
    struct address_request *request;

    if (ct_table_add(&port->requests, &handle) < 0) {
        return MHD_NO;
    }
    request = ct_table_get(&port->requests, handle);
    request->handle = handle;
    request->connection = connection;
    request->suspended = true;
    *context = request;
    MHD_suspend_connection(connection);
    event.u.caller = (uint64_t)handle.generation << 32 | handle.index;
    ct_loop_post(port->loop, &event);
    return MHD_YES;
}

static enum MHD_Result
handle_discovery(void *arg, struct MHD_Connection *connection, const char *url,
                 const char *method, const char *version, const char *data,
                 size_t *n, void **context)
{
    struct ct_discovery_port *port = arg;
    struct address_request *request = *context;

    (void)method;
    (void)version;
    (void)data;
    *n = 0;
    if (request != NULL) {
        return request->response != NULL
                   ? MHD_queue_response(connection, MHD_HTTP_OK,
                                        request->response)
                   : MHD_NO;
    }
    if (strcmp(url, port->dialect->ops->addresses_path) != 0) {
        return queue_status(connection, MHD_HTTP_NOT_FOUND);
    }
    return request_addresses(port, connection, context);
}

static void
on_completed(void *arg, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    struct ct_discovery_port *port = arg;
    struct address_request *request = *context;

    (void)connection;
    (void)code;
    if (request != NULL) {
        *context = NULL;
        ct_table_unref(&port->requests, request->handle);
    }
}

static void
clear_request(void *row)
{
    struct address_request *request = row;

    if (request->response != NULL) {
        MHD_destroy_response(request->response);
    }
}

static void
resume_request(struct ct_discovery_port *port, struct address_request *request)
{
    if (request->suspended) {
        request->suspended = false;
        MHD_resume_connection(request->connection);
        ct_http_server_wake(&port->discovery);
    }
}

static void
respond_with_addresses(struct ct_discovery_port *port,
                       const struct ct_effect *effect)
{
    struct ct_handle handle = {
        .index = (uint32_t)effect->u.addresses.caller,
        .generation = (uint32_t)(effect->u.addresses.caller >> 32),
    };
    struct address_request *request = ct_table_get(&port->requests, handle);
    GString *body;

    if (request == NULL) {
        return;
    }
    body = g_string_new(NULL);
    port->dialect->ops->addresses(port->dialect, effect->rows.data,
                                  effect->rows.n,
                                  effect->u.addresses.lifetime_ms, body);
    request->response = MHD_create_response_from_buffer(body->len, body->str,
                                                        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(request->response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            JSON);
    g_string_free(body, TRUE);
    resume_request(port, request);
}

static bool
run_effect(struct ct_executor *executor, const struct ct_effect *effect)
{
    if (effect->type != CT_EFFECT_REPLY_ADDRESSES) {
        return false;
    }
    respond_with_addresses((struct ct_discovery_port *)executor, effect);
    return true;
}

static void
free_port(struct ct_executor *executor)
{
    struct ct_discovery_port *port = (struct ct_discovery_port *)executor;
    struct ct_handle handle;
    uint32_t cursor = 0;
    struct address_request *request;

    while ((request = ct_table_next(&port->requests, &cursor, &handle))) {
        resume_request(port, request);
    }
    ct_http_server_stop(&port->discovery);
    ct_http_server_stop(&port->readiness);
    ct_table_free(&port->requests);
    g_free(port);
}

static int
start_server(struct ct_discovery_port *port, struct ct_http_server *server,
             const char *address, MHD_AccessHandlerCallback handler)
{
    const struct MHD_OptionItem options[] = {
        {MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES, NULL},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, port},
        {MHD_OPTION_END, 0, NULL},
    };

    return ct_http_server_start(server, port->loop, address, handler, port,
                                options);
}

int
ct_discovery_port_new(struct ct_loop *loop,
                      const struct ct_discovery_port_options *options,
                      struct ct_discovery_port **out)
{
    static const struct ct_executor_ops ops = {
        .run = run_effect,
        .free = free_port,
    };
    struct ct_discovery_port *port = g_new0(struct ct_discovery_port, 1);
    int err;

    port->executor.ops = &ops;
    port->loop = loop;
    port->dialect = options->dialect;
    port->state = options->state;
    ct_table_init(&port->requests, sizeof(struct address_request), 0,
                  clear_request);
    err = start_server(port, &port->discovery, options->discovery_address,
                       handle_discovery);
    if (err == CT_OK) {
        err = start_server(port, &port->readiness, options->readiness_address,
                           handle_readiness);
    }
    if (err < 0) {
        free_port(&port->executor);
        return err;
    }
    *out = port;
    return CT_OK;
}

struct ct_executor *
ct_discovery_port_executor(struct ct_discovery_port *port)
{
    return &port->executor;
}

uint16_t
ct_discovery_port_number(const struct ct_discovery_port *port)
{
    return port->discovery.port;
}

uint16_t
ct_discovery_port_readiness_number(const struct ct_discovery_port *port)
{
    return port->readiness.port;
}
