#include "usage-final.h"

#include <string.h>

#include "error.h"
#include "state.h"

/* Totals may still arrive for this long after the end of a window. */
#define GRACE_MS 8000
#define REPORT_TIMEOUT_MS 2000
/*
 * A report has ended, with or without a response, this long after its
 * time-out.
 */
#define REPORT_MARGIN_MS 1000
#define REPORT_RETRY_MS 1500
#define APPEND_RETRY_MS 3000
/* Accepted figures are retained this long for hosts that missed the record. */
#define RETAIN_MS (4 * CT_USAGE_WINDOW_MS)

static void
clear_final(void *row)
{
    g_free(((struct ct_usage_final_row *)row)->rows);
}

void
ct_usage_finals_init(struct ct_usage_finals *finals)
{
    memset(finals, 0, sizeof(*finals));
    ct_table_init(&finals->rows, sizeof(struct ct_usage_final_row), 0,
                  clear_final);
}

void
ct_usage_finals_free(struct ct_usage_finals *finals)
{
    ct_table_free(&finals->rows);
}

static struct ct_usage_final_row *
find_final(const struct ct_state *state, ct_ms window_start_ms,
           struct ct_handle *handle)
{
    struct ct_usage_final_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->usage_finals.rows, &cursor, handle))) {
        if (row->window.window_start_ms == window_start_ms) {
            return row;
        }
    }
    return NULL;
}

static int
add_final(struct ct_state *state, const struct ct_usage_window *window,
          int64_t offset, struct ct_rows rows)
{
    struct ct_usage_final_row *row;
    struct ct_handle handle;
    int err = ct_table_add(&state->usage_finals.rows, &handle);

    if (err < 0) {
        return err;
    }
    row = ct_table_get(&state->usage_finals.rows, handle);
    row->window = *window;
    row->offset = offset;
    row->n = rows.n;
    if (rows.n) {
        row->rows = g_memdup2(rows.data, (gsize)rows.n * rows.row_size);
    }
    return CT_OK;
}

static void
remove_old_finals(struct ct_state *state)
{
    const struct ct_usage_final_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (
        (row = ct_table_next(&state->usage_finals.rows, &cursor, &handle))) {
        if (row->window.accepted && row->window.window_start_ms + RETAIN_MS <
                                        state->usage_finals.newest_ms) {
            ct_table_unref(&state->usage_finals.rows, handle);
        }
    }
}

int
ct_usage_final_apply(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_usage_window *window = &entry->record.u.window;
    struct ct_usage_finals *finals = &state->usage_finals;
    int err;

    if (!ct_lease_is_current_term(state, CT_ROLE_USAGE, window->term) ||
        window->window_start_ms <= finals->newest_ms) {
        return CT_ERR_LOG_LOST_RACE;
    }
    err = add_final(state, window, entry->offset, entry->record.rows);
    if (err < 0) {
        return err;
    }
    finals->newest_ms = window->window_start_ms;
    finals->append_retry_ms = 0;
    remove_old_finals(state);
    ct_usage_close_windows(state, window->window_start_ms, entry->record.rows);
    return CT_OK;
}

int
ct_usage_accepted_apply(struct ct_state *state,
                        const struct ct_usage_window *window)
{
    struct ct_usage_final_row *row =
        find_final(state, window->window_start_ms, NULL);

    if (!row) {
        return CT_ERR_LOG_LOST_RACE;
    }
    row->window.accepted = true;
    return CT_OK;
}

static void
export_window(const struct ct_usage_window *window, int64_t offset,
              GArray *out)
{
    struct ct_snapshot_row row;

    memset(&row, 0, sizeof(row));
    row.kind = CT_SNAPSHOT_USAGE_WINDOW;
    row.offset = offset;
    row.u.window = *window;
    g_array_append_val(out, row);
}

void
ct_usage_finals_export(const struct ct_state *state, GArray *out)
{
    const struct ct_usage_finals *finals = &state->usage_finals;
    const struct ct_usage_final_row *final;
    struct ct_snapshot_row row;
    uint32_t cursor = 0;
    uint32_t i;

    while ((final = ct_table_next(&finals->rows, &cursor, NULL))) {
        export_window(&final->window, final->offset, out);
        for (i = 0; i < final->n; i++) {
            memset(&row, 0, sizeof(row));
            row.kind = CT_SNAPSHOT_USAGE_ROW;
            row.offset = final->offset;
            row.u.usage = final->rows[i];
            g_array_append_val(out, row);
        }
    }
}

