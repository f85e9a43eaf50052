#ifndef CT_TALLY_H
#define CT_TALLY_H

#include <glib.h>

#include "event.h"

/*
 * What this process counted of each organisation's requests that began to
 * run, by window of true time. They are written to the store in parts, the
 * last one after the window's end; each has a number that repeats keep.
 */

struct ct_tally_count {
    int64_t window;
    struct ct_tally_row row;
    /* Number of the record that holds it; 0 while it still grows. */
    uint64_t sequence;
};

/* A record on its way to the store. */
struct ct_tally_record {
    struct ct_tally tally;
    ct_ms next_ms;
    uint32_t tries;
    /* It was last handed to another host, which writes it. */
    bool handed;
};

struct ct_tallies {
    /* struct ct_tally_count */
    GArray *counts;
    /* struct ct_tally_record */
    GArray *records;
    uint64_t next_sequence;
    /* The store did not take the record that was answered last. */
    bool refused;
    /* When the load was last looked at. */
    ct_ms followed_ms;
    /* The record was written that says that this process stops. */
    bool ended;
    /* When counts were last written. */
    ct_ms written_ms;
    /* Windows before this one are closed. */
    int64_t open_window;
};

struct ct_state;

void ct_tallies_init(struct ct_tallies *tallies);
void ct_tallies_free(struct ct_tallies *tallies);

void ct_tallies_start(struct ct_state *state);
/* One request of the organisation began to run now. */
void ct_tally_add(struct ct_state *state, const struct ct_name *organisation);

/* Has a record written to the store; rows: struct ct_tally_row */
void ct_tally_append(struct ct_state *state, const struct ct_tally *tally,
                     struct ct_rows rows);

/* CT_TIMER_TALLY */
void ct_tallies_on_timer(struct ct_state *state);
void ct_tallies_on_appended(struct ct_state *state,
                            const struct ct_store_append_done *appended);

/* Another host wrote the record of this number. */
void ct_tallies_on_written(struct ct_state *state, uint64_t sequence);

/* Writes what was counted; true once nothing waits for the store. */
bool ct_tallies_flush(struct ct_state *state);

/* The window that a moment of the steady clock lies in, and its end. */
int64_t ct_window_at(const struct ct_state *state, ct_ms at_ms);
ct_ms ct_window_end_ms(const struct ct_state *state, int64_t window);

#endif
