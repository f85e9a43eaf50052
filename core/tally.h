#ifndef CT_TALLY_H
#define CT_TALLY_H

#include <glib.h>

#include "event.h"

/*
 * Requests of each organisation that began to run in this process, counted by
 * window of wall-clock time. The counts are appended to the store in parts,
 * the last one after the window's end; each part has a sequence number, which
 * stays the same when the part is sent again.
 */

struct ct_tally_count {
    int64_t window;
    struct ct_tally_row row;
    /*
     * Sequence number of the record that holds the count; 0 while the count
     * still grows.
     */
    uint64_t sequence;
};

/* A record that the store does not have yet. */
struct ct_tally_record {
    struct ct_tally tally;
    ct_ms next_ms;
    uint32_t tries;
    /* The last attempt forwarded the record to another host for appending. */
    bool forwarded;
};

struct ct_tallies {
    /* struct ct_tally_count */
    GArray *counts;
    /* struct ct_tally_record */
    GArray *records;
    uint64_t next_sequence;
    /* The last append that the store responded to failed. */
    bool append_failed;
    /* The record that marks the end of this process was created. */
    bool ended;
    /* When counts were last put into a record. */
    ct_ms last_record_ms;
    /* Windows before this one are closed. */
    int64_t open_window;
};

struct ct_state;

void ct_tallies_init(struct ct_tallies *tallies);
void ct_tallies_free(struct ct_tallies *tallies);

void ct_tallies_start(struct ct_state *state);
/* Counts a request of the organisation that begins to run now. */
void ct_tally_add(struct ct_state *state, const struct ct_name *organisation);

/* Appends a tally to the store; rows: struct ct_tally_row */
void ct_tally_append(struct ct_state *state, const struct ct_tally *tally,
                     struct ct_rows rows);

/* CT_TIMER_TALLY */
void ct_tallies_on_timer(struct ct_state *state);
void ct_tallies_on_appended(struct ct_state *state,
                            const struct ct_store_append_done *appended);

/*
 * Called when another host has appended the record with this sequence number.
 */
void ct_tallies_on_forward_done(struct ct_state *state, uint64_t sequence);

/* Sends all counts; returns true once no record waits for the store. */
bool ct_tallies_flush(struct ct_state *state);

/*
 * Return the window that contains a time of the steady clock, and the end of a
 * window.
 */
int64_t ct_window_at(const struct ct_state *state, ct_ms at_ms);
ct_ms ct_window_end_ms(const struct ct_state *state, int64_t window);

#endif
