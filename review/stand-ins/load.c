/*
 * Stand-in for the consumers of one host: sends streams at a steady rate over
 * kept connections and writes a line for each.
 *
 * Usage: load PORT_FILE PREFIX PER_S SECONDS LOG
 * PORT_FILE holds the host's port; it is read for each new connection.
 * The line: ID nth=N status=S bytes=B whole|cut|none|refused at TIME_MS
 * N counts the requests of the connection from 1; "none": the connection was
 * closed before any byte of an answer; "refused": no connection.
 * The environment names headers: HEADER_TOKENS, HEADER_PARTS, HEADER_DEADLINE.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 160
#define ANSWER_MAX (64 * 1024)
#define DEADLINE_MS 12000
/* A consumer gives up a little after its deadline. */
#define GIVE_UP_S 13
#define US_PER_S 1e6
#define SHARED_PARTS 158

struct connection {
    pthread_t thread;
    int fd;
    int served;
    /* The number of the request to send; 0 if idle. */
    long request;
};

static struct connection connections[CONNECTIONS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static const char *port_file;
static const char *prefix;
/* Names of headers. */
static const char *header_tokens;
static const char *header_parts;
static const char *header_deadline;
static FILE *log_file;
static int stopping;

static long long
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int
open_connection(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    struct timeval wait = {.tv_sec = GIVE_UP_S};
    FILE *file = fopen(port_file, "r");
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    unsigned port = 0;

    if (file != NULL) {
        if (fscanf(file, "%u", &port) != 1) {
            port = 0;
        }
        fclose(file);
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

/* Whether the answer is complete: by its length, or by its last chunk. */
static int
is_whole(const char *answer, size_t n)
{
    const char *body = strstr(answer, "\r\n\r\n");
    const char *length = strstr(answer, "\r\nContent-Length: ");

    if (body == NULL) {
        return 0;
    }
    body += 4;
    if (length != NULL && length < body) {
        return answer + n >=
               body + atol(length + strlen("\r\nContent-Length: "));
    }
    return n >= 7 && strcmp(answer + n - 7, "\r\n0\r\n\r\n") == 0;
}

static void
write_line(const char *id, int nth, int status, size_t n, const char *end)
{
    pthread_mutex_lock(&lock);
    fprintf(log_file, "%s nth=%d status=%d bytes=%zu %s at %lld\n", id, nth,
            status, n, end, now_ms());
    fflush(log_file);
    pthread_mutex_unlock(&lock);
}

static void
send_request(struct connection *c)
{
    char *answer = calloc(1, ANSWER_MAX);
    char request[512];
    char id[64];
    const char *end = "none";
    size_t n = 0;
    int status = 0;
    int bytes;

    snprintf(id, sizeof(id), "%s-%ld", prefix, c->request);
    if (c->fd < 0) {
        c->fd = open_connection();
        c->served = 0;
    }
    if (c->fd < 0 || answer == NULL) {
        write_line(id, 0, 0, 0, "refused");
        free(answer);
        return;
    }
    bytes = snprintf(request, sizeof(request),
                     "POST /archive/q HTTP/1.1\r\nHost: guild.example\r\n"
                     "Request-Id: %s\r\nKey: key-one\r\nModel: m\r\n"
                     "%s: 17020,120\r\n%s: %lx:13300,%lx:3720\r\n"
                     "%s: %d\r\nContent-Length: 5\r\n\r\nquery",
                     id, header_tokens, header_parts,
                     0x1000 + c->request % SHARED_PARTS, 0x100000 + c->request,
                     header_deadline, DEADLINE_MS);
    send(c->fd, request, (size_t)bytes, MSG_NOSIGNAL);
    c->served++;
    while (n < ANSWER_MAX - 1) {
        ssize_t got = recv(c->fd, answer + n, ANSWER_MAX - 1 - n, 0);

        if (got <= 0) {
            break;
        }
        n += (size_t)got;
        end = "cut";
        if (is_whole(answer, n)) {
            end = "whole";
            break;
        }
    }
    if (n > 0) {
        sscanf(answer, "%*s %d", &status);
    }
    write_line(id, c->served, status, n, end);
    if (strcmp(end, "whole") != 0) {
        close(c->fd);
        c->fd = -1;
    }
    free(answer);
}

static void *
run_connection(void *arg)
{
    struct connection *c = arg;

    pthread_mutex_lock(&lock);
    while (!stopping || c->request > 0) {
        if (c->request == 0) {
            pthread_cond_wait(&changed, &lock);
            continue;
        }
        pthread_mutex_unlock(&lock);
        send_request(c);
        pthread_mutex_lock(&lock);
        c->request = 0;
    }
    pthread_mutex_unlock(&lock);
    return NULL;
}

/* Gives the request to an idle connection, one that is open if there is any.
 */
static void
dispatch(long request)
{
    struct connection *chosen = NULL;

    pthread_mutex_lock(&lock);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        struct connection *c = &connections[i];

        if (c->request == 0 && (chosen == NULL || c->fd >= 0)) {
            chosen = c;
        }
        if (chosen != NULL && chosen->fd >= 0) {
            break;
        }
    }
    if (chosen != NULL) {
        chosen->request = request;
    }
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

int
main(int argc, char **argv)
{
    double per_s;
    long n;

    header_tokens = getenv("HEADER_TOKENS");
    header_parts = getenv("HEADER_PARTS");
    header_deadline = getenv("HEADER_DEADLINE");
    if (argc != 6 || header_tokens == NULL || header_parts == NULL ||
        header_deadline == NULL || (log_file = fopen(argv[5], "a")) == NULL) {
        fprintf(stderr, "usage: load PORT_FILE PREFIX PER_S SECONDS LOG\n");
        return 2;
    }
    port_file = argv[1];
    prefix = argv[2];
    per_s = atof(argv[3]);
    n = (long)(per_s * atof(argv[4]));
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        connections[i].fd = -1;
        pthread_create(&connections[i].thread, NULL, run_connection,
                       &connections[i]);
    }
    for (long i = 1; i <= n; i++) {
        dispatch(i);
        usleep((useconds_t)(US_PER_S / per_s));
    }
    pthread_mutex_lock(&lock);
    stopping = 1;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        pthread_join(connections[i].thread, NULL);
    }
    return 0;
}
