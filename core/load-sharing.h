#ifndef CT_LOAD_SHARING_H
#define CT_LOAD_SHARING_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "table.h"

/*
 * The load that the other hosts cause at each upstream, estimated from what
 * the hosts report to each other.
 */

struct ct_state;

struct ct_shared_load {
    /* Calls of other hosts in flight at the upstream, estimated. */
    uint32_t others_in_flight;
    /* How old the estimate is. */
    ct_ms age_ms;
};

/* Returns false if the load that other hosts cause is not known. */
bool ct_load_sharing_get(const struct ct_state *state,
                         struct ct_handle upstream,
                         struct ct_shared_load *out);

#endif
