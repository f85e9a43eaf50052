/*
 * Stand-in for a runner. It takes one request at a time on a connection,
 * echoes its id, adds the proof, and answers 421 to a request that expects
 * another instance. It appends a line to its log for each request that it
 * runs. The environment names the headers: HEADER_EXPECT, HEADER_INSTANCE,
 * HEADER_PROOF.
 *
 * Usage: runner ID LOG ANSWER BYTES DELAY_MS
 * The answer begins DELAY_MS after the request. ANSWER:
 *   whole    a body of BYTES bytes with a length
 *   stream   a complete stream of events, one each 25 ms, until about BYTES
 *            bytes are sent
 *   endless  a head without a length, then BYTES bytes a second that hold no
 *            event, until the peer closes the connection
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BLOCK_BYTES 16384
#define STEP_US 5000
#define STEPS_PER_S 200
#define EVENT_US 25000
#define EVENT_BYTES 64

static const char *own_id;
static const char *answer;
static long answer_bytes;
static long delay_ms;
/* Names of headers. */
static const char *header_expect;
static const char *header_instance;
static const char *header_proof;
static FILE *log_file;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

static long long
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Copies the value of a header of the head; empty if there is none. */
static void
get_header(const char *head, const char *name, char *value, size_t size)
{
    const char *line = head;
    size_t n = strlen(name);

    value[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            const char *start = line + n + 1;
            size_t bytes;

            start += strspn(start, " ");
            bytes = strcspn(start, "\r");
            if (bytes >= size) {
                bytes = size - 1;
            }
            memcpy(value, start, bytes);
            value[bytes] = '\0';
            return;
        }
    }
}

static int
send_all(int fd, const char *data, size_t n)
{
    while (n > 0) {
        ssize_t sent = send(fd, data, n, MSG_NOSIGNAL);

        if (sent <= 0) {
            return -1;
        }
        data += sent;
        n -= (size_t)sent;
    }
    return 0;
}

/* Reads a request with a length. Returns 0, or -1 if the peer closed. */
static int
read_request(int fd, char *head)
{
    char length[32];
    size_t n = 0;
    char *end = NULL;
    long left;

    while (end == NULL) {
        ssize_t got = recv(fd, head + n, HEAD_MAX - 1 - n, 0);

        if (got <= 0) {
            return -1;
        }
        n += (size_t)got;
        head[n] = '\0';
        end = strstr(head, "\r\n\r\n");
    }
    get_header(head, "Content-Length", length, sizeof(length));
    left = atol(length) - (long)(head + n - (end + 4));
    end[4] = '\0';
    while (left > 0) {
        char block[BLOCK_BYTES];
        ssize_t got = recv(fd, block,
                           left < BLOCK_BYTES ? (size_t)left : BLOCK_BYTES, 0);

        if (got <= 0) {
            return -1;
        }
        left -= got;
    }
    return 0;
}

static void
log_run(const char *head, const char *id)
{
    char tenant[64];
    char target[128];

    get_header(head, "Tenant", tenant, sizeof(tenant));
    if (sscanf(head, "%*15s %127s", target) != 1) {
        target[0] = '\0';
    }
    pthread_mutex_lock(&log_lock);
    fprintf(log_file, "%lld runner %s runs %s %s tenant %s\n", now_ms(),
            own_id, id, target, tenant);
    fflush(log_file);
    pthread_mutex_unlock(&log_lock);
}

static int
write_whole(int fd)
{
    char block[BLOCK_BYTES];
    long left = answer_bytes;

    memset(block, 'z', sizeof(block));
    while (left > 0) {
        long n = left < BLOCK_BYTES ? left : BLOCK_BYTES;

        if (send_all(fd, block, (size_t)n) < 0) {
            return -1;
        }
        left -= n;
    }
    return 0;
}

