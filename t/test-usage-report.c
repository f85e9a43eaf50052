/*
 * Tests of usage-report.h: the figures of a window are fixed in the store
 * before they are reported.
 */
#include <string.h>

#include "lib-relay.h"

#define WINDOW_MS 5000

/* Simulates the topics of the store and the platform's interface. */
struct simulation {
    struct t_core core;
    /*
     * Windows whose figures are fixed in the topic, with the requests of
     * "acme".
     */
    GArray *fixed;
    uint64_t requests;
    guint writers;
    /* Reports received: window and requests. */
    GArray *reports;
    int32_t report_result;
    /* Appends are carried out, but their responses are lost. */
    bool lose_append_response;
    int64_t last_tally_window;
    bool tallies_read;
    /* Reads of the tallies fail until this time. */
    ct_ms tallies_fail_until_ms;
};

struct figure {
    int64_t window;
    uint64_t requests;
    /* When it was fixed or reported. */
    ct_ms at_ms;
};

static void
post_rows(struct simulation *sim, enum ct_event_type type, int64_t window,
          const char *writer, uint64_t requests)
{
    struct ct_event event = {.type = type};
    struct ct_tally_row row = {.requests = requests};

    CT_TEXT_SET(row.organisation, "acme");
    CT_TEXT_SET(event.u.tally.writer, writer);
    event.u.tally.window = window;
    event.u.tally.sequence = (uint64_t)window;
    event.u.tally.closes = true;
    event.rows = CT_ROWS(&row, 1);
    t_core_post(&sim->core, &event);
}

static void
post_read_result(struct simulation *sim, enum ct_topic topic, int64_t next,
                 uint32_t entries, int32_t result)
{
    struct ct_event event = {.type = CT_EVENT_STORE_READ_DONE};

    event.u.store_read.topic = topic;
    event.u.store_read.sent_ms = sim->core.now_ms;
    event.u.store_read.next = next;
    event.u.store_read.entries = entries;
    event.u.store_read.result = result;
    t_core_post(&sim->core, &event);
}

static void
post_read(struct simulation *sim, enum ct_topic topic, int64_t next,
          uint32_t entries)
{
    post_read_result(sim, topic, next, entries, CT_OK);
}

static void
post_finals(struct simulation *sim, int64_t from)
{
    for (guint i = (guint)from; i < sim->fixed->len; i++) {
        const struct figure *figure =
            &g_array_index(sim->fixed, struct figure, i);

        post_rows(sim, CT_EVENT_STORE_FINAL, figure->window, "x",
                  figure->requests);
    }
    post_read(sim, CT_TOPIC_FINALS, sim->fixed->len,
              (uint32_t)(sim->fixed->len - from));
}

static void
post_window(struct simulation *sim, int64_t window)
{
    for (guint i = 0; i < sim->writers; i++) {
        char writer[8];

        g_snprintf(writer, sizeof(writer), "w%u", i);
        post_rows(sim, CT_EVENT_STORE_TALLY, window, writer, sim->requests);
        /* A repeated record is counted once. */
        post_rows(sim, CT_EVENT_STORE_TALLY, window, writer, sim->requests);
    }
}

/*
 * Each writer has a record of the window that ended last, and of those before
 * it that were not read yet.
 */
static void
post_tallies(struct simulation *sim, int64_t from)
{
    int64_t first;

    int64_t window = sim->core.wall_ms / WINDOW_MS - 1;

    if (sim->core.now_ms < sim->tallies_fail_until_ms) {
        post_read_result(sim, CT_TOPIC_TALLIES, from, 0, CT_ERR_UNAVAILABLE);
        return;
    }
    if (from > 0 && window == sim->last_tally_window) {
        post_read(sim, CT_TOPIC_TALLIES, from, 0);
        return;
    }
    first = sim->last_tally_window > 0 ? sim->last_tally_window + 1 : window;
    sim->last_tally_window = window;
    while (first <= window) {
        post_window(sim, first++);
    }
    post_read(sim, CT_TOPIC_TALLIES, from + 1, sim->writers);
}

static void
post_append_result(struct simulation *sim,
                   const struct ct_store_append_effect *append,
                   struct ct_rows rows)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};
    const struct ct_tally_row *row = rows.data;
    struct figure figure = {append->tally.window,
                            rows.n > 0 ? row[0].requests : 0,
                            sim->core.now_ms};

    event.u.store_append.topic = append->topic;
    event.u.store_append.writer = append->tally.writer;
    event.u.store_append.window = append->tally.window;
    event.u.store_append.sequence = append->tally.sequence;
    if (append->topic == CT_TOPIC_FINALS) {
        if (append->expected_end_offset == (int64_t)sim->fixed->len) {
            g_array_append_val(sim->fixed, figure);
        }
        else {
            event.u.store_append.result = CT_ERR_LOG_LOST_RACE;
        }
        if (sim->lose_append_response) {
            event.u.store_append.result = CT_ERR_TIMEOUT;
        }
    }
    t_core_post(&sim->core, &event);
}

