/*
 * runner ID LOG DELAY_MS
 *
 * A server that runs plain requests: it reads the whole request, logs it,
 * and answers 200 after the delay. As the pages ask, it answers 421 to a
 * request that expects another server, and 400 as not run to one
 * without an id. Prints "listening PORT".
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define BACKLOG 512
#define READ_BYTES 65536

static const char *own_id;
static FILE *log_file;
static int64_t delay_ms;
static const char *header_expect;
static const char *header_instance;
static const char *header_proof;
static const char *header_not_run;

struct request {
    char head[NET_HEAD_MAX];
    /* Bytes of the body in the buffer behind the head. */
    size_t after_head;
    char id[NET_ID_MAX];
    char expected[NET_ID_MAX];
    long length;
};

/* Copies the value of a header; the value is empty if there is none. */
static void
copy_header(const char *head, const char *name, char value[NET_ID_MAX])
{
    const char *line = head;
    size_t n = strlen(name);

    value[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            line += n + 1 + strspn(line + n + 1, " ");
            snprintf(value, NET_ID_MAX, "%.*s", (int)strcspn(line, "\r"),
                     line);
            return;
        }
    }
}

static bool
read_head(int fd, struct request *request)
{
    char length[NET_ID_MAX];
    size_t filled = 0;
    char *end = NULL;

    while (end == NULL && filled < NET_HEAD_MAX - 1) {
        ssize_t n =
            recv(fd, request->head + filled, NET_HEAD_MAX - 1 - filled, 0);

        if (n <= 0) {
            return false;
        }
        filled += (size_t)n;
        request->head[filled] = '\0';
        end = strstr(request->head, "\r\n\r\n");
    }
    if (end == NULL) {
        return false;
    }
    request->after_head = filled - (size_t)(end + 4 - request->head);
    end[2] = '\0';
    copy_header(request->head, "Request-Id", request->id);
    copy_header(request->head, header_expect, request->expected);
    copy_header(request->head, "Content-Length", length);
    request->length = strtol(length, NULL, 10);
    return true;
}

static bool
read_body(int fd, const struct request *request)
{
    long left = request->length - (long)request->after_head;
    char buffer[READ_BYTES];

    while (left > 0) {
        ssize_t n = recv(fd, buffer, sizeof(buffer), 0);

        if (n <= 0) {
            return false;
        }
        left -= n;
    }
    return true;
}

static void
respond(int fd, int status, const char *headers, const char *body)
{
    char text[512];

    snprintf(text, sizeof(text),
             "HTTP/1.1 %d X\r\n%sConnection: close\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             status, headers, strlen(body), body);
    net_send(fd, text, strlen(text));
}

static void
log_request(const char *what, const struct request *request)
{
    flockfile(log_file);
    fprintf(log_file, "%" PRId64 " %s %s %s %ld\n", net_now_ms(), own_id, what,
            request->id, request->length);
    fflush(log_file);
    funlockfile(log_file);
}

static void
run_request(int fd, const struct request *request)
{
    char headers[256];

    log_request("ran", request);
    net_sleep_ms(delay_ms);
    snprintf(headers, sizeof(headers), "Request-Id: %s\r\n%s: %s\r\n",
             request->id, header_proof, own_id);
    respond(fd, 200, headers, "done");
    log_request("ended", request);
}

static void *
serve(void *arg)
{
    struct request *request = calloc(1, sizeof(*request));
    char headers[256];
    int fd = (int)(intptr_t)arg;

    if (request == NULL || !read_head(fd, request)) {
        goto out;
    }
    snprintf(headers, sizeof(headers), "Request-Id: %s\r\n%s: %s\r\n",
             request->id, header_instance, own_id);
    if (request->id[0] == '\0') {
        snprintf(headers, sizeof(headers), "%s: 1\r\n", header_not_run);
        respond(fd, 400, headers, "");
    }
    else if (request->expected[0] != '\0' &&
             strcmp(request->expected, own_id) != 0) {
        respond(fd, 421, headers, "");
    }
    else if (read_body(fd, request)) {
        run_request(fd, request);
    }
out:
    free(request);
    close(fd);
    return NULL;
}

static int
start_listening(void)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) < 0 ||
        listen(fd, BACKLOG) < 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) < 0) {
        return -1;
    }
    printf("listening %u\n", ntohs(address.sin_port));
    fflush(stdout);
    return fd;
}

int
main(int argc, char **argv)
{
    int listener;

    if (argc != 4 || (log_file = fopen(argv[2], "ae")) == NULL) {
        fprintf(stderr, "usage: runner ID LOG DELAY_MS\n");
        return 2;
    }
    header_expect = net_header("HEADER_EXPECT");
    header_instance = net_header("HEADER_INSTANCE");
    header_proof = net_header("HEADER_PROOF");
    header_not_run = net_header("HEADER_NOT_RUN");
    own_id = argv[1];
    delay_ms = strtol(argv[3], NULL, 10);
    signal(SIGPIPE, SIG_IGN);
    listener = start_listening();
    if (listener < 0) {
        return 1;
    }
    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        pthread_t thread;

        if (fd < 0) {
            continue;
        }
        if (pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd) != 0) {
            close(fd);
            continue;
        }
        pthread_detach(thread);
    }
}
