#include <glib.h>

#include "balance-rows.h"
#include "error.h"

/* A home is left where it has more than this of the mean, and a few more. */
#define HOME_MEAN_PERCENT 150
#define HOME_EXTRA 3

/*
 * How long an upstream is left alone that took no connection, or broke an
 * answer off. Short: the list tells soon which ones are gone.
 */
#define UNREACHABLE_MS 1500
#define BROKEN_MS 400

struct pick {
    int index;
    uint64_t score;
};

/* Requests in flight above which a home is passed over. */
static uint64_t
home_bound(uint64_t own, uint32_t open)
{
    return own * HOME_MEAN_PERCENT / (100 * (uint64_t)open) + HOME_EXTRA;
}

static uint64_t
rendezvous(uint64_t prefix_hash, uint64_t name_hash)
{
    uint64_t z = prefix_hash ^ name_hash;

    /* The steps of splitmix64 mix the pair. */
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

/* Higher for fewer requests in flight; equals come in turn. */
static uint64_t
turn_score(const struct ct_balance_row *row, uint32_t distance)
{
    return ((uint64_t)(UINT32_MAX - row->own) << 32) | (UINT32_MAX - distance);
}

/*
 * The candidate with the best score: the prefix's own order of homes, or the
 * fewest requests in flight where there is no prefix or all homes are full.
 */
static struct pick
best(struct ct_balance_plain *plain, const struct ct_balance_ask *ask,
     const struct ct_candidate *candidates, uint32_t n, uint64_t bound,
     bool any_health)
{
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);
        uint64_t score;

        if (candidates[i].excluded || row->own > bound ||
            (!any_health && row->ejected_until_ms > ask->now_ms)) {
            continue;
        }
        if (ask->prefix_hash && bound != UINT64_MAX) {
            score = rendezvous(ask->prefix_hash, candidates[i].name_hash);
        }
        else {
            score = turn_score(row, candidates[i].upstream.index -
                                        plain->last_index - 1);
        }
        if (pick.index < 0 || score > pick.score) {
            pick = (struct pick){(int)i, score};
        }
    }
    return pick;
}

static int
home_choose(struct ct_balance_policy *policy, const struct ct_balance_ask *ask,
            const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    struct pick pick = {.index = CT_ERR_NOT_FOUND};
    uint64_t own = 0;
    uint32_t open = 0;

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        if (!candidates[i].excluded && row->ejected_until_ms <= ask->now_ms) {
            own += row->own;
            open++;
        }
    }
    if (ask->prefix_hash && open > 0) {
        pick = best(plain, ask, candidates, n, home_bound(own, open), false);
    }
    if (pick.index < 0) {
        pick = best(plain, ask, candidates, n, UINT64_MAX, false);
    }
    if (pick.index < 0) {
        /* One that failed a moment ago is better than none. */
        pick = best(plain, ask, candidates, n, UINT64_MAX, true);
    }
    if (pick.index >= 0) {
        plain->last_index = candidates[pick.index].upstream.index;
    }
    return pick.index;
}

static void
home_ended(struct ct_balance_policy *policy, struct ct_handle upstream,
           enum ct_outcome outcome, ct_ms now_ms)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    struct ct_balance_row *row = ct_balance_row(&plain->rows, upstream);

    if (!row) {
        return;
    }
    ct_balance_row_ended(row, now_ms);
    if (outcome == CT_OUTCOME_NOT_SENT) {
        row->ejected_until_ms = now_ms + UNREACHABLE_MS;
    }
    else if (outcome == CT_OUTCOME_BROKEN) {
        row->ejected_until_ms = MAX(row->ejected_until_ms, now_ms + BROKEN_MS);
    }
}

static const struct ct_balance_policy_ops home_ops = {
    .choose = home_choose,
    .started = ct_balance_plain_started,
    .ended = home_ended,
    .first_token = ct_balance_plain_first_token,
    .token_gap = ct_balance_plain_token_gap,
    .reported = ct_balance_plain_reported,
    .usable = ct_balance_plain_usable,
    .bytes = ct_balance_plain_bytes,
    .free = ct_balance_plain_free,
};

struct ct_balance_policy *
ct_balance_home_new(void)
{
    return ct_balance_plain_new(&home_ops);
}
