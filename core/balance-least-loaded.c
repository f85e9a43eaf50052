#include "balance-rows.h"
#include "error.h"

/* Whether a has fewer requests in flight for its slots than b. */
static bool
less_loaded(uint32_t own_a, uint32_t slots_a, uint32_t own_b, uint32_t slots_b)
{
    return (uint64_t)own_a * slots_b < (uint64_t)own_b * slots_a;
}

/* Fewest requests in flight for its slots; the next in turn of equals. */
static int
least_choose(struct ct_balance_policy *policy,
             const struct ct_balance_request *ask,
             const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    uint32_t best_distance = 0;
    uint32_t best_own = 0;
    int chosen = CT_ERR_NOT_FOUND;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);
        uint32_t slots = candidates[i].slots;
        uint32_t distance;

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        if (!ct_balance_plain_open(row, &candidates[i], ask)) {
            continue;
        }
        distance = candidates[i].upstream.index - plain->last_index - 1;
        if (chosen >= 0) {
            uint32_t best_slots = candidates[chosen].slots;

            if (less_loaded(best_own, best_slots, row->own, slots) ||
                (!less_loaded(row->own, slots, best_own, best_slots) &&
                 distance >= best_distance)) {
                continue;
            }
        }
        chosen = (int)i;
        best_own = row->own;
        best_distance = distance;
    }
    if (chosen >= 0) {
        plain->last_index = candidates[chosen].upstream.index;
    }
    return chosen;
}

static const struct ct_balance_policy_ops least_ops = {
    .choose = least_choose,
    CT_BALANCE_PLAIN_OPS,
};

struct ct_balance_policy *
ct_balance_least_loaded_new(void)
{
    return ct_balance_plain_new(&least_ops);
}
