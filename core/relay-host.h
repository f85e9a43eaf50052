#ifndef CT_RELAY_HOST_H
#define CT_RELAY_HOST_H

/* Start and drain of a host that relays calls. */

struct ct_state;

/*
 * Handles the first event of a host that relays calls: starts to read the
 * store.
 */
void ct_relay_host_start(struct ct_state *state);

/* Starts the drain; CT_EFFECT_DRAINED follows once no call is left. */
void ct_relay_host_drain(struct ct_state *state);
/* CT_TIMER_DRAIN */
void ct_relay_host_on_drain_timer(struct ct_state *state);

#endif
