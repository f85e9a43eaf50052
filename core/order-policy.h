#ifndef CT_ORDER_POLICY_H
#define CT_ORDER_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "name.h"

/*
 * Decides how many upstreams a pool should have. A policy sees the demand of
 * all hosts and the pool's limits; it decides on numbers only.
 */

/* Demand for one kind of slot, in concurrent requests. */
struct ct_order_demand {
    uint32_t running;
    uint32_t waiting;
};

struct ct_order_policy_input {
    ct_ms now_ms;
    /* Index of the pool's row, for the state that a policy keeps of it. */
    uint32_t pool;
    uint32_t min_upstreams;
    uint32_t max_upstreams;
    /* Slots of one upstream. */
    uint32_t slots;
    /* Zones in which upstreams can be ordered. */
    uint32_t n_zones;
    /* Demand that needs upstreams which cannot be reclaimed, and the rest. */
    struct ct_order_demand firm;
    struct ct_order_demand cheap;
};

struct ct_order_plan {
    uint32_t firm;
    uint32_t cheap;
};

struct ct_order_policy;

struct ct_order_policy_ops {
    struct ct_order_plan (*plan)(struct ct_order_policy *policy,
                                 const struct ct_order_policy_input *input);
    void (*free)(struct ct_order_policy *policy);
};

struct ct_order_policy {
    const struct ct_order_policy_ops *ops;
};

/*
 * Plans for the demand with some headroom, plus the loss of the largest zone
 * of cheap upstreams. Follows growing demand at once and decreases slowly.
 * Returns NULL if memory is exhausted.
 */
struct ct_order_policy *ct_order_headroom_new(void);

#endif
