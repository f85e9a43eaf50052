#include "prompt-quarantine.h"

#include <string.h>

#include "index.h"
#include "state.h"

#define PARTS_MAX 4096
/*
 * Weight of a crash: an upstream that had begun its response was at work on
 * the call, another one may have failed because of a call beside it.
 */
#define WEIGHT_BEGUN 2
#define WEIGHT_WAITING 1
/* Score at which a part is quarantined: three upstreams that had begun. */
#define SCORE_LIMIT 6
/* The same for a part of a call that was answered within ANSWERED_MS. */
#define SCORE_LIMIT_ANSWERED 12
#define ANSWERED_MS 60000
/*
 * A crash that began no response is made known to the other hosts for parts
 * that have this score at this host: single ones are those of other calls.
 */
#define SCORE_WAITING_SHARED 2
/* An answer on a part with this score is made known to the other hosts. */
#define SCORE_SHARED 4
/* Crashes that are further apart have different causes. */
#define SUSPECT_MS 60000
/* Upstreams that fail within this time were lost with a zone or rack. */
#define SAME_LOSS_MS 200
#define QUARANTINE_MS 600000
/* A call that could probe may retry after this time. */
#define PROBE_RETRY_MS 500
/* Interval between writes of the same quarantine. */
#define REWRITE_MS 1000

