#include "tally.h"

#include <string.h>

#include "error.h"
#include "state.h"

/* A window is closed this long after its end. */
#define CLOSE_AFTER_MS 150
#define APPEND_TIMEOUT_MS 900
/* Time for a host to append a forwarded record and to confirm it. */
#define FORWARD_TIMEOUT_MS 1300
#define RETRY_MS 250
/* Share of a window's requests that may be lost with one host. */
#define LOSS_MAX_PERMILLE 25
#define RETRY_MAX_MS 1000
/* Records that wait for the store; the oldest are dropped first. */
#define RECORDS_MAX 64

void
ct_tallies_init(struct ct_tallies *tallies)
{
    memset(tallies, 0, sizeof(*tallies));
    tallies->counts = g_array_new(FALSE, TRUE, sizeof(struct ct_tally_count));
    tallies->records =
        g_array_new(FALSE, TRUE, sizeof(struct ct_tally_record));
    tallies->next_sequence = 1;
}

void
ct_tallies_free(struct ct_tallies *tallies)
{
    g_array_free(tallies->counts, TRUE);
    g_array_free(tallies->records, TRUE);
}

int64_t
ct_window_at(const struct ct_state *state, ct_ms at_ms)
{
    return ct_wall_clock_ms(&state->wall_clock, at_ms) /
           state->self.bounds.usage_window_ms;
}

ct_ms
ct_window_end_ms(const struct ct_state *state, int64_t window)
{
    return (window + 1) * state->self.bounds.usage_window_ms -
           state->wall_clock.offset_ms;
}

void
ct_tally_add(struct ct_state *state, const struct ct_name *organisation)
{
    GArray *counts = state->tallies.counts;
    struct ct_tally_count new_count;
    int64_t window =
        MAX(ct_window_at(state, state->now_ms), state->tallies.open_window);

    for (guint i = 0; i < counts->len; i++) {
        struct ct_tally_count *count =
            &g_array_index(counts, struct ct_tally_count, i);

        if (!count->sequence && count->window == window &&
            ct_name_eq(&count->row.organisation, organisation)) {
            count->row.requests++;
            return;
        }
    }
    memset(&new_count, 0, sizeof(new_count));
    new_count.window = window;
    new_count.row.organisation = *organisation;
    new_count.row.requests = 1;
    g_array_append_val(counts, new_count);
}

/* Returns the counts of a record as rows. */
static GArray *
record_rows(const struct ct_tallies *tallies, uint64_t sequence)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_tally_row));

    for (guint i = 0; i < tallies->counts->len; i++) {
        const struct ct_tally_count *count =
            &g_array_index(tallies->counts, struct ct_tally_count, i);

        if (count->sequence == sequence) {
            g_array_append_val(rows, count->row);
        }
    }
    return rows;
}

/*
 * Forwards the record to the source, which appends the records of many hosts
 * at once. The record goes to the store if there is no fresh source, if
 * forwarding it had no result, or if this host drains.
 */
static void
send_record(struct ct_state *state, struct ct_tally_record *record)
{
    GArray *rows = record_rows(&state->tallies, record->tally.sequence);
    struct ct_rows tally_rows =
        CT_ROWS((struct ct_tally_row *)(void *)rows->data, rows->len);

    record->forwarded = !record->forwarded && !state->draining &&
                        ct_replication_source_is_fresh(state);
    if (record->forwarded) {
        ct_replication_message_to_source(state, CT_PEER_TALLY, tally_rows)
            ->u.tally = record->tally;
        record->next_ms = state->now_ms + FORWARD_TIMEOUT_MS;
    }
    else {
        ct_tally_append(state, &record->tally, tally_rows);
        record->next_ms = CT_MS_NEVER;
    }
    g_array_free(rows, TRUE);
    record->tries++;
}

void
ct_tally_append(struct ct_state *state, const struct ct_tally *tally,
                struct ct_rows rows)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_STORE_APPEND);
    int err;

    effect->u.store_append.topic = CT_TOPIC_TALLIES;
    effect->u.store_append.tally = *tally;
    effect->u.store_append.expected_end_offset = -1;
    effect->u.store_append.timeout_ms = APPEND_TIMEOUT_MS;
    err = ct_effect_set_rows(state->out, effect, rows);
    if (err < 0) {
        state->out->err = err;
    }
}

static void
remove_record(struct ct_tallies *tallies, guint index)
{
    uint64_t sequence =
        g_array_index(tallies->records, struct ct_tally_record, index)
            .tally.sequence;
    guint i = 0;

    while (i < tallies->counts->len) {
        if (g_array_index(tallies->counts, struct ct_tally_count, i)
                .sequence == sequence) {
            g_array_remove_index_fast(tallies->counts, i);
        }
        else {
            i++;
        }
    }
    g_array_remove_index(tallies->records, index);
}

