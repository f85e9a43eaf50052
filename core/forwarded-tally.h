#ifndef CT_HANDED_H
#define CT_HANDED_H

#include "event.h"
#include "table.h"

/*
 * Records of usage that other hosts hand to this one. They are gathered for a
 * moment and written at the same time, so that they cost one call; their
 * writer is told when the store has them. What is lost with this host its
 * writer writes itself, under the same number, so that nothing counts twice.
 */

struct ct_handed_row {
    /* Who handed it over; the tally names the process. */
    struct ct_name host;
    struct ct_tally tally;
    /* struct ct_tally_row, owned */
    struct ct_tally_row *rows;
    uint32_t n_rows;
    bool sent;
};

struct ct_handed {
    /* struct ct_handed_row */
    struct ct_table rows;
    bool armed;
};

struct ct_state;

void ct_handed_init(struct ct_handed *handed);
void ct_handed_free(struct ct_handed *handed);

/* CT_PEER_TALLY */
void ct_handed_on_tally(struct ct_state *state,
                        const struct ct_peer_message *message);
/* CT_TIMER_HANDED */
void ct_handed_on_timer(struct ct_state *state);
/* The store answered about a record of another host. */
void ct_handed_on_appended(struct ct_state *state,
                           const struct ct_store_appended *appended);

#endif
