#include "refusal-log.h"

#include <string.h>

#include "error.h"
#include "log-replay.h"
#include "state.h"

/* Longest time that a refusal waits for its batch. */
#define FLUSH_MS 500
#define RETRY_MS 2000
#define APPEND_LIMIT_MS 5000
#define BATCH_ROWS 128

void
ct_refusal_log_init(struct ct_refusal_log *log)
{
    memset(log, 0, sizeof(*log));
    log->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    log->pending = g_array_new(FALSE, TRUE, sizeof(struct ct_refusal_row));
}

void
ct_refusal_log_free(struct ct_refusal_log *log)
{
    g_hash_table_destroy(log->by_id);
    g_array_free(log->pending, TRUE);
    g_free(log->retained);
}

const struct ct_refusal_row *
ct_refusal_log_find(const struct ct_refusal_log *log,
                    const struct ct_request_id *id)
{
    return g_hash_table_lookup(log->by_id, id->text);
}

static void
retain_refusal(struct ct_refusal_log *log, const struct ct_refusal_row *row)
{
    struct ct_refusal_row *entry;

    if (ct_refusal_log_find(log, &row->request_id)) {
        return;
    }
    if (!log->retained) {
        log->retained =
            g_new0(struct ct_refusal_row, CT_REFUSALS_RETAINED_MAX);
    }
    entry = &log->retained[log->next];
    log->next = (log->next + 1) % CT_REFUSALS_RETAINED_MAX;
    if (log->n == CT_REFUSALS_RETAINED_MAX) {
        g_hash_table_remove(log->by_id, entry->request_id.text);
    }
    else {
        log->n++;
    }
    *entry = *row;
    g_hash_table_insert(log->by_id, entry->request_id.text, entry);
}

static void
arm_flush_timer(struct ct_state *state, ct_ms delay_ms)
{
    struct ct_refusal_log *log = &state->refusals;

    if (!log->timer_armed && log->pending->len) {
        log->timer_armed = true;
        ct_arm_timer(state, delay_ms, CT_TIMER_REFUSALS, CT_NO_HANDLE);
    }
}

void
ct_refusal_log_add(struct ct_state *state, const struct ct_refusal_row *row,
                   bool logged)
{
    struct ct_refusal_log *log = &state->refusals;

    retain_refusal(log, row);
    if (!logged) {
        return;
    }
    if (log->pending->len >= CT_REFUSALS_PENDING_MAX) {
        log->dropped++;
        return;
    }
    g_array_append_vals(log->pending, row, 1);
    arm_flush_timer(state, FLUSH_MS);
}

void
ct_refusal_log_on_timer(struct ct_state *state)
{
    struct ct_refusal_log *log = &state->refusals;
    struct ct_record record;

    log->timer_armed = false;
    if (log->in_flight || log->pending->len == 0) {
        return;
    }
    log->in_flight = MIN(log->pending->len, BATCH_ROWS);
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_REFUSALS;
    record.rows = CT_ROWS((struct ct_refusal_row *)(void *)log->pending->data,
                          log->in_flight);
    log->in_flight_sequence =
        ct_log_append(state, &record, state->now_ms + APPEND_LIMIT_MS);
}

void
ct_refusal_log_on_append_done(struct ct_state *state,
                              const struct ct_append_done *done)
{
    struct ct_refusal_log *log = &state->refusals;

    if (!log->in_flight || done->sequence != log->in_flight_sequence ||
        done->result == CT_OK) {
        return;
    }
    /*
     * The append may have taken effect; appending the same rows twice is
     * harmless.
     */
    log->in_flight = 0;
    arm_flush_timer(state, RETRY_MS);
}

void
ct_refusal_log_on_skipped(struct ct_state *state)
{
    /* The record in flight may have been skipped; append it again. */
    state->refusals.in_flight = 0;
    arm_flush_timer(state, RETRY_MS);
}

void
ct_refusal_log_apply(struct ct_state *state, const struct ct_record *record)
{
    const struct ct_refusal_row *row = record->rows.data;
    struct ct_refusal_log *log = &state->refusals;
    uint32_t i;

    for (i = 0; i < record->rows.n; i++) {
        retain_refusal(log, &row[i]);
    }
    if (log->in_flight && record->sequence == log->in_flight_sequence &&
        ct_name_eq(&record->writer, &state->self.writer)) {
        g_array_remove_range(log->pending, 0, log->in_flight);
        log->in_flight = 0;
        arm_flush_timer(state, FLUSH_MS);
    }
}
