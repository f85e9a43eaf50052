#include <glib.h>

#include "order-policy.h"

/* Slots beyond the demand, in percent of it. */
#define HEADROOM_PERCENT 20
/* What was needed once is held for this long before it shrinks. */
#define HOLD_MS 120000
/* Then one upstream goes in this time. */
#define SHRINK_MS 30000

/* What a pool needed, damped. */
struct level {
    uint32_t upstreams;
    ct_ms changed_ms;
};

struct headroom {
    struct ct_order_policy policy;
    /* struct level, two a pool: firm and cheap */
    GArray *levels;
};

static uint32_t
upstreams_for(const struct ct_order_demand *demand, uint32_t slots)
{
    uint64_t needed = (uint64_t)demand->running + demand->waiting;

    needed = (needed * (100 + HEADROOM_PERCENT) + 99) / 100;
    return (uint32_t)((needed + slots - 1) / slots);
}

/* Up at once; down one by one after a hold. */
static uint32_t
damp(struct headroom *headroom, uint32_t index, uint32_t needed, ct_ms now_ms)
{
    struct level *level;

    if (headroom->levels->len <= index) {
        g_array_set_size(headroom->levels, index + 1);
    }
    level = &g_array_index(headroom->levels, struct level, index);
    if (needed >= level->upstreams) {
        level->upstreams = needed;
        level->changed_ms = now_ms + HOLD_MS;
    }
    else if (now_ms >= level->changed_ms) {
        level->upstreams--;
        level->changed_ms = now_ms + SHRINK_MS;
    }
    return level->upstreams;
}

/*
 * Spread over all zones, n cheap upstreams lose n / n_zones with one zone:
 * have as many more as leave n without the largest.
 */
static uint32_t
with_zone_loss(uint32_t n, uint32_t n_zones)
{
    if (n == 0 || n_zones < 2) {
        return n;
    }
    return (n * n_zones + n_zones - 2) / (n_zones - 1);
}

static struct ct_order_plan
plan(struct ct_order_policy *policy, const struct ct_order_policy_input *ask)
{
    struct headroom *headroom = (struct headroom *)policy;
    uint32_t slots = MAX(ask->slots, 1);
    struct ct_order_plan plan;
    uint32_t cheap;

    plan.firm = damp(headroom, 2 * ask->pool, upstreams_for(&ask->firm, slots),
                     ask->now_ms);
    cheap = damp(headroom, 2 * ask->pool + 1,
                 upstreams_for(&ask->cheap, slots), ask->now_ms);
    /* The least that stands is not left to what can be reclaimed. */
    plan.firm = MAX(plan.firm, ask->min_upstreams);
    plan.firm = MIN(plan.firm, ask->max_upstreams);
    plan.cheap = MIN(with_zone_loss(cheap, ask->n_zones),
                     ask->max_upstreams - plan.firm);
    return plan;
}

static void
free_headroom(struct ct_order_policy *policy)
{
    g_array_free(((struct headroom *)policy)->levels, TRUE);
    g_free(policy);
}

struct ct_order_policy *
ct_order_headroom_new(void)
{
    static const struct ct_order_policy_ops ops = {
        .plan = plan,
        .free = free_headroom,
    };
    struct headroom *headroom = g_try_new0(struct headroom, 1);

    if (!headroom) {
        return NULL;
    }
    headroom->policy.ops = &ops;
    headroom->levels = g_array_new(FALSE, TRUE, sizeof(struct level));
    return &headroom->policy;
}
