/* Tests of usage-report.h: figures are fixed before they are sent. */
#include <string.h>

#include "lib-relay.h"

#define WINDOW_MS 5000

/* A stand-in for the topics of the store and the platform's interface. */
struct world {
    struct t_core core;
    /* Windows fixed in the topic, and the requests of "acme" in each. */
    GArray *fixed;
    uint64_t requests;
    guint writers;
    /* Reports that came in: window and requests. */
    GArray *reports;
    int32_t report_result;
    /* Answers to appends are lost, though they were carried out. */
    bool lose_append;
    int64_t tallies_sent;
    bool tallies_read;
};

struct figure {
    int64_t window;
    uint64_t requests;
};

static void
post_rows(struct world *w, enum ct_event_type type, int64_t window,
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
    t_core_post(&w->core, &event);
}

static void
post_read(struct world *w, enum ct_topic topic, int64_t next, uint32_t entries)
{
    struct ct_event event = {.type = CT_EVENT_STORE_READ_DONE};

    event.u.store_read.topic = topic;
    event.u.store_read.sent_ms = w->core.now_ms;
    event.u.store_read.next = next;
    event.u.store_read.entries = entries;
    t_core_post(&w->core, &event);
}

static void
answer_finals(struct world *w, int64_t from)
{
    for (guint i = (guint)from; i < w->fixed->len; i++) {
        const struct figure *f = &g_array_index(w->fixed, struct figure, i);

        post_rows(w, CT_EVENT_STORE_FINAL, f->window, "x", f->requests);
    }
    post_read(w, CT_TOPIC_FINALS, w->fixed->len,
              (uint32_t)(w->fixed->len - from));
}

/* Each writer has a record of the window that has just ended. */
static void
answer_tallies(struct world *w, int64_t from)
{
    int64_t window = w->core.wall_ms / WINDOW_MS - 1;

    if (from > 0 && window == w->tallies_sent) {
        post_read(w, CT_TOPIC_TALLIES, from, 0);
        return;
    }
    w->tallies_sent = window;
    for (guint i = 0; i < w->writers; i++) {
        char writer[8];

        g_snprintf(writer, sizeof(writer), "w%u", i);
        post_rows(w, CT_EVENT_STORE_TALLY, window, writer, w->requests);
        /* A repeat of the same record counts once. */
        post_rows(w, CT_EVENT_STORE_TALLY, window, writer, w->requests);
    }
    post_read(w, CT_TOPIC_TALLIES, from + 1, w->writers);
}

static void
answer_append(struct world *w, const struct ct_store_append_effect *append,
              struct ct_rows rows)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};
    const struct ct_tally_row *row = rows.data;
    struct figure figure = {append->tally.window,
                            rows.n > 0 ? row[0].requests : 0};

    event.u.store_append.topic = append->topic;
    event.u.store_append.writer = append->tally.writer;
    event.u.store_append.window = append->tally.window;
    event.u.store_append.sequence = append->tally.sequence;
    if (append->topic == CT_TOPIC_FINALS) {
        if (append->expected_end_offset == (int64_t)w->fixed->len) {
            g_array_append_val(w->fixed, figure);
        }
        else {
            event.u.store_append.result = CT_ERR_LOG_LOST_RACE;
        }
        if (w->lose_append) {
            event.u.store_append.result = CT_ERR_TIMEOUT;
        }
    }
    t_core_post(&w->core, &event);
}

static void
answer_report(struct world *w, const struct ct_effect *effect)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    const struct ct_tally_row *row = effect->rows.data;
    struct figure figure = {effect->u.duty_usage.window,
                            effect->rows.n > 0 ? row[0].requests : 0};

    g_array_append_val(w->reports, figure);
    event.u.duty.is_usage = true;
    event.u.duty.window = figure.window;
    event.u.duty.fence = effect->u.duty_usage.fence;
    event.u.duty.result = w->report_result;
    t_core_post(&w->core, &event);
}

/* Answers the effects of the last event, and those of the answers. */
static void
answer_all(struct world *w)
{
    struct ct_effects effects = w->core.effects;

    ct_effects_init(&w->core.effects);
    for (uint32_t i = 0; i < effects.n; i++) {
        const struct ct_effect *e = &effects.items[i];

        if (e->type == CT_EFFECT_STORE_READ &&
            e->u.store_read.topic == CT_TOPIC_FINALS) {
            answer_finals(w, e->u.store_read.from);
        }
        else if (e->type == CT_EFFECT_STORE_READ &&
                 e->u.store_read.topic == CT_TOPIC_TALLIES) {
            answer_tallies(w, e->u.store_read.from);
        }
        else if (e->type == CT_EFFECT_STORE_APPEND) {
            answer_append(w, &e->u.store_append, e->rows);
        }
        else if (e->type == CT_EFFECT_DUTY_REPORT_USAGE) {
            answer_report(w, e);
        }
        else {
            continue;
        }
        answer_all(w);
    }
    ct_effects_free(&effects);
}

