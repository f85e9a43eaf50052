/*
 * Tests of usage.h and usage-final.h: each window is billed once, with one set
 * of figures.
 */
#include <string.h>

#include "lib-cluster.h"

#define ACME "acme"
#define SETTLE_MS 20000
/*
 * A window, its grace time, the report, and the delay that a fault may cause.
 */
#define WINDOW_MS (CT_USAGE_WINDOW_MS + SETTLE_MS)

static void
add_usage(struct t_cluster *cluster, uint32_t host, const char *organisation,
          uint64_t requests)
{
    struct ct_name name;

    CT_TEXT_SET(name, organisation);
    ct_usage_add(cluster->hosts[host].state, &name, requests, 10 * requests,
                 100 * requests);
}

static int
usage_holder(const struct t_cluster *cluster)
{
    int host = t_cluster_lease_holder(cluster, CT_ROLE_USAGE);

    g_assert_cmpint(host, >=, 0);
    return host;
}

static struct t_received_report *
nth_report(const struct t_cluster *cluster, guint i)
{
    return &g_array_index(cluster->reports, struct t_received_report, i);
}

/*
 * Returns what the platform billed to an organisation over all windows; fails
 * if a window was reported with different figures.
 */
static struct ct_usage_row
billed_usage(const struct t_cluster *cluster, const char *organisation)
{
    struct ct_usage_row sum;

    memset(&sum, 0, sizeof(sum));
    for (guint i = 0; i < cluster->reports->len; i++) {
        const struct t_received_report *seen = nth_report(cluster, i);
        bool repeated = false;

        for (guint j = 0; j < i; j++) {
            const struct t_received_report *earlier = nth_report(cluster, j);

            if (earlier->window.window_start_ms ==
                seen->window.window_start_ms) {
                repeated = true;
                g_assert_cmpmem(earlier->rows->data,
                                earlier->rows->len *
                                    sizeof(struct ct_usage_row),
                                seen->rows->data,
                                seen->rows->len * sizeof(struct ct_usage_row));
            }
        }
        for (guint j = 0; j < seen->rows->len && !repeated; j++) {
            const struct ct_usage_row *row =
                &g_array_index(seen->rows, struct ct_usage_row, j);

            if (strcmp(row->organisation.text, organisation) == 0) {
                sum.requests += row->requests;
                sum.tokens_in += row->tokens_in;
                sum.tokens_out += row->tokens_out;
                sum.late_requests += row->late_requests;
            }
        }
    }
    return sum;
}

static void
check_billed(const struct t_cluster *cluster, uint64_t requests, uint64_t late)
{
    struct ct_usage_row sum = billed_usage(cluster, ACME);

    g_assert_cmpuint(sum.requests, ==, requests);
    g_assert_cmpuint(sum.tokens_in, ==, 10 * requests);
    g_assert_cmpuint(sum.tokens_out, ==, 100 * requests);
    g_assert_cmpuint(sum.late_requests, ==, late);
}

/*
 * The report contains the totals of all hosts, and copies at peers are not
 * counted again.
 */
static void
test_sum(void)
{
    struct t_cluster cluster;

    t_cluster_init(&cluster, 4);
    t_cluster_run(&cluster, SETTLE_MS);
    for (uint32_t i = 0; i < 4; i++) {
        add_usage(&cluster, i, ACME, i + 1);
        add_usage(&cluster, i, "zeta", 5);
    }
    t_cluster_run(&cluster, 5000);
    add_usage(&cluster, 2, ACME, 7);
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    check_billed(&cluster, 1 + 2 + 3 + 4 + 7, 0);
    g_assert_cmpuint(billed_usage(&cluster, "zeta").requests, ==, 20);
    g_assert_cmpuint(cluster.reports->len, ==, 1);
    g_assert_cmpuint(t_cluster_records(&cluster, CT_RECORD_USAGE_FINAL), ==,
                     1);
    g_assert_cmpuint(t_cluster_records(&cluster, CT_RECORD_USAGE_ACCEPTED), ==,
                     1);
    t_cluster_free(&cluster);
}

/*
 * The totals of a killed host, even of the lease holder, are reported from the
 * copies at its peers.
 */
