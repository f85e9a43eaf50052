#ifndef CT_ZONE_ORDERS_H
#define CT_ZONE_ORDERS_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Orders for upstreams by pool, availability zone and kind, while this host
 * acts for all. Cheap upstreams carry the load where they stand; firm ones
 * are kept as a floor and ordered for what cheap ones do not cover.
 */

/* What was ordered of one kind. */
struct ct_zone_order_kind {
    bool known;
    uint32_t ordered;
    /* The order that is under way; 0 for none. */
    uint64_t order;
    /* Not to be ordered again before then. */
    ct_ms next_ms;
};

struct ct_zone_order_row {
    struct ct_handle pool;
    struct ct_name zone;
    struct ct_zone_order_kind firm;
    struct ct_zone_order_kind cheap;
    bool configured;
    /* Cheap ones have run there. */
    bool had_cheap;
};

struct ct_zone_orders {
    /* struct ct_zone_order_row */
    GArray *rows;
    uint64_t next_order;
};

struct ct_state;

void ct_zone_orders_init(struct ct_zone_orders *orders);
void ct_zone_orders_free(struct ct_zone_orders *orders);

/* Follows the pools of the configuration. */
void ct_zone_orders_configure(struct ct_state *state);
/* What others ordered before is not known: order anew. */
void ct_zone_orders_begin(struct ct_state *state);
void ct_zone_orders_on_timer(struct ct_state *state);

/* Every host follows its own load, in case that it acts next. */
void ct_zone_orders_track_load(struct ct_state *state, ct_ms step_ms);

void ct_zone_orders_on_done(struct ct_state *state,
                            const struct ct_duty_done *done);

#endif
