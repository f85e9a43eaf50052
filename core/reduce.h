#ifndef CT_REDUCE_H
#define CT_REDUCE_H

#include "bounds.h"
#include "effect.h"
#include "event.h"

/*
 * The reducer: the only place where a host decides. It reads no clock, does
 * no I/O and keeps everything in its state, so the same events in the same
 * order give the same effects byte for byte.
 */

struct ct_state;

/* What a host knows about itself before the first event. */
struct ct_self {
    struct ct_name host;
    struct ct_name zone;
    /* Changes at each start, so that sequence numbers are never reused. */
    struct ct_name writer;
    /* Seed of the reducer's own random choices. */
    uint64_t seed;
    /* Where callers reach it, once known, and what it keeps. */
    struct ct_address address;
    struct ct_bounds bounds;
};

/* Returns NULL where memory is gone. */
struct ct_state *ct_state_new(const struct ct_self *self);
void ct_state_free(struct ct_state *state);

/*
 * Applies one event and appends the effects. The effect list is not cleared.
 * Errors: CT_ERR_INVALID for an unknown event type, CT_ERR_NO_MEMORY.
 */
int ct_reduce(struct ct_state *state, const struct ct_event *event,
              struct ct_effects *effects);

#endif
