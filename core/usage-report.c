#include "usage-report.h"

#include <string.h>

#include "error.h"
#include "state.h"

#define PERIOD_MS 250
/*
 * Delay from the end of a window to the read of its tallies, and between
 * further reads.
 */
#define READ_AFTER_MS 450
#define READ_AGAIN_MS 700
/*
 * Tallies that are not written this long before a report is due are left out.
 */
#define FIX_BEFORE_DUE_MS 5000
/*
 * For this long after an outage of the store hosts still append the tallies
 * that they kept, unless a report would be late.
 */
#define CATCH_UP_MS 2000
/* Time that an append of the figures and their report take. */
#define REPORT_MS 1500
#define READ_TIMEOUT_MS 1200
#define APPEND_TIMEOUT_MS 1200
#define REPORT_RETRY_MS 600
/* A window is given up this long after its report was due. */
#define GIVE_UP_MS 5000
/* Records and figures of windows older than this are removed. */
#define RETAINED_WINDOWS 12

void
ct_usage_report_init(struct ct_usage_report *report)
{
    memset(report, 0, sizeof(*report));
    report->records =
        g_array_new(FALSE, TRUE, sizeof(struct ct_report_record));
    ct_window_sums_init(&report->sums);
    report->finals = g_array_new(FALSE, TRUE, sizeof(struct ct_final_window));
    report->final_rows = g_array_new(FALSE, TRUE, sizeof(struct ct_tally_row));
}

void
ct_usage_report_free(struct ct_usage_report *report)
{
    g_array_free(report->records, TRUE);
    ct_window_sums_free(&report->sums);
    g_array_free(report->finals, TRUE);
    g_array_free(report->final_rows, TRUE);
}

void
ct_usage_report_begin(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;

    /* Another leader may have fixed windows since the last read. */
    report->finals_read_to_end = false;
    report->fixing_window = 0;
    report->tallies_back_ms = state->now_ms;
    if (report->last_final == 0) {
        /* Earlier windows are overdue. */
        report->last_final =
            ct_window_at(state,
                         state->now_ms - state->self.bounds.usage_late_ms) -
            1;
    }
    if (!report->armed) {
        report->armed = true;
        ct_arm_timer(state, 1, CT_TIMER_DUTY, CT_NO_HANDLE);
    }
}

static void
emit_read(struct ct_state *state, enum ct_topic topic, int64_t from)
{
    struct ct_store_read_effect *read =
        &ct_emit_effect(state, CT_EFFECT_STORE_READ)->u.store_read;

    read->topic = topic;
    read->from = from;
    read->timeout_ms = READ_TIMEOUT_MS;
}

static void
read_finals(struct ct_state *state)
{
    state->usage_report.finals_reading = true;
    emit_read(state, CT_TOPIC_FINALS, state->usage_report.finals_next);
}

static void
continue_reading_tallies(struct ct_state *state)
{
    state->usage_report.tallies_reading = true;
    emit_read(state, CT_TOPIC_TALLIES, state->usage_report.tallies_next);
}

static void
read_tallies(struct ct_state *state)
{
    state->usage_report.tallies_started_ms = state->now_ms;
    continue_reading_tallies(state);
}

/* Records that the tallies were read to their end. */
static void
end_reading_tallies(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;

    report->tallies_read_ms = report->tallies_started_ms;
    if (report->tallies_failed) {
        report->tallies_failed = false;
        report->tallies_back_ms = state->now_ms;
    }
}

static bool
was_read(const struct ct_usage_report *report, const struct ct_tally *tally)
{
    for (guint i = 0; i < report->records->len; i++) {
        const struct ct_report_record *record =
            &g_array_index(report->records, struct ct_report_record, i);

        if (record->sequence == tally->sequence &&
            ct_name_eq(&record->writer, &tally->writer)) {
            return true;
        }
    }
    return false;
}

void
ct_usage_report_on_tally(struct ct_state *state, const struct ct_event *event)
{
    struct ct_usage_report *report = &state->usage_report;
    const struct ct_tally *tally = &event->u.tally;
    const struct ct_tally_row *rows = event->rows.data;
    struct ct_report_record record = {tally->window, tally->writer,
                                      tally->sequence, tally->closes,
                                      tally->ends};

    if (tally->window <= report->last_final - RETAINED_WINDOWS ||
        was_read(report, tally)) {
        return;
    }
    g_array_append_val(report->records, record);
    for (uint32_t i = 0; i < event->rows.n; i++) {
        ct_window_sums_add(&report->sums, tally->window, &rows[i]);
    }
}

static struct ct_final_window *
find_final(const struct ct_usage_report *report, int64_t window)
{
    for (guint i = 0; i < report->finals->len; i++) {
        struct ct_final_window *final =
            &g_array_index(report->finals, struct ct_final_window, i);

        if (final->window == window) {
            return final;
        }
    }
    return NULL;
}

/* Returns the latest time at which a window may be reported. */
static ct_ms
last_report_ms(const struct ct_state *state, int64_t window)
{
    return ct_window_end_ms(state, window) + state->self.bounds.usage_late_ms +
           GIVE_UP_MS;
}