static void
test_killed_host(gconstpointer data)
{
    bool kill_holder = data != NULL;
    struct t_cluster cluster;
    uint32_t affected_host;

    t_cluster_init(&cluster, 4);
    t_cluster_run(&cluster, SETTLE_MS);
    affected_host =
        ((uint32_t)usage_holder(&cluster) + (kill_holder ? 0 : 1)) % 4;
    add_usage(&cluster, affected_host, ACME, 9);
    t_cluster_run(&cluster, 3000);
    t_cluster_kill(&cluster, affected_host);
    t_cluster_start(&cluster, affected_host);
    add_usage(&cluster, affected_host, ACME, 4);
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    check_billed(&cluster, 13, 0);
    t_cluster_free(&cluster);
}

/*
 * The platform bills a report, its response is lost and the lease holder dies:
 * the successor repeats the report.
 */
static void
test_successor_repeats_report(void)
{
    struct t_cluster cluster;
    int first;

    t_cluster_init(&cluster, 4);
    t_cluster_run(&cluster, SETTLE_MS);
    first = usage_holder(&cluster);
    add_usage(&cluster, 0, ACME, 3);
    cluster.report_result = CT_ERR_IO;
    while (cluster.reports->len == 0) {
        t_cluster_run(&cluster, 100);
    }
    g_assert_cmpuint(nth_report(&cluster, 0)->host, ==, first);
    /* Further requests of the window come too late to change its figures. */
    add_usage(&cluster, 1, ACME, 5);
    t_cluster_kill(&cluster, (uint32_t)first);
    t_cluster_run(&cluster, SETTLE_MS);
    cluster.report_result = CT_OK;
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    g_assert_cmpuint(cluster.reports->len, >=, 3);
    g_assert_cmpuint(nth_report(&cluster, cluster.reports->len - 1)->host, !=,
                     first);
    g_assert_cmpint(
        nth_report(&cluster, cluster.reports->len - 1)->window.term, >,
        nth_report(&cluster, 0)->window.term);
    check_billed(&cluster, 8, 0);
    t_cluster_free(&cluster);
}

/*
 * A host that was disconnected for a whole window reports its counts as late,
 * once.
 */
static void
test_late(void)
{
    struct t_cluster cluster;
    uint32_t affected_host;

    t_cluster_init(&cluster, 4);
    t_cluster_run(&cluster, SETTLE_MS);
    affected_host = ((uint32_t)usage_holder(&cluster) + 1) % 4;
    add_usage(&cluster, (affected_host + 1) % 4, ACME, 1);
    add_usage(&cluster, affected_host, ACME, 2);
    t_cluster_run(&cluster, 3000);
    cluster.unlinked[affected_host] = true;
    add_usage(&cluster, affected_host, ACME, 6);
    t_cluster_run(&cluster, WINDOW_MS);
    check_billed(&cluster, 3, 0);
    cluster.unlinked[affected_host] = false;
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    check_billed(&cluster, 9, 6);
    t_cluster_free(&cluster);
}

/* A suspended lease holder resumes after its successor has reported. */
static void
test_suspended_holder(void)
{
    struct t_cluster cluster;
    uint32_t first;

    t_cluster_init(&cluster, 4);
    t_cluster_run(&cluster, SETTLE_MS);
    first = (uint32_t)usage_holder(&cluster);
    add_usage(&cluster, first, ACME, 2);
    add_usage(&cluster, (first + 1) % 4, ACME, 3);
    t_cluster_run(&cluster, 3000);
    cluster.suspended[first] = true;
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    check_billed(&cluster, 5, 0);
    cluster.suspended[first] = false;
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    check_billed(&cluster, 5, 0);
    t_cluster_free(&cluster);
}

/*
 * A host that receives final figures from a peer counts none of them again as
 * late.
 */
static void
test_final_from_peer(void)
{
    struct t_cluster cluster;
    uint32_t affected_host;

    t_cluster_init(&cluster, 4);
    t_cluster_run(&cluster, SETTLE_MS);
    affected_host = ((uint32_t)usage_holder(&cluster) + 1) % 4;
    add_usage(&cluster, affected_host, ACME, 4);
    t_cluster_run(&cluster, 3000);
    cluster.suspended[affected_host] = true;
    t_cluster_run(&cluster, WINDOW_MS);
    check_billed(&cluster, 4, 0);
    cluster.log_down = true;
    cluster.suspended[affected_host] = false;
    t_cluster_run(&cluster, SETTLE_MS);
    g_assert_cmpint(cluster.hosts[affected_host].state->log.applied, ==,
                    cluster.hosts[(affected_host + 1) % 4].state->log.applied);
    cluster.log_down = false;
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    check_billed(&cluster, 4, 0);
    t_cluster_free(&cluster);
}

/*
 * A second set of final figures for a window, and figures with a term that is
 * not the lease's, are ignored.
 */
