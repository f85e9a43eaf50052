#include "balance-rows.h"
#include "error.h"

/* Whether a has fewer requests in flight per slot than b. */
static bool
is_less_loaded(uint32_t in_flight_a, uint32_t slots_a, uint32_t in_flight_b,
               uint32_t slots_b)
{
    return (uint64_t)in_flight_a * slots_b < (uint64_t)in_flight_b * slots_a;
}

/*
 * Chooses the candidate with the fewest requests in flight per slot;
 * candidates with equal load take turns.
 */
static int
least_choose(struct ct_balance_policy *policy,
             const struct ct_balance_request *request,
             const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    uint32_t best_distance = 0;
    uint32_t best_in_flight = 0;
    int chosen = CT_ERR_NOT_FOUND;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint32_t slots = candidates[i].slots;
        uint32_t distance;

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        if (!ct_balance_base_is_eligible(row, &candidates[i], request)) {
            continue;
        }
        distance = candidates[i].upstream.index - base->last_index - 1;
        if (chosen >= 0) {
            uint32_t best_slots = candidates[chosen].slots;

            if (is_less_loaded(best_in_flight, best_slots, row->in_flight,
                               slots) ||
                (!is_less_loaded(row->in_flight, slots, best_in_flight,
                                 best_slots) &&
                 distance >= best_distance)) {
                continue;
            }
        }
        chosen = (int)i;
        best_in_flight = row->in_flight;
        best_distance = distance;
    }
    if (chosen >= 0) {
        base->last_index = candidates[chosen].upstream.index;
    }
    return chosen;
}

static const struct ct_balance_policy_ops least_ops = {
    .choose_upstream = least_choose,
    CT_BALANCE_BASE_OPS,
};

struct ct_balance_policy *
ct_balance_least_loaded_new(void)
{
    return ct_balance_base_new(&least_ops);
}
