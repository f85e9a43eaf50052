#include "lib-hostile.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-process.h"

/* Small, so that bytes which a client does not read stay with the host. */
#define RECEIVE_BUFFER_BYTES 4096
/* Bytes that are prepared for a send. */
#define BLOCK_BYTES (64 * 1024)
#define READ_MAX_BYTES 4096
#define POLL_MS 20
/* A crowd without progress for so long is over; so is a crowd of this age. */
#define QUIET_MS 1500
#define CROWD_MAX_MS 6000

struct client {
    /* -1: the host has closed the connection. */
    int fd;
    /* Bytes to send, and how many of them were sent. */
    GString *block;
    gsize sent;
    /* Parts of the plan that are in earlier blocks. */
    guint parts;
    bool all_sent;
    int64_t send_at_ms;
    int64_t read_at_ms;
};

struct crowd {
    const struct hostile_plan *plan;
    struct client clients[HOSTILE_CONNECTIONS_MAX];
    guint n_ids;
    int64_t progress_ms;
};

static int
connect_client(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    const int bytes = RECEIVE_BUFFER_BYTES;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    g_assert_no_errno(fd);
    g_assert_no_errno(
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)));
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_no_errno(
        connect(fd, (struct sockaddr *)&address, sizeof(address)));
    return fd;
}

static void
append_part(struct crowd *crowd, GString *block, const char *part)
{
    const char *id;

    while (part != NULL && (id = strstr(part, "%ID%")) != NULL) {
        g_string_append_len(block, part, id - part);
        g_string_append_printf(block, "hostile-%d-%u", (int)getpid(),
                               crowd->n_ids++);
        part = id + strlen("%ID%");
    }
    if (part != NULL) {
        g_string_append(block, part);
    }
}

/*
 * Prepares the next parts of the plan; returns false if there are none. The
 * first part has a block of its own if the others are sent in pieces.
 */
static bool
fill_block(struct crowd *crowd, struct client *client)
{
    const struct hostile_plan *plan = crowd->plan;

    g_string_truncate(client->block, 0);
    client->sent = 0;
    while (client->block->len < BLOCK_BYTES &&
           client->parts < plan->repetitions + 2 &&
           !(client->parts == 1 && client->block->len > 0 &&
             plan->send_bytes > 0)) {
        guint i = client->parts++;

        append_part(crowd, client->block,
                    i == 0                   ? plan->first
                    : i <= plan->repetitions ? plan->repeated
                                             : plan->last);
    }
    return client->block->len > 0;
}

static void
drop_client(struct client *client)
{
    close(client->fd);
    client->fd = -1;
}

static void
finish_sending(const struct crowd *crowd, struct client *client)
{
    client->all_sent = true;
    if (crowd->plan->then == HOSTILE_HALF_CLOSE) {
        shutdown(client->fd, SHUT_WR);
    }
}

/* Sends as much as the plan allows now; returns whether a byte was sent. */
static bool
send_some(struct crowd *crowd, struct client *client)
{
    guint limit;
    gsize n;
    ssize_t n_sent;

    if (client->sent == client->block->len && !fill_block(crowd, client)) {
        finish_sending(crowd, client);
        return false;
    }
    limit = client->parts > 1 ? crowd->plan->send_bytes : 0;
    n = client->block->len - client->sent;
    n_sent = send(client->fd, client->block->str + client->sent,
                  limit > 0 ? MIN(n, limit) : n, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n_sent < 0) {
        if (errno != EAGAIN) {
            drop_client(client);
        }
        return false;
    }
    client->sent += (gsize)n_sent;
    client->send_at_ms = process_now_ms() + crowd->plan->send_pause_ms;
    return true;
}

static bool
read_some(const struct crowd *crowd, struct client *client)
{
    char bytes[READ_MAX_BYTES];
    ssize_t n =
        recv(client->fd, bytes, MIN(crowd->plan->read_bytes, sizeof(bytes)),
             MSG_DONTWAIT);

    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        drop_client(client);
    }
    client->read_at_ms = process_now_ms() + crowd->plan->read_pause_ms;
    return n > 0;
}

static void
run_client(struct crowd *crowd, struct client *client, short events)
{
    bool progress = false;

    if ((events & (POLLERR | POLLHUP)) != 0) {
        drop_client(client);
    }
    if (client->fd >= 0 && (events & POLLOUT) != 0) {
        progress |= send_some(crowd, client);
    }
    if (client->fd >= 0 && (events & POLLIN) != 0) {
        progress |= read_some(crowd, client);
    }
    if (progress) {
        crowd->progress_ms = process_now_ms();
    }
}