/* Removes old final windows and their rows, and moves the others together. */
static void
remove_old_finals(struct ct_state *state, int64_t oldest)
{
    struct ct_usage_report *report = &state->usage_report;
    struct ct_tally_row *rows = (void *)report->final_rows->data;
    guint n_rows = 0;
    guint n_finals = 0;

    for (guint i = 0; i < report->finals->len; i++) {
        struct ct_final_window final =
            g_array_index(report->finals, struct ct_final_window, i);

        if (final.window < oldest &&
            last_report_ms(state, final.window) <= state->now_ms) {
            continue;
        }
        if (final.n_rows > 0) {
            memmove(&rows[n_rows], &rows[final.first_row],
                    final.n_rows * sizeof(*rows));
        }
        final.first_row = n_rows;
        n_rows += final.n_rows;
        g_array_index(report->finals, struct ct_final_window, n_finals++) =
            final;
    }
    g_array_set_size(report->finals, n_finals);
    g_array_set_size(report->final_rows, n_rows);
}

/* Removes windows that are no longer needed. */
static void
remove_old(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;
    int64_t oldest = report->last_final - RETAINED_WINDOWS;
    guint i = 0;

    while (i < report->records->len) {
        if (g_array_index(report->records, struct ct_report_record, i).window <
            oldest) {
            g_array_remove_index_fast(report->records, i);
        }
        else {
            i++;
        }
    }
    ct_window_sums_remove_before(&report->sums, oldest);
    remove_old_finals(state, oldest);
}

void
ct_usage_report_on_final(struct ct_state *state, const struct ct_event *event)
{
    struct ct_usage_report *report = &state->usage_report;
    struct ct_final_window final = {
        .window = event->u.tally.window,
        .first_row = report->final_rows->len,
        .n_rows = event->rows.n,
    };

    /* The first record of a window is the valid one. */
    if (find_final(report, final.window)) {
        return;
    }
    g_array_append_vals(report->final_rows, event->rows.data, event->rows.n);
    g_array_append_val(report->finals, final);
    report->last_final = MAX(report->last_final, final.window);
    remove_old(state);
}

/* Whether the writer has closed the window. */
static bool
has_closed(const struct ct_usage_report *report, int64_t window,
           const struct ct_name *writer)
{
    for (guint i = 0; i < report->records->len; i++) {
        const struct ct_report_record *record =
            &g_array_index(report->records, struct ct_report_record, i);

        if (record->closes && record->window == window &&
            ct_name_eq(&record->writer, writer)) {
            return true;
        }
    }
    return false;
}

/*
 * Whether the window was closed by as many hosts as the group has, and by all
 * hosts that counted in the window before: some of them may have been dropped
 * from the group while the store refused their calls.
 */
static bool
is_complete(const struct ct_state *state, int64_t window)
{
    const struct ct_usage_report *report = &state->usage_report;
    uint32_t closed = 0;

    for (guint i = 0; i < report->records->len; i++) {
        const struct ct_report_record *record =
            &g_array_index(report->records, struct ct_report_record, i);

        closed += record->closes && record->window == window;
        if (record->window == window - 1 && !record->ends &&
            !has_closed(report, window, &record->writer)) {
            return false;
        }
    }
    return closed >= ct_group_size(state);
}

/* Appends the figures of a window, from which any leader reports. */
static void
fix_window(struct ct_state *state, int64_t window)
{
    struct ct_usage_report *report = &state->usage_report;
    GArray *rows = ct_window_sums_rows(&report->sums, window);
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_STORE_APPEND);

    effect->u.store_append.topic = CT_TOPIC_FINALS;
    effect->u.store_append.tally.window = window;
    effect->u.store_append.tally.writer = state->self.writer;
    effect->u.store_append.expected_end_offset = report->finals_next;
    effect->u.store_append.timeout_ms = APPEND_TIMEOUT_MS;
    ct_effect_set_rows(
        state->out, effect,
        CT_ROWS((struct ct_tally_row *)(void *)rows->data, rows->len));
    g_array_free(rows, TRUE);
    report->fixing_window = window;
    ct_emit_log(state, CT_LOG_USAGE_FIXED, NULL, NULL, window);
}

/*
 * Whether a window is fixed without the tallies of some hosts, since_ms after
 * its end. Once its report is late anyway, right figures come first.
 */
static bool
is_wait_over(const struct ct_state *state, ct_ms since_ms)
{
    ct_ms late_ms = state->self.bounds.usage_late_ms;

    if (since_ms < late_ms - FIX_BEFORE_DUE_MS) {
        return false;
    }
    if (state->now_ms - state->usage_report.tallies_back_ms >= CATCH_UP_MS) {
        return true;
    }
    return since_ms >= late_ms - REPORT_MS && since_ms < late_ms;
}

/*
 * Fixes the next window once its tallies are complete or its time runs out. A
 * read that failed says nothing about the tallies, so the window waits for one
 * that began after it ended.
 */
