#ifndef CT_FORWARDED_TALLY_H
#define CT_FORWARDED_TALLY_H

#include "event.h"
#include "table.h"

/*
 * Usage tallies that other hosts forward to this one. They are gathered for a
 * short time and appended together, so that they cost one call; their writer
 * is notified when the store has them. A tally that is lost with this host is
 * appended by its writer under the same sequence number, so that nothing is
 * counted twice.
 */

struct ct_forwarded_tally {
    /* The host that forwarded the tally; the tally names the process. */
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

void ct_forwarded_tallies_init(struct ct_forwarded_tallies *forwarded);
void ct_forwarded_tallies_free(struct ct_forwarded_tallies *forwarded);

/* CT_PEER_TALLY */
void ct_forwarded_tallies_on_tally(struct ct_state *state,
                                   const struct ct_peer_message *message);
/* CT_TIMER_FORWARDED_TALLIES */
void ct_forwarded_tallies_on_timer(struct ct_state *state);
/* Handles the store's response to the append of a forwarded tally. */
void
ct_forwarded_tallies_on_appended(struct ct_state *state,
                                 const struct ct_store_append_done *appended);

#endif