/* Waits until a client can act, or a short time, and runs those that can. */
static void
run_once(struct crowd *crowd)
{
    struct pollfd fds[HOSTILE_CONNECTIONS_MAX];
    guint n = hostile_connections(crowd->plan);
    int64_t now_ms = process_now_ms();

    for (guint i = 0; i < n; i++) {
        const struct client *client = &crowd->clients[i];
        short events = 0;

        if (!client->all_sent && now_ms >= client->send_at_ms) {
            events |= POLLOUT;
        }
        if (crowd->plan->read_bytes > 0 && now_ms >= client->read_at_ms) {
            events |= POLLIN;
        }
        fds[i] = (struct pollfd){client->fd, events, 0};
    }
    g_assert_no_errno(poll(fds, n, POLL_MS));
    for (guint i = 0; i < n; i++) {
        if (fds[i].revents != 0) {
            run_client(crowd, &crowd->clients[i], fds[i].revents);
        }
    }
}

static void
open_crowd(struct crowd *crowd, uint16_t port)
{
    for (guint i = 0; i < hostile_connections(crowd->plan); i++) {
        crowd->clients[i] = (struct client){
            .fd = connect_client(port),
            .block = g_string_new(NULL),
            .send_at_ms = process_now_ms() + i * crowd->plan->stagger_ms,
        };
    }
    crowd->progress_ms = process_now_ms();
}

static void
close_crowd(struct crowd *crowd)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};

    for (guint i = 0; i < hostile_connections(crowd->plan); i++) {
        struct client *client = &crowd->clients[i];

        g_string_free(client->block, TRUE);
        if (client->fd < 0) {
            continue;
        }
        if (crowd->plan->reset) {
            g_assert_no_errno(setsockopt(client->fd, SOL_SOCKET, SO_LINGER,
                                         &reset, sizeof(reset)));
        }
        close(client->fd);
    }
}

guint
hostile_connections(const struct hostile_plan *plan)
{
    return plan->connections > 0 ? plan->connections : HOSTILE_CONNECTIONS;
}

int
hostile_run(const struct hostile_plan *plan, uint16_t port, pid_t pid)
{
    struct crowd crowd = {.plan = plan};
    int descriptors = 0;

    for (guint i = 0; i < MAX(plan->rounds, 1); i++) {
        int64_t end_ms = process_now_ms() + CROWD_MAX_MS;

        open_crowd(&crowd, port);
        while (process_now_ms() < MIN(end_ms, crowd.progress_ms + QUIET_MS)) {
            run_once(&crowd);
            descriptors = MAX(descriptors, hostile_count_descriptors(pid));
        }
        close_crowd(&crowd);
    }
    return descriptors;
}

int
hostile_request(const struct hostile_plan *plan, uint16_t port)
{
    struct crowd crowd = {.plan = plan};
    struct client client = {
        .fd = connect_client(port),
        .block = g_string_new(NULL),
    };
    char head[READ_MAX_BYTES];
    ssize_t n;
    int status = -1;

    while (fill_block(&crowd, &client) &&
           send(client.fd, client.block->str, client.block->len,
                MSG_NOSIGNAL) == (ssize_t)client.block->len) {
    }
    n = recv(client.fd, head, sizeof(head) - 1, 0);
    if (n > 0) {
        head[n] = '\0';
        (void)!sscanf(head, "HTTP/1.1 %d", &status);
    }
    close(client.fd);
    g_string_free(client.block, TRUE);
    return status;
}

long
hostile_peak_memory_kb(pid_t pid)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
    g_autofree char *text = NULL;
    const char *line;

    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return -1;
    }
    /* The line is missing for a process that has exited. */
    line = strstr(text, "VmHWM:");
    return line != NULL ? strtol(line + strlen("VmHWM:"), NULL, 10) : -1;
}

int
hostile_count_descriptors(pid_t pid)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
    GDir *directory = g_dir_open(path, 0, NULL);
    int n = 0;

    if (directory == NULL) {
        return -1;
    }
    while (g_dir_read_name(directory) != NULL) {
        n++;
    }
    g_dir_close(directory);
    return n;
}
