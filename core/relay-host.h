#ifndef CT_RELAY_HOST_H
#define CT_RELAY_HOST_H

#include <stdbool.h>

#include "clock.h"

/* Start, readiness and drain of a host that relays calls. */

struct ct_state;

/*
 * Handles the first event of a host that relays calls: starts to read the
 * store.
 */
void ct_relay_host_start(struct ct_state *state);

/* Whether the host is ready for callers. */
bool ct_relay_host_is_ready(const struct ct_state *state, ct_ms now_ms);

/*
 * Whether a call of this kind that arrives now is expected to complete before
 * the process exits.
 */
bool ct_relay_host_can_finish_call(const struct ct_state *state, bool stream);

/* Starts the drain; CT_EFFECT_DRAINED follows once no call is left. */
void ct_relay_host_drain(struct ct_state *state);
/* CT_TIMER_DRAIN */
void ct_relay_host_on_drain_timer(struct ct_state *state);

#endif
