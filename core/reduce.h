#ifndef CT_REDUCE_H
#define CT_REDUCE_H

#include "bounds.h"
#include "effect.h"
#include "event.h"

/*
 * The reducer, which makes all decisions of a host. It reads no clock, does
 * no I/O and has no state outside struct ct_state, so the same events in the
 * same order produce the same effects byte for byte.
 */

struct ct_state;

/* Identity and parameters of a host, known before the first event. */
struct ct_host_identity {
    struct ct_name host;
    struct ct_name zone;
    /*
     * Identifies this process: differs at each start, so that pairs of writer
     * and sequence number are never reused.
     */
    struct ct_name writer;
    /* Seed of the reducer's random choices. */
    uint64_t seed;
    /* Address for callers, once known, and bounds of the deployment. */
    struct ct_address address;
    struct ct_bounds bounds;
    /* The deployment is started for the first time. */
    bool first_start;
    /* The hosts report to each other how many calls they send where. */
    bool share_load;
    /* Calls avoid zones in which connections time out. */
    bool skip_unreachable_zones;
    /* This host sends the configurations that it reads to its followers. */
    bool share_config;
};

/* Returns NULL if out of memory. */
struct ct_state *ct_state_new(const struct ct_host_identity *self);
void ct_state_free(struct ct_state *state);

/*
 * Applies one event and appends its effects to the list.
 * Errors: CT_ERR_INVALID for an unknown event type, CT_ERR_NO_MEMORY.
 */
int ct_reduce(struct ct_state *state, const struct ct_event *event,
              struct ct_effects *effects);

#endif
