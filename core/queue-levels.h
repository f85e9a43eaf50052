#ifndef CT_QUEUE_LEVELS_H
#define CT_QUEUE_LEVELS_H

#include "queue-rows.h"

/*
 * Queues that serve level by level and first come, first served within a
 * level: the common part of the fifo and the priority policy. They differ in
 * the level of a request and in what is shed when the queue is full.
 */

struct ct_queue_levels;

struct ct_queue_levels_ops {
    uint32_t (*level)(const struct ct_queue_row *row);
    /* The level from which the newest row is shed for this one; or -1. */
    int (*shed_level)(const struct ct_queue_levels *q,
                      const struct ct_queue_row *row);
};

struct ct_queue_levels {
    struct ct_queue_base base;
    const struct ct_queue_levels_ops *levels_ops;
    /* CT_TIERS lists a pool. */
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
