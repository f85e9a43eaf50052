/*
 * A caller receives the complete response to its own request, or an explicit
 * error, whatever fault the engines have.
 */
#include <string.h>

#include "lib-deployment.h"

#define NO_FAULTS                                                             \
    "{\"break_after_tokens\":-1,\"silent_after_tokens\":-1,"                  \
    "\"fault_calls\":-1,\"wrong_id\":false,\"decline\":false,"                \
    "\"close_after_read\":false}"

static struct deployment d;

/* Fetches the response that an engine without faults sends to the request. */
static char *
fetch_expected_body(const struct http_reply *reply, const char *body)
{
    char *id = http_reply_header(reply, "X-Request-Id");
    char *header = g_strdup_printf("X-Request-Id: %s", id);
    const char *headers[] = {header, NULL};
    struct http_call call = {.body = body, .headers = headers};
    struct http_reply direct;

    deployment_set_engines(&d, NO_FAULTS);
    http_call(d.engines[0].port, CHAT_PATH, &call, &direct);
    g_assert_cmpint(direct.status, ==, 200);
    g_string_free(direct.head, TRUE);
    g_free(header);
    g_free(id);
    return g_string_free(direct.body, FALSE);
}

/*
 * Returns whether the response is complete, byte for byte; fails the test if
 * it is neither complete nor an explicit error.
 */
static bool
is_complete(const struct http_reply *reply, const char *body)
{
    char *complete;
    bool equal;

    if (reply->status != 200) {
        g_assert_nonnull(strstr(reply->body->str, "\"run_state\":"));
        return false;
    }
    complete = fetch_expected_body(reply, body);
    equal = strcmp(complete, reply->body->str) == 0 && reply->error == 0;
    if (!equal) {
        g_assert_null(strstr(reply->body->str, "[DONE]"));
        g_assert_nonnull(strstr(reply->body->str, "event: error"));
        g_assert_cmpint(reply->error, !=, 0);
    }
    g_free(complete);
    return equal;
}

struct fault {
    const char *name;
    const char *set;
    /*
     * Event that the engine logs when a call meets the fault. NULL: all
     * engines have the fault at once, and the response may end with an error.
     */
    const char *hit_event;
};

/* Rounds over all engines within which a call must meet the fault. */
#define ROUNDS_MAX 20
/* Enough different prompts for the balancing to reach every engine. */
#define PROMPTS 16

static const struct fault faults[] = {
    {"abort before the first token",
     "{\"break_after_tokens\":0,\"fault_calls\":1}", "\"broken\""},
    {"abort in mid-stream", "{\"break_after_tokens\":3,\"fault_calls\":1}",
     "\"broken\""},
    {"abort before the last token",
     "{\"break_after_tokens\":7,\"fault_calls\":1}", "\"broken\""},
    {"silence before the first token",
     "{\"silent_after_tokens\":0,\"fault_calls\":1}", "\"silent\""},
    {"silence in mid-stream", "{\"silent_after_tokens\":3,\"fault_calls\":1}",
     "\"silent\""},
    {"all abort before the first token", "{\"break_after_tokens\":0}", NULL},
    {"all abort in mid-stream", "{\"break_after_tokens\":2}", NULL},
    {"all go silent", "{\"silent_after_tokens\":1}", NULL},
    {"all close after reading", "{\"close_after_read\":true}", NULL},
    {"all decline", "{\"decline\":true}", NULL},
    {"all respond to another request", "{\"wrong_id\":true}", NULL},
};

static bool
is_call_complete(const struct fault *fault, const char *body)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = body};
    struct http_reply reply;
    bool complete;

    deployment_call(&d, 0, NULL, &call, &reply);
    g_test_message("%s: %d %ld %s", fault->name, reply.error, reply.status,
                   reply.body->str);
    g_assert_null(strstr(reply.body->str, "another-request"));
    complete = is_complete(&reply, body);
    http_reply_free(&reply);
    return complete;
}

/*
 * Makes a call while engine i has the fault; returns how often the fault
 * occurred.
 */
static int
count_fault_hits(const struct fault *fault, const char *body, int i)
{
    uint16_t port = d.engines[i].port;
    int before = HTTP_COUNT_SEEN(port, fault->hit_event);

    deployment_set_engines(&d, NO_FAULTS);
    http_set(port, "/fake/set", fault->set);
    if (!is_call_complete(fault, body)) {
        g_error("%s: response is not complete", fault->name);
    }
    return HTTP_COUNT_SEEN(port, fault->hit_event) - before;
}

/*
 * Gives one engine after the other the fault until a call has met it. Which
 * engine a call reaches also depends on the engines that were ejected
 * recently.
 */
static void
check_fault(const struct fault *fault, const char *body)
{
    int hits = 0;

    for (int round = 0; round < ROUNDS_MAX && hits == 0; round++) {
        for (int i = 0; i < d.n_engines; i++) {
            hits += count_fault_hits(fault, body, i);
        }
    }
    g_assert_cmpint(hits, >, 0);
}

static void
check_all_faults(const char *body)
{
    for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
        if (faults[i].hit_event) {
            check_fault(&faults[i], body);
            continue;
        }
        deployment_set_engines(&d, faults[i].set);
        is_call_complete(&faults[i], body);
        /* Ejected engines are used again after a while. */
        deployment_set_engines(&d, NO_FAULTS);
        AWAIT(is_call_complete(&faults[i], body), AWAIT_TIMEOUT_MS);
    }
}

static void
test_streamed(void)
{
    check_all_faults(CHAT_STREAM);
}

static void
test_not_streamed(void)
{
    check_all_faults(CHAT_NOT_STREAMED);
}

/*
 * Returns whether every engine serves calls of the host; the different prompts
 * distribute them.
 */
static bool
all_engines_serve(int host)
{
    int before[UPSTREAMS_MAX];
    bool all_used = true;

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
        all_used = all_used &&
                   HTTP_COUNT_SEEN(d.engines[i].port, "\"start\"") > before[i];
    }
    return all_used;
}

/*
 * Calls succeed after an engine is killed. The test first waits until the
 * engines that earlier tests got ejected are used again, because otherwise no
 * engine may be left.
 */
static void
test_engine_killed(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_STREAM};
    struct http_reply reply;

    deployment_set_engines(&d, NO_FAULTS);
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(all_engines_serve(i), AWAIT_TIMEOUT_MS);
    }
    process_kill(&d.engines[1]);
    for (int i = 0; i < 8; i++) {
        deployment_call(&d, i % d.n_hosts, NULL, &call, &reply);
        g_assert_cmpint(reply.status, ==, 200);
        g_assert_true(is_complete(&reply, CHAT_STREAM));
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
