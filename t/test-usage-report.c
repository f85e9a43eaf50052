/*
 * Tests of usage-report.h: the figures of a window are fixed in the store
 * before they are reported.
 */
#include "lib-relay.h"
#include "lib-usage-simulation.h"

/* Every report has the figures that are fixed for its window. */
static void
assert_reports_fixed(const struct usage_simulation *sim)
{
    for (guint i = 0; i < sim->reports->len; i++) {
        const struct usage_figure *report =
            &g_array_index(sim->reports, struct usage_figure, i);
        bool found = false;

        for (guint n = 0; n < sim->fixed->len && !found; n++) {
            const struct usage_figure *figure =
                &g_array_index(sim->fixed, struct usage_figure, n);

            if (figure->window == report->window) {
                found = true;
                g_assert_cmpuint(figure->requests, ==, report->requests);
            }
        }
        g_assert_true(found);
    }
}

/*
 * Each window is reported once, in order, with the sum of the hosts' tallies.
 */
static void
test_windows(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 32000, true);
    g_assert_cmpuint(sim.reports->len, >=, 5);
    for (guint i = 1; i < sim.reports->len; i++) {
        g_assert_cmpint(
            g_array_index(sim.reports, struct usage_figure, i).window, ==,
            g_array_index(sim.reports, struct usage_figure, i - 1).window + 1);
        g_assert_cmpuint(
            g_array_index(sim.reports, struct usage_figure, i).requests, ==,
            7);
    }
    assert_reports_fixed(&sim);
    usage_simulation_free(&sim);
}

/*
 * A window is reported as soon as its figures are fixed: the host may not be
 * the leader for much longer.
 */
static void
test_reported_at_once(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 32000, true);
    g_assert_cmpuint(sim.reports->len, >=, 5);
    for (guint i = 0; i < sim.reports->len; i++) {
        const struct usage_figure *report =
            &g_array_index(sim.reports, struct usage_figure, i);
        const struct usage_figure *fixed =
            &g_array_index(sim.fixed, struct usage_figure, i);

        g_assert_cmpint(report->window, ==, fixed->window);
        g_assert_cmpint(report->at_ms - fixed->at_ms, <, 50);
    }
    usage_simulation_free(&sim);
}

/* A report that is not accepted is repeated with the same figures. */
static void
test_repeated_report(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    sim.report_result = CT_ERR_IO;
    usage_simulation_run(&sim, 12000, true);
    sim.requests = 9;
    sim.report_result = CT_OK;
    usage_simulation_run(&sim, 3000, true);
    g_assert_cmpuint(sim.reports->len, >=, 4);
    assert_reports_fixed(&sim);
    usage_simulation_free(&sim);
}

/*
 * The response to the append of the figures is lost: the host learns from the
 * topic whether they are fixed.
 */
static void
test_lost_append(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    sim.lose_append_response = true;
    usage_simulation_run(&sim, 16000, true);
    g_assert_cmpuint(sim.reports->len, >=, 2);
    for (guint i = 1; i < sim.fixed->len; i++) {
        g_assert_cmpint(
            g_array_index(sim.fixed, struct usage_figure, i).window, >,
            g_array_index(sim.fixed, struct usage_figure, i - 1).window);
    }
    assert_reports_fixed(&sim);
    usage_simulation_free(&sim);
}

/* Lets another host fix the next window with this number of requests. */
static int64_t
fix_next_window(struct usage_simulation *sim, uint64_t requests)
{
    struct usage_figure figure = {.requests = requests};

    figure.window =
        g_array_index(sim->fixed, struct usage_figure, sim->fixed->len - 1)
            .window +
        1;
    g_array_append_val(sim->fixed, figure);
    return figure.window;
}

/*
 * Asserts that the window was reported, and always with this number of
 * requests.
 */
static void
assert_reported(const struct usage_simulation *sim, int64_t window,
                uint64_t requests)
{
    guint n = 0;

    for (guint i = 0; i < sim->reports->len; i++) {
        const struct usage_figure *report =
            &g_array_index(sim->reports, struct usage_figure, i);

        if (report->window == window) {
            g_assert_cmpuint(report->requests, ==, requests);
            n++;
        }
    }
    g_assert_cmpuint(n, >, 0);
}

