#ifndef CT_QUEUE_LEVELS_H
#define CT_QUEUE_LEVELS_H

#include "queue-rows.h"

/*
 * Queues that serve by level, and first in, first out within a level: the
 * common part of the FIFO and the priority policy, which differ in the level
 * of a request and in which request is shed when the queue is full.
 */

struct ct_queue_levels;

struct ct_queue_levels_ops {
    uint32_t (*level)(const struct ct_queue_row *row);
    /*
     * Returns the level from which the newest row is shed to make room for
     * this one, or -1 if none may be shed.
     */
    int (*shed_level)(const struct ct_queue_levels *q,
                      const struct ct_queue_row *row);
};

struct ct_queue_levels {
    struct ct_queue_base base;
    const struct ct_queue_levels_ops *levels_ops;
    /* CT_TIERS lists per pool. */
    struct ct_queue_list *lists;
    uint32_t n_lists;
};

struct ct_queue_policy *
ct_queue_levels_new(const struct ct_queue_levels_ops *ops,
                    uint32_t max_queued);

static inline const struct ct_queue_list *
ct_queue_levels_list(const struct ct_queue_levels *q, uint32_t pool,
                     uint32_t level)
{
    return &q->lists[pool * CT_TIERS + level];
}

#endif
