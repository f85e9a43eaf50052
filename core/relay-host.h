#ifndef CT_RELAY_HOST_H
#define CT_RELAY_HOST_H

#include <stdbool.h>

#include "clock.h"

/* Begin, readiness and end of a host that relays calls. */

struct ct_state;

/* The first event of a host that relays calls: follows the store. */
void ct_relay_host_start(struct ct_state *state);

/* Whether callers should be sent here. */
bool ct_relay_host_is_ready(const struct ct_state *state, ct_ms now_ms);

/*
 * Whether a call that arrives now can still be answered before the process
 * ends, as far as is known of its kind.
 */
bool ct_relay_host_can_finish_call(const struct ct_state *state, bool stream);

/* Stops taking callers; emits CT_EFFECT_DRAINED once nothing is left. */
void ct_relay_host_drain(struct ct_state *state);
/* CT_TIMER_DRAIN */
void ct_relay_host_on_drain_timer(struct ct_state *state);

#endif