static void
fix_next_window(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;
    int64_t window = report->last_final + 1;
    ct_ms wanted_ms;
    bool was_read;

    /* Windows that no leader fixed in time are skipped. */
    while (state->now_ms > last_report_ms(state, window)) {
        window++;
        report->last_final++;
    }
    wanted_ms = ct_window_end_ms(state, window) + READ_AFTER_MS;
    if (state->now_ms < wanted_ms || report->tallies_reading) {
        return;
    }
    was_read = report->tallies_read_ms >= wanted_ms;
    if (was_read &&
        (is_complete(state, window) ||
         is_wait_over(state, state->now_ms - wanted_ms + READ_AFTER_MS))) {
        fix_window(state, window);
        return;
    }
    if (report->tallies_started_ms < wanted_ms ||
        state->now_ms - report->tallies_started_ms >= READ_AGAIN_MS) {
        read_tallies(state);
    }
}

static void
report_final(struct ct_state *state, struct ct_final_window *final)
{
    struct ct_effect *effect =
        ct_emit_effect(state, CT_EFFECT_DUTY_REPORT_USAGE);

    effect->u.duty_usage.window = final->window;
    effect->u.duty_usage.fence = state->leadership.generation;
    effect->u.duty_usage.not_after_ms = ct_leadership_valid_until_ms(state);
    ct_effect_set_rows(
        state->out, effect,
        CT_ROWS(&g_array_index(state->usage_report.final_rows,
                               struct ct_tally_row, final->first_row),
                final->n_rows));
    final->state = CT_FINAL_SENT;
    final->next_ms = state->now_ms + REPORT_RETRY_MS;
    ct_increment_counter(state, CT_COUNTER_REPORTS);
}

static void
report_due(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;

    for (guint i = 0; i < report->finals->len; i++) {
        struct ct_final_window *final =
            &g_array_index(report->finals, struct ct_final_window, i);

        if (final->state == CT_FINAL_WAITING &&
            final->next_ms <= state->now_ms &&
            state->now_ms < last_report_ms(state, final->window)) {
            report_final(state, final);
        }
    }
}

/*
 * Reports, reads or fixes what is due; a step follows the one before at once,
 * because a leader may lose its slot between them.
 */
static void
take_next_step(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;

    if (!ct_leadership_is_held(state)) {
        return;
    }
    report_due(state);
    if (!report->finals_read_to_end) {
        if (!report->finals_reading && !report->fixing_window) {
            read_finals(state);
        }
    }
    else if (!report->fixing_window) {
        fix_next_window(state);
    }
}

void
ct_usage_report_on_read(struct ct_state *state,
                        const struct ct_store_read_done *read)
{
    struct ct_usage_report *report = &state->usage_report;
    bool finals = read->topic == CT_TOPIC_FINALS;
    int64_t *next = finals ? &report->finals_next : &report->tallies_next;
    bool *reading =
        finals ? &report->finals_reading : &report->tallies_reading;

    *reading = false;
    if (read->result == CT_OK || read->result == CT_ERR_LOG_TRUNCATED) {
        *next = read->next;
    }
    else if (read->result == CT_ERR_NOT_FOUND) {
        /* Nothing was written to the topic yet. */
        *next = 0;
    }
    else {
        report->tallies_failed |= !finals;
        return;
    }
    if (read->result == CT_ERR_LOG_TRUNCATED || read->entries > 0) {
        finals ? read_finals(state) : continue_reading_tallies(state);
        return;
    }
    if (finals) {
        report->finals_read_to_end = true;
    }
    else {
        end_reading_tallies(state);
    }
    take_next_step(state);
}

void
ct_usage_report_on_appended(struct ct_state *state,
                            const struct ct_store_append_done *appended)
{
    struct ct_usage_report *report = &state->usage_report;

    if (report->fixing_window != appended->window) {
        return;
    }
    report->fixing_window = 0;
    /*
     * Whatever the result of the append, the topic shows which windows are
     * fixed.
     */
    report->finals_read_to_end = false;
    take_next_step(state);
}

void
ct_usage_report_on_timer(struct ct_state *state)
{
    struct ct_usage_report *report = &state->usage_report;

    if (!ct_leadership_is_held(state)) {
        report->armed = false;
        return;
    }
    take_next_step(state);
    ct_arm_timer(state, PERIOD_MS, CT_TIMER_DUTY, CT_NO_HANDLE);
}

void
ct_usage_report_on_done(struct ct_state *state,
                        const struct ct_duty_done *done)
{
    struct ct_final_window *final =
        find_final(&state->usage_report, done->window);

    if (done->result == CT_ERR_FENCED) {
        ct_leadership_on_fenced(state, done->fence);
    }
    if (!final || final->state != CT_FINAL_SENT) {
        return;
    }
    if (done->result == CT_OK) {
        final->state = CT_FINAL_DONE;
        ct_emit_log(state, CT_LOG_USAGE_REPORTED, NULL, NULL, done->window);
        return;
    }
    final->state = CT_FINAL_WAITING;
    final->next_ms = state->now_ms + REPORT_RETRY_MS;
    ct_emit_log(state, CT_LOG_DUTY_REFUSED, NULL, ct_err_name(done->result),
                done->window);
}
