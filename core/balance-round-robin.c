#include "balance-rows.h"
#include "error.h"

/*
 * Chooses the first eligible candidate after the last chosen one, in the order
 * of upstream indices.
 */
static int
round_robin_choose(struct ct_balance_policy *policy,
                   const struct ct_balance_request *request,
                   const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    uint32_t least = UINT32_MAX;
    int chosen = CT_ERR_NOT_FOUND;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint32_t distance;

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        distance = candidates[i].upstream.index - base->last_index - 1;
        if (ct_balance_base_is_eligible(row, &candidates[i], request) &&
            (chosen < 0 || distance < least)) {
            least = distance;
            chosen = (int)i;
        }
    }
    if (chosen >= 0) {
        base->last_index = candidates[chosen].upstream.index;
    }
    return chosen;
}

static const struct ct_balance_policy_ops round_robin_ops = {
    .choose_upstream = round_robin_choose,
    CT_BALANCE_BASE_OPS,
};

struct ct_balance_policy *
ct_balance_round_robin_new(void)
{
    return ct_balance_base_new(&round_robin_ops);
}
