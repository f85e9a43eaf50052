/*
 * request [-t MS] [-H LINE]... [-d TEXT] [-o FILE] METHOD PORT PATH
 *
 * Makes one request and prints its status, the size of its body, how it
 * ended, and the milliseconds that it took.
 */
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net.h"

#define TIMEOUT_MS 5000

struct options {
    int64_t timeout_ms;
    const char *body;
    int out;
    char headers[NET_HEAD_MAX];
};

static int
parse_options(int argc, char **argv, struct options *options)
{
    size_t n = 0;
    int c;

    while ((c = getopt(argc, argv, "t:H:d:o:")) != -1) {
        if (c == 't') {
            options->timeout_ms = strtol(optarg, NULL, 10);
        }
        else if (c == 'H') {
            n += (size_t)snprintf(options->headers + n,
                                  sizeof(options->headers) - n, "%s\r\n",
                                  optarg);
        }
        else if (c == 'd') {
            options->body = optarg;
        }
        else if (c == 'o') {
            options->out =
                open(optarg, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        }
        else {
            return -1;
        }
    }
    return argc - optind == 3 ? 0 : -1;
}

static bool
send_request(int fd, const struct options *options, char **argv)
{
    char *head = malloc(2 * NET_HEAD_MAX);
    bool sent;

    if (head == NULL) {
        return false;
    }
    snprintf(head, 2 * NET_HEAD_MAX,
             "%s %s HTTP/1.1\r\n%s%sContent-Length: %zu\r\n\r\n", argv[0],
             argv[2],
             strstr(options->headers, "Host:") ? "" : "Host: localhost\r\n",
             options->headers, strlen(options->body));
    sent = net_send(fd, head, strlen(head)) &&
           net_send(fd, options->body, strlen(options->body));
    free(head);
    return sent;
}

int
main(int argc, char **argv)
{
    static struct options options = {TIMEOUT_MS, "", -1, ""};
    struct net_response response = {.end = NET_REFUSED};
    int64_t began_ms = net_now_ms();
    int fd;

    if (parse_options(argc, argv, &options) < 0) {
        fprintf(stderr, "usage: request [-t MS] [-H LINE] [-d TEXT] "
                        "[-o FILE] METHOD PORT PATH\n");
        return 2;
    }
    argv += optind;
    fd = net_connect((uint16_t)strtol(argv[1], NULL, 10), 0);
    if (fd >= 0) {
        send_request(fd, &options, argv);
        net_read_response(fd, options.timeout_ms, options.out, &response);
        close(fd);
    }
    printf("%d %zu %s %" PRId64 "\n", response.status, response.body_bytes,
           net_end_text(response.end), net_now_ms() - began_ms);
    return response.end == NET_WHOLE ? 0 : 1;
}
