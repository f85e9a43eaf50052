/*
 * One configuration is accepted at a time, takes effect at every host, and is
 * never replaced by an older one.
 */
#include <json-glib/json-glib.h>
#include <string.h>

#include "lib-deployment.h"

#define OPERATORS 2
#define ROUNDS 5

static struct deployment d;

/* Returns the log offset of host i's configuration; -1 if it is not shown. */
static int64_t
config_offset_of(int i)
{
    char *text = http_get(d.hosts[i].operator_port, "/state");
    const char *found = strstr(text, "\"config_offset\":");
    int64_t offset = -1;

    if (found) {
        offset =
            g_ascii_strtoll(found + strlen("\"config_offset\":"), NULL, 10);
    }
    g_free(text);
    return offset;
}

static void
await_config_offset(int64_t offset)
{
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(config_offset_of(i) == offset, AWAIT_TIMEOUT_MS);
    }
}

struct operator_run {
    char *directory;
    char *output;
    int code;
};

static gpointer
publish_directory(gpointer arg)
{
    struct operator_run *run = arg;

    run->code =
        DEPLOYMENT_COMMAND(&d, &run->output, "publish", run->directory, NULL);
    return NULL;
}

/*
 * The platform's delay lets both operators read the same log head before
 * either appends; exactly one publish must succeed.
 */
static void
test_race(void)
{
    for (int round = 0; round < ROUNDS; round++) {
        struct operator_run runs[OPERATORS] = {0};
        GThread *threads[OPERATORS];
        int64_t winner = 0;
        char lost[64];
        int n_won = 0;

        deployment_set_platform(&d, "{\"delay_ms\":300}");
        for (int i = 0; i < OPERATORS; i++) {
            char *name = g_strdup_printf("race-%d-%d", round, i);

            runs[i].directory = deployment_write_files(&d, name, 2 + i);
            threads[i] = g_thread_new("operator", publish_directory, &runs[i]);
            g_free(name);
        }
        for (int i = 0; i < OPERATORS; i++) {
            g_thread_join(threads[i]);
            g_test_message("%d: %s", runs[i].code, runs[i].output);
            if (runs[i].code == 0) {
                winner = g_ascii_strtoll(strstr(runs[i].output, "offset") +
                                             strlen("offset "),
                                         NULL, 10);
                n_won++;
            }
        }
        deployment_set_platform(&d, "{\"delay_ms\":0}");
        g_assert_cmpint(n_won, ==, 1);
        g_snprintf(lost, sizeof(lost), "lost to offset %" G_GINT64_FORMAT,
                   winner);
        for (int i = 0; i < OPERATORS; i++) {
            if (runs[i].code != 0) {
                g_assert_cmpint(runs[i].code, ==, 3);
                g_assert_nonnull(strstr(runs[i].output, lost));
            }
            g_free(runs[i].output);
            g_free(runs[i].directory);
        }
        await_config_offset(winner);
    }
}

static void
test_stale_base(void)
{
    char *directory = deployment_write_files(&d, "stale", 9);
    int64_t offset = config_offset_of(0);
    char *output;
    int code = DEPLOYMENT_COMMAND(&d, &output, "publish", "--base=1",
                                  directory, NULL);

    if (offset != 1) {
        g_assert_cmpint(code, ==, 3);
    }
    await_config_offset(offset);
    g_free(output);
    g_free(directory);
}

/* A host that was killed restarts with the configuration that was in force. */
static void
test_restart(void)
{
    int64_t offset = config_offset_of(0);

    for (int i = 0; i < d.n_hosts; i++) {
        process_kill(&d.hosts[i].process);
        deployment_start_host(&d, i);
        AWAIT(deployment_is_ready(&d, i), AWAIT_TIMEOUT_MS);
        g_assert_cmpint(config_offset_of(i), ==, offset);
    }
}

/*
 * If the response to the append is lost, the command finds its entry by
 * reading the log.
 */
static void
test_lost_response(void)
{
    char *directory = deployment_write_files(&d, "lost-response", 7);
    int64_t before = config_offset_of(0);
    char *output;
    int code;

    deployment_set_platform(&d, "{\"lose_answers\":1}");
    code = DEPLOYMENT_COMMAND(&d, &output, "publish", directory, NULL);
    deployment_set_platform(&d, "{\"lose_answers\":0}");
    g_test_message("%d: %s", code, output);
    g_assert_cmpint(code, ==, 0);
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(config_offset_of(i) > before, AWAIT_TIMEOUT_MS);
    }
    g_free(output);
    g_free(directory);
}

/*
 * A host that starts while the log is unavailable cannot tell whether its
 * state is current, so it refuses all calls until the log is back.
 */
static void
test_start_during_outage(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};
    struct http_reply reply;
    struct http_reply health;
    struct http_call get = {.body = NULL};

    deployment_set_platform(&d, "{\"outage\":1}");
    for (int i = 0; i < d.n_hosts; i++) {
        process_kill(&d.hosts[i].process);
    }
    deployment_start_host(&d, 0);
    for (int i = 0; i < 20; i++) {
        deployment_call(&d, 0, NULL, &call, &reply);
        deployment_assert_refused(&reply, 503, "not-ready", "not-run");
        http_reply_free(&reply);
    }
    http_call(d.hosts[0].operator_port, "/health", &get, &health);
    g_assert_cmpint(health.status, ==, 503);
    http_reply_free(&health);
    deployment_set_platform(&d, "{\"outage\":0}");
    for (int i = 1; i < d.n_hosts; i++) {
        deployment_start_host(&d, i);
    }
    deployment_await_ready(&d);
    deployment_call(&d, 0, NULL, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    http_reply_free(&reply);
}

/* Hosts that are ready serve calls while the log is unavailable. */
static void
test_service_during_outage(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};

    deployment_set_platform(&d, "{\"outage\":1}");
    for (int i = 0; i < 20; i++) {
        struct http_reply reply;

        deployment_call(&d, i % d.n_hosts, NULL, &call, &reply);
        g_assert_cmpint(reply.status, ==, 200);
        http_reply_free(&reply);
    }
    deployment_set_platform(&d, "{\"outage\":0}");
    deployment_await_ready(&d);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 1, 1);
    g_test_add_func("/config/race", test_race);
    g_test_add_func("/config/stale-base", test_stale_base);
    g_test_add_func("/config/restart", test_restart);
    g_test_add_func("/config/lost-response", test_lost_response);
    g_test_add_func("/config/service-during-outage",
                    test_service_during_outage);
    g_test_add_func("/config/start-during-outage", test_start_during_outage);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
