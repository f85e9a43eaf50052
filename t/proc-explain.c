/* Refusals are explained by other hosts, also after the refusing one died. */
#include <signal.h>
#include <string.h>

#include "lib-state.h"

static struct deployment d;

/* Has host 0 refuse a call of gamma, which may not use the route. */
static char *
refuse(void)
{
    struct caller_call call = {
        .key = d.gamma, .path = CHAT_PATH, .body = CHAT_WHOLE};
    struct http_reply reply;
    char *id;

    deployment_call(&d, 0, NULL, &call, &reply);
    deployment_assert_refused(&reply, 403, "route-forbidden", "not-run");
    id = http_reply_header(&reply, "X-Request-Id");
    g_assert_nonnull(id);
    http_reply_free(&reply);
    return id;
}

/* Exit code of "explain" at host i; what it printed must tell the story. */
static int
explain(int i, const char *id)
{
    static const char *const wanted[] = {"gamma",   "chat", "route-forbidden",
                                         "not-run", "h1",   CHAT_PATH};
    char *host = deployment_host_option(&d, i);
    const char *words[] = {"explain", id, host, NULL};
    char *output;
    int code = process_run("coriandertrack/coriandertrack", words, &output);

    for (size_t k = 0; code == 0 && k < G_N_ELEMENTS(wanted); k++) {
        if (!strstr(output, wanted[k])) {
            g_error("no \"%s\" in \"%s\"", wanted[k], output);
        }
    }
    g_free(output);
    g_free(host);
    return code;
}

static void
await_explained(int i, const char *id)
{
    AWAIT(explain(i, id) == 0, AWAIT_MS);
}

static void
await_recorded(void)
{
    AWAIT(state_number(&d, 0, "refusals_pending") == 0, AWAIT_MS);
    state_await_log(&d);
}

static void
revive(void)
{
    deployment_start_host(&d, 0);
    deployment_await_ready(&d);
}

static void
test_host_killed(void)
{
    char *id = refuse();

    await_recorded();
    process_kill(&d.hosts[0].process);
    g_assert_cmpint(explain(1, id), ==, 0);
    g_assert_cmpint(explain(2, id), ==, 0);
    revive();
    g_assert_cmpint(explain(0, id), ==, 0);
    g_free(id);
}

/* Nothing but the log knows of it any more. */
static void
test_all_replaced(void)
{
    char *id = refuse();

    await_recorded();
    deployment_replace_hosts(&d);
    for (int i = 0; i < d.n_hosts; i++) {
        g_assert_cmpint(explain(i, id), ==, 0);
    }
    g_free(id);
}

/* The log was down, or its answer lost, when the refusal was made. */
static void
test_log_faults(void)
{
    static const struct {
        const char *fault;
        const char *mend;
    } cases[] = {
        {"{\"outage\":true}", "{\"outage\":false}"},
        {"{\"lose_answers\":1}", "{\"lose_answers\":0}"},
        {"{\"delay_ms\":300}", "{\"delay_ms\":0}"},
    };

    for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
        char *id;

        deployment_set_platform(&d, cases[k].fault);
        id = refuse();
        g_assert_cmpint(explain(0, id), ==, 0);
        deployment_set_platform(&d, cases[k].mend);
        await_explained(1, id);
        process_kill(&d.hosts[0].process);
        await_explained(2, id);
        revive();
        g_free(id);
    }
}

/* A drain does not end before the refusals are in the log. */
static void
test_drained(void)
{
    char *id = refuse();

    process_signal(&d.hosts[0].process, SIGTERM);
    g_assert_cmpint(process_wait(&d.hosts[0].process, AWAIT_MS), ==, 0);
    await_explained(1, id);
    revive();
    g_free(id);
}

static void
test_unknown(void)
{
    g_assert_cmpint(explain(1, "01900000-0000-7000-8000-000000000000"), ==, 6);
}

int
main(int argc, char **argv)
{
    int status;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/explain/host-killed", test_host_killed);
    g_test_add_func("/explain/all-replaced", test_all_replaced);
    g_test_add_func("/explain/log-faults", test_log_faults);
    g_test_add_func("/explain/drained", test_drained);
    g_test_add_func("/explain/unknown", test_unknown);
    deployment_start(&d, 3, 1, 1);
    status = g_test_run();
    deployment_stop(&d);
    return status;
}
