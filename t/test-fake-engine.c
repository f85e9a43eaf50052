/*
 * Tests that the fake engine keeps the contract of an engine, and of the
 * fault-injecting TCP proxy.
 */
#include <glib.h>
#include <string.h>

#include "lib-http.h"
#include "lib-process.h"

#define CURL_TIMED_OUT 28
#define CURL_GOT_NOTHING 52
#define CURL_PARTIAL_FILE 18
#define CURL_CONNECTION_REFUSED 7
#define CHAT_PATH "/v1/chat/completions"
#define STREAM_BODY "{\"stream\":true}"

static const struct http_case cases[] = {
    {"streamed",
     "{\"tokens\":3}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r1"},
     .status = 200,
     .contains = {"X-Request-Id: r1", "\"finish_reason\":\"stop\"",
                  "data: [DONE]"}},
    {"not streamed",
     NULL,
     CHAT_PATH,
     "{}",
     {"X-Request-Id: r2"},
     .status = 200,
     .contains = {"\"role\":\"assistant\"", "\"completion_tokens\":3"},
     .lacks = "[DONE]"},
    {"max_tokens",
     NULL,
     CHAT_PATH,
     "{\"max_tokens\":2}",
     {"X-Request-Id: r3"},
     .status = 200,
     .contains = {"\"completion_tokens\":2"}},
    {"invalid JSON",
     NULL,
     CHAT_PATH,
     "{",
     {"X-Request-Id: r4"},
     .status = 400},
    {"declined",
     "{\"decline\":true}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r5"},
     .status = 503,
     .contains = {"X-Run-State: not-run", "Retry-After: 1"}},
    {"aborts the stream",
     "{\"decline\":false,\"break_after_tokens\":2}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r6"},
     .error = CURL_PARTIAL_FILE,
     .status = 200,
     .lacks = "[DONE]"},
    {"aborts one call only",
     "{\"fault_calls\":1}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r7"},
     .error = CURL_PARTIAL_FILE,
     .status = 200},
    {"then completes the repeat",
     NULL,
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r7"},
     .status = 200,
     .contains = {"[DONE]"}},
    {"stops sending",
     "{\"break_after_tokens\":-1,\"silent_after_tokens\":1,"
     "\"fault_calls\":1}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r8"},
     .timeout_ms = 2000,
     .error = CURL_TIMED_OUT,
     .status = 200,
     .lacks = "[DONE]"},
    {"responds with another request id",
     "{\"wrong_id\":true}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r9"},
     .status = 200,
     .contains = {"X-Request-Id: another-request"}},
    {"closes after reading",
     "{\"wrong_id\":false,\"close_after_read\":true}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r10"},
     .error = CURL_GOT_NOTHING},
    {"stalls, then continues",
     "{\"close_after_read\":false,\"stall_ms\":50}",
     CHAT_PATH,
     STREAM_BODY,
     {"X-Request-Id: r11"},
     .status = 200,
     .contains = {"[DONE]"}},
    {"outdated load report", "{\"load_age_ms\":3600000}", "/load",
     .status = 200, .contains = {"\"age_ms\":3600000", "\"running\":0"}},
    {"delayed cache events", "{\"cache_lag_ms\":3600000}",
     "/cache/events?from=1", .status = 200, .contains = {"\"events\":[]"}},
    {"cache events", "{\"cache_lag_ms\":0}", "/cache/events?from=2",
     .status = 200, .contains = {"\"seq\":2", "\"kind\":\"stored\""},
     .lacks = "\"seq\":1,"},
    {"order", "{\"checks_fencing\":true}", "/orders",
     "{\"order_id\":1,\"term\":5,\"kind\":\"role\",\"model\":\"m\"}",
     .status = 200},
    {"order of an earlier term", NULL, "/orders",
     "{\"order_id\":2,\"term\":4,\"kind\":\"role\",\"model\":\"m\"}",
     .status = 409, .contains = {"old-term"}},
};

static void
test_contract(void)
{
    struct process engine;

    PROCESS_START(&engine, "t/fake/fake-engine", NULL);
    http_run_cases(engine.port, cases, G_N_ELEMENTS(cases));
    g_assert_cmpint(HTTP_COUNT_SEEN(engine.port, "\"broken\"", "\"sent\":2"),
                    ==, 2);
    AWAIT(HTTP_COUNT_SEEN(engine.port, "\"left\"", "\"r8\"") == 1, 30000);
    process_kill(&engine);
}

