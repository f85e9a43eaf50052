/*
 * Guards against requests that a draining host drops because they were sent
 * behind another one on the same connection (review/5): each gets a response
 * or a refusal as not run, and the last one closes the connection.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib-relay-process.h"

static struct relay_process f;

#define GET(id)                                                               \
    "GET /any/x HTTP/1.1\r\n" PLATFORM_HOST_HEADER "\r\n" RELAY_PROCESS_KEY   \
    "\r\n" PLATFORM_ID ": " id "\r\n\r\n"
#define POST(id)                                                              \
    "POST /once/x HTTP/1.1\r\n" PLATFORM_HOST_HEADER "\r\n" RELAY_PROCESS_KEY \
    "\r\n" PLATFORM_ID ": " id "\r\nContent-Length: 4\r\n\r\nbody"

static const struct pipeline {
    const char *name;
    /* Sent before the stop, and after the first response. */
    const char *before, *after;
    int responses;
} pipelines[] = {
    {"two", GET("p-1") GET("p-2"), "", 2},
    {"bodies", POST("p-1") POST("p-2"), "", 2},
    {"four", GET("p-1") POST("p-2") GET("p-3") POST("p-4"), "", 4},
    {"part of a head", GET("p-1") "GET /any/x HTTP/1.1\r\nHost: svc.",
     "example\r\n" RELAY_PROCESS_KEY "\r\n" PLATFORM_ID ": p-2\r\n\r\n", 2},
    {"one", GET("p-1"), "", 1},
};

static int
connect_host(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_port = htons(f.host.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_no_errno(
        connect(fd, (struct sockaddr *)&address, sizeof(address)));
    return fd;
}

static void
send_text(int fd, const char *text)
{
    g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    strlen(text));
}

static int
count(const char *text, const char *part)
{
    int n = 0;

    for (; (text = strstr(text, part)) != NULL; text += strlen(part)) {
        n++;
    }
    return n;
}

/* Reads until the connection ends; sends the rest after the first response. */
static GString *
read_responses(int fd, const char *after)
{
    GString *text = g_string_new(NULL);
    char part[4096];
    ssize_t n;

    while ((n = read(fd, part, sizeof(part))) > 0) {
        bool first = text->len == 0;

        g_string_append_len(text, part, n);
        if (first) {
            send_text(fd, after);
        }
    }
    return text;
}

static void
test_pipeline(gconstpointer arg)
{
    const struct pipeline *pipeline = arg;
    int earlier = relay_process_count_runs(&f, "p-1");
    GString *text;
    int fd;

    relay_process_start_host(&f);
    relay_process_set_runners(&f, "{\"delay_ms\":300}");
    fd = connect_host();
    send_text(fd, pipeline->before);
    /* The first request is at its upstream when the stop begins. */
    AWAIT(relay_process_count_runs(&f, "p-1") > earlier,
          RELAY_PROCESS_TIMEOUT_MS);
    process_signal(&f.host, SIGTERM);
    text = read_responses(fd, pipeline->after);
    g_assert_cmpint(count(text->str, "HTTP/1.1 200 OK") +
                        count(text->str, "HTTP/1.1 503 "),
                    ==, pipeline->responses);
    g_assert_cmpint(count(text->str, "Connection: close"), ==, 1);
    close(fd);
    g_string_free(text, TRUE);
    g_assert_cmpint(process_wait(&f.host, RELAY_PROCESS_TIMEOUT_MS), ==, 0);
}

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    process_kill(&f.host);
    for (guint i = 0; i < G_N_ELEMENTS(pipelines); i++) {
        char *path = g_strdup_printf("/pipelined-drain/%s", pipelines[i].name);

        g_test_add_data_func(path, &pipelines[i], test_pipeline);
        g_free(path);
    }
    rc = g_test_run();
    relay_process_stop(&f);
    return rc;
}
