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
    /* Whether the answer has to be whole. */
    bool whole;
};

static const struct fault faults[] = {
    {"none", UNBROKEN, true},
    {"break before the first token",
     "{\"break_after_tokens\":0,\"fault_calls\":1}", true},
    {"break in mid-stream", "{\"break_after_tokens\":3,\"fault_calls\":1}",
     true},
    {"break before the last token",
     "{\"break_after_tokens\":7,\"fault_calls\":1}", true},
    {"silence before the first token",
     "{\"silent_after_tokens\":0,\"fault_calls\":1}", true},
    {"silence in mid-stream", "{\"silent_after_tokens\":3,\"fault_calls\":1}",
     true},
    {"all break before the first token", "{\"break_after_tokens\":0}", false},
    {"all break in mid-stream", "{\"break_after_tokens\":2}", false},
    {"all go silent", "{\"silent_after_tokens\":1}", false},
    {"all close after reading", "{\"close_after_read\":true}", false},
    {"all decline", "{\"decline\":true}", false},
    {"all answer for another request", "{\"wrong_id\":true}", false},
};

static void
run_faults(const char *body)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        struct caller_call call = {
            .key = d.alpha, .path = CHAT_PATH, .body = body};
        struct http_reply reply;
        bool whole;

        deployment_set_engines(&d, UNBROKEN);
        deployment_set_engines(&d, faults[i].set);
        deployment_call(&d, 0, NULL, &call, &reply);
        g_test_message("%s: %d %ld %s", faults[i].name, reply.error,
                       reply.status, reply.body->str);
        g_assert_null(strstr(reply.body->str, "another-request"));
        whole = is_whole(&reply, body);
        if (faults[i].whole && !whole) {
            g_error("%s: %d %ld %s", faults[i].name, reply.error, reply.status,
                    reply.body->str);
        }
        http_reply_free(&reply);
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

/* An engine that is killed in the middle of a stream. */
static void
test_engine_killed(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_STREAM};
    struct http_reply reply;

    deployment_set_engines(&d, UNBROKEN);
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
    g_test_add_func("/answer/streamed", test_streamed);
    g_test_add_func("/answer/not-streamed", test_not_streamed);
    g_test_add_func("/answer/engine-killed", test_engine_killed);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
