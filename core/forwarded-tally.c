#include "forwarded-tally.h"

#include <string.h>

#include "error.h"
#include "state.h"

/* Hosts close a window at the same time; their records come within this. */
#define GATHER_MS 100
/* Records at a time; a host whose record finds no place writes it itself. */
#define ROWS_MAX 256

static void
clear_row(void *data)
{
    g_free(((struct ct_forwarded_tally *)data)->rows);
}

void
ct_forwarded_tallies_init(struct ct_forwarded_tallies *handed)
{
    memset(handed, 0, sizeof(*handed));
    ct_table_init(&handed->rows, sizeof(struct ct_forwarded_tally), ROWS_MAX,
                  clear_row);
}

void
ct_forwarded_tallies_free(struct ct_forwarded_tallies *handed)
{
    ct_table_free(&handed->rows);
}

static struct ct_forwarded_tally *
find(const struct ct_state *state, const struct ct_name *writer,
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
    struct ct_forwarded_tallies *handed = &state->forwarded_tallies;
    struct ct_forwarded_tally *row;
    struct ct_handle handle;

    if (!state->relaying ||
        find(state, &tally->writer, tally->sequence, NULL) ||
        ct_table_add(&handed->rows, &handle) < 0) {
        return;
    }
    row = ct_table_get(&handed->rows, handle);
    row->host = message->sender;
    row->tally = *tally;
    row->n_rows = message->rows.n;
    row->rows = g_memdup2(message->rows.data,
                          (gsize)message->rows.n * message->rows.row_size);
    if (!handed->armed) {
        handed->armed = true;
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
        find(state, &appended->writer, appended->sequence, &handle);

    if (!row) {
        return;
    }
    if (appended->result == CT_OK) {
        ct_peer_message_to(state, &row->host, CT_PEER_TALLY_DONE, CT_NO_ROWS)
            ->u.sequence = appended->sequence;
    }
    ct_table_unref(&state->forwarded_tallies.rows, handle);
}