static void
post_report_result(struct simulation *sim, const struct ct_effect *effect)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    const struct ct_tally_row *row = effect->rows.data;
    struct figure figure = {effect->u.duty_usage.window,
                            effect->rows.n > 0 ? row[0].requests : 0,
                            sim->core.now_ms};

    g_array_append_val(sim->reports, figure);
    event.u.duty.is_usage = true;
    event.u.duty.window = figure.window;
    event.u.duty.fence = effect->u.duty_usage.fence;
    event.u.duty.result = sim->report_result;
    t_core_post(&sim->core, &event);
}

/*
 * Handles the effects of the last event, then those of the events that this
 * posts.
 */
static void
handle_effects(struct simulation *sim)
{
    struct ct_effects effects = sim->core.effects;

    ct_effects_init(&sim->core.effects);
    for (uint32_t i = 0; i < effects.n; i++) {
        const struct ct_effect *effect = &effects.items[i];

        if (effect->type == CT_EFFECT_STORE_READ &&
            effect->u.store_read.topic == CT_TOPIC_FINALS) {
            post_finals(sim, effect->u.store_read.from);
        }
        else if (effect->type == CT_EFFECT_STORE_READ &&
                 effect->u.store_read.topic == CT_TOPIC_TALLIES) {
            post_tallies(sim, effect->u.store_read.from);
        }
        else if (effect->type == CT_EFFECT_STORE_APPEND) {
            post_append_result(sim, &effect->u.store_append, effect->rows);
        }
        else if (effect->type == CT_EFFECT_DUTY_REPORT_USAGE) {
            post_report_result(sim, effect);
        }
        else {
            continue;
        }
        handle_effects(sim);
    }
    ct_effects_free(&effects);
}

static void
run_simulation(struct simulation *sim, ct_ms duration_ms, bool is_leader)
{
    for (ct_ms elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 50) {
        struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

        if (elapsed_ms % 1000 == 0) {
            event.u.store_join.sent_ms = sim->core.now_ms;
            event.u.store_join.generation = 4;
            event.u.store_join.holds_leader_slot = is_leader;
            t_core_post(&sim->core, &event);
            handle_effects(sim);
        }
        t_core_tick(&sim->core, 50);
        handle_effects(sim);
    }
}

static void
init_simulation(struct simulation *sim)
{
    memset(sim, 0, sizeof(*sim));
    sim->fixed = g_array_new(FALSE, TRUE, sizeof(struct figure));
    sim->reports = g_array_new(FALSE, TRUE, sizeof(struct figure));
    sim->requests = 7;
    sim->writers = 1;
    t_relay_init(&sim->core);
    t_relay_configure(&sim->core, 1, 1);
}

static void
free_simulation(struct simulation *sim)
{
    g_array_free(sim->fixed, TRUE);
    g_array_free(sim->reports, TRUE);
    t_core_free(&sim->core);
}

