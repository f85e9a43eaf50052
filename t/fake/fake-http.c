#include "fake-http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define PEEK_INTERVAL_S 0.2
#define CONNECTION_LIMIT 8192
/* Enough for each head that a host may relay, with a record for each line. */
#define CONNECTION_POOL_BYTES (1024 * 1024)
#define STREAM_BLOCK_BYTES 16384
#define MS_PER_S 1000

ct_ms
fake_now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (ct_ms)now.tv_sec * MS_PER_S + now.tv_nsec / 1000000;
}

struct fake_request *
fake_find_request(struct fake_server *server, struct ct_handle handle)
{
    return ct_table_get(&server->requests, handle);
}

const char *
fake_request_header(const struct fake_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

int64_t
fake_query_int(const struct fake_request *request, const char *name,
               int64_t default_value)
{
    const char *text;

    text = MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
    return text ? g_ascii_strtoll(text, NULL, 10) : default_value;
}

/* Resumes a suspended request. */
static void
resume_request(struct fake_request *request)
{
    if (request->suspended) {
        request->suspended = false;
        request->server->resumed = true;
        MHD_resume_connection(request->connection);
    }
}

static void
mark_ready(struct fake_request *request)
{
    request->ready = true;
    resume_request(request);
}

static void
on_delay(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    mark_ready(timer->data);
}

void
fake_add_header(struct fake_request *request, const char *name,
                const char *value)
{
    struct fake_header *header;

    if (request->n_headers == FAKE_HEADERS_MAX) {
        return;
    }
    header = &request->headers[request->n_headers++];
    header->name = name;
    g_strlcpy(header->value, value, sizeof(header->value));
}

void
fake_reply_text(struct fake_request *request, unsigned int status,
                const char *text, ct_ms delay_ms)
{
    request->status = status;
    g_string_assign(request->out, text);
    if (delay_ms <= 0) {
        mark_ready(request);
        return;
    }
    ev_timer_init(&request->delay, on_delay, (double)delay_ms / MS_PER_S, 0);
    request->delay.data = request;
    ev_timer_start(request->server->loop, &request->delay);
}

void
fake_reply(struct fake_request *request, unsigned int status,
           JsonObject *object, ct_ms delay_ms)
{
    JsonObject *body = object ? object : json_object_new();
    char *text = fake_json_to_text(body);

    fake_reply_text(request, status, text, delay_ms);
    g_free(text);
    json_object_unref(body);
}

void
fake_reply_error(struct fake_request *request, unsigned int status,
                 const char *error)
{
    JsonObject *body = json_object_new();

    json_object_set_string_member(body, "error", error);
    fake_reply(request, status, body, 0);
}

void
fake_abort(struct fake_request *request)
{
    request->aborted = true;
    request->ended = true;
    mark_ready(request);
}

/* Writes to the socket itself; libmicrohttpd has suspended the connection. */
static void
on_endless_writable(struct ev_loop *loop, struct ev_io *io, int events)
{
    struct fake_request *request = io->data;
    ssize_t n = send(io->fd, request->endless->str, request->endless->len,
                     MSG_DONTWAIT | MSG_NOSIGNAL);

    (void)events;
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        ev_io_stop(loop, io);
        fake_abort(request);
    }
}

void
fake_reply_endless(struct fake_request *request,
                   const struct fake_endless *kind, const char *fields)
{
    int fd = MHD_get_connection_info(request->connection,
                                     MHD_CONNECTION_INFO_CONNECTION_FD)
                 ->connect_fd;
    char *head = fake_endless_head(kind, fields);

    (void)!send(fd, head, strlen(head), MSG_DONTWAIT | MSG_NOSIGNAL);
    g_free(head);
    request->endless = fake_endless_block(kind);
    ev_io_init(&request->endless_io, on_endless_writable, fd, EV_WRITE);
    request->endless_io.data = request;
    ev_io_start(request->server->loop, &request->endless_io);
}

void
fake_stream_begin(struct fake_request *request)
{
    request->stream = true;
    request->status = MHD_HTTP_OK;
    mark_ready(request);
}

void
fake_stream_write(struct fake_request *request, const char *bytes, size_t n)
{
    g_string_append_len(request->out, bytes, (gssize)n);
    resume_request(request);
}

void
fake_stream_end(struct fake_request *request)
{
    request->ended = true;
    resume_request(request);
}

