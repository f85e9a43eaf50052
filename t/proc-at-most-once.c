/*
 * A call with an idempotency key on a non-idempotent route runs at most once,
 * also if the upstream, the log or the response to a claim fails.
 */
#include <string.h>

#include "lib-deployment.h"

static struct deployment d;

/*
 * Returns how often all plain services together ran calls with this
 * idempotency key.
 */
static int
count_runs(const char *idempotency_key)
{
    int n = 0;

    for (int i = 0; i < d.n_plains; i++) {
        n += HTTP_COUNT_SEEN(d.plains[i].port, "\"ran\",\"at_ms\"",
                             idempotency_key);
    }
    return n;
}

static void
set_plain_services(const char *json)
{
    for (int i = 0; i < d.n_plains; i++) {
        http_set(d.plains[i].port, "/fake/set", json);
    }
}

static void
send_booking(int host, const char *idempotency_key, struct http_reply *reply)
{
    struct caller_call call = {.key = d.alpha,
                               .path = "/v1/book",
                               .body = "{\"hall\":\"B\"}",
                               .idempotency_key = idempotency_key};

    deployment_call(&d, host, NULL, &call, reply);
}

/*
 * Makes calls that leave idle connections to the plain services, which the
 * host reuses.
 */
static void
open_idle_connections(int host)
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

/*
 * The service runs the call, then closes the connection or stays silent: the
 * call is refused as may-have-run and is not repeated at any host.
 */
static void
test_response_lost(void)
{
    static const struct {
        const char *fault;
        const char *recovery;
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
        open_idle_connections(0);
        set_plain_services(cases[i].fault);
        send_booking(0, key, &reply);
        deployment_assert_refused(&reply, cases[i].status, cases[i].type,
                                  "may-have-run");
        http_reply_free(&reply);
        set_plain_services(cases[i].recovery);
        for (int host = 0; host < d.n_hosts; host++) {
            send_booking(host, key, &reply);
            g_assert_cmpint(reply.status, !=, 200);
            g_assert_nonnull(strstr(reply.body->str, "may-have-run"));
            http_reply_free(&reply);
        }
        g_assert_cmpint(count_runs(key), ==, 1);
    }
}

/* A caller repeats a finished call at the same host and at other hosts. */
static void
test_repeat(void)
{
    struct http_reply reply;
    char key[40];

    deployment_idempotency_key(key);
    for (int i = 0; i < 2 * d.n_hosts; i++) {
        send_booking(i % d.n_hosts, key, &reply);
        if (i == 0) {
            g_assert_cmpint(reply.status, ==, 200);
        }
        http_reply_free(&reply);
    }
    g_assert_cmpint(count_runs(key), ==, 1);
}

struct racer {
    int host;
    const char *idempotency_key;
    long status;
};

static gpointer
run_racer(gpointer arg)
{
    struct racer *racer = arg;
    struct http_reply reply;

    send_booking(racer->host, racer->idempotency_key, &reply);
    racer->status = reply.status;
    http_reply_free(&reply);
    return NULL;
}

/* All hosts receive a call with the same idempotency key at the same time. */
static void
test_race(void)
{
    for (int round = 0; round < 10; round++) {
        struct racer racers[HOSTS_MAX];
        GThread *threads[HOSTS_MAX];
        char key[40];
        int n_served = 0;

        deployment_idempotency_key(key);
        for (int i = 0; i < d.n_hosts; i++) {
            racers[i] = (struct racer){i, key, 0};
            threads[i] = g_thread_new("racer", run_racer, &racers[i]);
        }
        for (int i = 0; i < d.n_hosts; i++) {
            g_thread_join(threads[i]);
            n_served += racers[i].status == 200;
        }
        g_assert_cmpint(count_runs(key), ==, 1);
        g_assert_cmpint(n_served, ==, 1);
    }
}

/*
 * While the log is unavailable no claim can be written, so a call that needs
 * one does not run.
 */
static void
test_log_outage(void)
{
    struct http_reply reply;
    char key[40];

    deployment_idempotency_key(key);
    deployment_set_platform(&d, "{\"outage\":1}");
    send_booking(0, key, &reply);
    g_assert_cmpint(reply.status, ==, 503);
    g_assert_nonnull(strstr(reply.body->str, "\"run_state\":\"not-run\""));
    http_reply_free(&reply);
    g_assert_cmpint(count_runs(key), ==, 0);
    deployment_set_platform(&d, "{\"outage\":0}");
    deployment_await_ready(&d);
    g_assert_cmpint(count_runs(key), ==, 0);
}

/*
 * The claim was appended and the response to it lost: the call runs if the
 * host finds its claim by reading the log, else it is refused as not run.
 */
static void
test_claim_response_lost(void)
{
    struct http_reply reply;
    char key[40];

    deployment_idempotency_key(key);
    deployment_set_platform(&d, "{\"lose_answers\":1}");
    send_booking(0, key, &reply);
    if (reply.status != 200) {
        g_assert_nonnull(strstr(reply.body->str, "\"run_state\":\"not-run\""));
    }
    g_assert_cmpint(count_runs(key), ==, reply.status == 200 ? 1 : 0);
    http_reply_free(&reply);
    send_booking(1, key, &reply);
    http_reply_free(&reply);
    g_assert_cmpint(count_runs(key), <=, 1);
    deployment_set_platform(&d, "{\"lose_answers\":0}");
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 1, 2);
    g_test_add_func("/at-most-once/response-lost", test_response_lost);
    g_test_add_func("/at-most-once/repeat", test_repeat);
    g_test_add_func("/at-most-once/race", test_race);
    g_test_add_func("/at-most-once/log-outage", test_log_outage);
    g_test_add_func("/at-most-once/claim-response-lost",
                    test_claim_response_lost);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