static void
run(struct world *w, ct_ms for_ms, bool holds)
{
    for (ct_ms at = 0; at < for_ms; at += 50) {
        struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

        if (at % 1000 == 0) {
            event.u.store_join.sent_ms = w->core.now_ms;
            event.u.store_join.generation = 4;
            event.u.store_join.holds_leader_slot = holds;
            t_core_post(&w->core, &event);
            answer_all(w);
        }
        t_core_tick(&w->core, 50);
        answer_all(w);
    }
}

static void
setup(struct world *w)
{
    memset(w, 0, sizeof(*w));
    w->fixed = g_array_new(FALSE, TRUE, sizeof(struct figure));
    w->reports = g_array_new(FALSE, TRUE, sizeof(struct figure));
    w->requests = 7;
    w->writers = 1;
    t_relay_init(&w->core);
    t_relay_configure(&w->core, 1, 1);
}

static void
teardown(struct world *w)
{
    g_array_free(w->fixed, TRUE);
    g_array_free(w->reports, TRUE);
    t_core_free(&w->core);
}

/* Every report is of a window that is fixed, with its figures. */
static void
assert_reports_fixed(const struct world *w)
{
    for (guint i = 0; i < w->reports->len; i++) {
        const struct figure *r = &g_array_index(w->reports, struct figure, i);
        bool found = false;

        for (guint k = 0; k < w->fixed->len && !found; k++) {
            const struct figure *f =
                &g_array_index(w->fixed, struct figure, k);

            if (f->window == r->window) {
                found = true;
                g_assert_cmpuint(f->requests, ==, r->requests);
            }
        }
        g_assert_true(found);
    }
}

/* Each window once, in order, with the sum of the hosts' records. */
static void
test_windows(void)
{
    struct world w;

    setup(&w);
    run(&w, 32000, true);
    g_assert_cmpuint(w.reports->len, >=, 5);
    for (guint i = 1; i < w.reports->len; i++) {
        g_assert_cmpint(g_array_index(w.reports, struct figure, i).window, ==,
                        g_array_index(w.reports, struct figure, i - 1).window +
                            1);
        g_assert_cmpuint(g_array_index(w.reports, struct figure, i).requests,
                         ==, 7);
    }
    assert_reports_fixed(&w);
    teardown(&w);
}

/* A report that is not accepted is made again with the same figures. */
static void
test_retry(void)
{
    struct world w;

    setup(&w);
    w.report_result = CT_ERR_IO;
    run(&w, 12000, true);
    w.requests = 9;
    w.report_result = CT_OK;
    run(&w, 3000, true);
    g_assert_cmpuint(w.reports->len, >=, 4);
    assert_reports_fixed(&w);
    teardown(&w);
}

/* The answer to the record of the figures is lost: the topic tells. */
static void
test_lost_append(void)
{
    struct world w;

    setup(&w);
    w.lose_append = true;
    run(&w, 16000, true);
    g_assert_cmpuint(w.reports->len, >=, 2);
    for (guint i = 1; i < w.fixed->len; i++) {
        g_assert_cmpint(g_array_index(w.fixed, struct figure, i).window, >,
                        g_array_index(w.fixed, struct figure, i - 1).window);
    }
    assert_reports_fixed(&w);
    teardown(&w);
}

/* Another host fixes the next window, with so many requests. */
static int64_t
fix_next(struct world *w, uint64_t requests)
{
    struct figure figure = {.requests = requests};

    figure.window =
        g_array_index(w->fixed, struct figure, w->fixed->len - 1).window + 1;
    g_array_append_val(w->fixed, figure);
    return figure.window;
}

/* The window was reported, and with nothing but these requests. */
static void
assert_reported(const struct world *w, int64_t window, uint64_t requests)
{
    guint n = 0;

    for (guint i = 0; i < w->reports->len; i++) {
        const struct figure *r = &g_array_index(w->reports, struct figure, i);

        if (r->window == window) {
            g_assert_cmpuint(r->requests, ==, requests);
            n++;
        }
    }
    g_assert_cmpuint(n, >, 0);
}

/* Another host fixed the window first: its figures are the ones to report. */
static void
test_race(void)
{
    struct world w;
    int64_t window;

    setup(&w);
    run(&w, 9000, true);
    window = fix_next(&w, 99);
    run(&w, 12000, true);
    assert_reports_fixed(&w);
    assert_reported(&w, window, 99);
    teardown(&w);
}

/* Two records of one window, by a host that was slow: the first one counts. */
static void
test_two_records(void)
{
    struct figure late = {.requests = 5};
    struct world w;

    setup(&w);
    run(&w, 9000, true);
    late.window = fix_next(&w, 99);
    g_array_append_val(w.fixed, late);
    run(&w, 12000, true);
    assert_reported(&w, late.window, 99);
    teardown(&w);
}

