#include <glib.h>

#include "balance-rows.h"
#include "error.h"

/*
 * A home is passed over if it has more requests in flight than this percentage
 * of the mean plus HOME_EXTRA.
 */
#define HOME_MEAN_PERCENT 150
#define HOME_EXTRA 1

/*
 * How long an upstream is avoided after it accepted no connection, aborted a
 * response or declined a request. Short, because the upstream list soon shows
 * which upstreams were removed.
 */
#define UNREACHABLE_AVOID_MS 1500
#define ABORTED_AVOID_MS 400
#define DECLINED_AVOID_MS 500
/*
 * An upstream that fails again soon after it was avoided is avoided for twice
 * as long, up to a maximum: it fails part of its requests although it looks
 * healthy to the platform.
 */
#define AVOID_MAX_MS 8000
#define FAILS_AGAIN_MS 10000

/* Prompts of up to this length count as short. */
#define SHORT_PROMPT_TOKENS 4096
/* Percentage of the upstreams that is reserved for short prompts. */
#define SHORT_PERCENT 15
#define SHORT_SEED UINT64_C(0x5b0f7c1d2a94e863)

/*
 * The upstreams for short prompts count as full if more than this percentage
 * of their slots is in use, because full engines interrupt running requests.
 * All hosts are assumed to send as much as this one.
 */
#define SHORT_FULL_PERCENT 50
/*
 * If a short prompt waits longer than this for its first token, the upstreams
 * for short prompts are too few, and short prompts may go to any upstream for
 * SHORT_OVERFLOW_MS.
 */
#define SHORT_WAIT_MS 500
#define SHORT_OVERFLOW_MS 2000

/*
 * For this long after its arrival an upstream counts as new: it lacks prefixes
 * whose home it has become. Upstreams that were present up to STARTUP_MS after
 * this host's first choice do not count as new.
 */
#define NEW_UPSTREAM_MS 60000
#define STARTUP_MS 2000

/*
 * Selects the candidates to consider, and bounds the requests that each may
 * have in flight.
 */
struct scope {
    const struct ct_balance_request *request;
    /* Includes upstreams for prompts of the other size. */
    bool any_size;
    /* Includes upstreams that failed recently. */
    bool any_health;
    /*
     * Maximum requests in flight of each candidate; UINT64_MAX if all homes
     * have more, or if there are no homes.
     */
    uint64_t bound;
    /*
     * Totals of the candidates in scope: this host's requests in flight, and
     * slots.
     */
    uint64_t in_flight;
    uint64_t slots;
};

struct pick {
    int index;
    uint64_t score;
};

