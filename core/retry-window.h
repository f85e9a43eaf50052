#ifndef CT_RETRY_WINDOW_H
#define CT_RETRY_WINDOW_H

#include <stdbool.h>

#include "bounds.h"

/*
 * The budget for repeats to one pool over a sliding window. It is shared by
 * all hosts without talk between them: each has the ratio of its own calls
 * and an equal part of the burst.
 */

#define CT_RETRY_SLOTS 20

struct ct_retry_slot {
    /* Number of the slot of time that the figures belong to. */
    int64_t number;
    uint32_t calls;
    uint32_t repeats;
};

struct ct_retry_window {
    struct ct_retry_slot slots[CT_RETRY_SLOTS];
};

/* A call for the pool arrived at this host. */
void ct_retry_window_add_call(struct ct_retry_window *window,
                              const struct ct_bounds *bounds, ct_ms now_ms);

/* Takes one repeat from the budget; false where nothing is left. */
bool ct_retry_window_take_repeat(struct ct_retry_window *window,
                                 const struct ct_bounds *bounds,
                                 uint32_t hosts, ct_ms now_ms);

#endif
