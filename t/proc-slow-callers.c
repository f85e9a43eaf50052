/*
 * Guards against streams that break off or stop for good because the host
 * stops reading them from their upstream while their callers do not read.
 */
#include <string.h>

#include "lib-hostile.h"
#include "lib-raw-server.h"
#include "lib-relay-process.h"

#define CALLERS_MAX 48
/* Before its first read, and before each of the others. */
#define FIRST_PAUSE_US 1500000
#define PAUSE_US 200

#define RESPONSE_HEAD                                                         \
    "HTTP/1.1 200 OK\r\n" PLATFORM_ID ": %ID%\r\n" PLATFORM_PROOF ": s\r\n"

/*
 * Streams of 3 MB and more. A long event is longer than what a stream may
 * buffer while all callers wait, which is a part of the memory for calls.
 */
static const struct stream {
    const char *name;
    int memory_mb, callers, events, event_bytes;
} streams[] = {
    {"short-events", 64, CALLERS_MAX, 20000, 160},
    {"long-events", 56, 16, 16, 200 * 1024},
};

static struct relay_process f;

static bool
read_slowly(void *arg, const GString *body)
{
    bool *begun = arg;

    (void)body;
    g_usleep(*begun ? PAUSE_US : FIRST_PAUSE_US);
    *begun = true;
    return true;
}

/* Returns the body of the stream; chunked adds the framing of its chunks. */
static GString *
make_body(const struct stream *stream, bool chunked)
{
    g_autofree char *data = g_strnfill((gsize)stream->event_bytes, 'x');
    GString *out = g_string_new(NULL);

    for (int i = 1; i <= stream->events; i++) {
        g_autofree char *event =
            g_strdup_printf("id: %d\ndata: %s\n\n", i, data);

        if (chunked) {
            g_string_append_printf(out, "%zx\r\n", strlen(event));
        }
        g_string_append(out, event);
        g_string_append(out, chunked ? "\r\n" : "");
    }
    g_string_append(out, chunked ? "0\r\n\r\n" : "");
    return out;
}

static void *
call_slowly(void *arg)
{
    const char *const headers[] = {PLATFORM_HOST_HEADER, RELAY_PROCESS_KEY,
                                   arg, NULL};
    bool begun = false;
    const struct http_call call = {.headers = headers,
                                   .timeout_ms = RELAY_PROCESS_TIMEOUT_MS,
                                   .on_data = read_slowly,
                                   .arg = &begun};
    struct http_reply *reply = g_new0(struct http_reply, 1);

    http_call(f.host.port, "/s/str/x", &call, reply);
    return reply;
}

static bool
reaches(struct raw_server *server)
{
    const char *const headers[] = {RELAY_PROCESS_KEY, NULL};
    struct http_reply reply;
    char id[24];

    relay_process_call(&f, "/any/x", "{}", headers, &reply, id);
    http_reply_free(&reply);
    return raw_server_request_count(server) > 0;
}

static void
use_server(struct raw_server *server)
{
    g_autofree char *text = g_strdup_printf(
        "{\"service\":\"app\",\"addr\":\"%s\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"born\":9}",
        raw_server_address(server), CALLERS_MAX);

    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        relay_process_put_runner(&f, i, "draining");
    }
    platform_put(f.store.port, PLATFORM_TOPIC_UPSTREAMS, "raw", text);
    AWAIT(reaches(server), RELAY_PROCESS_TIMEOUT_MS);
}

static void
check_callers(const GString *body, int n)
{
    char ids[CALLERS_MAX][48];
    GThread *threads[CALLERS_MAX];

    for (int i = 0; i < n; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), PLATFORM_ID ": slow-%d", i);
        threads[i] = g_thread_new("caller", call_slowly, ids[i]);
    }
    for (int i = 0; i < n; i++) {
        struct http_reply *reply = g_thread_join(threads[i]);

        g_assert_cmpint(reply->error, ==, 0);
        g_assert_cmpint(reply->status, ==, 200);
        g_assert_cmpuint(reply->body->len, ==, body->len);
        g_assert_true(g_string_equal(reply->body, body));
        http_reply_free(reply);
        g_free(reply);
    }
}

static void
test_slow_callers(gconstpointer arg)
{
    const struct stream *stream = arg;
    g_autoptr(GString) body = make_body(stream, false);
    g_autoptr(GString) chunks = make_body(stream, true);
    g_autofree char *response =
        g_strconcat(RESPONSE_HEAD "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n",
                    chunks->str, NULL);
    /* The first reply is for the call that shows that the server is used. */
    const struct raw_reply replies[] = {
        {.text = RESPONSE_HEAD "Content-Length: 0\r\n\r\n"},
        {.text = response},
    };
    struct raw_server *server = raw_server_new(replies, G_N_ELEMENTS(replies));

    f = (struct relay_process){.memory_mb = stream->memory_mb};
    relay_process_start(&f);
    use_server(server);
    check_callers(body, stream->callers);
    g_test_message("peak %ld KB", hostile_peak_memory_kb(f.host.pid));
    process_kill(&f.host);
    relay_process_stop(&f);
    g_free(f.directory);
    g_free(f.settings);
    raw_server_free(server);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(streams); i++) {
        g_autofree char *path =
            g_strdup_printf("/slow-callers/%s", streams[i].name);

        g_test_add_data_func(path, &streams[i], test_slow_callers);
    }
    return g_test_run();
}
