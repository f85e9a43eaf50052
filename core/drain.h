#ifndef CT_DRAIN_H
#define CT_DRAIN_H

/*
 * Planned shutdown: new requests are refused as not run, responses with host
 * addresses omit this host, and the process may exit once no work is left that
 * its exit would interrupt.
 */

struct ct_state;

void ct_drain_start(struct ct_state *state);

/* CT_TIMER_DRAIN: checks whether all work is done. */
void ct_drain_on_timer(struct ct_state *state);

#endif
