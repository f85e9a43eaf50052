#ifndef CT_ADDRESSES_H
#define CT_ADDRESSES_H

#include <glib.h>

#include "clock.h"

/*
 * Which hosts a caller shall use. There is no balancer: callers ask any host
 * and keep the answer for its lifetime.
 */

/* How long callers keep an answer. */
#define CT_ADDRESSES_LIFETIME_MS 10000

struct ct_state;

/* Hosts in this order, as the answer to a caller; takes hosts over. */
void ct_addresses_reply(struct ct_state *state, uint64_t caller,
                        ct_ms lifetime_ms, GArray *hosts);

void ct_addresses_on_request(struct ct_state *state, uint64_t caller);

#endif
