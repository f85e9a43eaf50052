/*
 * Guards against a response that breaks off in its head and reaches the caller
 * as a complete one: an upstream of a relaying host closes the connection
 * after each number of bytes of its head. A call may be retried, so that a
 * reply may go to the second attempt of a call; no call may end in a success.
 */
#include <string.h>

#include "lib-raw-server.h"
#include "lib-relay-process.h"

static struct relay_process f;

/* With its last byte the response is complete. */
struct head {
    const char *name, *text;
    /* Id of the upstream that sends it. */
    const char *id;
};

#define OK "HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nRunner-Signature: s\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"

static const struct head heads[] = {
    {"empty", OK "Content-Length: 0\r\nX-A: b\r\n\r\n", "raw-1"},
    {"until close", OK EVENTS "\r\n", "raw-2"},
    {"no content",
     "HTTP/1.1 204 No Content\r\nRequest-Id: %ID%\r\n"
     "Runner-Signature: s\r\n\r\n",
     "raw-3"},
    {"after interim",
     "HTTP/1.1 102 Wait\r\n\r\n" OK "Content-Length: 0\r\n\r\n", "raw-4"},
};

static const char *const paths[] = {"/once/x", "/any/x", "/s/str/x",
                                    "/s/res/x"};

/* Headers of each call. */
#define CALL_HEADERS RELAY_PROCESS_KEY, "Deadline-Ms: 2000"

/* Lists the server as the only upstream. */
static void
use_server(const struct raw_server *server, const char *name)
{
    char *text = g_strdup_printf(
        "{\"service\":\"app\",\"addr\":\"%s\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"born\":9}",
        raw_server_address(server));

    for (int i = 0; i < RELAY_PROCESS_RUNNERS; i++) {
        relay_process_put_runner(&f, i, "draining");
    }
    RELAY_PROCESS_AWAIT_STATUS(&f, 503, "/once/x", CALL_HEADERS);
    platform_put(f.store.port, PLATFORM_TOPIC_UPSTREAMS, name, text);
    g_free(text);
}

/*
 * Makes a call, which must not look complete. Returns the number of requests
 * that the server has received.
 */
static guint
check_call(struct raw_server *server, const char *path)
{
    long status = RELAY_PROCESS_STATUS(&f, path, CALL_HEADERS);

    g_assert_true(status == 502 || status == 503 || status == 504);
    return raw_server_request_count(server);
}

static void
test_cut_head(gconstpointer arg)
{
    const struct head *head = arg;
    size_t n = strlen(head->text);
    struct raw_reply *replies = g_new0(struct raw_reply, n);
    struct raw_server *server;
    guint calls = 0;

    for (size_t cut = 0; cut < n; cut++) {
        replies[cut].text = g_strndup(head->text, cut);
        replies[cut].next_action = RAW_CLOSE;
    }
    server = raw_server_new(replies, (guint)n);
    use_server(server, head->id);
    /* While no upstream is known, calls are refused. */
    AWAIT(check_call(server, paths[calls++ % G_N_ELEMENTS(paths)]) >= n,
          RELAY_PROCESS_TIMEOUT_MS);
    platform_put(f.store.port, PLATFORM_TOPIC_UPSTREAMS, head->id, "");
    raw_server_free(server);
    for (size_t cut = 0; cut < n; cut++) {
        g_free((char *)replies[cut].text);
    }
    g_free(replies);
}

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    for (guint i = 0; i < G_N_ELEMENTS(heads); i++) {
        char *path = g_strdup_printf("/cut-head/%s", heads[i].name);

        g_test_add_data_func(path, &heads[i], test_cut_head);
        g_free(path);
    }
    rc = g_test_run();
    process_kill(&f.host);
    relay_process_stop(&f);
    return rc;
}