static uint64_t
rendezvous_hash(uint64_t prefix_hash, uint64_t name_hash)
{
    uint64_t z = prefix_hash ^ name_hash;

    /* The steps of splitmix64 mix the pair. */
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

static bool
is_reserved_for_short(const struct ct_candidate *candidate)
{
    return rendezvous_hash(SHORT_SEED, candidate->name_hash) <
           UINT64_MAX / 100 * SHORT_PERCENT;
}

static bool
is_short_prompt(const struct ct_balance_request *request)
{
    return request->prompt_tokens <= SHORT_PROMPT_TOKENS;
}

static bool
matches_prompt_size(const struct ct_balance_request *request,
                    const struct ct_candidate *candidate)
{
    return !request->prefix_hash || !request->prompt_tokens ||
           is_reserved_for_short(candidate) == is_short_prompt(request);
}

static bool
is_in_scope(const struct scope *scope, const struct ct_candidate *candidate,
            const struct ct_balance_row *row)
{
    return !candidate->excluded &&
           (scope->any_health ||
            row->ejected_until_ms <= scope->request->now_ms) &&
           (scope->any_size || matches_prompt_size(scope->request, candidate));
}

/*
 * Sets the number of requests in flight above which a home is passed over,
 * UINT64_MAX if no candidate is in scope. Errors: CT_ERR_NO_MEMORY.
 */
static int
compute_bound(struct ct_balance_base *base, struct scope *scope,
              const struct ct_candidate *candidates, uint32_t n)
{
    uint64_t n_in_scope = 0;

    scope->in_flight = 0;
    scope->slots = 0;
    for (uint32_t i = 0; i < n; i++) {
        struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        if (!row->first_seen_ms) {
            row->first_seen_ms = scope->request->now_ms;
        }
        if (is_in_scope(scope, &candidates[i], row)) {
            scope->in_flight += row->in_flight;
            scope->slots += candidates[i].slots;
            n_in_scope++;
        }
    }
    scope->bound = n_in_scope > 0 ? scope->in_flight * HOME_MEAN_PERCENT /
                                            (100 * n_in_scope) +
                                        HOME_EXTRA
                                  : UINT64_MAX;
    return CT_OK;
}

/* Whether the upstreams for short prompts count as full. */
static bool
are_short_upstreams_full(const struct scope *scope)
{
    return !scope->any_size && scope->request->prefix_hash &&
           scope->in_flight * scope->request->hosts * 100 >
               scope->slots * SHORT_FULL_PERCENT;
}

/*
 * Returns a score that is higher for fewer requests in flight; candidates with
 * equal load take turns.
 */
static uint64_t
load_score(const struct ct_balance_row *row, uint32_t distance)
{
    return ((uint64_t)(UINT32_MAX - row->in_flight) << 32) |
           (UINT32_MAX - distance);
}

/*
 * Returns the candidate with the best score: by the prefix's order of homes,
 * or by the fewest requests in flight if there is no prefix or all homes are
 * full.
 */
static struct pick
find_best_candidate(struct ct_balance_base *base, const struct scope *scope,
                    const struct ct_candidate *candidates, uint32_t n)
{
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint64_t score;

        if (!is_in_scope(scope, &candidates[i], row) ||
            row->in_flight > scope->bound) {
            continue;
        }
        if (scope->request->prefix_hash && scope->bound != UINT64_MAX) {
            score = rendezvous_hash(scope->request->prefix_hash,
                                    candidates[i].name_hash);
        }
        else {
            score = load_score(row, candidates[i].upstream.index -
                                        base->last_index - 1);
        }
        if (pick.index < 0 || score > pick.score) {
            pick = (struct pick){(int)i, score};
        }
    }
    return pick;
}

static int
home_choose(struct ct_balance_policy *policy,
            const struct ct_balance_request *request,
            const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct scope scope = {
        .request = request,
        .any_size = is_short_prompt(request) &&
                    request->now_ms < base->short_overflow_until_ms,
    };
    struct pick pick;
    int err = compute_bound(base, &scope, candidates, n);

    if (!base->first_choice_ms) {
        base->first_choice_ms = request->now_ms;
    }
    if (err == CT_OK &&
        (scope.bound == UINT64_MAX ||
         (is_short_prompt(request) && are_short_upstreams_full(&scope)))) {
        scope.any_size = true;
        err = compute_bound(base, &scope, candidates, n);
    }
    if (err < 0) {
        return err;
    }
    pick = find_best_candidate(base, &scope, candidates, n);
    if (pick.index < 0) {
        scope.bound = UINT64_MAX;
        pick = find_best_candidate(base, &scope, candidates, n);
    }
    if (pick.index < 0) {
        /* An upstream that failed recently is better than none. */
        scope.any_health = true;
        pick = find_best_candidate(base, &scope, candidates, n);
    }
    if (pick.index >= 0) {
        base->last_index = candidates[pick.index].upstream.index;
        ct_balance_row(&base->rows, candidates[pick.index].upstream)
            ->reserved_for_short =
            is_reserved_for_short(&candidates[pick.index]);
    }
    return pick.index;
}

static bool
is_new_upstream(const struct ct_balance_base *base,
                const struct ct_balance_row *row, ct_ms now_ms)
{
    return row->first_seen_ms > base->first_choice_ms + STARTUP_MS &&
           now_ms - row->first_seen_ms < NEW_UPSTREAM_MS;
}

