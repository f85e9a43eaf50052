#ifndef CT_RETRY_WINDOW_H
#define CT_RETRY_WINDOW_H

#include <stdbool.h>

#include "bounds.h"

/*
 * Retry budget of one pool over a sliding window. Hosts share the budget
 * without communication: each may retry the permitted ratio of its own calls
 * and has an equal part of the burst.
 */

#define CT_RETRY_INTERVALS 20

struct ct_retry_interval {
    /* Number of the interval that the counts belong to. */
    int64_t number;
    uint32_t calls;
    uint32_t retries;
};

struct ct_retry_window {
    struct ct_retry_interval intervals[CT_RETRY_INTERVALS];
};

/* Counts a call to the pool that arrived at this host. */
void ct_retry_window_add_call(struct ct_retry_window *window,
                              const struct ct_bounds *bounds, ct_ms now_ms);

/* Spends one retry of the budget; returns false if none is left. */
bool ct_retry_window_spend_retry(struct ct_retry_window *window,
                                 const struct ct_bounds *bounds,
                                 uint32_t hosts, ct_ms now_ms);

#endif
