#ifndef CT_FORWARDED_TALLY_H
#define CT_FORWARDED_TALLY_H

#include "event.h"
#include "table.h"

/*
 * Records of usage that other hosts hand to this one. They are gathered for a
 * moment and written at the same time, so that they cost one call; their
 * writer is told when the store has them. What is lost with this host its
 * writer writes itself, under the same number, so that nothing counts twice.
 */

struct ct_forwarded_tally {
    /* Who handed it over; the tally names the process. */
    struct ct_name host;
    struct ct_tally tally;
    /* struct ct_tally_row, owned */
    struct ct_tally_row *rows;
    uint32_t n_rows;
    bool sent;
};

struct ct_forwarded_tallies {
    /* struct ct_forwarded_tally */
    struct ct_table rows;
    bool armed;
};

struct ct_state;

void ct_forwarded_tallies_init(struct ct_forwarded_tallies *handed);
void ct_forwarded_tallies_free(struct ct_forwarded_tallies *handed);

/* CT_PEER_TALLY */
void ct_forwarded_tallies_on_tally(struct ct_state *state,
                                   const struct ct_peer_message *message);
/* CT_TIMER_FORWARDED_TALLIES */
void ct_forwarded_tallies_on_timer(struct ct_state *state);
/* The store answered about a record of another host. */
void
ct_forwarded_tallies_on_appended(struct ct_state *state,
                                 const struct ct_store_append_done *appended);

#endif
