#include <glib.h>

#include "order-policy.h"

/* Slots beyond the demand, as a percentage of it. */
#define HEADROOM_PERCENT 20
/* A peak of the demand is held for this long before the level decreases. */
#define HOLD_MS 120000
/* After the hold time, one upstream is removed in each of these intervals. */
#define SHRINK_MS 30000

/* The number of upstreams that a pool needed, damped. */
struct level {
    uint32_t upstreams;
    ct_ms next_decrease_ms;
};

struct headroom {
    struct ct_order_policy policy;
    /* struct level, two per pool: firm and cheap */
    GArray *levels;
};

static uint32_t
upstreams_for(const struct ct_order_demand *demand, uint32_t slots)
{
    uint64_t needed = (uint64_t)demand->running + demand->waiting;

    needed = (needed * (100 + HEADROOM_PERCENT) + 99) / 100;
    return (uint32_t)((needed + slots - 1) / slots);
}

/*
 * Returns the damped level, which increases at once and decreases one by one
 * after a hold time.
 */
static uint32_t
damp_level(struct headroom *headroom, uint32_t index, uint32_t needed,
           ct_ms now_ms)
{
    struct level *level;

    if (headroom->levels->len <= index) {
        g_array_set_size(headroom->levels, index + 1);
    }
    level = &g_array_index(headroom->levels, struct level, index);
    if (needed >= level->upstreams) {
        level->upstreams = needed;
        level->next_decrease_ms = now_ms + HOLD_MS;
    }
    else if (now_ms >= level->next_decrease_ms) {
        level->upstreams--;
        level->next_decrease_ms = now_ms + SHRINK_MS;
    }
    return level->upstreams;
}

/*
 * Returns the number of cheap upstreams of which n are left after the loss of
 * the largest zone. If they are spread over all zones, the loss removes 1 /
 * n_zones of them.
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
plan_with_headroom(struct ct_order_policy *policy,
                   const struct ct_order_policy_input *input)
{
    struct headroom *headroom = (struct headroom *)policy;
    uint32_t slots = MAX(input->slots, 1);
    struct ct_order_plan plan;
    uint32_t cheap;

    plan.firm = damp_level(headroom, 2 * input->pool,
                           upstreams_for(&input->firm, slots), input->now_ms);
    cheap = damp_level(headroom, 2 * input->pool + 1,
                       upstreams_for(&input->cheap, slots), input->now_ms);
    /*
     * Firm upstreams alone meet the pool's lower bound, since cheap ones may
     * be reclaimed.
     */
    plan.firm = MAX(plan.firm, input->min_upstreams);
    plan.firm = MIN(plan.firm, input->max_upstreams);
    plan.cheap = MIN(with_zone_loss(cheap, input->n_zones),
                     input->max_upstreams - plan.firm);
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
        .plan = plan_with_headroom,
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