static void
test_first_final(void)
{
    struct ct_record lease = {.type = CT_RECORD_LEASE};
    struct ct_record final_record = {.type = CT_RECORD_USAGE_FINAL};
    struct ct_usage_row row;
    struct t_core core;
    struct ct_usage_final_row *final_row;
    uint32_t cursor = 0;

    memset(&row, 0, sizeof(row));
    t_core_init(&core);
    lease.u.lease.role = CT_ROLE_USAGE;
    lease.u.lease.duration_ms = 10000;
    t_core_entry(&core, &lease);
    final_record.u.window.window_start_ms = 60000;
    final_record.u.window.term = 1;
    final_record.rows = CT_ROWS(&row, 1);
    row.requests = 1;
    t_core_entry(&core, &final_record);
    row.requests = 2;
    t_core_entry(&core, &final_record);
    final_record.u.window.window_start_ms = 120000;
    final_record.u.window.term = 2;
    t_core_entry(&core, &final_record);
    final_row = ct_table_next(&core.state->usage_finals.rows, &cursor, NULL);
    g_assert_nonnull(final_row);
    g_assert_cmpuint(final_row->rows[0].requests, ==, 1);
    g_assert_null(
        ct_table_next(&core.state->usage_finals.rows, &cursor, NULL));
    t_core_free(&core);
}

/*
 * Under random faults except kills, all requests are billed once and with one
 * set of figures. Hosts are suspended for two windows at most: after more
 * windows than are retained, a host that resumes during a log outage cannot
 * know what was counted of its totals.
 */
static void
test_random_faults(void)
{
    GRand *random = g_rand_new_with_seed(3);
    struct t_cluster cluster;
    ct_ms suspended_ms[4] = {0};
    uint64_t added = 1;

    t_cluster_init(&cluster, 4);
    add_usage(&cluster, 0, ACME, 1);
    t_cluster_run(&cluster, 2 * WINDOW_MS);
    for (int i = 0; i < 250; i++) {
        uint32_t host = g_rand_int_range(random, 0, 4);

        switch (g_rand_int_range(random, 0, 7)) {
        case 0:
            cluster.suspended[host] = !cluster.suspended[host];
            suspended_ms[host] = cluster.hosts[host].now_ms;
            break;
        case 1:
            cluster.unlinked[host] = !cluster.unlinked[host];
            break;
        case 2:
            cluster.log_down = !cluster.log_down;
            break;
        case 3:
            cluster.delayed_record =
                cluster.delayed_record ? 0 : CT_RECORD_USAGE_FINAL;
            break;
        case 4:
            cluster.report_result = cluster.report_result ? CT_OK : CT_ERR_IO;
            break;
        case 5:
            cluster.lose_append_results = !cluster.lose_append_results;
            break;
        default:
            break;
        }
        if (!cluster.suspended[host]) {
            add_usage(&cluster, host, ACME, 1);
            added++;
        }
        t_cluster_run(&cluster, g_rand_int_range(random, 1, 200) * 100);
        for (uint32_t j = 0; j < 4; j++) {
            cluster.suspended[j] &= cluster.hosts[j].now_ms <
                                    suspended_ms[j] + 2 * CT_USAGE_WINDOW_MS;
        }
        billed_usage(&cluster, ACME);
    }
    cluster.log_down = cluster.lose_append_results = false;
    cluster.delayed_record = 0;
    cluster.report_result = CT_OK;
    memset(cluster.unlinked, 0, sizeof(cluster.unlinked));
    memset(cluster.suspended, 0, sizeof(cluster.suspended));
    t_cluster_run(&cluster, 4 * WINDOW_MS);
    g_assert_cmpuint(billed_usage(&cluster, ACME).requests, ==, added);
    g_assert_cmpuint(cluster.reports->len, >, 10);
    t_cluster_free(&cluster);
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/usage/sum", test_sum);
    g_test_add_data_func("/usage/killed-host/other", NULL, test_killed_host);
    g_test_add_data_func("/usage/killed-host/holder", GINT_TO_POINTER(1),
                         test_killed_host);
    g_test_add_func("/usage/successor-repeats-report",
                    test_successor_repeats_report);
    g_test_add_func("/usage/late", test_late);
    g_test_add_func("/usage/suspended-holder", test_suspended_holder);
    g_test_add_func("/usage/final-from-peer", test_final_from_peer);
    g_test_add_func("/usage/first-final", test_first_final);
    g_test_add_func("/usage/random-faults", test_random_faults);
    return g_test_run();
}
