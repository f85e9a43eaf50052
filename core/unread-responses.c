#include "unread-responses.h"

#include <string.h>

#include "error.h"
#include "index.h"
#include "limited-log.h"
#include "rank-levels.h"
#include "relay-end.h"
#include "state.h"

/*
 * A response may be cut off for memory when its caller has read nothing of it
 * for this time. Upstreams end a response that stays unread for some seconds.
 */
#define STALL_MS 2000

void
ct_unread_responses_init(struct ct_unread_responses *unread)
{
    ct_table_init(&unread->rows, sizeof(struct ct_unread_response), 0, NULL);
    unread->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void
ct_unread_responses_free(struct ct_unread_responses *unread)
{
    g_hash_table_destroy(unread->by_caller);
    ct_table_free(&unread->rows);
}

void
ct_unread_responses_close(struct ct_state *state, uint64_t caller)
{
    struct ct_unread_responses *unread = &state->unread_responses;
    struct ct_handle handle = ct_index_get(unread->by_caller, &caller);
    struct ct_unread_response *row = ct_table_get(&unread->rows, handle);

    if (row) {
        g_hash_table_remove(unread->by_caller, &row->caller);
        ct_table_unref(&unread->rows, handle);
    }
}

/* Closes the caller's connection; a call that still runs is cancelled. */
static void
cut_off(struct ct_state *state, uint64_t caller)
{
    struct ct_handle handle = ct_index_get(state->relays.by_caller, &caller);

    ct_increment_counter(state, CT_COUNTER_RESPONSES_UNREAD);
    ct_limited_log(state, CT_LOG_RESPONSES_UNREAD,
                   ct_refusal_text(CT_REFUSAL_RESPONSE_UNREAD));
    ct_emit_effect(state, CT_EFFECT_RELAY_DISCONNECT_CALLER)->u.caller =
        caller;
    if (ct_table_get(&state->relays.rows, handle)) {
        ct_relay_fail(state, handle, CT_REFUSAL_RESPONSE_UNREAD);
    }
    ct_memory_budget_remove(&state->relays.budget, caller);
    ct_unread_responses_close(state, caller);
}

static const struct ct_unread_response *
find_largest(const struct ct_state *state)
{
    const struct ct_unread_response *largest = NULL;
    const struct ct_unread_response *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->unread_responses.rows, &cursor,
                                &handle))) {
        if (state->now_ms - row->progress_ms >= STALL_MS &&
            (!largest || row->bytes > largest->bytes)) {
            largest = row;
        }
    }
    return largest;
}

void
ct_unread_responses_make_room(struct ct_state *state, uint32_t rank)
{
    const struct ct_unread_response *largest;

    while (!ct_memory_budget_has_room(
        &state->relays.budget, &state->self.bounds, rank, CT_RANK_LEVELS)) {
        largest = find_largest(state);
        if (!largest) {
            return;
        }
        cut_off(state, largest->caller);
    }
}

static struct ct_unread_response *
add_row(struct ct_state *state, uint64_t caller)
{
    struct ct_unread_responses *unread = &state->unread_responses;
    struct ct_unread_response *row;
    struct ct_handle handle;

    if (ct_table_add(&unread->rows, &handle) < 0) {
        state->out->err = CT_ERR_NO_MEMORY;
        return NULL;
    }
    row = ct_table_get(&unread->rows, handle);
    row->caller = caller;
    row->progress_ms = state->now_ms;
    ct_index_add(unread->by_caller, &row->caller, handle);
    return row;
}

void
ct_unread_responses_on_report(struct ct_state *state,
                              const struct ct_unread_report *report)
{
    struct ct_unread_responses *unread = &state->unread_responses;
    struct ct_unread_response *row = ct_table_get(
        &unread->rows, ct_index_get(unread->by_caller, &report->caller));

    if (!ct_memory_budget_has(&state->relays.budget, report->caller)) {
        return;
    }
    ct_memory_budget_set_unread(&state->relays.budget, report->caller,
                                report->buffered_bytes);
    if (report->unread_bytes == 0) {
        ct_unread_responses_close(state, report->caller);
        return;
    }
    if (!row) {
        row = add_row(state, report->caller);
    }
    if (!row) {
        return;
    }
    if (report->has_read) {
        row->progress_ms = state->now_ms;
    }
    row->bytes = report->unread_bytes;
    if (report->buffered_bytes > state->self.bounds.unread_bytes) {
        cut_off(state, report->caller);
        return;
    }
    ct_unread_responses_make_room(state, 0);
}