void
ct_prompt_quarantine_init(struct ct_prompt_quarantine *quarantine)
{
    memset(quarantine, 0, sizeof(*quarantine));
    ct_table_init(&quarantine->rows, sizeof(struct ct_part_row), PARTS_MAX,
                  NULL);
    quarantine->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void
ct_prompt_quarantine_free(struct ct_prompt_quarantine *quarantine)
{
    g_hash_table_destroy(quarantine->by_id);
    ct_table_free(&quarantine->rows);
}

static struct ct_part_row *
find_row(const struct ct_prompt_quarantine *quarantine, uint64_t id)
{
    return ct_table_get(&quarantine->rows,
                        ct_index_get(quarantine->by_id, &id));
}

static bool
is_quarantined(const struct ct_part_row *row, ct_ms now_ms)
{
    return row->quarantined_until_ms > now_ms;
}

static bool
is_suspected(const struct ct_part_row *row, ct_ms now_ms)
{
    return row->score > 0 && now_ms - row->crashed_ms <= SUSPECT_MS;
}

/* Frees a row that holds neither a suspicion nor a quarantine, if any does. */
static void
free_unsuspected_row(struct ct_prompt_quarantine *quarantine, ct_ms now_ms)
{
    for (uint32_t i = 0; i <= PARTS_MAX; i++) {
        struct ct_handle handle;
        struct ct_part_row *row =
            ct_table_next(&quarantine->rows, &quarantine->cursor, &handle);

        if (!row) {
            quarantine->cursor = 0;
        }
        else if (!is_suspected(row, now_ms) && !is_quarantined(row, now_ms)) {
            g_hash_table_remove(quarantine->by_id, &row->id);
            ct_table_unref(&quarantine->rows, handle);
            return;
        }
    }
}

/* Returns the part's row; NULL if all rows are in use. */
static struct ct_part_row *
find_or_add_row(struct ct_state *state, uint64_t id)
{
    struct ct_prompt_quarantine *quarantine = &state->prompt_quarantine;
    struct ct_part_row *row = find_row(quarantine, id);
    struct ct_handle handle;

    if (row) {
        return row;
    }
    if (quarantine->rows.live == PARTS_MAX) {
        free_unsuspected_row(quarantine, state->now_ms);
    }
    if (ct_table_add(&quarantine->rows, &handle) < 0) {
        return NULL;
    }
    row = ct_table_get(&quarantine->rows, handle);
    row->id = id;
    ct_index_add(quarantine->by_id, &row->id, handle);
    return row;
}

static void
log_part(struct ct_state *state, enum ct_log_event event,
         const struct ct_part_row *row, const char *reason)
{
    struct ct_log_effect *log =
        &ct_emit_effect(state, CT_EFFECT_LOG_EVENT)->u.log;

    log->event = event;
    log->prompt_part = row->id;
    log->number = row->n_crashes;
    CT_TEXT_SET(log->reason, reason);
}

/* Converts a steady time to true time. */
static ct_ms
true_ms(const struct ct_state *state, ct_ms at_ms)
{
    return ct_wall_clock_ms(&state->wall_clock, at_ms);
}

/* Appends a record about one part to the store. */
static void
append_part(struct ct_state *state, enum ct_part_record_kind kind,
            const struct ct_part_row *row, ct_ms wall_ms)
{
    ct_emit_effect(state, CT_EFFECT_STORE_APPEND_PARTS)->u.part_record =
        (struct ct_part_record){
            .kind = kind,
            .parts = {.ids = {row->id}, .n = 1},
            .wall_ms = wall_ms,
        };
}

bool
ct_prompt_quarantine_blocks(const struct ct_state *state,
                            const struct ct_prompt_parts *parts)
{
    for (uint32_t i = 0; i < parts->n; i++) {
        const struct ct_part_row *row =
            find_row(&state->prompt_quarantine, parts->ids[i]);

        if (row && is_quarantined(row, state->now_ms)) {
            return true;
        }
    }
    return false;
}

/* Returns the call's own part, or 0 if it is not known. */
static uint64_t
own_part(const struct ct_prompt_parts *parts)
{
    return parts->has_own && parts->n > 0 ? parts->ids[parts->n - 1] : 0;
}

static bool
has_part(const struct ct_prompt_parts *parts, uint64_t id)
{
    for (uint32_t i = 0; i < parts->n; i++) {
        if (parts->ids[i] == id) {
            return true;
        }
    }
    return false;
}

/* Whether such a call would tell the part from those it crashed with. */
static bool
separates(const struct ct_part_row *row, const struct ct_prompt_parts *parts)
{
    for (uint32_t i = 0; i < row->n_companions; i++) {
        if (has_part(parts, row->companions[i])) {
            return false;
        }
    }
    return row->n_companions > 0;
}

ct_ms
ct_prompt_quarantine_retry_after_ms(const struct ct_state *state,
                                    const struct ct_prompt_parts *parts)
{
    ct_ms retry_after_ms = PROBE_RETRY_MS;

    for (uint32_t i = 0; i < parts->n; i++) {
        const struct ct_part_row *row =
            find_row(&state->prompt_quarantine, parts->ids[i]);

        if (row && is_quarantined(row, state->now_ms) &&
            !separates(row, parts)) {
            retry_after_ms =
                MAX(retry_after_ms, row->quarantined_until_ms - state->now_ms);
        }
    }
    return retry_after_ms;
}

bool
ct_prompt_quarantine_may_probe(struct ct_state *state,
                               const struct ct_prompt_parts *parts)
{
    for (uint32_t i = 0; i < parts->n; i++) {
        const struct ct_part_row *row =
            find_row(&state->prompt_quarantine, parts->ids[i]);

        if (row && is_quarantined(row, state->now_ms) &&
            !separates(row, parts)) {
            return false;
        }
    }
    /* About one of as many calls as there are hosts passes. */
    return ct_state_random(state) % ct_group_size(state) == 0;
}

void
ct_prompt_quarantine_on_refused(struct ct_state *state,
                                const struct ct_prompt_parts *parts)
{
    for (uint32_t i = 0; i < parts->n; i++) {
        struct ct_part_row *row =
            find_row(&state->prompt_quarantine, parts->ids[i]);

        if (!row || !is_quarantined(row, state->now_ms) || row->stored ||
            (row->written_ms &&
             state->now_ms - row->written_ms < REWRITE_MS)) {
            continue;
        }
        row->written_ms = state->now_ms;
        append_part(state, CT_PART_QUARANTINED, row,
                    true_ms(state, row->quarantined_until_ms));
    }
}

static void
clear_crashes(struct ct_part_row *row)
{
    row->score = 0;
    row->n_crashes = 0;
    row->n_companions = 0;
    row->own = 0;
    row->crashed_begun = false;
}

/* A call with the part was answered, so it crashes no upstream. */
static void
release_part(struct ct_state *state, struct ct_part_row *row)
{
    if (is_quarantined(row, state->now_ms)) {
        log_part(state, CT_LOG_PART_RELEASED, row, "answered");
    }
    clear_crashes(row);
    row->quarantined_until_ms = 0;
    row->stored = false;
    row->answered_ms = state->now_ms;
}

/*
 * Returns the row of part i of a call that was answered. An own part without a
 * row gets none: no other call will ask for it.
 */
static struct ct_part_row *
find_answered_row(struct ct_state *state, const struct ct_prompt_parts *parts,
                  uint32_t i)
{
    uint64_t id = parts->ids[i];

    return parts->has_own && i + 1 == parts->n
               ? find_row(&state->prompt_quarantine, id)
               : find_or_add_row(state, id);
}

void
ct_prompt_quarantine_on_answer(struct ct_state *state,
                               const struct ct_prompt_parts *parts)
{
    for (uint32_t i = 0; i < parts->n; i++) {
        struct ct_part_row *row = find_answered_row(state, parts, i);

        if (!row) {
            continue;
        }
        if (row->score >= SCORE_SHARED) {
            append_part(state, CT_PART_ANSWERED, row, 0);
        }
        release_part(state, row);
    }
}

static void
begin_quarantine(struct ct_state *state, struct ct_part_row *row,
                 ct_ms until_ms)
{
    if (!is_quarantined(row, state->now_ms)) {
        log_part(state, CT_LOG_PART_QUARANTINED, row, "crashes");
        ct_increment_counter(state, CT_COUNTER_PARTS_QUARANTINED);
        row->stored = false;
        row->written_ms = 0;
    }
    row->quarantined_until_ms = MAX(row->quarantined_until_ms, until_ms);
    /* After its end a single crash begins another quarantine. */
    row->score = MAX(row->score, SCORE_LIMIT - WEIGHT_BEGUN);
    row->crashed_ms = row->quarantined_until_ms;
}

/*
 * Returns the earlier crash that this one belongs to, NULL if it is a new one.
 */
static struct ct_part_crash *
find_crash(struct ct_part_row *row, uint64_t upstream, ct_ms at_ms)
{
    uint32_t n = MIN(row->n_crashes, CT_PART_CRASHES_MAX);

    for (uint32_t i = 0; i < n; i++) {
        if (row->crashes[i].upstream == upstream) {
            return &row->crashes[i];
        }
    }
    if (n > 0 && ABS(at_ms - row->crashed_ms) < SAME_LOSS_MS) {
        return &row->crashes[(row->n_crashes - 1) % CT_PART_CRASHES_MAX];
    }
    return NULL;
}

static void
count_crash(struct ct_part_row *row, uint64_t upstream, uint32_t weight,
            ct_ms at_ms)
{
    struct ct_part_crash *crash = find_crash(row, upstream, at_ms);

    if (!crash) {
        crash = &row->crashes[row->n_crashes++ % CT_PART_CRASHES_MAX];
        *crash = (struct ct_part_crash){.upstream = upstream};
        row->crashed_ms = MAX(row->crashed_ms, at_ms);
    }
    if (weight > crash->weight) {
        row->score += weight - crash->weight;
        crash->weight = weight;
    }
}

/* Keeps the companions that the call has too; the first call sets them. */
static void
narrow_companions(struct ct_part_row *row, const struct ct_prompt_parts *parts)
{
    uint32_t kept = 0;

    if (row->crashed_begun && row->own != own_part(parts)) {
        row->own = 0;
    }
    if (!row->crashed_begun) {
        row->crashed_begun = true;
        row->own = own_part(parts);
        for (uint32_t i = 0; i < parts->n && kept < CT_PART_COMPANIONS_MAX;
             i++) {
            if (parts->ids[i] != row->id) {
                row->companions[kept++] = parts->ids[i];
            }
        }
        row->n_companions = kept;
        return;
    }
    for (uint32_t i = 0; i < row->n_companions; i++) {
        if (has_part(parts, row->companions[i])) {
            row->companions[kept++] = row->companions[i];
        }
    }
    row->n_companions = kept;
}

static uint32_t
score_limit(const struct ct_part_row *row, ct_ms now_ms)
{
    return row->answered_ms && now_ms - row->answered_ms < ANSWERED_MS
               ? SCORE_LIMIT_ANSWERED
               : SCORE_LIMIT;
}

/*
 * Whether the crashes are explained by the own part of one request, so that
 * nothing is known about a part that it shares with others.
 */
static bool
is_one_request(const struct ct_part_row *row)
{
    return row->own != 0 && row->own != row->id;
}

/* Counts a crash for a part of the call, whose upstream failed at at_ms. */
static void
suspect(struct ct_state *state, struct ct_part_row *row,
        const struct ct_part_record *crash, ct_ms at_ms)
{
    if (at_ms < row->answered_ms) {
        return;
    }
    if (at_ms - row->crashed_ms > SUSPECT_MS) {
        clear_crashes(row);
    }
    /* A call that had not begun may have met the crash of another one. */
    if (crash->begun) {
        narrow_companions(row, &crash->parts);
    }
    count_crash(row, crash->upstream,
                crash->begun ? WEIGHT_BEGUN : WEIGHT_WAITING, at_ms);
    if (!is_quarantined(row, state->now_ms) && !is_one_request(row) &&
        row->score >= score_limit(row, state->now_ms)) {
        begin_quarantine(state, row, state->now_ms + QUARANTINE_MS);
    }
}

static void
suspect_parts(struct ct_state *state, const struct ct_part_record *crash,
              ct_ms at_ms)
{
    for (uint32_t i = 0; i < crash->parts.n; i++) {
        struct ct_part_row *row = find_or_add_row(state, crash->parts.ids[i]);

        if (row) {
            suspect(state, row, crash, at_ms);
        }
    }
}

/* Removes the parts whose crash tells the other hosts too little. */
static void
keep_suspected_parts(const struct ct_state *state,
                     struct ct_prompt_parts *parts)
{
    uint64_t own = own_part(parts);
    uint32_t kept = 0;

    for (uint32_t i = 0; i < parts->n; i++) {
        const struct ct_part_row *row =
            find_row(&state->prompt_quarantine, parts->ids[i]);

        if (row && row->score >= SCORE_WAITING_SHARED) {
            parts->ids[kept++] = parts->ids[i];
        }
    }
    parts->n = kept;
    parts->has_own = kept > 0 && parts->ids[kept - 1] == own;
}

static void
share_crash(struct ct_state *state, struct ct_part_record crash)
{
    if (!crash.begun) {
        keep_suspected_parts(state, &crash.parts);
    }
    if (crash.parts.n > 0) {
        ct_emit_effect(state, CT_EFFECT_STORE_APPEND_PARTS)->u.part_record =
            crash;
    }
}

void
ct_prompt_quarantine_on_crash(struct ct_state *state,
                              const struct ct_prompt_parts *parts,
                              uint64_t upstream, bool begun)
{
    const struct ct_part_record crash = {
        .kind = CT_PART_CRASHED,
        .parts = *parts,
        .upstream = upstream,
        .begun = begun,
        .wall_ms = true_ms(state, state->now_ms),
    };

    ct_increment_counter(state, CT_COUNTER_PROMPT_CRASHES);
    suspect_parts(state, &crash, state->now_ms);
    share_crash(state, crash);
}

/* Applies what another host, or an earlier process, wrote of a quarantine. */
static void
on_quarantined(struct ct_state *state, const struct ct_part_record *record)
{
    ct_ms left_ms = record->wall_ms - true_ms(state, state->now_ms);
    struct ct_part_row *row;

    if (left_ms <= 0) {
        return;
    }
    row = find_or_add_row(state, record->parts.ids[0]);
    if (row) {
        begin_quarantine(state, row,
                         state->now_ms + MIN(left_ms, QUARANTINE_MS));
        row->stored = true;
    }
}

void
ct_prompt_quarantine_on_record(struct ct_state *state,
                               const struct ct_part_record *record)
{
    struct ct_part_row *row;
    ct_ms age_ms;

    switch (record->kind) {
    case CT_PART_CRASHED:
        age_ms = true_ms(state, state->now_ms) - record->wall_ms;
        if (age_ms < SUSPECT_MS) {
            suspect_parts(state, record, state->now_ms - MAX(age_ms, 0));
        }
        return;
    case CT_PART_QUARANTINED:
        on_quarantined(state, record);
        return;
    case CT_PART_ANSWERED:
        row = find_row(&state->prompt_quarantine, record->parts.ids[0]);
        if (row) {
            release_part(state, row);
        }
        return;
    }
}
