#ifndef CT_EXECUTOR_H
#define CT_EXECUTOR_H

#include <stdbool.h>

#include "effect.h"

/*
 * An executor performs effects of certain types and posts their results as
 * events. The struct of each executor has struct ct_executor as its first
 * member.
 */

struct ct_executor;

struct ct_executor_ops {
    /*
     * Performs an effect; returns false if its type belongs to another
     * executor. The effect and its rows are borrowed for the call. NULL if the
     * executor performs no effects and is only freed with the loop.
     */
    bool (*run)(struct ct_executor *executor, const struct ct_effect *effect);
    void (*free)(struct ct_executor *executor);
};

struct ct_executor {
    const struct ct_executor_ops *ops;
    /* Next executor in the list of the loop, which owns all of them. */
    struct ct_executor *next;
};

#endif
