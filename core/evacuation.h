#ifndef CT_EVACUATION_H
#define CT_EVACUATION_H

#include <stdbool.h>

#include "clock.h"
#include "name.h"
#include "store-types.h"
#include "table.h"

/*
 * Availability zones to whose upstreams this host sends nothing, because an
 * operator requested it in the store. Attempts that were sent before run to
 * their end. While the store is unavailable the last known zones stay
 * evacuated.
 */

struct ct_evacuation_row {
    struct ct_name zone;
    /* When this host read the request. */
    ct_ms since_ms;
    /* The full read in progress contained the zone. */
    bool seen;
    /* The log says that the zone is drained, or that it has no upstream. */
    bool reported;
};

struct ct_evacuations {
    /* struct ct_evacuation_row */
    struct ct_table rows;
    bool timer_armed;
};

struct ct_state;

void ct_evacuations_init(struct ct_evacuations *evacuations);
void ct_evacuations_free(struct ct_evacuations *evacuations);

/*
 * Applies a record of the store. Returns whether its zone is evacuated from
 * now on and was not before.
 */
bool ct_evacuation_on_record(struct ct_state *state,
                             const struct ct_store_evacuation *record);

/* A full read of the topic begins. */
void ct_evacuation_begin_full_read(struct ct_state *state);
/* It is complete: zones that it did not contain are restored. */
void ct_evacuation_end_full_read(struct ct_state *state);

/* CT_TIMER_EVACUATION: logs zones that are drained or have no upstream. */
void ct_evacuation_on_timer(struct ct_state *state);

bool ct_evacuation_has_zone(const struct ct_state *state,
                            const struct ct_name *zone);

/* Whether nothing must be sent to the upstream. */
bool ct_evacuation_bars(const struct ct_state *state,
                        struct ct_handle upstream);

/*
 * Whether the pool has upstreams that do not leave, and all of these are in
 * evacuated zones.
 */
bool ct_evacuation_bars_pool(const struct ct_state *state,
                             struct ct_handle pool);

#endif