static void
write_endless(int fd)
{
    char block[BLOCK_BYTES];

    memset(block, 'z', sizeof(block));
    for (;;) {
        long left = answer_bytes / STEPS_PER_S;

        while (left > 0) {
            long n = left < BLOCK_BYTES ? left : BLOCK_BYTES;

            if (send_all(fd, block, (size_t)n) < 0) {
                return;
            }
            left -= n;
        }
        usleep(STEP_US);
    }
}

/* Sends complete events with increasing ids after the last one received. */
static int
write_stream(int fd, const char *head)
{
    long events = answer_bytes / EVENT_BYTES;
    char last[32];
    char data[EVENT_BYTES + 1];
    char event[256];
    char chunk[320];

    memset(data, 'e', EVENT_BYTES);
    data[EVENT_BYTES] = '\0';
    get_header(head, "Last-Event-Id", last, sizeof(last));
    for (long id = atol(last) + 1; id <= events; id++) {
        snprintf(event, sizeof(event), "id: %ld\ndata: %s\n\n", id, data);
        snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
        if (send_all(fd, chunk, strlen(chunk)) < 0) {
            return -1;
        }
        usleep(EVENT_US);
    }
    return send_all(fd, "0\r\n\r\n", 5);
}

/* Returns whether the connection may serve another request. */
static int
reply(int fd, const char *head)
{
    char expected[64];
    char id[64];
    char out[512];

    get_header(head, "Request-Id", id, sizeof(id));
    get_header(head, header_expect, expected, sizeof(expected));
    if (expected[0] != '\0' && strcmp(expected, own_id) != 0) {
        snprintf(out, sizeof(out),
                 "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n"
                 "%s: %s\r\nContent-Length: 0\r\n\r\n",
                 id, header_instance, own_id);
        return send_all(fd, out, strlen(out)) == 0;
    }
    log_run(head, id);
    usleep((useconds_t)delay_ms * 1000);
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
             "%s: signed-%s\r\n",
             id, header_proof, own_id);
    if (send_all(fd, out, strlen(out)) < 0) {
        return 0;
    }
    if (strcmp(answer, "endless") == 0) {
        if (send_all(fd, "\r\n", 2) == 0) {
            write_endless(fd);
        }
        return 0;
    }
    if (strcmp(answer, "stream") == 0) {
        snprintf(out, sizeof(out),
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
        return send_all(fd, out, strlen(out)) == 0 &&
               write_stream(fd, head) == 0;
    }
    snprintf(out, sizeof(out), "Content-Length: %ld\r\n\r\n", answer_bytes);
    return send_all(fd, out, strlen(out)) == 0 && write_whole(fd) == 0;
}

static void *
serve(void *arg)
{
    int fd = (int)(long)arg;
    char *head = malloc(HEAD_MAX);

    while (head != NULL && read_request(fd, head) == 0 && reply(fd, head)) {
    }
    free(head);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);

    header_expect = getenv("HEADER_EXPECT");
    header_instance = getenv("HEADER_INSTANCE");
    header_proof = getenv("HEADER_PROOF");
    if (argc != 6 || header_expect == NULL || header_instance == NULL ||
        header_proof == NULL || (log_file = fopen(argv[2], "a")) == NULL) {
        fprintf(stderr, "usage: runner ID LOG ANSWER BYTES DELAY_MS\n");
        return 2;
    }
    own_id = argv[1];
    answer = argv[3];
    answer_bytes = atol(argv[4]);
    delay_ms = atol(argv[5]);
    signal(SIGPIPE, SIG_IGN);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) < 0 ||
        listen(listener, 128) < 0 ||
        getsockname(listener, (struct sockaddr *)&address, &size) < 0) {
        perror("runner");
        return 2;
    }
    printf("listening %u\n", ntohs(address.sin_port));
    fflush(stdout);
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        pthread_t thread;

        if (fd < 0 ||
            pthread_create(&thread, NULL, serve, (void *)(long)fd) != 0) {
            continue;
        }
        pthread_detach(thread);
    }
}
