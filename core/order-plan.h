#ifndef CT_ORDER_PLAN_H
#define CT_ORDER_PLAN_H

#include "event.h"
#include "table.h"

/*
 * Compares the upstreams of each pool with what the order policy wants for
 * the demand of all hosts, and turns the difference into a few orders.
 */

/* What one host told of its demand for a pool. */
struct ct_host_demand {
    struct ct_name host;
    struct ct_share_row row;
    ct_ms heard_ms;
};

struct ct_state;

/* Tells the holder of the orders lease of this host's demand. */
void ct_order_plan_send_demand(struct ct_state *state);
/* CT_PEER_DEMAND */
void ct_order_plan_on_demand(struct ct_state *state,
                             const struct ct_peer_message *message);

/* Appends intents where upstreams are lacking or left over. */
void ct_order_plan(struct ct_state *state);

#endif