/* Returns unsent bytes of the stream, or suspends the request if none. */
static ssize_t
read_stream(void *cls, uint64_t offset, char *buffer, size_t max)
{
    struct fake_request *request = cls;
    size_t n = MIN(request->out->len - request->written, max);

    (void)offset;
    if (n > 0) {
        memcpy(buffer, request->out->str + request->written, n);
        request->written += n;
        return (ssize_t)n;
    }
    if (request->aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (request->ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    request->suspended = true;
    MHD_suspend_connection(request->connection);
    return 0;
}

static enum MHD_Result
queue_reply(struct fake_request *request)
{
    struct MHD_Response *response;
    enum MHD_Result queued;

    if (request->aborted && !request->stream) {
        return MHD_NO;
    }
    if (request->stream) {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, request, NULL);
        MHD_add_response_header(response, "Content-Type", "text/event-stream");
    }
    else {
        response = MHD_create_response_from_buffer(
            request->out->len, request->out->str, MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", "application/json");
    }
    for (uint32_t i = 0; i < request->n_headers; i++) {
        MHD_add_response_header(response, request->headers[i].name,
                                request->headers[i].value);
    }
    queued =
        MHD_queue_response(request->connection, request->status, response);
    MHD_destroy_response(response);
    return queued;
}

static void
apply_setting(const struct fake_setting *settings, JsonObject *object,
              const char *name, const char **unknown)
{
    for (const struct fake_setting *s = settings; s && s->name; s++) {
        if (strcmp(s->name, name) == 0) {
            *s->value = fake_json_int(object, name, *s->value);
            return;
        }
    }
    *unknown = name;
}

static void
handle_set(struct fake_server *server, struct fake_request *request)
{
    const char *unknown = NULL;
    JsonObjectIter iter;
    const char *name;

    if (!request->json) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "json");
        return;
    }
    json_object_iter_init(&iter, request->json);
    while (json_object_iter_next(&iter, &name, NULL)) {
        apply_setting(server->settings, request->json, name, &unknown);
    }
    if (unknown) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, unknown);
        return;
    }
    if (server->ops->settings_changed) {
        server->ops->settings_changed(server);
    }
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle_seen(struct fake_server *server, struct fake_request *request)
{
    guint from = (guint)fake_query_int(request, "from", 0);
    JsonObject *body = json_object_new();
    JsonArray *rows = json_array_new();

    for (guint i = from; i < json_array_get_length(server->seen); i++) {
        json_array_add_element(
            rows, json_node_copy(json_array_get_element(server->seen, i)));
    }
    json_object_set_array_member(body, "seen", rows);
    fake_reply(request, MHD_HTTP_OK, body, 0);
}

static void
parse_body(struct fake_request *request)
{
    JsonNode *root;

    request->parser = json_parser_new();
    if (!json_parser_load_from_data(request->parser, request->body->str,
                                    (gssize)request->body->len, NULL)) {
        return;
    }
    root = json_parser_get_root(request->parser);
    if (root && JSON_NODE_HOLDS_OBJECT(root)) {
        request->json = json_node_get_object(root);
    }
}

static void
handle_complete_request(struct fake_server *server,
                        struct fake_request *request)
{
    const char *id = fake_request_header(request, "X-Request-Id");

    request->handled = true;
    g_strlcpy(request->request_id, id ? id : "", sizeof(request->request_id));
    parse_body(request);
    if (strcmp(request->path, "/fake/set") == 0) {
        handle_set(server, request);
    }
    else if (strcmp(request->path, "/fake/seen") == 0) {
        handle_seen(server, request);
    }
    else {
        server->ops->handle(server, request);
    }
}

static struct fake_request *
add_request(struct fake_server *server, struct MHD_Connection *connection,
            const char *path, const char *method)
{
    const union MHD_ConnectionInfo *info;
    struct fake_request *request;
    struct ct_handle handle;

    if (ct_table_add(&server->requests, &handle) < 0) {
        return NULL;
    }
    request = ct_table_get(&server->requests, handle);
    request->server = server;
    request->handle = handle;
    request->connection = connection;
    request->path = g_strdup(path);
    request->method = g_strdup(method);
    request->body = g_string_new(NULL);
    request->out = g_string_new(NULL);
    info = MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    if (info && info->socket_context) {
        request->connected_ms = *(ct_ms *)info->socket_context;
    }
    return request;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *data_bytes, void **context)
{
    struct fake_server *server = cls;
    struct fake_request *request = *context;

    (void)version;
    if (!request) {
        *context = add_request(server, connection, path, method);
        return *context ? MHD_YES : MHD_NO;
    }
    if (*data_bytes > 0) {
        g_string_append_len(request->body, data, (gssize)*data_bytes);
        *data_bytes = 0;
        return MHD_YES;
    }
    if (!request->handled) {
        handle_complete_request(server, request);
    }
    if (request->ready) {
        return queue_reply(request);
    }
    request->suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    struct fake_server *server = cls;
    struct fake_request *request = *context;

    (void)connection;
    (void)code;
    if (!request) {
        return;
    }
    *context = NULL;
    if (request->handled && server->ops->request_ended) {
        server->ops->request_ended(server, request);
    }
    ct_table_unref(&server->requests, request->handle);
}

