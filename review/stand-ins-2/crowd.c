/*
 * crowd PORT COUNT ADDRESSES SECONDS
 *
 * Opens connections from several loopback addresses, and keeps them open. Each
 * sends the head of a request and what the host's machine takes of its body,
 * whose size is legal, but not its last byte. Prints how many connections were
 * opened.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define BODY_BYTES 1000000L
#define PART_BYTES 65536
#define PAUSE_MS 20
/* Descriptors besides those of the connections. */
#define RESERVED_FILES 16
#define FIRST_ADDRESS 2

struct connection {
    int fd;
    long left;
};

static void
begin_upload(struct connection *c, size_t number)
{
    char head[256];

    snprintf(head, sizeof(head),
             "POST /any/x HTTP/1.1\r\nHost: svc.example\r\nKey: k1\r\n"
             "Request-Id: crowd-%zu\r\nContent-Length: %ld\r\n\r\n",
             number, BODY_BYTES);
    net_send(c->fd, head, strlen(head));
    c->left = BODY_BYTES - 1;
}

/* Sends what is taken at once. */
static void
go_on(struct connection *c)
{
    static const char part[PART_BYTES];

    while (c->left > 0) {
        size_t n = c->left < PART_BYTES ? (size_t)c->left : PART_BYTES;
        ssize_t sent = send(c->fd, part, n, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            c->left = 0;
        }
        if (sent < 0) {
            return;
        }
        c->left -= sent;
    }
}

/* Opens the connections; returns how many there are. */
static size_t
open_all(struct connection *connections, size_t count, char **argv)
{
    uint16_t port = (uint16_t)strtol(argv[1], NULL, 10);
    size_t addresses = strtoul(argv[3], NULL, 10);
    size_t n = 0;

    for (; n < count; n++) {
        struct connection *c = &connections[n];

        c->fd = net_connect(port, FIRST_ADDRESS + (int)(n % addresses));
        if (c->fd < 0) {
            break;
        }
        begin_upload(c, n);
        fcntl(c->fd, F_SETFL, O_NONBLOCK);
    }
    return n;
}

int
main(int argc, char **argv)
{
    struct connection *connections;
    size_t most = net_raise_file_limit() - RESERVED_FILES;
    size_t count, opened;
    int64_t until_ms;

    if (argc != 5) {
        fprintf(stderr, "usage: crowd PORT COUNT ADDRESSES SECONDS\n");
        return 2;
    }
    count = strtoul(argv[2], NULL, 10);
    count = count < most ? count : most;
    connections = calloc(count, sizeof(*connections));
    if (connections == NULL) {
        return 1;
    }
    opened = open_all(connections, count, argv);
    printf("%zu\n", opened);
    fflush(stdout);
    until_ms = net_now_ms() + strtol(argv[4], NULL, 10) * 1000;
    while (net_now_ms() < until_ms) {
        for (size_t i = 0; i < opened; i++) {
            go_on(&connections[i]);
        }
        net_sleep_ms(PAUSE_MS);
    }
    free(connections);
    return 0;
}
