#include "forwarded-tally.h"

#include <string.h>

#include "error.h"
#include "state.h"

/*
 * Hosts close a window at the same time, so their tallies arrive within this
 * time.
 */
#define GATHER_MS 100
/*
 * Maximum number of tallies held at a time; a host whose tally is not accepted
 * appends it itself.
 */
#define TALLIES_MAX 256

static void
clear_row(void *data)
{
    g_free(((struct ct_forwarded_tally *)data)->rows);
}

void
ct_forwarded_tallies_init(struct ct_forwarded_tallies *forwarded)
{
    memset(forwarded, 0, sizeof(*forwarded));
    ct_table_init(&forwarded->rows, sizeof(struct ct_forwarded_tally),
                  TALLIES_MAX, clear_row);
}

void
ct_forwarded_tallies_free(struct ct_forwarded_tallies *forwarded)
{
    ct_table_free(&forwarded->rows);
}

static struct ct_forwarded_tally *
find_row(const struct ct_state *state, const struct ct_name *writer,
         uint64_t sequence, struct ct_handle *handle)
{
    struct ct_forwarded_tally *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->forwarded_tallies.rows, &cursor,
                                handle))) {
        if (row->tally.sequence == sequence &&
            ct_name_eq(&row->tally.writer, writer)) {
            return row;
        }
    }
    return NULL;
}

void
ct_forwarded_tallies_on_tally(struct ct_state *state,
                              const struct ct_peer_message *message)
{
    const struct ct_tally *tally = &message->u.tally;
    struct ct_forwarded_tallies *forwarded = &state->forwarded_tallies;
    struct ct_forwarded_tally *row;
    struct ct_handle handle;

    if (!state->relaying ||
        find_row(state, &tally->writer, tally->sequence, NULL) ||
        ct_table_add(&forwarded->rows, &handle) < 0) {
        return;
    }
    row = ct_table_get(&forwarded->rows, handle);
    row->host = message->sender;
    row->tally = *tally;
    row->n_rows = message->rows.n;
    row->rows = g_memdup2(message->rows.data,
                          (gsize)message->rows.n * message->rows.row_size);
    if (!forwarded->armed) {
        forwarded->armed = true;
        ct_arm_timer(state, GATHER_MS, CT_TIMER_FORWARDED_TALLIES,
                     CT_NO_HANDLE);
    }
}

void
ct_forwarded_tallies_on_timer(struct ct_state *state)
{
    struct ct_forwarded_tally *row;
    uint32_t cursor = 0;

    state->forwarded_tallies.armed = false;
    while (
        (row = ct_table_next(&state->forwarded_tallies.rows, &cursor, NULL))) {
        if (!row->sent) {
            row->sent = true;
            ct_tally_append(state, &row->tally,
                            CT_ROWS(row->rows, row->n_rows));
        }
    }
}

void
ct_forwarded_tallies_on_appended(struct ct_state *state,
                                 const struct ct_store_append_done *appended)
{
    struct ct_handle handle;
    const struct ct_forwarded_tally *row =
        find_row(state, &appended->writer, appended->sequence, &handle);

    if (!row) {
        return;
    }
    if (appended->result == CT_OK) {
        ct_peer_message_to(state, &row->host, CT_PEER_TALLY_DONE, CT_NO_ROWS)
            ->u.sequence = appended->sequence;
    }
    ct_table_unref(&state->forwarded_tallies.rows, handle);
}
