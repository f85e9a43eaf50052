/* A request that may not be repeated runs at most once, whatever fails. */
#include <string.h>

#include "lib-deployment.h"

static struct deployment d;

/* How often calls with this idempotency key ran, at all plain services. */
static int
count_ran(const char *idempotency_key)
{
    int n = 0;

    for (int i = 0; i < d.n_plains; i++) {
        n += HTTP_COUNT_SEEN(d.plains[i].port, "\"ran\",\"at_ms\"",
                             idempotency_key);
    }
    return n;
}

static void
set_plains(const char *json)
{
    for (int i = 0; i < d.n_plains; i++) {
        http_set(d.plains[i].port, "/fake/set", json);
    }
}

static void
book(int host, const char *idempotency_key, struct http_reply *reply)
{
    struct caller_call call = {.key = d.alpha,
                               .path = "/v1/book",
                               .body = "{\"hall\":\"B\"}",
                               .idempotency_key = idempotency_key};

    deployment_call(&d, host, NULL, &call, reply);
}

/* Leaves connections to the plain services that are kept for reuse. */
static void
warm_connections(int host)
{
    struct caller_call call = {
        .key = d.alpha, .path = "/v1/stock", .body = "{}"};

    for (int i = 0; i < 4 * d.n_plains; i++) {
        struct http_reply reply;

        deployment_call(&d, host, NULL, &call, &reply);
        g_assert_cmpint(reply.status, ==, 200);
        http_reply_free(&reply);
    }
}

/* The service runs the call and fails to say so. */
static void
test_answer_lost(void)
{
    static const struct {
        const char *fault;
        const char *mend;
        long status;
        const char *type;
    } cases[] = {
        {"{\"close_after_read\":true}", "{\"close_after_read\":false}", 502,
         "upstream-failed"},
        {"{\"silent\":true}", "{\"silent\":false}", 504, "upstream-silent"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct http_reply reply;
        char key[40];

        deployment_idempotency_key(key);
        warm_connections(0);
        set_plains(cases[i].fault);
        book(0, key, &reply);
        deployment_assert_refused(&reply, cases[i].status, cases[i].type,
                                  "may-have-run");
        http_reply_free(&reply);
        set_plains(cases[i].mend);
        for (int host = 0; host < d.n_hosts; host++) {
            book(host, key, &reply);
            g_assert_cmpint(reply.status, !=, 200);
            g_assert_nonnull(strstr(reply.body->str, "may-have-run"));
            http_reply_free(&reply);
        }
        g_assert_cmpint(count_ran(key), ==, 1);
    }
}

/* A repeat of a finished call, at the same host and at another one. */
static void
test_repeat(void)
{
    struct http_reply reply;
    char key[40];

    deployment_idempotency_key(key);
    for (int i = 0; i < 2 * d.n_hosts; i++) {
        book(i % d.n_hosts, key, &reply);
        if (i == 0) {
            g_assert_cmpint(reply.status, ==, 200);
        }
        http_reply_free(&reply);
    }
    g_assert_cmpint(count_ran(key), ==, 1);
}

struct racer {
    int host;
    const char *idempotency_key;
    long status;
};

static gpointer
race(gpointer arg)
{
    struct racer *racer = arg;
    struct http_reply reply;

    book(racer->host, racer->idempotency_key, &reply);
    racer->status = reply.status;
    http_reply_free(&reply);
    return NULL;
}

/* The same key at all hosts at the same time. */
static void
test_race(void)
{
    for (int round = 0; round < 10; round++) {
        struct racer racers[HOSTS_MAX];
        GThread *threads[HOSTS_MAX];
        char key[40];
        int served = 0;

        deployment_idempotency_key(key);
        for (int i = 0; i < d.n_hosts; i++) {
            racers[i] = (struct racer){i, key, 0};
            threads[i] = g_thread_new("racer", race, &racers[i]);
        }
        for (int i = 0; i < d.n_hosts; i++) {
            g_thread_join(threads[i]);
            served += racers[i].status == 200;
        }
        g_assert_cmpint(count_ran(key), ==, 1);
        g_assert_cmpint(served, ==, 1);
    }
}

/* Without the log there is no claim, so nothing runs. */
static void
test_log_down(void)
{
    struct http_reply reply;
    char key[40];

    deployment_idempotency_key(key);
    deployment_set_platform(&d, "{\"outage\":1}");
    book(0, key, &reply);
    g_assert_cmpint(reply.status, ==, 503);
    g_assert_nonnull(strstr(reply.body->str, "\"run_state\":\"not-run\""));
    http_reply_free(&reply);
    g_assert_cmpint(count_ran(key), ==, 0);
    deployment_set_platform(&d, "{\"outage\":0}");
    deployment_await_ready(&d);
    g_assert_cmpint(count_ran(key), ==, 0);
}

/* The claim took effect and its answer was lost: found by reading. */
static void
test_claim_answer_lost(void)
{
    struct http_reply reply;
    char key[40];

    deployment_idempotency_key(key);
    deployment_set_platform(&d, "{\"lose_answers\":1}");
    book(0, key, &reply);
    if (reply.status != 200) {
        g_assert_nonnull(strstr(reply.body->str, "\"run_state\":\"not-run\""));
    }
    g_assert_cmpint(count_ran(key), ==, reply.status == 200 ? 1 : 0);
    http_reply_free(&reply);
    book(1, key, &reply);
    http_reply_free(&reply);
    g_assert_cmpint(count_ran(key), <=, 1);
    deployment_set_platform(&d, "{\"lose_answers\":0}");
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 1, 2);
    g_test_add_func("/once/answer-lost", test_answer_lost);
    g_test_add_func("/once/repeat", test_repeat);
    g_test_add_func("/once/race", test_race);
    g_test_add_func("/once/log-down", test_log_down);
    g_test_add_func("/once/claim-answer-lost", test_claim_answer_lost);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
