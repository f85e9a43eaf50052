/* A caller gets the whole answer to its own request, or is told otherwise. */
#include <string.h>

#include "lib-deployment.h"

#define UNBROKEN                                                              \
    "{\"break_after_tokens\":-1,\"silent_after_tokens\":-1,"                  \
    "\"fault_calls\":-1,\"wrong_id\":false,\"decline\":false,"                \
    "\"close_after_read\":false}"

static struct deployment d;

/* The answer that an engine gives to the same request without a fault. */
static char *
expected(const struct http_reply *reply, const char *body)
{
    char *id = http_reply_header(reply, "X-Request-Id");
    char *header = g_strdup_printf("X-Request-Id: %s", id);
    const char *headers[] = {header, NULL};
    struct http_call call = {.body = body, .headers = headers};
    struct http_reply direct;

    deployment_set_engines(&d, UNBROKEN);
    http_call(d.engines[0].port, CHAT_PATH, &call, &direct);
    g_assert_cmpint(direct.status, ==, 200);
    g_string_free(direct.head, TRUE);
    g_free(header);
    g_free(id);
    return g_string_free(direct.body, FALSE);
}

/* Never something in between: whole to the byte, or an explicit error. */
static bool
is_whole(const struct http_reply *reply, const char *body)
{
    char *whole;
    bool same;

    if (reply->status != 200) {
        g_assert_nonnull(strstr(reply->body->str, "\"run_state\":"));
        return false;
    }
    whole = expected(reply, body);
    same = strcmp(whole, reply->body->str) == 0 && reply->error == 0;
    if (!same) {
        g_assert_null(strstr(reply->body->str, "[DONE]"));
        g_assert_nonnull(strstr(reply->body->str, "event: error"));
        g_assert_cmpint(reply->error, !=, 0);
    }
    g_free(whole);
    return same;
}

struct fault {
    const char *name;
    const char *set;
    /* What the engine writes down when it was hit; NULL: all have the fault
     * at once, and the answer may end with an error. */
    const char *hit;
};

/* Times that each engine gets the fault before it must have shown. */
#define ROUNDS_MAX 20
/* So many that they reach each engine. */
#define PROMPTS 16

static const struct fault faults[] = {
    {"break before the first token",
     "{\"break_after_tokens\":0,\"fault_calls\":1}", "\"broken\""},
    {"break in mid-stream", "{\"break_after_tokens\":3,\"fault_calls\":1}",
     "\"broken\""},
    {"break before the last token",
     "{\"break_after_tokens\":7,\"fault_calls\":1}", "\"broken\""},
    {"silence before the first token",
     "{\"silent_after_tokens\":0,\"fault_calls\":1}", "\"silent\""},
    {"silence in mid-stream", "{\"silent_after_tokens\":3,\"fault_calls\":1}",
     "\"silent\""},
    {"all break before the first token", "{\"break_after_tokens\":0}", NULL},
    {"all break in mid-stream", "{\"break_after_tokens\":2}", NULL},
    {"all go silent", "{\"silent_after_tokens\":1}", NULL},
    {"all close after reading", "{\"close_after_read\":true}", NULL},
    {"all decline", "{\"decline\":true}", NULL},
    {"all answer for another request", "{\"wrong_id\":true}", NULL},
};

static bool
call_is_whole(const struct fault *fault, const char *body)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = body};
    struct http_reply reply;
    bool whole;

    deployment_call(&d, 0, NULL, &call, &reply);
    g_test_message("%s: %d %ld %s", fault->name, reply.error, reply.status,
                   reply.body->str);
    g_assert_null(strstr(reply.body->str, "another-request"));
    whole = is_whole(&reply, body);
    http_reply_free(&reply);
    return whole;
}

/* A call while that engine has the fault; returns how often it showed. */
static int
hit_engine(const struct fault *fault, const char *body, int i)
{
    uint16_t port = d.engines[i].port;
    int before = HTTP_COUNT_SEEN(port, fault->hit);

    deployment_set_engines(&d, UNBROKEN);
    http_set(port, "/fake/set", fault->set);
    if (!call_is_whole(fault, body)) {
        g_error("%s: not whole", fault->name);
    }
    return HTTP_COUNT_SEEN(port, fault->hit) - before;
}

/*
 * One engine at a time has the fault, until a call met it: which one is chosen
 * changes with those that were taken out a moment ago.
 */
static void
run_fault(const struct fault *fault, const char *body)
{
    int hits = 0;

    for (int round = 0; round < ROUNDS_MAX && hits == 0; round++) {
        for (int i = 0; i < d.n_engines; i++) {
            hits += hit_engine(fault, body, i);
        }
    }
    g_assert_cmpint(hits, >, 0);
}

static void
run_faults(const char *body)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        if (faults[i].hit) {
            run_fault(&faults[i], body);
            continue;
        }
        deployment_set_engines(&d, faults[i].set);
        call_is_whole(&faults[i], body);
        /* Engines that were taken out come back. */
        deployment_set_engines(&d, UNBROKEN);
        AWAIT(call_is_whole(&faults[i], body), AWAIT_MS);
    }
}

static void
test_streamed(void)
{
    run_faults(CHAT_STREAM);
}

static void
test_not_streamed(void)
{
    run_faults(CHAT_WHOLE);
}

/* Whether each engine serves calls of that host; the prompts spread them. */
static bool
all_serve(int host)
{
    int before[UPSTREAMS_MAX];
    bool all = true;

    for (int i = 0; i < d.n_engines; i++) {
        before[i] = HTTP_COUNT_SEEN(d.engines[i].port, "\"start\"");
    }
    for (int i = 0; i < PROMPTS; i++) {
        char *body = g_strdup_printf(
            "{\"model\":\"large\",\"messages\":[{\"role\":\"user\","
            "\"content\":\"%d is the prompt\"}]}",
            i);
        struct caller_call call = {
            .key = d.alpha, .path = CHAT_PATH, .body = body};
        struct http_reply reply;

        deployment_call(&d, host, NULL, &call, &reply);
        http_reply_free(&reply);
        g_free(body);
    }
    for (int i = 0; i < d.n_engines; i++) {
        all =
            all && HTTP_COUNT_SEEN(d.engines[i].port, "\"start\"") > before[i];
    }
    return all;
}

/*
 * An engine that is killed in the middle of a stream. Those that the faults
 * before took out are back by then: else no engine may be left.
 */
static void
test_engine_killed(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_STREAM};
    struct http_reply reply;

    deployment_set_engines(&d, UNBROKEN);
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(all_serve(i), AWAIT_MS);
    }
    process_kill(&d.engines[1]);
    for (int i = 0; i < 8; i++) {
        deployment_call(&d, i % d.n_hosts, NULL, &call, &reply);
        g_assert_cmpint(reply.status, ==, 200);
        g_assert_true(is_whole(&reply, CHAT_STREAM));
        http_reply_free(&reply);
    }
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 2, 3, 1);
    g_test_add_func("/stored-response/streamed", test_streamed);
    g_test_add_func("/stored-response/not-streamed", test_not_streamed);
    g_test_add_func("/stored-response/engine-killed", test_engine_killed);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
