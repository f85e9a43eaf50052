#ifndef CT_EXECUTOR_H
#define CT_EXECUTOR_H

#include <stdbool.h>

#include "effect.h"

/*
 * An executor carries out some types of effects and answers with events. The
 * struct of each executor has struct ct_executor as its first member.
 */

struct ct_executor;

struct ct_executor_ops {
    /*
     * Carries out an effect; false where its type belongs to another
     * executor. The effect and its rows are borrowed for the call. NULL for
     * what only lives with the loop.
     */
    bool (*run)(struct ct_executor *executor, const struct ct_effect *effect);
    void (*free)(struct ct_executor *executor);
};

struct ct_executor {
    const struct ct_executor_ops *ops;
    /* The next one in the list of the loop, which owns both. */
    struct ct_executor *next;
};

#endif