/* If another host fixed the window first, its figures are reported. */
static void
test_lost_race(void)
{
    struct usage_simulation sim;
    int64_t window;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 9000, true);
    window = fix_next_window(&sim, 99);
    usage_simulation_run(&sim, 12000, true);
    assert_reports_fixed(&sim);
    assert_reported(&sim, window, 99);
    usage_simulation_free(&sim);
}

/* A slow host appends a second record for a window: the first one counts. */
static void
test_two_records(void)
{
    struct usage_figure late = {.requests = 5};
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 9000, true);
    late.window = fix_next_window(&sim, 99);
    g_array_append_val(sim.fixed, late);
    usage_simulation_run(&sim, 12000, true);
    assert_reported(&sim, late.window, 99);
    usage_simulation_free(&sim);
}

/* A host that is not the leader fixes and reports nothing. */
static void
test_not_leader(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 12000, false);
    g_assert_cmpuint(sim.fixed->len, ==, 0);
    g_assert_cmpuint(sim.reports->len, ==, 0);
    usage_simulation_free(&sim);
}

/* Posts a tally without counts that closes a window for its writer. */
static void
close_window(struct usage_simulation *sim, const char *writer, int64_t window,
             bool ends)
{
    struct ct_event event = {.type = CT_EVENT_STORE_TALLY};

    CT_TEXT_SET(event.u.tally.writer, writer);
    event.u.tally.window = window;
    event.u.tally.sequence = (uint64_t)window;
    event.u.tally.closes = true;
    event.u.tally.ends = ends;
    t_core_post(&sim->core, &event);
    usage_simulation_handle_effects(sim);
}

/*
 * The leader waits for a host that had counts in the previous window, unless
 * that host ended or has closed this window too, but only as long as the
 * report is not overdue.
 */
static void
test_wait_for_host(void)
{
    static const struct {
        bool ends;
        bool closes_next;
        guint fixed;
    } cases[] = {{false, false, 0}, {true, false, 1}, {false, true, 1}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct usage_simulation sim;
        int64_t window;
        guint before;

        usage_simulation_init(&sim);
        /* This is one second into a window. */
        usage_simulation_run(&sim, 4 * USAGE_WINDOW_MS + 1000, true);
        window = sim.core.wall_ms / USAGE_WINDOW_MS;
        before = sim.fixed->len;
        close_window(&sim, "other", window - 1, cases[i].ends);
        usage_simulation_run(&sim, USAGE_WINDOW_MS - 1000, true);
        if (cases[i].closes_next) {
            close_window(&sim, "other", window, false);
        }
        usage_simulation_run(&sim, 1500, true);
        g_assert_cmpuint(sim.fixed->len - before, ==, cases[i].fixed);
        usage_simulation_run(&sim, 2 * USAGE_WINDOW_MS, true);
        g_assert_cmpuint(sim.fixed->len, >, before);
        g_assert_cmpint(
            g_array_index(sim.fixed, struct usage_figure, before).window, ==,
            window);
        usage_simulation_free(&sim);
    }
}

static const struct usage_figure *
find_figure(const GArray *figures, int64_t window)
{
    for (guint i = 0; i < figures->len; i++) {
        const struct usage_figure *figure =
            &g_array_index(figures, struct usage_figure, i);

        if (figure->window == window) {
            return figure;
        }
    }
    return NULL;
}

/*
 * The store's part with the tallies fails while the part with the final
 * figures works: a window whose tallies could not be read is not fixed as if
 * it had none, even if its report comes late.
 */
static void
test_failed_reads(gconstpointer arg)
{
    ct_ms outage_ms = GPOINTER_TO_INT(arg);
    struct usage_simulation sim;
    int64_t window;

    usage_simulation_init(&sim);
    /* This is one second into a window. */
    usage_simulation_run(&sim, 4 * USAGE_WINDOW_MS + 1000, true);
    window = sim.core.wall_ms / USAGE_WINDOW_MS;
    sim.tallies_fail_until_ms = sim.core.now_ms + 4000 + outage_ms;
    usage_simulation_run(&sim, 4000 + outage_ms - 100, true);
    g_assert_null(find_figure(sim.fixed, window));
    usage_simulation_run(&sim, 3000, true);
    g_assert_nonnull(find_figure(sim.reports, window));
    g_assert_cmpuint(find_figure(sim.reports, window)->requests, ==, 7);
    assert_reports_fixed(&sim);
    usage_simulation_free(&sim);
}

/*
 * After an outage of the store the hosts append what they kept, each in its
 * turn: the leader waits for a host that is not back yet.
 */