/* A host that does not act fixes and reports nothing. */
static void
test_not_acting(void)
{
    struct world w;

    setup(&w);
    run(&w, 12000, false);
    g_assert_cmpuint(w.fixed->len, ==, 0);
    g_assert_cmpuint(w.reports->len, ==, 0);
    teardown(&w);
}

/* A record without counts that closes a window for its writer. */
static void
close_window(struct world *w, const char *writer, int64_t window, bool ends)
{
    struct ct_event event = {.type = CT_EVENT_STORE_TALLY};

    CT_TEXT_SET(event.u.tally.writer, writer);
    event.u.tally.window = window;
    event.u.tally.sequence = (uint64_t)window;
    event.u.tally.closes = true;
    event.u.tally.ends = ends;
    t_core_post(&w->core, &event);
    answer_all(w);
}

/*
 * A host that counted in the window before is waited for, unless it ended or
 * has closed this one too; but no longer than a report may take.
 */
static void
test_waits(void)
{
    static const struct {
        bool ends;
        bool closes_next;
        guint fixed;
    } cases[] = {{false, false, 0}, {true, false, 1}, {false, true, 1}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct world w;
        int64_t window;
        guint before;

        setup(&w);
        /* One second into a window. */
        run(&w, 4 * WINDOW_MS + 1000, true);
        window = w.core.wall_ms / WINDOW_MS;
        before = w.fixed->len;
        close_window(&w, "other", window - 1, cases[i].ends);
        run(&w, WINDOW_MS - 1000, true);
        if (cases[i].closes_next) {
            close_window(&w, "other", window, false);
        }
        run(&w, 1500, true);
        g_assert_cmpuint(w.fixed->len - before, ==, cases[i].fixed);
        run(&w, 2 * WINDOW_MS, true);
        g_assert_cmpuint(w.fixed->len, >, before);
        g_assert_cmpint(g_array_index(w.fixed, struct figure, before).window,
                        ==, window);
        teardown(&w);
    }
}

/* The counts of all hosts for an organisation are one figure. */
static void
test_sum(void)
{
    struct world w;

    setup(&w);
    w.writers = 3;
    run(&w, 22000, true);
    g_assert_cmpuint(w.reports->len, >=, 3);
    for (guint i = 1; i < w.reports->len; i++) {
        g_assert_cmpuint(g_array_index(w.reports, struct figure, i).requests,
                         ==, 21);
    }
    teardown(&w);
}

/* Old windows are forgotten: what is kept does not grow with the days. */
static void
test_forgets(void)
{
    struct world w;

    setup(&w);
    run(&w, 30 * WINDOW_MS, true);
    g_assert_cmpuint(w.fixed->len, >=, 25);
    g_assert_cmpuint(w.core.state->usage_report.records->len, <=, 16);
    g_assert_cmpuint(w.core.state->usage_report.counts->len, <=, 16);
    g_assert_cmpuint(w.core.state->usage_report.finals->len, <=, 16);
    g_assert_cmpuint(w.core.state->usage_report.final_rows->len, <=, 16);
    teardown(&w);
}

/* Refused with its number, it stops. */
static void
test_fenced(void)
{
    struct world w;
    guint before;

    setup(&w);
    w.report_result = CT_ERR_FENCED;
    run(&w, 9000, true);
    before = w.reports->len;
    g_assert_cmpuint(before, >=, 1);
    run(&w, 10000, true);
    g_assert_cmpuint(w.reports->len, ==, before);
    teardown(&w);
}

/* An answer about a window that is forgotten by then changes nothing. */
static void
test_unknown_window(void)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    struct world w;
    guint before;

    setup(&w);
    run(&w, 12000, true);
    before = w.reports->len;
    event.u.duty.is_usage = true;
    event.u.duty.window = 1;
    event.u.duty.result = CT_ERR_IO;
    t_core_post(&w.core, &event);
    run(&w, 1000, true);
    g_assert_cmpuint(w.reports->len, ==, before);
    teardown(&w);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/usage-report/windows", test_windows);
    g_test_add_func("/usage-report/retry", test_retry);
    g_test_add_func("/usage-report/lost-append", test_lost_append);
    g_test_add_func("/usage-report/race", test_race);
    g_test_add_func("/usage-report/two-records", test_two_records);
    g_test_add_func("/usage-report/not-acting", test_not_acting);
    g_test_add_func("/usage-report/waits", test_waits);
    g_test_add_func("/usage-report/sum", test_sum);
    g_test_add_func("/usage-report/forgets", test_forgets);
    g_test_add_func("/usage-report/unknown-window", test_unknown_window);
    g_test_add_func("/usage-report/fenced", test_fenced);
    return g_test_run();
}
