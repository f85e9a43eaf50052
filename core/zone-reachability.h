#ifndef CT_ZONE_REACHABILITY_H
#define CT_ZONE_REACHABILITY_H

#include <stdbool.h>

#include "clock.h"
#include "name.h"
#include "table.h"

/*
 * Availability zones that this host cannot reach: connections to several of a
 * zone's upstreams timed out and none was established since. Calls go to the
 * other zones, except for one every few seconds that tests the zone. Without
 * this a host learns of each upstream of a lost zone by itself, at the price
 * of a connection time-out for a call. Only hosts with the setting
 * skip_unreachable_zones take part.
 */

/* Upstreams of a zone that must have failed. */
#define CT_ZONE_FAILURES 2

/* A zone in which a connection timed out since the last one succeeded. */
struct ct_zone_reachability_row {
    struct ct_name zone;
    /* Different upstreams, and when the connection to each timed out last. */
    struct ct_handle failed[CT_ZONE_FAILURES];
    ct_ms failed_ms[CT_ZONE_FAILURES];
    bool unreachable;
    /* When it was found unreachable, and when it was last tested. */
    ct_ms since_ms;
    ct_ms tested_ms;
};

struct ct_zone_reachability {
    /* struct ct_zone_reachability_row */
    struct ct_table rows;
    uint32_t n_unreachable;
};

struct ct_state;

void ct_zone_reachability_init(struct ct_zone_reachability *zones);
void ct_zone_reachability_free(struct ct_zone_reachability *zones);

/*
 * The connection of an attempt to the upstream was not established after so
 * long. Returns whether its zone is unreachable from now on and was not
 * before.
 */
bool ct_zone_reachability_on_failed(struct ct_state *state,
                                    struct ct_handle upstream,
                                    ct_ms elapsed_ms);
/* A connection to an upstream of the zone was established. */
void ct_zone_reachability_on_reached(struct ct_state *state,
                                     const struct ct_name *zone);

bool ct_zone_reachability_bars(const struct ct_state *state,
                               struct ct_handle upstream);

struct ct_candidate;

/*
 * Bars the candidates in unreachable zones, unless there are no others. Once
 * in a while, if the call may serve as a test, bars all but those of such a
 * zone.
 */
void ct_zone_reachability_filter(struct ct_state *state, bool may_test,
                                 struct ct_candidate *candidates, uint32_t n);

#endif
