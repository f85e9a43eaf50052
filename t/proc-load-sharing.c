/*
 * Runs hosts as processes that share one store. Checks that the setting
 * share_load reaches them, and that their reports pass over real links.
 */
#include <string.h>

#include "lib-http.h"
#include "lib-platform.h"
#include "lib-process.h"

/* With four hosts an availability zone has a source and followers. */
#define HOSTS 4
#define TIMEOUT_MS 60000

static struct process store;
static struct process hosts[HOSTS];

static void
start_host(const char *directory, int i)
{
    g_autofree char *name = g_strdup_printf("h%d.json", i);
    g_autofree char *path = g_build_filename(directory, name, NULL);
    g_autofree char *text = g_strdup_printf(
        "{\"host\":\"h%d\",\"zone\":\"z\",\"caller_address\":\"127.0.0.1:0\","
        "\"peer_address\":\"127.0.0.1:0\","
        "\"peer_secret\":\"0123456789abcdef\","
        "\"guide_address\":\"127.0.0.1:0\",\"ready_address\":"
        "\"127.0.0.1:0\",\"operator_address\":\"127.0.0.1:0\",\"store\":"
        "\"127.0.0.1:%u\",\"share_load\":true,\"bounds\":{}}",
        i, store.port);

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    PROCESS_START(&hosts[i], "coriandertrackd/coriandertrackd", "--relay",
                  "--config", path);
}

static uint64_t
read_metric(const struct process *host, const char *name)
{
    g_autofree char *text = http_get(host->fourth_port, "/metrics");
    g_autofree char *line = g_strdup_printf("\ncoriandertrack_%s ", name);
    const char *at = strstr(text, line);

    g_assert_nonnull(at);
    return g_ascii_strtoull(at + strlen(line), NULL, 10);
}

static void
test_reports(void)
{
    g_autofree char *directory = g_dir_make_tmp("ct-load-XXXXXX", NULL);

    process_set_log_directory(directory);
    PROCESS_START(&store, "t/fake/fake-store", "--port", "0");
    platform_put_config(store.port, 1, "");
    /* No call is made, so nothing needs to listen there. */
    platform_put_upstream(store.port, 0, 9, "ready");
    for (int i = 0; i < HOSTS; i++) {
        start_host(directory, i);
    }
    for (int i = 0; i < HOSTS; i++) {
        AWAIT(read_metric(&hosts[i], "load_reports_total") > 2, TIMEOUT_MS);
        g_assert_cmpuint(read_metric(&hosts[i], "load_reports_ignored_total"),
                         ==, 0);
    }
    for (int i = 0; i < HOSTS; i++) {
        process_kill(&hosts[i]);
    }
    process_kill(&store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load-sharing-processes/reports", test_reports);
    return g_test_run();
}
