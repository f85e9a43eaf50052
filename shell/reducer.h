#ifndef CT_REDUCER_H
#define CT_REDUCER_H

#include "reduce.h"

/*
 * The interface through which the loop applies events: implemented by the
 * state of a host, by a recorder that wraps another reducer, and by scripts in
 * tests.
 */

struct ct_reducer;

struct ct_reducer_ops {
    /* Has the contract of ct_reduce(). */
    int (*reduce)(struct ct_reducer *reducer, const struct ct_event *event,
                  struct ct_effects *effects);
    void (*free)(struct ct_reducer *reducer);
};

struct ct_reducer {
    const struct ct_reducer_ops *ops;
};

/* Applies events to the state, which is borrowed. NULL if out of memory. */
struct ct_reducer *ct_state_reducer_new(struct ct_state *state);

#endif