static void
clear_request(void *row)
{
    struct fake_request *request = row;

    ev_timer_stop(request->server->loop, &request->delay);
    if (request->endless) {
        ev_io_stop(request->server->loop, &request->endless_io);
        g_string_free(request->endless, TRUE);
    }
    g_free(request->method);
    g_free(request->path);
    g_string_free(request->body, TRUE);
    g_string_free(request->out, TRUE);
    g_clear_object(&request->parser);
}

/* Stores the time at which a connection was accepted. */
static void
on_connection(void *cls, struct MHD_Connection *connection, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    (void)cls;
    (void)connection;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        ct_ms *connected_ms = g_new(ct_ms, 1);

        *connected_ms = fake_now_ms();
        *context = connected_ms;
        return;
    }
    g_free(*context);
    *context = NULL;
}

/*
 * libmicrohttpd does not read a suspended connection, so this checks whether
 * its caller disconnected.
 */
static void
check_disconnects(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    struct fake_server *server = timer->data;
    struct fake_request *request;
    struct ct_handle handle;
    uint32_t cursor = 0;

    (void)loop;
    (void)events;
    while ((request = ct_table_next(&server->requests, &cursor, &handle))) {
        const union MHD_ConnectionInfo *info;
        char byte;

        if (!request->suspended) {
            continue;
        }
        info = MHD_get_connection_info(request->connection,
                                       MHD_CONNECTION_INFO_CONNECTION_FD);
        if (info &&
            recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            fake_abort(request);
        }
    }
}

static void
on_epoll(struct ev_loop *loop, struct ev_io *io, int events)
{
    struct fake_server *server = io->data;

    (void)loop;
    (void)events;
    MHD_run(server->daemon);
}

static void
on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    struct fake_server *server = timer->data;

    (void)loop;
    (void)events;
    MHD_run(server->daemon);
}

/* Before the loop sleeps, sets the timer by which libmicrohttpd must run. */
static void
on_prepare(struct ev_loop *loop, struct ev_prepare *prepare, int events)
{
    struct fake_server *server = prepare->data;
    MHD_UNSIGNED_LONG_LONG wait_ms;

    (void)events;
    ev_timer_stop(loop, &server->timer);
    if (server->resumed) {
        server->resumed = false;
        ev_timer_set(&server->timer, 0, 0);
        ev_timer_start(loop, &server->timer);
    }
    else if (MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES) {
        ev_timer_set(&server->timer, (double)wait_ms / MS_PER_S, 0);
        ev_timer_start(loop, &server->timer);
    }
}

static struct MHD_Daemon *
start_daemon(struct fake_server *server, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTION_LIMIT,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_POOL_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

int
fake_start_server(struct fake_server *server, struct ev_loop *loop, int port)
{
    const union MHD_DaemonInfo *info;

    ct_table_init(&server->requests, sizeof(struct fake_request), 0,
                  clear_request);
    server->loop = loop;
    server->seen = json_array_new();
    server->daemon = start_daemon(server, port);
    if (!server->daemon) {
        return -1;
    }
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
    server->port = info->port;
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&server->io, on_epoll, info->epoll_fd, EV_READ);
    server->io.data = server;
    ev_io_start(loop, &server->io);
    ev_timer_init(&server->timer, on_timer, 0, 0);
    server->timer.data = server;
    ev_timer_init(&server->peek, check_disconnects, PEEK_INTERVAL_S,
                  PEEK_INTERVAL_S);
    server->peek.data = server;
    ev_timer_start(loop, &server->peek);
    ev_prepare_init(&server->prepare, on_prepare);
    server->prepare.data = server;
    ev_prepare_start(loop, &server->prepare);
    return 0;
}