static char *
fetch_stream(uint16_t port, const char *resume)
{
    const char *headers[] = {"X-Request-Id: same", resume, NULL};
    struct http_call call = {.body = STREAM_BODY, .headers = headers};
    struct http_reply reply;

    http_call(port, CHAT_PATH, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    g_string_free(reply.head, TRUE);
    return g_string_free(reply.body, FALSE);
}

/* Another engine can resume a stream at any byte. */
static void
test_resume_on_other_engine(void)
{
    struct process engines[2];
    char *complete;

    for (int i = 0; i < 2; i++) {
        PROCESS_START(&engines[i], "t/fake/fake-engine", NULL);
    }
    complete = fetch_stream(engines[0].port, NULL);
    for (size_t offset = 0; offset < strlen(complete); offset += 97) {
        char *resume = g_strdup_printf("X-Resume-From: %zu", offset);
        char *rest = fetch_stream(engines[1].port, resume);

        g_assert_cmpstr(rest, ==, complete + offset);
        g_free(rest);
        g_free(resume);
    }
    g_free(complete);
    process_kill(&engines[0]);
    process_kill(&engines[1]);
}

struct queued_call {
    uint16_t port;
    const char *priority;
};

static gpointer
run_queued_call(gpointer arg)
{
    struct queued_call *queued = arg;
    char *id = g_strdup_printf("X-Request-Id: %s", queued->priority);
    const char *headers[] = {id, queued->priority, NULL};
    struct http_call call = {.body = "{}", .headers = headers};
    struct http_reply reply;

    http_call(queued->port, CHAT_PATH, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    http_reply_free(&reply);
    g_free(id);
    return NULL;
}

static int
position_in_seen(uint16_t port, const char *text)
{
    char *seen = http_get(port, "/fake/seen");
    const char *match = strstr(seen, text);
    int position = match ? (int)(match - seen) : -1;

    g_free(seen);
    return position;
}

/*
 * While the only slot is busy, a later call of higher priority starts before
 * earlier ones.
 */
static void
test_priority(void)
{
    struct process engine;
    struct queued_call queued_calls[3];
    const char *const priorities[] = {"X-Priority: 1", "X-Priority: 3",
                                      "X-Priority: 0"};
    GThread *threads[3];

    PROCESS_START(&engine, "t/fake/fake-engine", NULL);
    http_set(engine.port, "/fake/set", "{\"slots\":1,\"stall_ms\":600000}");
    for (int i = 0; i < 3; i++) {
        queued_calls[i] = (struct queued_call){engine.port, priorities[i]};
        threads[i] = g_thread_new("caller", run_queued_call, &queued_calls[i]);
        AWAIT(HTTP_COUNT_SEEN(engine.port, "received") == i + 1, 30000);
    }
    g_assert_cmpint(HTTP_COUNT_SEEN(engine.port, "\"start\""), ==, 1);
    http_set(engine.port, "/fake/set", "{\"stall_ms\":1}");
    for (int i = 0; i < 3; i++) {
        g_thread_join(threads[i]);
    }
    g_assert_cmpint(
        position_in_seen(engine.port,
                         "\"request_id\":\"X-Priority: 0\",\"sent\":0,"),
        <,
        position_in_seen(engine.port,
                         "\"request_id\":\"X-Priority: 3\",\"sent\":0,"));
    process_kill(&engine);
}

static gpointer
run_cancelled_call(gpointer arg)
{
    struct process *engine = arg;
    const char *headers[] = {"X-Request-Id: c1", NULL};
    struct http_call call = {.body = STREAM_BODY, .headers = headers};
    struct http_reply reply;

    http_call(engine->port, CHAT_PATH, &call, &reply);
    g_assert_cmpint(reply.error, ==, CURL_PARTIAL_FILE);
    g_assert_null(strstr(reply.body->str, "[DONE]"));
    http_reply_free(&reply);
    return NULL;
}

static void
test_cancel(void)
{
    struct process engine;
    GThread *caller;

    PROCESS_START(&engine, "t/fake/fake-engine", NULL);
    http_set(engine.port, "/fake/set", "{\"silent_after_tokens\":1}");
    caller = g_thread_new("caller", run_cancelled_call, &engine);
    AWAIT(HTTP_COUNT_SEEN(engine.port, "\"silent\"") == 1, 30000);
    http_set(engine.port, "/cancel", "{\"request_id\":\"c1\"}");
    g_thread_join(caller);
    g_assert_cmpint(HTTP_COUNT_SEEN(engine.port, "\"cancelled\""), ==, 1);
    process_kill(&engine);
}

static void
test_tcp_proxy(void)
{
    static const struct {
        const char *mode;
        int error;
        long status;
    } modes[] = {
        {"{\"mode\":\"pass\"}", 0, 200},
        {"{\"mode\":\"cut\"}", 0, 200},
        {"{\"mode\":\"silent\"}", 0, 200},
        {"{\"mode\":\"silent-all\"}", CURL_TIMED_OUT, 0},
        {"{\"mode\":\"refuse\"}", CURL_CONNECTION_REFUSED, 0},
        {"{\"mode\":\"pass\"}", 0, 200},
    };
    struct http_client *persistent = http_client_new();
    struct http_call call = {.timeout_ms = 2000};
    struct http_reply reply;
    struct process engine;
    struct process proxy;
    char *target;

    PROCESS_START(&engine, "t/fake/fake-engine", NULL);
    target = g_strdup_printf("127.0.0.1:%u", engine.port);
    PROCESS_START(&proxy, "t/fake/tcp-proxy", "--to", target, NULL);
    http_client_call(persistent, proxy.port, "/load", &call, &reply);
    http_reply_free(&reply);
    for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
        http_set(proxy.second_port, "/", modes[i].mode);
        if (strstr(modes[i].mode, "\"silent\"")) {
            /* The existing connection is silent, a new one is not. */
            call.timeout_ms = 300;
            http_client_call(persistent, proxy.port, "/load", &call, &reply);
            g_assert_cmpint(reply.error, ==, CURL_TIMED_OUT);
            http_reply_free(&reply);
        }
        call.timeout_ms = modes[i].error == CURL_TIMED_OUT ? 300 : 30000;
        http_call(proxy.port, "/load", &call, &reply);
        g_assert_cmpint(reply.error, ==, modes[i].error);
        g_assert_cmpint(reply.status, ==, modes[i].status);
        http_reply_free(&reply);
        if (modes[i].error == 0) {
            http_client_call(persistent, proxy.port, "/load", &call, &reply);
            http_reply_free(&reply);
        }
    }
    http_client_free(persistent);
    g_free(target);
    process_kill(&proxy);
    process_kill(&engine);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fake-engine/contract", test_contract);
    g_test_add_func("/fake-engine/resume", test_resume_on_other_engine);
    g_test_add_func("/fake-engine/priority", test_priority);
    g_test_add_func("/fake-engine/cancel", test_cancel);
    g_test_add_func("/fake-engine/tcp-proxy", test_tcp_proxy);
    return g_test_run();
}
