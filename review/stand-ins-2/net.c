#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define CONNECT_TIMEOUT_MS 2000
#define READ_BYTES 65536
#define HEX_BASE 16

const char *
net_header(const char *variable)
{
    const char *name = getenv(variable);

    if (name == NULL) {
        fprintf(stderr, "%s is not set\n", variable);
        exit(2);
    }
    return name;
}

int64_t
net_now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

void
net_sleep_ms(int64_t ms)
{
    const struct timespec pause = {ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS};

    nanosleep(&pause, NULL);
}

static bool
bind_source(int fd, int last)
{
    struct sockaddr_in source = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl((INADDR_LOOPBACK & ~0xffU) | (unsigned)last),
    };
    int on = 1;

    /* The port is chosen by connect(), so that it need not be unique. */
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    return bind(fd, (struct sockaddr *)&source, sizeof(source)) == 0;
}

int
net_connect(uint16_t port, int last)
{
    const struct timeval timeout = {CONNECT_TIMEOUT_MS / MS_PER_S, 0};
    struct sockaddr_in target = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    if ((last > 0 && !bind_source(fd, last)) ||
        connect(fd, (struct sockaddr *)&target, sizeof(target)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
net_send(int fd, const void *data, size_t n)
{
    const char *next = data;

    while (n > 0) {
        ssize_t sent = send(fd, next, n, MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            return false;
        }
        next += sent;
        n -= (size_t)sent;
    }
    return true;
}

size_t
net_raise_file_limit(void)
{
    struct rlimit files;

    if (getrlimit(RLIMIT_NOFILE, &files) < 0) {
        return 0;
    }
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    return files.rlim_max;
}

const char *
net_end_text(enum net_end end)
{
    static const char *const texts[] = {"whole", "closed", "timeout",
                                        "refused"};

    return texts[end];
}

/* Reads what is there before the deadline; returns 0 at the end, -1 later. */
static ssize_t
read_some(int fd, int64_t deadline_ms, char *out, size_t max, bool *timed_out)
{
    struct pollfd pfd = {.fd = fd, .events = POLLIN};
    int64_t left_ms = deadline_ms - net_now_ms();

    if (left_ms <= 0 || poll(&pfd, 1, (int)left_ms) <= 0) {
        *timed_out = true;
        return -1;
    }
    return recv(fd, out, max, 0);
}

/* Returns the value of a header of the head, or NULL. */
static const char *
find_header(const char *head, const char *name)
{
    const char *line = head;
    size_t n = strlen(name);

    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            return line + n + 1 + strspn(line + n + 1, " ");
        }
    }
    return NULL;
}

/* The part of a response that follows its head. */
struct body {
    bool chunked;
    /* Bytes left of the body, or of the present chunk; -1: until the end. */
    long left;
    bool whole;
};

/* Consumes bytes of a body in chunks, one line or one part at a time. */
static size_t
take_chunk(struct body *body, const char *data, size_t n, size_t *content)
{
    const char *end;

    *content = 0;
    if (body->left > 0) {
        *content = n < (size_t)body->left ? n : (size_t)body->left;
        body->left -= (long)*content;
        return *content;
    }
    end = memchr(data, '\n', n);
    if (end == NULL) {
        return 0;
    }
    if (end - data > 1) {
        body->left = strtol(data, NULL, HEX_BASE);
        body->whole = body->left == 0;
    }
    return (size_t)(end - data) + 1;
}

static size_t
take_plain(struct body *body, size_t n, size_t *content)
{
    *content =
        body->left < 0 || n < (size_t)body->left ? n : (size_t)body->left;
    if (body->left >= 0) {
        body->left -= (long)*content;
        body->whole = body->left == 0;
    }
    return *content;
}

/* Passes on what is complete; returns how many bytes were consumed. */
static size_t
take_body(struct body *body, const char *data, size_t n, int out,
          struct net_response *response)
{
    size_t taken = 0;

    while (taken < n && !body->whole) {
        size_t content;
        size_t step = body->chunked
                          ? take_chunk(body, data + taken, n - taken, &content)
                          : take_plain(body, n - taken, &content);

        if (step == 0) {
            break;
        }
        if (out >= 0 && content > 0 && write(out, data + taken, content) < 0) {
            return n;
        }
        response->body_bytes += content;
        taken += step;
    }
    return taken;
}

static void
begin_body(const char *head, struct body *body)
{
    const char *length = find_header(head, "Content-Length");
    const char *coding = find_header(head, "Transfer-Encoding");

    body->chunked = coding != NULL && strncasecmp(coding, "chunked", 7) == 0;
    body->left = length != NULL ? strtol(length, NULL, 10) : -1;
    if (body->chunked) {
        body->left = 0;
    }
    body->whole = !body->chunked && body->left == 0;
}

static bool
is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
end_response(struct net_response *response, const struct body *body,
             bool has_head, bool timed_out)
{
    /* A body without a length ends with its connection. */
    bool unframed = has_head && !body->chunked && body->left < 0;

    if (has_head && (body->whole || (unframed && !timed_out))) {
        response->end = NET_WHOLE;
    }
    else {
        response->end = timed_out ? NET_TIMEOUT : NET_CLOSED;
    }
    response->promises =
        response->end == NET_WHOLE && is_promise(response->status);
}

void
net_read_response(int fd, int64_t timeout_ms, int out,
                  struct net_response *response)
{
    int64_t deadline_ms = net_now_ms() + timeout_ms;
    struct body body = {.left = -1};
    char buffer[READ_BYTES + 1];
    size_t filled = 0;
    bool has_head = false;
    bool timed_out = false;

    memset(response, 0, sizeof(*response));
    while (!(has_head && body.whole)) {
        ssize_t n = read_some(fd, deadline_ms, buffer + filled,
                              READ_BYTES - filled, &timed_out);
        size_t taken = 0;
        char *end;

        if (n <= 0) {
            break;
        }
        filled += (size_t)n;
        buffer[filled] = '\0';
        while (!has_head && (end = strstr(buffer, "\r\n\r\n")) != NULL) {
            end[2] = '\0';
            response->status =
                (int)strtol(buffer + strlen("HTTP/1.1"), NULL, 10);
            taken = (size_t)(end - buffer) + 4;
            has_head = response->status >= 200;
            if (has_head) {
                begin_body(buffer, &body);
            }
            memmove(buffer, buffer + taken, filled - taken + 1);
            filled -= taken;
        }
        if (has_head) {
            taken = take_body(&body, buffer, filled, out, response);
            memmove(buffer, buffer + taken, filled - taken + 1);
            filled -= taken;
        }
    }
    end_response(response, &body, has_head, timed_out);
}
