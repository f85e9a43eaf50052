/*
 * Stand-in for a consumer that sends two requests on one connection, the
 * second without waiting for the first answer. It prints a line for each.
 *
 * Usage: pair PORT TARGET ID KEY WAIT_S
 * The requests have the ids ID-1 and ID-2. The lines:
 *   ID-1 answered at TIME_MS
 *   ID-2 sent at TIME_MS, closed without an answer at TIME_MS
 * The environment names a header: HEADER_DEADLINE.
 * Exit code: 0 if both were answered, else 1.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define ANSWERS_MAX 65536
#define REQUESTS 2

static long long
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int
connect_to(int port, long wait_s)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct timeval wait = {.tv_sec = wait_s};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Returns the end of the answer that starts here, or NULL if it lacks bytes.
 */
static const char *
end_of_answer(const char *start, const char *end)
{
    const char *body = strstr(start, "\r\n\r\n");
    const char *length = strstr(start, "\r\nContent-Length: ");

    if (body == NULL || length == NULL || length > body) {
        return NULL;
    }
    body += 4 + atol(length + strlen("\r\nContent-Length: "));
    return body <= end ? body : NULL;
}

int
main(int argc, char **argv)
{
    static char answers[ANSWERS_MAX];
    const char *header_deadline = getenv("HEADER_DEADLINE");
    const char *next = answers;
    char requests[2048];
    long long sent_ms;
    size_t n = 0;
    int answered = 0;
    int bytes = 0;
    int fd;

    if (argc != 6 || header_deadline == NULL) {
        fprintf(stderr, "usage: pair PORT TARGET ID KEY WAIT_S\n");
        return 2;
    }
    for (int i = 1; i <= REQUESTS; i++) {
        bytes += snprintf(requests + bytes, sizeof(requests) - (size_t)bytes,
                          "GET %s HTTP/1.1\r\nHost: guild.example\r\n"
                          "Request-Id: %s-%d\r\nKey: %s\r\n%s: 8000\r\n\r\n",
                          argv[2], argv[3], i, argv[4], header_deadline);
    }
    fd = connect_to(atoi(argv[1]), atol(argv[5]));
    if (fd < 0 || send(fd, requests, (size_t)bytes, MSG_NOSIGNAL) != bytes) {
        printf("%s no connection\n", argv[3]);
        return 2;
    }
    sent_ms = now_ms();
    while (answered < REQUESTS && n < ANSWERS_MAX - 1) {
        ssize_t got = recv(fd, answers + n, ANSWERS_MAX - 1 - n, 0);
        const char *end;

        if (got <= 0) {
            break;
        }
        n += (size_t)got;
        while (answered < REQUESTS &&
               (end = end_of_answer(next, answers + n)) != NULL) {
            answered++;
            next = end;
            printf("%s-%d answered at %lld\n", argv[3], answered, now_ms());
        }
    }
    for (int i = answered + 1; i <= REQUESTS; i++) {
        printf("%s-%d sent at %lld, closed without an answer at %lld\n",
               argv[3], i, sent_ms, now_ms());
    }
    return answered < REQUESTS;
}
