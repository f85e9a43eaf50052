/* One accepted configuration at a time, in force everywhere, never back. */
#include <json-glib/json-glib.h>
#include <string.h>

#include "lib-deployment.h"

#define RACERS 2
#define ROUNDS 5

static struct deployment d;

/* The offset of the configuration that host i has in force. */
static int64_t
offset_at(int i)
{
    char *text = http_get(d.hosts[i].operator_port, "/state");
    const char *at = strstr(text, "\"config_offset\":");
    int64_t offset = -1;

    if (at) {
        offset = g_ascii_strtoll(at + strlen("\"config_offset\":"), NULL, 10);
    }
    g_free(text);
    return offset;
}

static void
await_offset(int64_t offset)
{
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(offset_at(i) == offset, AWAIT_MS);
    }
}

struct operator_run {
    char *directory;
    char *output;
    int code;
};

static gpointer
publish(gpointer arg)
{
    struct operator_run *run = arg;

    run->code =
        DEPLOYMENT_COMMAND(&d, &run->output, "publish", run->directory, NULL);
    return NULL;
}

/* The slow platform makes both read the same head before either appends. */
static void
test_race(void)
{
    for (int round = 0; round < ROUNDS; round++) {
        struct operator_run runs[RACERS] = {0};
        GThread *threads[RACERS];
        int64_t winner = 0;
        char lost[64];
        int won = 0;

        deployment_set_platform(&d, "{\"delay_ms\":300}");
        for (int i = 0; i < RACERS; i++) {
            char *name = g_strdup_printf("race-%d-%d", round, i);

            runs[i].directory = deployment_write_files(&d, name, 2 + i);
            threads[i] = g_thread_new("operator", publish, &runs[i]);
            g_free(name);
        }
        for (int i = 0; i < RACERS; i++) {
            g_thread_join(threads[i]);
            g_test_message("%d: %s", runs[i].code, runs[i].output);
            if (runs[i].code == 0) {
                winner = g_ascii_strtoll(strstr(runs[i].output, "offset") +
                                             strlen("offset "),
                                         NULL, 10);
                won++;
            }
        }
        deployment_set_platform(&d, "{\"delay_ms\":0}");
        g_assert_cmpint(won, ==, 1);
        g_snprintf(lost, sizeof(lost), "lost to offset %" G_GINT64_FORMAT,
                   winner);
        for (int i = 0; i < RACERS; i++) {
            if (runs[i].code != 0) {
                g_assert_cmpint(runs[i].code, ==, 3);
                g_assert_nonnull(strstr(runs[i].output, lost));
            }
            g_free(runs[i].output);
            g_free(runs[i].directory);
        }
        await_offset(winner);
    }
}

static void
test_stale_base(void)
{
    char *directory = deployment_write_files(&d, "stale", 9);
    int64_t offset = offset_at(0);
    char *output;
    int code = DEPLOYMENT_COMMAND(&d, &output, "publish", "--base=1",
                                  directory, NULL);

    if (offset != 1) {
        g_assert_cmpint(code, ==, 3);
    }
    await_offset(offset);
    g_free(output);
    g_free(directory);
}

/* Each host is killed and comes back with what was in force, or newer. */
static void
test_restart(void)
{
    int64_t offset = offset_at(0);

    for (int i = 0; i < d.n_hosts; i++) {
        process_kill(&d.hosts[i].process);
        deployment_start_host(&d, i);
        AWAIT(deployment_is_ready(&d, i), AWAIT_MS);
        g_assert_cmpint(offset_at(i), ==, offset);
    }
}

/* The answer to the publish is lost; it is found by reading, once. */
static void
test_lost_answer(void)
{
    char *directory = deployment_write_files(&d, "lost-answer", 7);
    int64_t before = offset_at(0);
    char *output;
    int code;

    deployment_set_platform(&d, "{\"lose_answers\":1}");
    code = DEPLOYMENT_COMMAND(&d, &output, "publish", directory, NULL);
    deployment_set_platform(&d, "{\"lose_answers\":0}");
    g_test_message("%d: %s", code, output);
    g_assert_cmpint(code, ==, 0);
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(offset_at(i) > before, AWAIT_MS);
    }
    g_free(output);
    g_free(directory);
}

/* A host that cannot know whether it is current does not serve. */
static void
test_start_in_outage(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_WHOLE};
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

/* Traffic goes on while the log is down. */
static void
test_outage_serves(void)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_WHOLE};

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
    g_test_add_func("/config/lost-answer", test_lost_answer);
    g_test_add_func("/config/outage-serves", test_outage_serves);
    g_test_add_func("/config/start-in-outage", test_start_in_outage);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
