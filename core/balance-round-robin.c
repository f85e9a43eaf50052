#include "balance-rows.h"
#include "error.h"

/* The open candidate that follows the last one, by the upstreams' order. */
static int
round_robin_choose(struct ct_balance_policy *policy,
                   const struct ct_balance_request *ask,
                   const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    uint32_t least = UINT32_MAX;
    int chosen = CT_ERR_NOT_FOUND;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);
        uint32_t distance;

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        distance = candidates[i].upstream.index - plain->last_index - 1;
        if (ct_balance_plain_open(row, &candidates[i], ask) &&
            (chosen < 0 || distance < least)) {
            least = distance;
            chosen = (int)i;
        }
    }
    if (chosen >= 0) {
        plain->last_index = candidates[chosen].upstream.index;
    }
    return chosen;
}

static const struct ct_balance_policy_ops round_robin_ops = {
    .choose = round_robin_choose,
    CT_BALANCE_PLAIN_OPS,
};

struct ct_balance_policy *
ct_balance_round_robin_new(void)
{
    return ct_balance_plain_new(&round_robin_ops);
}
