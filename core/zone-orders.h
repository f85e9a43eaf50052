#ifndef CT_ZONE_ORDERS_H
#define CT_ZONE_ORDERS_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Orders for upstreams by pool, availability zone and kind, sent while this
 * host is the leader. Cheap upstreams carry the load where they are available;
 * firm ones are ordered where the cheap ones do not cover the load or the
 * minimum that runs regardless of the load. A zone that is evacuated gets no
 * new upstreams; the other zones are ordered what it had to carry, until some
 * time after its restoration.
 */

/* State of the orders of one kind. */
struct ct_zone_order_kind {
    bool confirmed;
    uint32_t ordered;
    /* How many more than the running ones were ordered, and when. */
    uint32_t added;
    ct_ms ordered_ms;
    /* The order in progress; 0 for none. */
    uint64_t order;
    /* No further order before this time. */
    ct_ms next_ms;
};

struct ct_zone_order_row {
    struct ct_handle pool;
    struct ct_name zone;
    struct ct_zone_order_kind firm;
    struct ct_zone_order_kind cheap;
    bool configured;
    /* Cheap upstreams have run in this zone. */
    bool had_cheap;
    /* The zone is evacuated, and when its last evacuation ended; 0: never. */
    bool evacuated;
    ct_ms restored_ms;
};

struct ct_zone_orders {
    /* struct ct_zone_order_row */
    GArray *rows;
    uint64_t next_order;
    /* When the load of the pools was last tracked. */
    ct_ms tracked_ms;
};

struct ct_state;

void ct_zone_orders_init(struct ct_zone_orders *orders);
void ct_zone_orders_free(struct ct_zone_orders *orders);

/* Follows the pools of the configuration. */
void ct_zone_orders_configure(struct ct_state *state);
/*
 * Called when this host becomes the leader: orders everything again, because
 * the orders of other leaders are not known.
 */
void ct_zone_orders_begin(struct ct_state *state);
void ct_zone_orders_on_timer(struct ct_state *state);

/*
 * Tracks the load of this host and the evacuated zones; every host does so, in
 * case it becomes the leader.
 */
void ct_zone_orders_track_load(struct ct_state *state);

void ct_zone_orders_on_done(struct ct_state *state,
                            const struct ct_duty_done *done);

#endif