/*
 * Returns the highest-ranked home of the prefix other than the chosen
 * candidate, if the home ranks above the chosen candidate or the latter is
 * new. Returns CT_ERR_NOT_FOUND for short prompts: copying the cache takes
 * longer than reading the prompt.
 */
static int
home_cache_donor(struct ct_balance_policy *policy,
                 const struct ct_balance_request *request,
                 const struct ct_candidate *candidates, uint32_t n,
                 uint32_t chosen)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    if (!request->prefix_hash || is_short_prompt(request)) {
        return CT_ERR_NOT_FOUND;
    }
    if (!is_new_upstream(
            base, ct_balance_row(&base->rows, candidates[chosen].upstream),
            request->now_ms)) {
        pick.score = rendezvous_hash(request->prefix_hash,
                                     candidates[chosen].name_hash);
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint64_t score =
            rendezvous_hash(request->prefix_hash, candidates[i].name_hash);

        if (i == chosen || !row ||
            !matches_prompt_size(request, &candidates[i]) ||
            (candidates[i].excluded && !candidates[i].leaving) ||
            row->ejected_until_ms > request->now_ms ||
            is_new_upstream(base, row, request->now_ms)) {
            continue;
        }
        if (score > pick.score) {
            pick = (struct pick){(int)i, score};
        }
    }
    return pick.index;
}

static void
start_short_overflow(struct ct_balance_base *base,
                     const struct ct_balance_row *row, ct_ms now_ms)
{
    if (row->reserved_for_short) {
        base->short_overflow_until_ms = now_ms + SHORT_OVERFLOW_MS;
    }
}

static void
home_first_token(struct ct_balance_policy *policy, struct ct_handle upstream,
                 ct_ms wait_ms, ct_ms now_ms)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    const struct ct_balance_row *row = ct_balance_row(&base->rows, upstream);

    if (row && wait_ms > SHORT_WAIT_MS) {
        start_short_overflow(base, row, now_ms);
    }
}

/*
 * Failures while the upstream is avoided belong to requests sent before, and
 * are not counted again.
 */
static void
avoid_upstream(struct ct_balance_row *row, ct_ms avoid_ms, ct_ms now_ms)
{
    if (now_ms < row->ejected_until_ms) {
        return;
    }
    if (row->avoided_ms > 0 &&
        now_ms - row->ejected_until_ms < FAILS_AGAIN_MS) {
        avoid_ms = CLAMP(row->avoided_ms * 2, avoid_ms, AVOID_MAX_MS);
    }
    row->avoided_ms = avoid_ms;
    row->ejected_until_ms = now_ms + avoid_ms;
}

static void
home_ended(struct ct_balance_policy *policy, struct ct_handle upstream,
           enum ct_outcome outcome, ct_ms now_ms)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct ct_balance_row *row = ct_balance_row(&base->rows, upstream);

    if (!row) {
        return;
    }
    ct_balance_row_ended(row, now_ms);
    switch (outcome) {
    case CT_OUTCOME_DECLINED:
        avoid_upstream(row, DECLINED_AVOID_MS, now_ms);
        start_short_overflow(base, row, now_ms);
        return;
    case CT_OUTCOME_NOT_SENT:
        avoid_upstream(row, UNREACHABLE_AVOID_MS, now_ms);
        return;
    case CT_OUTCOME_CONNECTION_LOST:
        avoid_upstream(row, ABORTED_AVOID_MS, now_ms);
        return;
    default:
        return;
    }
}

static const struct ct_balance_policy_ops home_ops = {
    .choose_upstream = home_choose,
    .cache_donor = home_cache_donor,
    .started = ct_balance_base_started,
    .ended = home_ended,
    .first_token = home_first_token,
    .token_gap = ct_balance_base_token_gap,
    .reported = ct_balance_base_reported,
    .usable = ct_balance_base_usable,
    .bytes = ct_balance_base_bytes,
    .free = ct_balance_base_free,
};

struct ct_balance_policy *
ct_balance_prefix_home_new(void)
{
    return ct_balance_base_new(&home_ops);
}
