/*
 * Stand-in for a consumer, the operator and the platform's readiness check: it
 * sends one request and prints one line with what came back.
 *
 * Usage: caller PORT METHOD TARGET [OPTION=VALUE...]
 * Options: host, key, id, deadline (ms), file (the body), rate (bytes a second
 *          that the caller reads; 0: as fast as it can), wait (seconds until
 * it gives up) The line: ID TARGET status=N body=READ/LENGTH whole|cut|silent
 * at TIME_MS The environment names a header: HEADER_DEADLINE. Exit code: 0 if
 * a whole answer came, else 1.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define REQUEST_MAX (256 * 1024)
#define HEAD_MAX 65536
#define BLOCK_BYTES 16384
/* Keeps what a slow caller has not read at the sender. */
#define SLOW_RECEIVE_BYTES 65536

struct options {
    const char *host;
    const char *key;
    const char *id;
    const char *deadline;
    const char *file;
    long rate;
    long wait_s;
};

static long long
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
read_option(struct options *options, const char *text)
{
    const char *value = strchr(text, '=');
    size_t n;

    if (value == NULL) {
        return;
    }
    n = (size_t)(value++ - text);
#define IS(name) (n == strlen(name) && strncmp(text, name, n) == 0)
    if (IS("host")) {
        options->host = value;
    }
    else if (IS("key")) {
        options->key = value;
    }
    else if (IS("id")) {
        options->id = value;
    }
    else if (IS("deadline")) {
        options->deadline = value;
    }
    else if (IS("file")) {
        options->file = value;
    }
    else if (IS("rate")) {
        options->rate = atol(value);
    }
    else if (IS("wait")) {
        options->wait_s = atol(value);
    }
#undef IS
}

static size_t
read_file(const char *path, char *out, size_t size)
{
    FILE *file = path != NULL ? fopen(path, "r") : NULL;
    size_t n = 0;

    if (file != NULL) {
        n = fread(out, 1, size, file);
        fclose(file);
    }
    return n;
}

static size_t
write_request(char *out, char **argv, const struct options *options)
{
    static char body[REQUEST_MAX / 2];
    size_t body_bytes = read_file(options->file, body, sizeof(body));
    size_t n =
        (size_t)snprintf(out, REQUEST_MAX, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                         argv[2], argv[3], options->host);

    if (options->id[0] != '-') {
        n += (size_t)snprintf(out + n, REQUEST_MAX - n, "Request-Id: %s\r\n",
                              options->id);
    }
    if (options->key != NULL) {
        n += (size_t)snprintf(out + n, REQUEST_MAX - n, "Key: %s\r\n",
                              options->key);
    }
    if (options->deadline != NULL) {
        n += (size_t)snprintf(out + n, REQUEST_MAX - n, "%s: %s\r\n",
                              getenv("HEADER_DEADLINE"), options->deadline);
    }
    n += (size_t)snprintf(out + n, REQUEST_MAX - n,
                          "Content-Length: %zu\r\n\r\n", body_bytes);
    memcpy(out + n, body, body_bytes);
    return n + body_bytes;
}

static int
connect_to(int port, const struct options *options)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct timeval wait = {.tv_sec = options->wait_s};
    int bytes = SLOW_RECEIVE_BYTES;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (options->rate > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sleeps until the rate allows the bytes that were read. */
static void
keep_rate(long rate, long long start_ms, long read_bytes)
{
    long long due_ms = start_ms + (rate > 0 ? read_bytes * 1000LL / rate : 0);
    long long left_ms = due_ms - now_ms();

    if (rate > 0 && left_ms > 0) {
        usleep((useconds_t)left_ms * 1000);
    }
}

static long
content_length(const char *head)
{
    const char *line = strcasestr(head, "\r\nContent-Length:");

    return line != NULL ? atol(line + strlen("\r\nContent-Length:")) : -1;
}

int
main(int argc, char **argv)
{
    static char request[REQUEST_MAX];
    static char head[HEAD_MAX];
    struct options options = {
        .host = "guild.example", .id = "-", .wait_s = 20};
    const char *end_text = "silent";
    long long start_ms = now_ms();
    size_t head_bytes = 0;
    long body_bytes = 0;
    long length = -1;
    int status = 0;
    char *end = NULL;
    size_t n;
    int fd;

    if (argc < 4 || getenv("HEADER_DEADLINE") == NULL) {
        fprintf(stderr,
                "usage: caller PORT METHOD TARGET [OPTION=VALUE...]\n");
        return 2;
    }
    for (int i = 4; i < argc; i++) {
        read_option(&options, argv[i]);
    }
    fd = connect_to(atoi(argv[1]), &options);
    n = write_request(request, argv, &options);
    if (fd < 0 || send(fd, request, n, MSG_NOSIGNAL) != (ssize_t)n) {
        printf("%s %s no connection at %lld\n", options.id, argv[3], now_ms());
        return 1;
    }
    for (;;) {
        char block[BLOCK_BYTES];
        ssize_t got = recv(fd, block, sizeof(block), 0);

        if (got <= 0) {
            end_text = got == 0 || head_bytes > 0 ? "cut" : "silent";
            break;
        }
        if (end == NULL) {
            size_t kept = (size_t)got < HEAD_MAX - 1 - head_bytes
                              ? (size_t)got
                              : HEAD_MAX - 1 - head_bytes;

            memcpy(head + head_bytes, block, kept);
            head_bytes += kept;
            head[head_bytes] = '\0';
            end = strstr(head, "\r\n\r\n");
            if (end == NULL) {
                continue;
            }
            sscanf(head, "%*s %d", &status);
            length = content_length(head);
            body_bytes = (long)(head + head_bytes - (end + 4));
        }
        else {
            body_bytes += got;
        }
        if (length >= 0 && body_bytes >= length) {
            end_text = "whole";
            break;
        }
        keep_rate(options.rate, start_ms, body_bytes);
    }
    printf("%s %s status=%d body=%ld/%ld %s at %lld\n", options.id, argv[3],
           status, body_bytes, length, end_text, now_ms());
    return strcmp(end_text, "whole") != 0;
}
