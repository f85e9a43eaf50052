#ifndef CT_ORDER_PLAN_H
#define CT_ORDER_PLAN_H

#include "event.h"
#include "table.h"

/*
 * Compares the upstreams of each pool with the number that the order policy
 * requires for the demand of all hosts, and turns the difference into a
 * limited number of orders.
 */

/* Demand of one host for a pool. */
struct ct_host_demand {
    struct ct_name host;
    struct ct_slot_row row;
    ct_ms received_ms;
};

struct ct_state;

/* Sends this host's demand to the holder of the orders lease. */
void ct_order_plan_send_demand(struct ct_state *state);
/* CT_PEER_DEMAND */
void ct_order_plan_on_demand(struct ct_state *state,
                             const struct ct_peer_message *message);

/* Appends intents for upstreams that are lacking or no longer needed. */
void ct_order_plan(struct ct_state *state);

#endif
