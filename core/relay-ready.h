#ifndef CT_RELAY_READY_H
#define CT_RELAY_READY_H

#include <stdbool.h>

#include "clock.h"

/* What a host that relays calls can take on, now and while it drains. */

struct ct_prefix_route_row;
struct ct_state;

/* Whether the host is ready for callers. */
bool ct_relay_is_ready(const struct ct_state *state, ct_ms now_ms);

/* Monotonic time at which a draining host exits with calls still running. */
ct_ms ct_relay_exit_deadline_ms(const struct ct_state *state);

/*
 * Whether a call of the route that arrives now, and that ends after limit_ms
 * at the latest, is expected to complete before the process exits.
 */
bool ct_relay_can_finish_call(const struct ct_state *state,
                              const struct ct_prefix_route_row *route,
                              ct_ms limit_ms);

/* Records the time from a call's arrival to its complete response. */
void ct_relay_record_duration(struct ct_prefix_route_row *route,
                              ct_ms duration_ms);

#endif
