/* Tests of usage.h and usage-final.h: each window once, with one figure. */
#include <string.h>

#include "lib-cluster.h"

#define ACME "acme"
#define SETTLE_MS 20000
/* A window, its grace time, the report and what a fault may cost. */
#define WINDOW_MS (CT_USAGE_WINDOW_MS + SETTLE_MS)

static void
add(struct t_cluster *c, uint32_t host, const char *organisation, uint64_t n)
{
    struct ct_name name;

    CT_TEXT_SET(name, organisation);
    ct_usage_add(c->hosts[host].state, &name, n, 10 * n, 100 * n);
}

static int
holder(const struct t_cluster *c)
{
    int host = t_cluster_holder(c, CT_ROLE_USAGE);

    g_assert_cmpint(host, >=, 0);
    return host;
}

static struct t_report_seen *
report_at(const struct t_cluster *c, guint i)
{
    return &g_array_index(c->reports, struct t_report_seen, i);
}

/*
 * What the platform billed to an organisation, of all windows; fails where a
 * window came with two different figures.
 */
static struct ct_usage_row
billed(const struct t_cluster *c, const char *organisation)
{
    struct ct_usage_row sum;

    memset(&sum, 0, sizeof(sum));
    for (guint i = 0; i < c->reports->len; i++) {
        const struct t_report_seen *seen = report_at(c, i);
        bool repeated = false;

        for (guint j = 0; j < i; j++) {
            const struct t_report_seen *before = report_at(c, j);

            if (before->window.window_start_ms ==
                seen->window.window_start_ms) {
                repeated = true;
                g_assert_cmpmem(before->rows->data,
                                before->rows->len *
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
check_billed(const struct t_cluster *c, uint64_t requests, uint64_t late)
{
    struct ct_usage_row sum = billed(c, ACME);

    g_assert_cmpuint(sum.requests, ==, requests);
    g_assert_cmpuint(sum.tokens_in, ==, 10 * requests);
    g_assert_cmpuint(sum.tokens_out, ==, 100 * requests);
    g_assert_cmpuint(sum.late_requests, ==, late);
}

/* All hosts' totals are in the report, and copies are not counted again. */
static void
test_sum(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 4);
    t_cluster_run(&c, SETTLE_MS);
    for (uint32_t i = 0; i < 4; i++) {
        add(&c, i, ACME, i + 1);
        add(&c, i, "zeta", 5);
    }
    t_cluster_run(&c, 5000);
    add(&c, 2, ACME, 7);
    t_cluster_run(&c, 2 * WINDOW_MS);
    check_billed(&c, 1 + 2 + 3 + 4 + 7, 0);
    g_assert_cmpuint(billed(&c, "zeta").requests, ==, 20);
    g_assert_cmpuint(c.reports->len, ==, 1);
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_USAGE_FINAL), ==, 1);
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_USAGE_ACCEPTED), ==, 1);
    t_cluster_free(&c);
}

/* A killed host's totals live on in their copies, also the holder's own. */
static void
test_killed(gconstpointer data)
{
    bool kill_holder = data != NULL;
    struct t_cluster c;
    uint32_t victim;

    t_cluster_init(&c, 4);
    t_cluster_run(&c, SETTLE_MS);
    victim = ((uint32_t)holder(&c) + (kill_holder ? 0 : 1)) % 4;
    add(&c, victim, ACME, 9);
    t_cluster_run(&c, 3000);
    t_cluster_kill(&c, victim);
    t_cluster_start(&c, victim);
    add(&c, victim, ACME, 4);
    t_cluster_run(&c, 2 * WINDOW_MS);
    check_billed(&c, 13, 0);
    t_cluster_free(&c);
}

/* The platform bills, its answer is lost and the holder dies with it. */
static void
test_successor_repeats(void)
{
    struct t_cluster c;
    int first;

    t_cluster_init(&c, 4);
    t_cluster_run(&c, SETTLE_MS);
    first = holder(&c);
    add(&c, 0, ACME, 3);
    c.report_result = CT_ERR_IO;
    while (c.reports->len == 0) {
        t_cluster_run(&c, 100);
    }
    g_assert_cmpuint(report_at(&c, 0)->host, ==, first);
    /* More of the window turns up too late to change its figures. */
    add(&c, 1, ACME, 5);
    t_cluster_kill(&c, (uint32_t)first);
    t_cluster_run(&c, SETTLE_MS);
    c.report_result = CT_OK;
    t_cluster_run(&c, 2 * WINDOW_MS);
    g_assert_cmpuint(c.reports->len, >=, 3);
    g_assert_cmpuint(report_at(&c, c.reports->len - 1)->host, !=, first);
    g_assert_cmpint(report_at(&c, c.reports->len - 1)->window.term, >,
                    report_at(&c, 0)->window.term);
    check_billed(&c, 8, 0);
    t_cluster_free(&c);
}

/* A host that was cut off for a whole window counts it late, once. */
static void
test_late(void)
{
    struct t_cluster c;
    uint32_t victim;

    t_cluster_init(&c, 4);
    t_cluster_run(&c, SETTLE_MS);
    victim = ((uint32_t)holder(&c) + 1) % 4;
    add(&c, (victim + 1) % 4, ACME, 1);
    add(&c, victim, ACME, 2);
    t_cluster_run(&c, 3000);
    c.cut[victim] = true;
    add(&c, victim, ACME, 6);
    t_cluster_run(&c, WINDOW_MS);
    check_billed(&c, 3, 0);
    c.cut[victim] = false;
    t_cluster_run(&c, 2 * WINDOW_MS);
    check_billed(&c, 9, 6);
    t_cluster_free(&c);
}

