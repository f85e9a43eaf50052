/*
 * uploads PORT length|chunked PREFIX PAUSE_MS
 *
 * Uploads bodies on two groups of connections at once. Each of the first
 * group stops just short of the end of its body, or of the largest one that
 * is allowed, stays open for the pause, and then sends the rest. Each of the
 * second group sends the start of a body, and goes on after the pause too.
 * Without a pause nobody stops. Prints the response to each request: its id,
 * its status, how it ended, and "promise" if the status says that the request
 * has not run.
 *
 * length: bodies of 4,000,000 bytes. chunked: the first group sends bodies in
 * chunks, which are a few bytes longer than the limit of 4 MiB.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net.h"

#define GROUP 6
#define BODY_BYTES 4000000L
#define LIMIT_BYTES 4194304L
/* What the second group sends before the pause. */
#define START_BYTES 16384L
/* How far short of the limit the first group stops, and what it sends then. */
#define SHORT_BYTES 10L
#define LAST_BYTES 64L
#define RESPONSE_TIMEOUT_MS 6000

struct upload {
    int fd;
    char id[NET_ID_MAX];
    bool chunked;
    /* Bytes sent before the pause and after it. */
    long before;
    long after;
    struct net_response response;
};

static const char *zeros;

static bool
send_part(const struct upload *upload, long n)
{
    char line[32];

    if (!upload->chunked) {
        return net_send(upload->fd, zeros, (size_t)n);
    }
    snprintf(line, sizeof(line), "%lx\r\n", (unsigned long)n);
    return net_send(upload->fd, line, strlen(line)) &&
           net_send(upload->fd, zeros, (size_t)n) &&
           net_send(upload->fd, "\r\n", 2);
}

static void
begin_upload(struct upload *upload, uint16_t port)
{
    char head[512];
    char framing[64];

    snprintf(framing, sizeof(framing), "Content-Length: %ld", BODY_BYTES);
    snprintf(head, sizeof(head),
             "POST /once/upload HTTP/1.1\r\nHost: svc.example\r\n"
             "Key: k1\r\nRequest-Id: %s\r\n%s: 8000\r\n%s\r\n\r\n",
             upload->id, net_header("HEADER_DEADLINE"),
             upload->chunked ? "Transfer-Encoding: chunked" : framing);
    upload->fd = net_connect(port, 0);
    if (upload->fd >= 0) {
        net_send(upload->fd, head, strlen(head));
    }
}

static void *
send_before(void *arg)
{
    const struct upload *upload = arg;

    send_part(upload, upload->before);
    return NULL;
}

static void *
send_after(void *arg)
{
    const struct upload *upload = arg;

    send_part(upload, upload->after);
    return NULL;
}

static void *
read_response(void *arg)
{
    struct upload *upload = arg;

    net_read_response(upload->fd, RESPONSE_TIMEOUT_MS, -1, &upload->response);
    return NULL;
}

static void
run_each(struct upload *uploads, int n, void *(*run)(void *arg))
{
    pthread_t threads[2 * GROUP];

    for (int i = 0; i < n; i++) {
        pthread_create(&threads[i], NULL, run, &uploads[i]);
    }
    for (int i = 0; i < n; i++) {
        pthread_join(threads[i], NULL);
    }
}

/* The first group first, as the second one only needs a little room. */
static void
send_starts(struct upload *first, struct upload *second, uint16_t port)
{
    for (int i = 0; i < GROUP; i++) {
        begin_upload(&first[i], port);
    }
    run_each(first, GROUP, send_before);
    for (int i = 0; i < GROUP; i++) {
        begin_upload(&second[i], port);
    }
    run_each(second, GROUP, send_before);
}

/*
 * One byte more of the second group needs room for a whole body. Its others
 * follow when there is room for them.
 */
static void
send_rest(struct upload *first, struct upload *second)
{
    for (int i = 0; i < GROUP; i++) {
        send_part(&second[i], 1);
        send_part(&first[i], first[i].after);
    }
}

int
main(int argc, char **argv)
{
    struct upload uploads[2 * GROUP] = {0};
    struct upload *second = uploads + GROUP;
    bool chunked;
    long pause_ms;
    uint16_t port;

    if (argc != 5) {
        fprintf(stderr,
                "usage: uploads PORT length|chunked PREFIX PAUSE_MS\n");
        return 2;
    }
    port = (uint16_t)strtol(argv[1], NULL, 10);
    chunked = strcmp(argv[2], "chunked") == 0;
    pause_ms = strtol(argv[4], NULL, 10);
    zeros = calloc(1, LIMIT_BYTES);
    for (int i = 0; i < 2 * GROUP; i++) {
        struct upload *upload = &uploads[i];

        snprintf(upload->id, sizeof(upload->id), "%s-%s-%d", argv[3],
                 i < GROUP ? "slow" : "other", i % GROUP);
        upload->chunked = chunked && i < GROUP;
        upload->before = i >= GROUP        ? START_BYTES
                         : upload->chunked ? LIMIT_BYTES - SHORT_BYTES
                                           : BODY_BYTES - 1;
        upload->after =
            upload->chunked ? LAST_BYTES : BODY_BYTES - upload->before;
    }
    send_starts(uploads, second, port);
    if (pause_ms > 0) {
        net_sleep_ms(pause_ms);
        send_rest(uploads, second);
        for (int i = 0; i < GROUP; i++) {
            second[i].after--;
        }
        run_each(second, GROUP, send_after);
    }
    else {
        run_each(uploads, 2 * GROUP, send_after);
    }
    run_each(uploads, 2 * GROUP, read_response);
    for (int i = 0; i < 2 * GROUP; i++) {
        printf("%s %d %s%s\n", uploads[i].id, uploads[i].response.status,
               net_end_text(uploads[i].response.end),
               uploads[i].response.promises ? " promise" : "");
        close(uploads[i].fd);
    }
    return 0;
}