/* Every report has the figures that are fixed for its window. */
static void
assert_reports_fixed(const struct simulation *sim)
{
    for (guint i = 0; i < sim->reports->len; i++) {
        const struct figure *report =
            &g_array_index(sim->reports, struct figure, i);
        bool found = false;

        for (guint n = 0; n < sim->fixed->len && !found; n++) {
            const struct figure *figure =
                &g_array_index(sim->fixed, struct figure, n);

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
    struct simulation sim;

    init_simulation(&sim);
    run_simulation(&sim, 32000, true);
    g_assert_cmpuint(sim.reports->len, >=, 5);
    for (guint i = 1; i < sim.reports->len; i++) {
        g_assert_cmpint(
            g_array_index(sim.reports, struct figure, i).window, ==,
            g_array_index(sim.reports, struct figure, i - 1).window + 1);
        g_assert_cmpuint(g_array_index(sim.reports, struct figure, i).requests,
                         ==, 7);
    }
    assert_reports_fixed(&sim);
    free_simulation(&sim);
}

/*
 * A window is reported as soon as its figures are fixed: the host may not be
 * the leader for much longer.
 */
static void
test_reported_at_once(void)
{
    struct simulation sim;

    init_simulation(&sim);
    run_simulation(&sim, 32000, true);
    g_assert_cmpuint(sim.reports->len, >=, 5);
    for (guint i = 0; i < sim.reports->len; i++) {
        const struct figure *report =
            &g_array_index(sim.reports, struct figure, i);
        const struct figure *fixed =
            &g_array_index(sim.fixed, struct figure, i);

        g_assert_cmpint(report->window, ==, fixed->window);
        g_assert_cmpint(report->at_ms - fixed->at_ms, <, 50);
    }
    free_simulation(&sim);
}

/* A report that is not accepted is repeated with the same figures. */
static void
test_repeated_report(void)
{
    struct simulation sim;

    init_simulation(&sim);
    sim.report_result = CT_ERR_IO;
    run_simulation(&sim, 12000, true);
    sim.requests = 9;
    sim.report_result = CT_OK;
    run_simulation(&sim, 3000, true);
    g_assert_cmpuint(sim.reports->len, >=, 4);
    assert_reports_fixed(&sim);
    free_simulation(&sim);
}

/*
 * The response to the append of the figures is lost: the host learns from the
 * topic whether they are fixed.
 */
static void
test_lost_append(void)
{
    struct simulation sim;

    init_simulation(&sim);
    sim.lose_append_response = true;
    run_simulation(&sim, 16000, true);
    g_assert_cmpuint(sim.reports->len, >=, 2);
    for (guint i = 1; i < sim.fixed->len; i++) {
        g_assert_cmpint(g_array_index(sim.fixed, struct figure, i).window, >,
                        g_array_index(sim.fixed, struct figure, i - 1).window);
    }
    assert_reports_fixed(&sim);
    free_simulation(&sim);
}

/* Lets another host fix the next window with this number of requests. */
static int64_t
fix_next_window(struct simulation *sim, uint64_t requests)
{
    struct figure figure = {.requests = requests};

    figure.window =
        g_array_index(sim->fixed, struct figure, sim->fixed->len - 1).window +
        1;
    g_array_append_val(sim->fixed, figure);
    return figure.window;
}

/*
 * Asserts that the window was reported, and always with this number of
 * requests.
 */
static void
assert_reported(const struct simulation *sim, int64_t window,
                uint64_t requests)
{
    guint n = 0;

    for (guint i = 0; i < sim->reports->len; i++) {
        const struct figure *report =
            &g_array_index(sim->reports, struct figure, i);

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
    struct simulation sim;
    int64_t window;

    init_simulation(&sim);
    run_simulation(&sim, 9000, true);
    window = fix_next_window(&sim, 99);
    run_simulation(&sim, 12000, true);
    assert_reports_fixed(&sim);
    assert_reported(&sim, window, 99);
    free_simulation(&sim);
}

/* A slow host appends a second record for a window: the first one counts. */
static void
test_two_records(void)
{
    struct figure late = {.requests = 5};
    struct simulation sim;

    init_simulation(&sim);
    run_simulation(&sim, 9000, true);
    late.window = fix_next_window(&sim, 99);
    g_array_append_val(sim.fixed, late);
    run_simulation(&sim, 12000, true);
    assert_reported(&sim, late.window, 99);
    free_simulation(&sim);
}

/* A host that is not the leader fixes and reports nothing. */
static void
test_not_leader(void)
{
    struct simulation sim;

    init_simulation(&sim);
    run_simulation(&sim, 12000, false);
    g_assert_cmpuint(sim.fixed->len, ==, 0);
    g_assert_cmpuint(sim.reports->len, ==, 0);
    free_simulation(&sim);
}

/* Posts a tally without counts that closes a window for its writer. */
static void
close_window(struct simulation *sim, const char *writer, int64_t window,
             bool ends)
{
    struct ct_event event = {.type = CT_EVENT_STORE_TALLY};

    CT_TEXT_SET(event.u.tally.writer, writer);
    event.u.tally.window = window;
    event.u.tally.sequence = (uint64_t)window;
    event.u.tally.closes = true;
    event.u.tally.ends = ends;
    t_core_post(&sim->core, &event);
    handle_effects(sim);
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
        struct simulation sim;
        int64_t window;
        guint before;

        init_simulation(&sim);
        /* This is one second into a window. */
        run_simulation(&sim, 4 * WINDOW_MS + 1000, true);
        window = sim.core.wall_ms / WINDOW_MS;
        before = sim.fixed->len;
        close_window(&sim, "other", window - 1, cases[i].ends);
        run_simulation(&sim, WINDOW_MS - 1000, true);
        if (cases[i].closes_next) {
            close_window(&sim, "other", window, false);
        }
        run_simulation(&sim, 1500, true);
        g_assert_cmpuint(sim.fixed->len - before, ==, cases[i].fixed);
        run_simulation(&sim, 2 * WINDOW_MS, true);
        g_assert_cmpuint(sim.fixed->len, >, before);
        g_assert_cmpint(g_array_index(sim.fixed, struct figure, before).window,
                        ==, window);
        free_simulation(&sim);
    }
}

static const struct figure *
find_figure(const GArray *figures, int64_t window)
{
    for (guint i = 0; i < figures->len; i++) {
        const struct figure *figure =
            &g_array_index(figures, struct figure, i);

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
    struct simulation sim;
    int64_t window;

    init_simulation(&sim);
    /* This is one second into a window. */
    run_simulation(&sim, 4 * WINDOW_MS + 1000, true);
    window = sim.core.wall_ms / WINDOW_MS;
    sim.tallies_fail_until_ms = sim.core.now_ms + 4000 + outage_ms;
    run_simulation(&sim, 4000 + outage_ms - 100, true);
    g_assert_null(find_figure(sim.fixed, window));
    run_simulation(&sim, 3000, true);
    g_assert_nonnull(find_figure(sim.reports, window));
    g_assert_cmpuint(find_figure(sim.reports, window)->requests, ==, 7);
    assert_reports_fixed(&sim);
    free_simulation(&sim);
}

/*
 * After an outage of the store the hosts append what they kept, each in its
 * turn: the leader waits for a host that is not back yet.
 */
static void
test_hosts_catch_up(void)
{
    struct simulation sim;
    int64_t window;

    init_simulation(&sim);
    run_simulation(&sim, 4 * WINDOW_MS + 1000, true);
    window = sim.core.wall_ms / WINDOW_MS;
    post_rows(&sim, CT_EVENT_STORE_TALLY, window - 1, "other", 3);
    /* The outage ends 6 s after the window; its report is due after 10 s. */
    sim.tallies_fail_until_ms = sim.core.now_ms + 10000;
    run_simulation(&sim, 11000, true);
    post_rows(&sim, CT_EVENT_STORE_TALLY, window, "other", 3);
    run_simulation(&sim, 3000, true);
    g_assert_nonnull(find_figure(sim.reports, window));
    g_assert_cmpuint(find_figure(sim.reports, window)->requests, ==, 10);
    free_simulation(&sim);
}

/* The tallies of all hosts for an organisation are added up. */
static void
test_sum(void)
{
    struct simulation sim;

    init_simulation(&sim);
    sim.writers = 3;
    run_simulation(&sim, 22000, true);
    g_assert_cmpuint(sim.reports->len, >=, 3);
    for (guint i = 1; i < sim.reports->len; i++) {
        g_assert_cmpuint(g_array_index(sim.reports, struct figure, i).requests,
                         ==, 21);
    }
    free_simulation(&sim);
}

/* Old windows are freed: the stored data does not grow with time. */
static void
test_bounded_memory(void)
{
    struct simulation sim;

    init_simulation(&sim);
    run_simulation(&sim, 30 * WINDOW_MS, true);
    g_assert_cmpuint(sim.fixed->len, >=, 25);
    g_assert_cmpuint(sim.core.state->usage_report.records->len, <=, 16);
    g_assert_cmpuint(g_hash_table_size(sim.core.state->usage_report.sums.sums),
                     <=, 16);
    g_assert_cmpuint(sim.core.state->usage_report.finals->len, <=, 16);
    g_assert_cmpuint(sim.core.state->usage_report.final_rows->len, <=, 16);
    free_simulation(&sim);
}

/* A host whose fencing token is refused stops reporting. */
static void
test_fenced(void)
{
    struct simulation sim;
    guint before;

    init_simulation(&sim);
    sim.report_result = CT_ERR_FENCED;
    run_simulation(&sim, 9000, true);
    before = sim.reports->len;
    g_assert_cmpuint(before, >=, 1);
    run_simulation(&sim, 10000, true);
    g_assert_cmpuint(sim.reports->len, ==, before);
    free_simulation(&sim);
}

/*
 * The result of a report for a window that was already freed changes nothing.
 */
static void
test_unknown_window(void)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    struct simulation sim;
    guint before;

    init_simulation(&sim);
    run_simulation(&sim, 12000, true);
    before = sim.reports->len;
    event.u.duty.is_usage = true;
    event.u.duty.window = 1;
    event.u.duty.result = CT_ERR_IO;
    t_core_post(&sim.core, &event);
    run_simulation(&sim, 1000, true);
    g_assert_cmpuint(sim.reports->len, ==, before);
    free_simulation(&sim);
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
