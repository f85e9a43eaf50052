/*
 * Every host explains a refusal, also after the host that refused the call was
 * killed.
 */
#include <signal.h>
#include <string.h>

#include "lib-state.h"

static struct deployment d;

/*
 * Makes host 0 refuse a call of gamma, which has no access to the route;
 * returns the request id.
 */
static char *
make_refused_call(void)
{
    struct caller_call call = {
        .key = d.gamma, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};
    struct http_reply reply;
    char *id;

    deployment_call(&d, 0, NULL, &call, &reply);
    deployment_assert_refused(&reply, 403, "route-forbidden", "not-run");
    id = http_reply_header(&reply, "X-Request-Id");
    g_assert_nonnull(id);
    http_reply_free(&reply);
    return id;
}

/*
 * Runs "explain" at host i and returns its exit code. If it succeeds, the
 * output must name the organisation, route, refusal, run state, host and path.
 */
static int
run_explain(int i, const char *id)
{
    static const char *const expected[] = {
        "gamma", "chat", "route-forbidden", "not-run", "h1", CHAT_PATH};
    char *host = deployment_host_option(&d, i);
    const char *words[] = {"explain", id, host, NULL};
    char *output;
    int code = process_run("coriandertrack/coriandertrack", words, &output);

    for (size_t k = 0; code == 0 && k < G_N_ELEMENTS(expected); k++) {
        if (!strstr(output, expected[k])) {
            g_error("\"%s\" is missing in \"%s\"", expected[k], output);
        }
    }
    g_free(output);
    g_free(host);
    return code;
}

static void
await_explained(int i, const char *id)
{
    AWAIT(run_explain(i, id) == 0, AWAIT_TIMEOUT_MS);
}

static void
await_refusals_in_log(void)
{
    AWAIT(state_number(&d, 0, "refusals_pending") == 0, AWAIT_TIMEOUT_MS);
    state_await_log(&d);
}

static void
restart_host(void)
{
    deployment_start_host(&d, 0);
    deployment_await_ready(&d);
}

static void
test_host_killed(void)
{
    char *id = make_refused_call();

    await_refusals_in_log();
    process_kill(&d.hosts[0].process);
    g_assert_cmpint(run_explain(1, id), ==, 0);
    g_assert_cmpint(run_explain(2, id), ==, 0);
    restart_host();
    g_assert_cmpint(run_explain(0, id), ==, 0);
    g_free(id);
}

/* All hosts are replaced, so only the log still holds the refusal. */
static void
test_all_replaced(void)
{
    char *id = make_refused_call();

    await_refusals_in_log();
    deployment_replace_hosts(&d);
    for (int i = 0; i < d.n_hosts; i++) {
        g_assert_cmpint(run_explain(i, id), ==, 0);
    }
    g_free(id);
}

/*
 * The log was unavailable, or slow, or its response was lost, when the call
 * was refused.
 */
static void
test_log_faults(void)
{
    static const struct {
        const char *fault;
        const char *recovery;
    } cases[] = {
        {"{\"outage\":true}", "{\"outage\":false}"},
        {"{\"lose_answers\":1}", "{\"lose_answers\":0}"},
        {"{\"delay_ms\":300}", "{\"delay_ms\":0}"},
    };

    for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
        char *id;

        deployment_set_platform(&d, cases[k].fault);
        id = make_refused_call();
        g_assert_cmpint(run_explain(0, id), ==, 0);
        deployment_set_platform(&d, cases[k].recovery);
        await_explained(1, id);
        process_kill(&d.hosts[0].process);
        await_explained(2, id);
        restart_host();
        g_free(id);
    }
}

/* A draining host writes its refusals to the log before it exits. */
static void
test_drained_host(void)
{
    char *id = make_refused_call();

    process_signal(&d.hosts[0].process, SIGTERM);
    g_assert_cmpint(process_wait(&d.hosts[0].process, AWAIT_TIMEOUT_MS), ==,
                    0);
    await_explained(1, id);
    restart_host();
    g_free(id);
}

static void
test_unknown_request(void)
{
    g_assert_cmpint(run_explain(1, "01900000-0000-7000-8000-000000000000"), ==,
                    6);
}

int
main(int argc, char **argv)
{
    int status;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/explain/host-killed", test_host_killed);
    g_test_add_func("/explain/all-replaced", test_all_replaced);
    g_test_add_func("/explain/log-faults", test_log_faults);
    g_test_add_func("/explain/drained-host", test_drained_host);
    g_test_add_func("/explain/unknown-request", test_unknown_request);
    deployment_start(&d, 3, 1, 1);
    status = g_test_run();
    deployment_stop(&d);
    return status;
}
