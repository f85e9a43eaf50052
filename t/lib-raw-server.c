#include "lib-raw-server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define US_PER_MS 1000

struct raw_server {
    int fd;
    char address[32];
    const struct raw_reply *replies;
    guint n;
    GMutex lock;
    GPtrArray *requests;
    /* Threads and descriptors of connections. */
    GPtrArray *threads;
    GArray *fds;
    GThread *acceptor;
};

struct connection {
    struct raw_server *server;
    int fd;
};

/* Whether the text holds a complete request; sets *n to its length. */
static gboolean
has_complete_request(const GString *text, size_t *n)
{
    const char *end = strstr(text->str, "\r\n\r\n");
    const char *length = strcasestr(text->str, "\r\nContent-Length:");
    size_t body = 0;

    if (end == NULL) {
        return FALSE;
    }
    if (length != NULL && length < end) {
        body = strtoul(length + strlen("\r\nContent-Length:"), NULL, 10);
    }
    *n = (size_t)(end - text->str) + 4 + body;
    return text->len >= *n;
}

static char *
substitute_request_id(const char *reply, const char *request)
{
    const char *id = strcasestr(request, "Request-Id: ");
    GString *out = g_string_new(reply);

    if (id != NULL) {
        id += strlen("Request-Id: ");
        char *value = g_strndup(id, strcspn(id, "\r"));
        g_string_replace(out, "%ID%", value, 0);
        g_free(value);
    }
    return g_string_free(out, FALSE);
}

static const struct raw_reply *
record_request(struct raw_server *server, const char *request)
{
    const struct raw_reply *reply;

    g_mutex_lock(&server->lock);
    reply = &server->replies[MIN(server->requests->len, server->n - 1)];
    g_ptr_array_add(server->requests, g_strdup(request));
    g_mutex_unlock(&server->lock);
    return reply;
}

/* Sends the repeated bytes until the client closes the connection. */
static void
send_repeatedly(int fd, const struct raw_reply *reply)
{
    size_t n = strlen(reply->repeated);

    while (send(fd, reply->repeated, n, MSG_NOSIGNAL) == (ssize_t)n) {
        g_usleep((gulong)reply->pause_ms * US_PER_MS);
    }
}

/* Sends a reply; returns FALSE if the connection is to be closed. */
static gboolean
send_reply(int fd, const struct raw_reply *reply, const char *request)
{
    char *text =
        substitute_request_id(reply->text ? reply->text : "", request);
    char byte;

    (void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
    g_free(text);
    if (reply->next_action == RAW_HANG) {
        while (read(fd, &byte, 1) > 0) {
        }
    }
    if (reply->next_action == RAW_REPEAT) {
        send_repeatedly(fd, reply);
    }
    return reply->next_action == RAW_KEEP_ALIVE;
}

static void *
serve_connection(void *arg)
{
    struct connection *connection = arg;
    GString *text = g_string_new(NULL);
    char part[4096];
    ssize_t n_read;
    size_t n;
    gboolean keep_open = TRUE;
    const char *late = NULL;

    while (keep_open &&
           (n_read = read(connection->fd, part, sizeof(part))) > 0) {
        g_string_append_len(text, part, n_read);
        while (keep_open && has_complete_request(text, &n)) {
            char *request = g_strndup(text->str, n);
            const struct raw_reply *reply =
                record_request(connection->server, request);

            g_string_erase(text, 0, (gssize)n);
            if (late != NULL) {
                (void)!send(connection->fd, late, strlen(late), MSG_NOSIGNAL);
            }
            late = reply->late;
            keep_open = send_reply(connection->fd, reply, request);
            g_free(request);
        }
    }
    shutdown(connection->fd, SHUT_RDWR);
    g_string_free(text, TRUE);
    g_free(connection);
    return NULL;
}

static void *
accept_connections(void *arg)
{
    struct raw_server *server = arg;
    int fd;

    while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
        struct connection *connection = g_new(struct connection, 1);

        connection->server = server;
        connection->fd = fd;
        g_array_append_val(server->fds, fd);
        g_ptr_array_add(
            server->threads,
            g_thread_new("connection", serve_connection, connection));
    }
    return NULL;
}

struct raw_server *
raw_server_new(const struct raw_reply *replies, guint n)
{
    struct raw_server *server = g_new0(struct raw_server, 1);
    struct sockaddr_in name = {.sin_family = AF_INET};
    socklen_t size = sizeof(name);

    server->replies = replies;
    server->n = n;
    g_mutex_init(&server->lock);
    server->requests = g_ptr_array_new_with_free_func(g_free);
    server->threads = g_ptr_array_new();
    server->fds = g_array_new(FALSE, FALSE, sizeof(int));
    server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_no_errno(bind(server->fd, (struct sockaddr *)&name, size));
    g_assert_no_errno(listen(server->fd, SOMAXCONN));
    g_assert_no_errno(
        getsockname(server->fd, (struct sockaddr *)&name, &size));
    g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
               ntohs(name.sin_port));
    server->acceptor = g_thread_new("acceptor", accept_connections, server);
    return server;
}

void
raw_server_free(struct raw_server *server)
{
    shutdown(server->fd, SHUT_RDWR);
    g_thread_join(server->acceptor);
    close(server->fd);
    for (guint i = 0; i < server->threads->len; i++) {
        int fd = g_array_index(server->fds, int, i);

        shutdown(fd, SHUT_RDWR);
        g_thread_join(server->threads->pdata[i]);
        close(fd);
    }
    g_ptr_array_unref(server->threads);
    g_array_unref(server->fds);
    g_ptr_array_unref(server->requests);
    g_mutex_clear(&server->lock);
    g_free(server);
}

const char *
raw_server_address(const struct raw_server *server)
{
    return server->address;
}

guint
raw_server_request_count(struct raw_server *server)
{
    guint n;

    g_mutex_lock(&server->lock);
    n = server->requests->len;
    g_mutex_unlock(&server->lock);
    return n;
}

char *
raw_server_request(struct raw_server *server, guint i)
{
    char *request;

    g_mutex_lock(&server->lock);
    request = g_strdup(server->requests->pdata[i]);
    g_mutex_unlock(&server->lock);
    return request;
}
