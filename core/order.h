#ifndef CT_ORDER_H
#define CT_ORDER_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Orders for upstreams by the holder of the orders lease. Each order is in the
 * log as an intent before it is sent; the offset of the intent is its number,
 * by which the platform recognises a repeat. Replay accepts an intent only in
 * the accepted term and only if it builds on the last accepted intent, so a
 * late one does not add to what was decided without it. A successor waits one
 * order time-out, then repeats outstanding orders under the same numbers
 * before it plans again, so a late order of its predecessor has no second
 * effect.
 *
 * order-plan.h decides what to order.
 */

#define CT_ORDER_TIMEOUT_MS 2000
/* Time until the platform's list shows what was ordered. */
#define CT_ORDER_SETTLE_MS 15000

struct ct_order_row {
    /* order_id is the offset of the intent. */
    struct ct_order order;
    /* The platform has responded; the log may not record that yet. */
    bool responded;
    /*
     * When the log recorded the end; the row is retained for a while for
     * planning.
     */
    ct_ms done_ms;
    /* The order may be in flight until this time. */
    ct_ms flight_until_ms;
    ct_ms retry_ms;
    uint32_t tries;
};

struct ct_orders {
    struct ct_table rows;
    /* struct ct_host_demand */
    struct ct_table demands;
    /* Last accepted intent, on which the next one has to build. */
    int64_t last_offset;
    /* Orders of the last plan, struct ct_order; one intent at a time. */
    GArray *wanted;
    /* Sequence number of the first order's intent in flight; 0 for none. */
    uint64_t intent_sequence;
    ct_ms intent_until_ms;
    ct_ms plan_ms;
    bool armed;
};

struct ct_state;

void ct_orders_init(struct ct_orders *orders);
void ct_orders_free(struct ct_orders *orders);

/* Apply records of the log. Errors: CT_ERR_LOG_LOST_RACE, CT_ERR_NO_MEMORY. */
int ct_order_intent_apply(struct ct_state *state,
                          const struct ct_log_entry *entry);
int ct_order_done_apply(struct ct_state *state, const struct ct_order *order);

void ct_orders_export(const struct ct_state *state, GArray *out);
int ct_orders_import(struct ct_state *state, struct ct_rows rows);

/* Starts CT_TIMER_ORDERS once the log has been read to its head. */
void ct_orders_start(struct ct_state *state);
/* CT_TIMER_ORDERS. Returns whether this host may plan orders now. */
bool ct_orders_on_timer(struct ct_state *state);

/* Queues an order of a plan; it is sent once its intent was read back. */
void ct_order_queue_intent(struct ct_state *state,
                           const struct ct_order *order);

void ct_orders_on_done(struct ct_state *state,
                       const struct ct_order_done *done);

/* Whether an order of this host may be in flight. */
bool ct_orders_in_flight(const struct ct_state *state);

#endif