static void
remove_all_finals(struct ct_state *state)
{
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (ct_table_next(&state->usage_finals.rows, &cursor, &handle)) {
        ct_table_unref(&state->usage_finals.rows, handle);
    }
}

static int
import_window(struct ct_state *state, const struct ct_snapshot_row *window,
              struct ct_rows all)
{
    const struct ct_snapshot_row *row = all.data;
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_usage_row));
    uint32_t i;
    int err;

    for (i = 0; i < all.n; i++) {
        if (row[i].kind == CT_SNAPSHOT_USAGE_ROW &&
            row[i].offset == window->offset) {
            g_array_append_val(rows, row[i].u.usage);
        }
    }
    err = add_final(
        state, &window->u.window, window->offset,
        CT_ROWS((struct ct_usage_row *)(void *)rows->data, rows->len));
    g_array_free(rows, TRUE);
    return err;
}

/*
 * Closes the windows that became final while this host did not read the log.
 * For windows older than the retained ones it is not known which usage of this
 * host was counted; that usage is not counted again.
 */
static void
close_windows(struct ct_state *state)
{
    const struct ct_usage_final_row *next;
    const struct ct_usage_final_row *row;
    ct_ms closed_ms = 0;
    uint32_t cursor;

    do {
        next = NULL;
        cursor = 0;
        while (
            (row = ct_table_next(&state->usage_finals.rows, &cursor, NULL))) {
            if (row->window.window_start_ms > closed_ms &&
                (!next ||
                 row->window.window_start_ms < next->window.window_start_ms)) {
                next = row;
            }
        }
        if (next && closed_ms == 0) {
            ct_usage_discard_windows(state, next->window.window_start_ms - 1);
        }
        if (next) {
            closed_ms = next->window.window_start_ms;
            ct_usage_close_windows(state, closed_ms,
                                   CT_ROWS(next->rows, next->n));
        }
    } while (next);
}

int
ct_usage_finals_import(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_snapshot_row *row = rows.data;
    struct ct_usage_finals *finals = &state->usage_finals;
    int err = CT_OK;
    uint32_t i;

    remove_all_finals(state);
    for (i = 0; i < rows.n && err >= 0; i++) {
        if (row[i].kind == CT_SNAPSHOT_USAGE_WINDOW) {
            err = import_window(state, &row[i], rows);
            finals->newest_ms =
                MAX(finals->newest_ms, row[i].u.window.window_start_ms);
        }
    }
    if (err >= 0) {
        close_windows(state);
    }
    return err;
}

/* Returns the oldest ended window whose grace period is over; 0 for none. */
static ct_ms
due_window_ms(const struct ct_state *state)
{
    const struct ct_usage_total *total;
    uint32_t cursor = 0;
    ct_ms oldest_ms = 0;

    while ((total = ct_table_next(&state->usage.totals, &cursor, NULL))) {
        ct_ms start_ms = total->row.window_start_ms;

        if (start_ms + CT_USAGE_WINDOW_MS + GRACE_MS <= state->wall_ms &&
            (oldest_ms == 0 || start_ms < oldest_ms)) {
            oldest_ms = start_ms;
        }
    }
    return oldest_ms;
}

static void
append_final(struct ct_state *state, ct_ms window_start_ms)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_usage_row));
    const struct ct_usage_total *total;
    struct ct_record record;
    uint32_t cursor = 0;

    while ((total = ct_table_next(&state->usage.totals, &cursor, NULL))) {
        if (total->row.window_start_ms == window_start_ms) {
            g_array_append_val(rows, total->row);
        }
    }
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_USAGE_FINAL;
    record.u.window.window_start_ms = window_start_ms;
    record.u.window.window_ms = CT_USAGE_WINDOW_MS;
    record.u.window.term = state->leases.roles[CT_ROLE_USAGE].own_term;
    record.rows =
        CT_ROWS((struct ct_usage_row *)(void *)rows->data, rows->len);
    ct_log_append(state, &record,
                  ct_lease_valid_until_ms(state, CT_ROLE_USAGE));
    state->usage_finals.append_retry_ms = state->now_ms + APPEND_RETRY_MS;
    g_array_free(rows, TRUE);
}

static int
compare_organisations(gconstpointer a, gconstpointer b)
{
    const struct ct_usage_row *left = a;
    const struct ct_usage_row *right = b;

    return strcmp(left->organisation.text, right->organisation.text);
}

