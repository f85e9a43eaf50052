#ifndef CT_REDUCER_H
#define CT_REDUCER_H

#include "reduce.h"

/*
 * What the loop gives events to: the state of a host, a recorder around
 * another reducer, or a script in tests.
 */

struct ct_reducer;

struct ct_reducer_ops {
    /* As ct_reduce(). */
    int (*reduce)(struct ct_reducer *reducer, const struct ct_event *event,
                  struct ct_effects *effects);
    void (*free)(struct ct_reducer *reducer);
};

struct ct_reducer {
    const struct ct_reducer_ops *ops;
};

/* Gives events to the state, which stays the caller's. NULL: no memory. */
struct ct_reducer *ct_state_reducer_new(struct ct_state *state);

#endif