/*
 * Sends the records that are due. While the store accepts no records only the
 * oldest one is sent again, so that an outage costs one call at a time,
 * however many records wait.
 */
static void
send_due(struct ct_state *state)
{
    struct ct_tallies *tallies = &state->tallies;
    guint n = tallies->append_failed ? MIN(tallies->records->len, 1)
                                     : tallies->records->len;

    for (guint i = 0; i < n; i++) {
        struct ct_tally_record *record =
            &g_array_index(tallies->records, struct ct_tally_record, i);

        if (record->next_ms <= state->now_ms) {
            send_record(state, record);
        }
    }
}

/*
 * Puts the counts of a window since its last record into a new record and
 * sends it.
 */
static void
create_record(struct ct_state *state, int64_t window, bool closes, bool ends)
{
    struct ct_tallies *tallies = &state->tallies;
    struct ct_tally_record record;

    memset(&record, 0, sizeof(record));
    record.tally.window = window;
    record.tally.writer = state->self.writer;
    record.tally.sequence = tallies->next_sequence++;
    record.tally.closes = closes;
    record.tally.ends = ends;
    tallies->last_record_ms = state->now_ms;
    for (guint i = 0; i < tallies->counts->len; i++) {
        struct ct_tally_count *count =
            &g_array_index(tallies->counts, struct ct_tally_count, i);

        if (!count->sequence && count->window == window) {
            count->sequence = record.tally.sequence;
        }
    }
    while (tallies->records->len >= RECORDS_MAX) {
        ct_emit_log(state, CT_LOG_DUTY_REFUSED, NULL, "too-many-records", 0);
        remove_record(tallies, 0);
    }
    record.next_ms = state->now_ms;
    g_array_append_val(tallies->records, record);
    send_due(state);
}

static bool
has_open_counts(const struct ct_tallies *tallies)
{
    for (guint i = 0; i < tallies->counts->len; i++) {
        if (!g_array_index(tallies->counts, struct ct_tally_count, i)
                 .sequence) {
            return true;
        }
    }
    return false;
}

/*
 * Whether a record is due. Counts since a host's last record are lost with the
 * host; with fewer hosts each has a larger share of a window and creates
 * records more often.
 */
static bool
is_part_due(const struct ct_state *state)
{
    ct_ms period_ms = state->self.bounds.usage_window_ms *
                      ct_group_size(state) * LOSS_MAX_PERMILLE / 1000;

    return state->now_ms - state->tallies.last_record_ms >= period_ms &&
           has_open_counts(&state->tallies);
}

static void
arm_timer(struct ct_state *state)
{
    ct_ms due_ms = ct_window_end_ms(state, state->tallies.open_window) +
                   CLOSE_AFTER_MS - state->now_ms;

    ct_arm_timer(state, CLAMP(due_ms, 1, RETRY_MS), CT_TIMER_TALLY,
                 CT_NO_HANDLE);
}

void
ct_tallies_start(struct ct_state *state)
{
    state->tallies.open_window = ct_window_at(state, state->now_ms);
    arm_timer(state);
}

void
ct_tallies_on_timer(struct ct_state *state)
{
    struct ct_tallies *tallies = &state->tallies;
    int64_t window = ct_window_at(state, state->now_ms - CLOSE_AFTER_MS);

    if (window > tallies->open_window) {
        create_record(state, tallies->open_window, true, false);
        tallies->open_window = window;
    }
    else if (is_part_due(state)) {
        create_record(state, tallies->open_window, false, false);
    }
    send_due(state);
    arm_timer(state);
}

void
ct_tallies_on_appended(struct ct_state *state,
                       const struct ct_store_append_done *appended)
{
    struct ct_tallies *tallies = &state->tallies;

    for (guint i = 0; i < tallies->records->len; i++) {
        struct ct_tally_record *record =
            &g_array_index(tallies->records, struct ct_tally_record, i);

        if (record->tally.sequence != appended->sequence) {
            continue;
        }
        if (appended->result == CT_OK) {
            remove_record(tallies, i);
            tallies->append_failed = false;
            return;
        }
        tallies->append_failed = true;
        record->next_ms =
            state->now_ms + MIN(RETRY_MS * (ct_ms)record->tries, RETRY_MAX_MS);
        return;
    }
}

void
ct_tallies_on_forward_done(struct ct_state *state, uint64_t sequence)
{
    const struct ct_store_append_done appended = {.sequence = sequence};

    ct_tallies_on_appended(state, &appended);
}

bool
ct_tallies_flush(struct ct_state *state)
{
    struct ct_tallies *tallies = &state->tallies;

    if (has_open_counts(tallies) || !tallies->ended) {
        tallies->ended = true;
        create_record(state, tallies->open_window, true, true);
    }
    return tallies->records->len == 0;
}
