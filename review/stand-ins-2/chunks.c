/*
 * chunks PORT ID FIRST_BYTES PAUSE_MS LAST_BYTES TIMEOUT_MS
 *
 * Uploads a body in chunks with a pause in the middle, sends its end, and
 * prints the id, the status of the response, how it ended, and after how many
 * milliseconds since the request began.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net.h"

static bool
send_chunk(int fd, const char *zeros, long n)
{
    char line[32];

    snprintf(line, sizeof(line), "%lx\r\n", (unsigned long)n);
    return net_send(fd, line, strlen(line)) &&
           net_send(fd, zeros, (size_t)n) && net_send(fd, "\r\n", 2);
}

int
main(int argc, char **argv)
{
    struct net_response response = {.end = NET_REFUSED};
    int64_t began_ms = net_now_ms();
    long first, last, timeout_ms;
    char *zeros;
    char head[512];
    int fd;

    if (argc != 7) {
        fprintf(stderr, "usage: chunks PORT ID FIRST_BYTES PAUSE_MS "
                        "LAST_BYTES TIMEOUT_MS\n");
        return 2;
    }
    first = strtol(argv[3], NULL, 10);
    last = strtol(argv[5], NULL, 10);
    timeout_ms = strtol(argv[6], NULL, 10);
    zeros = calloc(1, (size_t)(first > last ? first : last));
    fd = net_connect((uint16_t)strtol(argv[1], NULL, 10), 0);
    if (fd >= 0 && zeros != NULL) {
        snprintf(head, sizeof(head),
                 "POST /once/upload HTTP/1.1\r\nHost: svc.example\r\n"
                 "Key: k1\r\nRequest-Id: %s\r\n%s: %ld\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 argv[2], net_header("HEADER_DEADLINE"), timeout_ms);
        net_send(fd, head, strlen(head));
        send_chunk(fd, zeros, first);
        net_sleep_ms(strtol(argv[4], NULL, 10));
        send_chunk(fd, zeros, last);
        net_send(fd, "0\r\n\r\n", 5);
        net_read_response(fd, began_ms + timeout_ms - net_now_ms(), -1,
                          &response);
        close(fd);
    }
    free(zeros);
    printf("%s %d %s %" PRId64 "\n", argv[2], response.status,
           net_end_text(response.end), net_now_ms() - began_ms);
    return 0;
}
