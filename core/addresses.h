#ifndef CT_ADDRESSES_H
#define CT_ADDRESSES_H

#include <glib.h>

#include "clock.h"

/*
 * Host addresses for callers. There is no load balancer in front of the hosts:
 * callers request the addresses from any host and reuse the response for its
 * lifetime.
 */

/* How long callers may reuse the response. */
#define CT_ADDRESSES_LIFETIME_MS 10000

struct ct_state;

/*
 * Sends the hosts, in this order, to a caller; takes ownership of the array.
 */
void ct_addresses_reply(struct ct_state *state, uint64_t caller,
                        ct_ms lifetime_ms, GArray *hosts);

void ct_addresses_on_request(struct ct_state *state, uint64_t caller);

#endif
