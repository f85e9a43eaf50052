#ifndef CT_DRAIN_H
#define CT_DRAIN_H

/*
 * A planned stop: new requests are refused as not run, address answers leave
 * this host out, and the process may end when nothing is left to cut.
 */

struct ct_state;

void ct_drain_start(struct ct_state *state);

/* CT_TIMER_DRAIN: looks whether all work is done. */
void ct_drain_on_timer(struct ct_state *state);

#endif