/* A holder that was stopped wakes after its successor reported. */
static void
test_frozen_holder(void)
{
    struct t_cluster c;
    uint32_t first;

    t_cluster_init(&c, 4);
    t_cluster_run(&c, SETTLE_MS);
    first = (uint32_t)holder(&c);
    add(&c, first, ACME, 2);
    add(&c, (first + 1) % 4, ACME, 3);
    t_cluster_run(&c, 3000);
    c.frozen[first] = true;
    t_cluster_run(&c, 2 * WINDOW_MS);
    check_billed(&c, 5, 0);
    c.frozen[first] = false;
    t_cluster_run(&c, 2 * WINDOW_MS);
    check_billed(&c, 5, 0);
    t_cluster_free(&c);
}

/* A host that takes final figures from a peer counts nothing of them late. */
static void
test_final_from_peer(void)
{
    struct t_cluster c;
    uint32_t victim;

    t_cluster_init(&c, 4);
    t_cluster_run(&c, SETTLE_MS);
    victim = ((uint32_t)holder(&c) + 1) % 4;
    add(&c, victim, ACME, 4);
    t_cluster_run(&c, 3000);
    c.frozen[victim] = true;
    t_cluster_run(&c, WINDOW_MS);
    check_billed(&c, 4, 0);
    c.log_down = true;
    c.frozen[victim] = false;
    t_cluster_run(&c, SETTLE_MS);
    g_assert_cmpint(c.hosts[victim].state->log.applied, ==,
                    c.hosts[(victim + 1) % 4].state->log.applied);
    c.log_down = false;
    t_cluster_run(&c, 2 * WINDOW_MS);
    check_billed(&c, 4, 0);
    t_cluster_free(&c);
}

/* A second set of final figures for a window counts nowhere. */
static void
test_first_final(void)
{
    struct ct_record lease = {.type = CT_RECORD_LEASE};
    struct ct_record final = {.type = CT_RECORD_USAGE_FINAL};
    struct ct_usage_row row;
    struct t_core core;
    struct ct_usage_final_row *kept;
    uint32_t cursor = 0;

    memset(&row, 0, sizeof(row));
    t_core_init(&core);
    lease.u.lease.role = CT_ROLE_USAGE;
    lease.u.lease.duration_ms = 10000;
    t_core_entry(&core, &lease);
    final.u.window.window_start_ms = 60000;
    final.u.window.term = 1;
    final.rows = CT_ROWS(&row, 1);
    row.requests = 1;
    t_core_entry(&core, &final);
    row.requests = 2;
    t_core_entry(&core, &final);
    final.u.window.window_start_ms = 120000;
    final.u.window.term = 2;
    t_core_entry(&core, &final);
    kept = ct_table_next(&core.state->usage_finals.rows, &cursor, NULL);
    g_assert_nonnull(kept);
    g_assert_cmpuint(kept->rows[0].requests, ==, 1);
    g_assert_null(
        ct_table_next(&core.state->usage_finals.rows, &cursor, NULL));
    t_core_free(&core);
}

/*
 * Faults at random but for kills: all is billed, once, with one figure. Hosts
 * are stopped for two windows at most: longer ago than the windows kept, a
 * host that wakes in an outage cannot tell what was counted of it.
 */
static void
test_random(void)
{
    GRand *random = g_rand_new_with_seed(3);
    struct t_cluster c;
    ct_ms frozen_ms[4] = {0};
    uint64_t added = 1;

    t_cluster_init(&c, 4);
    add(&c, 0, ACME, 1);
    t_cluster_run(&c, 2 * WINDOW_MS);
    for (int i = 0; i < 250; i++) {
        uint32_t host = g_rand_int_range(random, 0, 4);

        switch (g_rand_int_range(random, 0, 7)) {
        case 0:
            c.frozen[host] = !c.frozen[host];
            frozen_ms[host] = c.hosts[host].now_ms;
            break;
        case 1:
            c.cut[host] = !c.cut[host];
            break;
        case 2:
            c.log_down = !c.log_down;
            break;
        case 3:
            c.late = c.late ? 0 : CT_RECORD_USAGE_FINAL;
            break;
        case 4:
            c.report_result = c.report_result ? CT_OK : CT_ERR_IO;
            break;
        case 5:
            c.lose_answers = !c.lose_answers;
            break;
        default:
            break;
        }
        if (!c.frozen[host]) {
            add(&c, host, ACME, 1);
            added++;
        }
        t_cluster_run(&c, g_rand_int_range(random, 1, 200) * 100);
        for (uint32_t j = 0; j < 4; j++) {
            c.frozen[j] &=
                c.hosts[j].now_ms < frozen_ms[j] + 2 * CT_USAGE_WINDOW_MS;
        }
        billed(&c, ACME);
    }
    c.log_down = c.lose_answers = false;
    c.late = 0;
    c.report_result = CT_OK;
    memset(c.cut, 0, sizeof(c.cut));
    memset(c.frozen, 0, sizeof(c.frozen));
    t_cluster_run(&c, 4 * WINDOW_MS);
    g_assert_cmpuint(billed(&c, ACME).requests, ==, added);
    g_assert_cmpuint(c.reports->len, >, 10);
    t_cluster_free(&c);
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/usage/sum", test_sum);
    g_test_add_data_func("/usage/killed/other", NULL, test_killed);
    g_test_add_data_func("/usage/killed/holder", GINT_TO_POINTER(1),
                         test_killed);
    g_test_add_func("/usage/successor-repeats", test_successor_repeats);
    g_test_add_func("/usage/late", test_late);
    g_test_add_func("/usage/frozen-holder", test_frozen_holder);
    g_test_add_func("/usage/final-from-peer", test_final_from_peer);
    g_test_add_func("/usage/first-final", test_first_final);
    g_test_add_func("/usage/random", test_random);
    return g_test_run();
}
