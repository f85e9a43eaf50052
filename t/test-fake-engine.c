/* The contract of an engine, kept by its stand-in; and the relay. */
#include <glib.h>
#include <string.h>

#include "lib-http.h"
#include "lib-process.h"

#define TIMED_OUT 28
#define GOT_NOTHING 52
#define PARTIAL 18
#define REFUSED 7
#define CHAT "/v1/chat/completions"
#define STREAM "{\"stream\":true}"

static const struct http_case cases[] = {
    {"streamed",
     "{\"tokens\":3}",
     CHAT,
     STREAM,
     {"X-Request-Id: r1"},
     .status = 200,
     .contains = {"X-Request-Id: r1", "\"finish_reason\":\"stop\"",
                  "data: [DONE]"}},
    {"whole",
     NULL,
     CHAT,
     "{}",
     {"X-Request-Id: r2"},
     .status = 200,
     .contains = {"\"role\":\"assistant\"", "\"completion_tokens\":3"},
     .lacks = "[DONE]"},
    {"bounded",
     NULL,
     CHAT,
     "{\"max_tokens\":2}",
     {"X-Request-Id: r3"},
     .status = 200,
     .contains = {"\"completion_tokens\":2"}},
    {"no JSON", NULL, CHAT, "{", {"X-Request-Id: r4"}, .status = 400},
    {"declined",
     "{\"decline\":true}",
     CHAT,
     STREAM,
     {"X-Request-Id: r5"},
     .status = 503,
     .contains = {"X-Run-State: not-run", "Retry-After: 1"}},
    {"breaks",
     "{\"decline\":false,\"break_after_tokens\":2}",
     CHAT,
     STREAM,
     {"X-Request-Id: r6"},
     .error = PARTIAL,
     .status = 200,
     .lacks = "[DONE]"},
    {"breaks once only",
     "{\"fault_calls\":1}",
     CHAT,
     STREAM,
     {"X-Request-Id: r7"},
     .error = PARTIAL,
     .status = 200},
    {"then serves",
     NULL,
     CHAT,
     STREAM,
     {"X-Request-Id: r7"},
     .status = 200,
     .contains = {"[DONE]"}},
    {"goes silent",
     "{\"break_after_tokens\":-1,\"silent_after_tokens\":1,"
     "\"fault_calls\":1}",
     CHAT,
     STREAM,
     {"X-Request-Id: r8"},
     .timeout_ms = 2000,
     .error = TIMED_OUT,
     .status = 200,
     .lacks = "[DONE]"},
    {"answers for another",
     "{\"wrong_id\":true}",
     CHAT,
     STREAM,
     {"X-Request-Id: r9"},
     .status = 200,
     .contains = {"X-Request-Id: another-request"}},
    {"closes after reading",
     "{\"wrong_id\":false,\"close_after_read\":true}",
     CHAT,
     STREAM,
     {"X-Request-Id: r10"},
     .error = GOT_NOTHING},
    {"stalls and goes on",
     "{\"close_after_read\":false,\"stall_ms\":50}",
     CHAT,
     STREAM,
     {"X-Request-Id: r11"},
     .status = 200,
     .contains = {"[DONE]"}},
    {"old report", "{\"load_age_ms\":3600000}", "/load", .status = 200,
     .contains = {"\"age_ms\":3600000", "\"running\":0"}},
    {"cache events come late", "{\"cache_lag_ms\":3600000}",
     "/cache/events?from=1", .status = 200, .contains = {"\"events\":[]"}},
    {"cache events", "{\"cache_lag_ms\":0}", "/cache/events?from=2",
     .status = 200, .contains = {"\"seq\":2", "\"kind\":\"stored\""},
     .lacks = "\"seq\":1,"},
    {"order", "{\"checks_fencing\":true}", "/orders",
     "{\"order_id\":1,\"term\":5,\"kind\":\"role\",\"model\":\"m\"}",
     .status = 200},
    {"old order", NULL, "/orders",
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
body_of(uint16_t port, const char *resume)
{
    const char *headers[] = {"X-Request-Id: same", resume, NULL};
    struct http_call call = {.body = STREAM, .headers = headers};
    struct http_reply reply;

    http_call(port, CHAT, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    g_string_free(reply.head, TRUE);
    return g_string_free(reply.body, FALSE);
}

/* Another engine goes on with a stream at any byte. */
static void
test_resume_elsewhere(void)
{
    struct process engines[2];
    char *whole;

    for (int i = 0; i < 2; i++) {
        PROCESS_START(&engines[i], "t/fake/fake-engine", NULL);
    }
    whole = body_of(engines[0].port, NULL);
    for (size_t at = 0; at < strlen(whole); at += 97) {
        char *resume = g_strdup_printf("X-Resume-From: %zu", at);
        char *rest = body_of(engines[1].port, resume);

        g_assert_cmpstr(rest, ==, whole + at);
        g_free(rest);
        g_free(resume);
    }
    g_free(whole);
    process_kill(&engines[0]);
    process_kill(&engines[1]);
}

struct queued {
    uint16_t port;
    const char *priority;
};

static gpointer
call_queued(gpointer arg)
{
    struct queued *queued = arg;
    char *id = g_strdup_printf("X-Request-Id: %s", queued->priority);
    const char *headers[] = {id, queued->priority, NULL};
    struct http_call call = {.body = "{}", .headers = headers};
    struct http_reply reply;

    http_call(queued->port, CHAT, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    http_reply_free(&reply);
    g_free(id);
    return NULL;
}

static int
place_of(uint16_t port, const char *what)
{
    char *seen = http_get(port, "/fake/seen");
    const char *at = strstr(seen, what);
    int place = at ? (int)(at - seen) : -1;

    g_free(seen);
    return place;
}

/* With one slot taken, the later call of the higher priority starts first. */
static void
test_priority(void)
{
    struct process engine;
    struct queued queued[3];
    const char *const priorities[] = {"X-Priority: 1", "X-Priority: 3",
                                      "X-Priority: 0"};
    GThread *threads[3];

    PROCESS_START(&engine, "t/fake/fake-engine", NULL);
    http_set(engine.port, "/fake/set", "{\"slots\":1,\"stall_ms\":600000}");
    for (int i = 0; i < 3; i++) {
        queued[i] = (struct queued){engine.port, priorities[i]};
        threads[i] = g_thread_new("caller", call_queued, &queued[i]);
        AWAIT(HTTP_COUNT_SEEN(engine.port, "received") == i + 1, 30000);
    }
    g_assert_cmpint(HTTP_COUNT_SEEN(engine.port, "\"start\""), ==, 1);
    http_set(engine.port, "/fake/set", "{\"stall_ms\":1}");
    for (int i = 0; i < 3; i++) {
        g_thread_join(threads[i]);
    }
    g_assert_cmpint(
        place_of(engine.port, "\"request_id\":\"X-Priority: 0\",\"sent\":0,"),
        <,
        place_of(engine.port, "\"request_id\":\"X-Priority: 3\",\"sent\":0,"));
    process_kill(&engine);
}

static gpointer
call_cancelled(gpointer arg)
{
    struct process *engine = arg;
    const char *headers[] = {"X-Request-Id: c1", NULL};
    struct http_call call = {.body = STREAM, .headers = headers};
    struct http_reply reply;

    http_call(engine->port, CHAT, &call, &reply);
    g_assert_cmpint(reply.error, ==, PARTIAL);
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
    caller = g_thread_new("caller", call_cancelled, &engine);
    AWAIT(HTTP_COUNT_SEEN(engine.port, "\"silent\"") == 1, 30000);
    http_set(engine.port, "/cancel", "{\"request_id\":\"c1\"}");
    g_thread_join(caller);
    g_assert_cmpint(HTTP_COUNT_SEEN(engine.port, "\"cancelled\""), ==, 1);
    process_kill(&engine);
}

static void
test_relay(void)
{
    static const struct {
        const char *mode;
        int error;
        long status;
    } modes[] = {
        {"{\"mode\":\"pass\"}", 0, 200},
        {"{\"mode\":\"cut\"}", 0, 200},
        {"{\"mode\":\"silent\"}", 0, 200},
        {"{\"mode\":\"silent-all\"}", TIMED_OUT, 0},
        {"{\"mode\":\"refuse\"}", REFUSED, 0},
        {"{\"mode\":\"pass\"}", 0, 200},
    };
    struct http_client *kept = http_client_new();
    struct http_call call = {.timeout_ms = 2000};
    struct http_reply reply;
    struct process engine;
    struct process relay;
    char *to;

    PROCESS_START(&engine, "t/fake/fake-engine", NULL);
    to = g_strdup_printf("127.0.0.1:%u", engine.port);
    PROCESS_START(&relay, "t/fake/relay", "--to", to, NULL);
    http_client_call(kept, relay.port, "/load", &call, &reply);
    http_reply_free(&reply);
    for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
        http_set(relay.second_port, "/", modes[i].mode);
        if (strstr(modes[i].mode, "\"silent\"")) {
            /* The kept connection is silent, a new one is not. */
            call.timeout_ms = 300;
            http_client_call(kept, relay.port, "/load", &call, &reply);
            g_assert_cmpint(reply.error, ==, TIMED_OUT);
            http_reply_free(&reply);
        }
        call.timeout_ms = modes[i].error == TIMED_OUT ? 300 : 30000;
        http_call(relay.port, "/load", &call, &reply);
        g_assert_cmpint(reply.error, ==, modes[i].error);
        g_assert_cmpint(reply.status, ==, modes[i].status);
        http_reply_free(&reply);
        if (modes[i].error == 0) {
            http_client_call(kept, relay.port, "/load", &call, &reply);
            http_reply_free(&reply);
        }
    }
    http_client_free(kept);
    g_free(to);
    process_kill(&relay);
    process_kill(&engine);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fake-engine/contract", test_contract);
    g_test_add_func("/fake-engine/resume", test_resume_elsewhere);
    g_test_add_func("/fake-engine/priority", test_priority);
    g_test_add_func("/fake-engine/cancel", test_cancel);
    g_test_add_func("/fake-engine/relay", test_relay);
    return g_test_run();
}