/* Returns the figures of a window: the sums of its rows by organisation. */
static GArray *
sum_rows(const struct ct_usage_final_row *final)
{
    GArray *sums = g_array_new(FALSE, TRUE, sizeof(struct ct_usage_row));
    uint32_t i;
    guint j;

    for (i = 0; i < final->n; i++) {
        const struct ct_usage_row *row = &final->rows[i];
        struct ct_usage_row *sum;

        for (j = 0; j < sums->len; j++) {
            sum = &g_array_index(sums, struct ct_usage_row, j);
            if (ct_name_eq(&sum->organisation, &row->organisation)) {
                break;
            }
        }
        if (j == sums->len) {
            g_array_set_size(sums, j + 1);
            sum = &g_array_index(sums, struct ct_usage_row, j);
            sum->organisation = row->organisation;
            sum->window_start_ms = row->window_start_ms;
        }
        sum = &g_array_index(sums, struct ct_usage_row, j);
        sum->requests += row->requests;
        sum->tokens_in += row->tokens_in;
        sum->tokens_out += row->tokens_out;
        sum->late_requests += row->late_requests;
    }
    g_array_sort(sums, compare_organisations);
    return sums;
}

static void
send_report(struct ct_state *state, struct ct_usage_final_row *final,
            ct_ms valid_until_ms)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_REPORT_USAGE);
    GArray *sums = sum_rows(final);

    effect->u.report.window = final->window;
    effect->u.report.window.term = state->leases.roles[CT_ROLE_USAGE].own_term;
    /* The rest of the lease covers the whole time-out. */
    effect->u.report.not_after_ms = valid_until_ms - REPORT_TIMEOUT_MS;
    effect->u.report.timeout_ms = REPORT_TIMEOUT_MS;
    ct_effect_set_rows(
        state->out, effect,
        CT_ROWS((struct ct_usage_row *)(void *)sums->data, sums->len));
    g_array_free(sums, TRUE);
    final->retry_ms = state->now_ms + REPORT_TIMEOUT_MS + REPORT_MARGIN_MS;
    ct_increment_counter(state, CT_COUNTER_REPORTS);
}

static void
append_accepted(struct ct_state *state, struct ct_usage_final_row *final)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_USAGE_ACCEPTED;
    record.u.window = final->window;
    record.u.window.accepted = true;
    final->retry_ms = state->now_ms + APPEND_RETRY_MS;
    ct_log_append(state, &record, final->retry_ms);
}

void
ct_usage_finals_advance(struct ct_state *state)
{
    ct_ms valid_until_ms = ct_lease_valid_until_ms(state, CT_ROLE_USAGE);
    struct ct_usage_final_row *final;
    uint32_t cursor = 0;
    ct_ms due_ms;

    if (valid_until_ms == 0 || state->draining) {
        return;
    }
    while ((final = ct_table_next(&state->usage_finals.rows, &cursor, NULL))) {
        if (final->window.accepted || state->now_ms < final->retry_ms) {
            continue;
        }
        if (final->reported) {
            append_accepted(state, final);
        }
        else if (state->now_ms < valid_until_ms - REPORT_TIMEOUT_MS) {
            send_report(state, final, valid_until_ms);
        }
    }
    due_ms = due_window_ms(state);
    if (due_ms && state->now_ms >= state->usage_finals.append_retry_ms) {
        append_final(state, due_ms);
    }
}

void
ct_usage_finals_on_report_done(struct ct_state *state,
                               const struct ct_report_done *done)
{
    struct ct_usage_final_row *final =
        find_final(state, done->window_start_ms, NULL);

    if (!final || final->window.accepted) {
        return;
    }
    final->retry_ms = state->now_ms + REPORT_RETRY_MS;
    if (done->result != CT_OK && done->result != CT_ERR_EXISTS) {
        return;
    }
    /* A further report cannot change other figures that are already billed. */
    final->reported = true;
    ct_emit_log(state, CT_LOG_USAGE_REPORTED, &state->self.host,
                done->result == CT_OK ? NULL : ct_err_name(done->result),
                done->window_start_ms);
    append_accepted(state, final);
}

bool
ct_usage_is_reporting(const struct ct_state *state)
{
    const struct ct_usage_final_row *final;
    uint32_t cursor = 0;

    while ((final = ct_table_next(&state->usage_finals.rows, &cursor, NULL))) {
        if (!final->window.accepted && !final->reported &&
            state->now_ms < final->retry_ms) {
            return true;
        }
    }
    return false;
}