static void
test_hosts_catch_up(void)
{
    struct usage_simulation sim;
    int64_t window;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 4 * USAGE_WINDOW_MS + 1000, true);
    window = sim.core.wall_ms / USAGE_WINDOW_MS;
    usage_simulation_post_rows(&sim, CT_EVENT_STORE_TALLY, window - 1, "other",
                               3);
    /* The outage ends 6 s after the window; its report is due after 10 s. */
    sim.tallies_fail_until_ms = sim.core.now_ms + 10000;
    usage_simulation_run(&sim, 11000, true);
    usage_simulation_post_rows(&sim, CT_EVENT_STORE_TALLY, window, "other", 3);
    usage_simulation_run(&sim, 3000, true);
    g_assert_nonnull(find_figure(sim.reports, window));
    g_assert_cmpuint(find_figure(sim.reports, window)->requests, ==, 10);
    usage_simulation_free(&sim);
}

/* The tallies of all hosts for an organisation are added up. */
static void
test_sum(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    sim.writers = 3;
    usage_simulation_run(&sim, 22000, true);
    g_assert_cmpuint(sim.reports->len, >=, 3);
    for (guint i = 1; i < sim.reports->len; i++) {
        g_assert_cmpuint(
            g_array_index(sim.reports, struct usage_figure, i).requests, ==,
            21);
    }
    usage_simulation_free(&sim);
}

/* Old windows are freed: the stored data does not grow with time. */
static void
test_bounded_memory(void)
{
    struct usage_simulation sim;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 30 * USAGE_WINDOW_MS, true);
    g_assert_cmpuint(sim.fixed->len, >=, 25);
    g_assert_cmpuint(sim.core.state->usage_report.records->len, <=, 16);
    g_assert_cmpuint(g_hash_table_size(sim.core.state->usage_report.sums.sums),
                     <=, 16);
    g_assert_cmpuint(sim.core.state->usage_report.finals->len, <=, 16);
    g_assert_cmpuint(sim.core.state->usage_report.final_rows->len, <=, 16);
    usage_simulation_free(&sim);
}

/* A host whose fencing token is refused stops reporting. */
static void
test_fenced(void)
{
    struct usage_simulation sim;
    guint before;

    usage_simulation_init(&sim);
    sim.report_result = CT_ERR_FENCED;
    usage_simulation_run(&sim, 9000, true);
    before = sim.reports->len;
    g_assert_cmpuint(before, >=, 1);
    usage_simulation_run(&sim, 10000, true);
    g_assert_cmpuint(sim.reports->len, ==, before);
    usage_simulation_free(&sim);
}

/*
 * The result of a report for a window that was already freed changes nothing.
 */
static void
test_unknown_window(void)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    struct usage_simulation sim;
    guint before;

    usage_simulation_init(&sim);
    usage_simulation_run(&sim, 12000, true);
    before = sim.reports->len;
    event.u.duty.is_usage = true;
    event.u.duty.window = 1;
    event.u.duty.result = CT_ERR_IO;
    t_core_post(&sim.core, &event);
    usage_simulation_run(&sim, 1000, true);
    g_assert_cmpuint(sim.reports->len, ==, before);
    usage_simulation_free(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/usage-report/windows", test_windows);
    g_test_add_func("/usage-report/reported-at-once", test_reported_at_once);
    g_test_add_func("/usage-report/repeated-report", test_repeated_report);
    g_test_add_func("/usage-report/lost-append", test_lost_append);
    g_test_add_func("/usage-report/lost-race", test_lost_race);
    g_test_add_func("/usage-report/two-records", test_two_records);
    g_test_add_func("/usage-report/not-leader", test_not_leader);
    g_test_add_func("/usage-report/wait-for-host", test_wait_for_host);
    g_test_add_data_func("/usage-report/failed-reads/in-time",
                         GINT_TO_POINTER(7000), test_failed_reads);
    g_test_add_data_func("/usage-report/failed-reads/late",
                         GINT_TO_POINTER(11000), test_failed_reads);
    g_test_add_func("/usage-report/hosts-catch-up", test_hosts_catch_up);
    g_test_add_func("/usage-report/sum", test_sum);
    g_test_add_func("/usage-report/bounded-memory", test_bounded_memory);
    g_test_add_func("/usage-report/unknown-window", test_unknown_window);
    g_test_add_func("/usage-report/fenced", test_fenced);
    return g_test_run();
}
