#include <glib.h>

#include "balance-reserve.h"
#include "balance-rows.h"
#include "balance-shared.h"
#include "error.h"

/*
 * A home is passed over if it has more requests in flight than this percentage
 * of the mean plus HOME_EXTRA.
 */
#define HOME_MEAN_PERCENT 150
#define HOME_EXTRA 1
/*
 * A home is also passed over if this host sent it more prompt tokens, in about
 * the last PROMPT_WINDOW_MS, than this percentage of the mean plus those of
 * PROMPT_EXTRA requests of this size.
 */
#define PROMPT_MEAN_PERCENT 125
#define PROMPT_EXTRA 2
#define PROMPT_WINDOW_MS 10000

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

/*
 * If an interactive request waits longer than this for its first token, the
 * reserved upstreams are too few, and interactive requests may go to any
 * upstream for OVERFLOW_MS.
 */
#define RESERVED_WAIT_MS 500
#define OVERFLOW_MS 2000

/* Choices are numbered from here on; lower numbers order the first ones. */
#define FIRST_TURNS 65536

/* Copying the cache of a shorter prompt takes longer than reading it. */
#define COPY_PROMPT_MIN_TOKENS 1024

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
    /* As in struct ct_balance_reserve. */
    uint64_t reserved_up_to;
    /* Ignores which upstreams are reserved. */
    bool any_kind;
    /* Includes upstreams that failed recently. */
    bool any_health;
    /*
     * Maximum requests in flight of each candidate; UINT64_MAX if all homes
     * have more, or if there are no homes.
     */
    uint64_t bound;
    /* The same for prompt tokens sent recently. */
    uint64_t prompt_bound;
    /*
     * Totals of the candidates in scope: this host's requests in flight, and
     * slots.
     */
    uint64_t in_flight;
    uint64_t slots;
    /*
     * The load that hosts share is known, and decides in place of the bounds
     * above.
     */
    bool shares_load;
    struct ct_balance_shared shared;
};

struct pick {
    int index;
    uint64_t score;
};

static bool
matches_kind(const struct scope *scope, const struct ct_candidate *candidate)
{
    const struct ct_balance_request *request = scope->request;

    return !request->prefix_hash || !request->prompt_tokens ||
           (ct_balance_reserve_hash(candidate) <= scope->reserved_up_to) ==
               ct_balance_is_interactive(request);
}

static bool
is_in_scope(const struct scope *scope, const struct ct_candidate *candidate,
            const struct ct_balance_row *row)
{
    return !candidate->excluded && !candidate->barred &&
           !ct_balance_shared_passes_over(&scope->shared, candidate) &&
           (scope->any_health ||
            row->ejected_until_ms <= scope->request->now_ms) &&
           (scope->any_kind || matches_kind(scope, candidate));
}

/* Returns the prompt tokens sent recently; older ones count less. */
static uint64_t
recent_prompt_tokens(const struct ct_balance_row *row, ct_ms now_ms)
{
    ct_ms age_ms =
        CLAMP(now_ms - row->prompt_tokens_at_ms, 0, PROMPT_WINDOW_MS);

    return row->prompt_tokens * (uint64_t)(PROMPT_WINDOW_MS - age_ms) /
           PROMPT_WINDOW_MS;
}

static void
add_prompt_tokens(struct ct_balance_row *row, uint32_t tokens, ct_ms now_ms)
{
    row->prompt_tokens = recent_prompt_tokens(row, now_ms) + tokens;
    row->prompt_tokens_at_ms = now_ms;
}

/*
 * Returns the place of an upstream that was not chosen yet among those of
 * equal load. It differs by host: hosts that start together would otherwise
 * all begin with the same upstream.
 */
static uint32_t
first_turn(const struct ct_balance_base *base,
           const struct ct_candidate *candidate)
{
    return (uint32_t)(ct_rendezvous_hash(base->seed, candidate->name_hash) %
                      FIRST_TURNS);
}

/*
 * An upstream that is no longer reserved counts as new: it has not read the
 * prompts that it now gets.
 */
static void
update_row(const struct ct_balance_base *base, struct ct_balance_row *row,
           const struct scope *scope, const struct ct_candidate *candidate)
{
    bool reserved =
        ct_balance_reserve_hash(candidate) <= scope->reserved_up_to;

    if (!row->first_seen_ms) {
        row->first_seen_ms = scope->request->now_ms;
        row->last_choice = first_turn(base, candidate);
    }
    if (row->reserved && !reserved) {
        row->unreserved_ms = scope->request->now_ms;
    }
    row->reserved = reserved;
}

static void
adjust_parts(struct ct_balance_base *base, const struct scope *scope,
             const struct ct_candidate *candidates, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);

        if (is_in_scope(scope, &candidates[i], row)) {
            ct_balance_shared_adjust(&scope->shared, &candidates[i], row);
        }
    }
}

/*
 * Sets the requests in flight and the prompt tokens above which a home is
 * passed over, UINT64_MAX if no candidate is in scope. Errors:
 * CT_ERR_NO_MEMORY.
 */
static int
compute_bound(struct ct_balance_base *base, struct scope *scope,
              const struct ct_candidate *candidates, uint32_t n)
{
    uint64_t n_in_scope = 0;
    uint64_t prompt_tokens = 0;

    scope->in_flight = 0;
    scope->slots = 0;
    scope->shared = (struct ct_balance_shared){.request = scope->request};
    for (uint32_t i = 0; i < n; i++) {
        struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        update_row(base, row, scope, &candidates[i]);
        if (is_in_scope(scope, &candidates[i], row)) {
            scope->in_flight += row->in_flight;
            prompt_tokens += recent_prompt_tokens(row, scope->request->now_ms);
            scope->slots += candidates[i].slots;
            n_in_scope++;
            ct_balance_shared_add(&scope->shared, &candidates[i], row);
        }
    }
    scope->shares_load =
        n_in_scope > 0 && ct_balance_load_is_known(candidates, n);
    if (scope->shares_load) {
        adjust_parts(base, scope, candidates, n);
        ct_balance_shared_decide_speed(&scope->shared);
    }
    scope->bound = n_in_scope > 0 ? scope->in_flight * HOME_MEAN_PERCENT /
                                            (100 * n_in_scope) +
                                        HOME_EXTRA
                                  : UINT64_MAX;
    scope->prompt_bound =
        n_in_scope > 0
            ? prompt_tokens * PROMPT_MEAN_PERCENT / (100 * n_in_scope) +
                  (uint64_t)PROMPT_EXTRA * scope->request->prompt_tokens
            : UINT64_MAX;
    return CT_OK;
}

/* Whether the reserved upstreams, the candidates in scope, count as full. */
static bool
are_reserved_full(const struct scope *scope)
{
    return !scope->any_kind && scope->request->prefix_hash &&
           (scope->shares_load
                ? ct_balance_exceeds_reserve(scope->shared.all.load,
                                             scope->slots, 1)
                : ct_balance_exceeds_reserve(scope->in_flight, scope->slots,
                                             scope->request->hosts));
}

/*
 * Returns a score that is higher for fewer requests in flight; candidates with
 * equal load take turns, whatever upstreams other pools got meanwhile.
 */
static uint64_t
load_score(const struct ct_balance_row *row)
{
    return ((uint64_t)(UINT32_MAX - row->in_flight) << 32) |
           (UINT32_MAX - row->last_choice);
}

static bool
is_over_bound(const struct scope *scope, const struct ct_candidate *candidate,
              const struct ct_balance_row *row)
{
    if (scope->shares_load) {
        return ct_balance_shared_skips(&scope->shared, candidate, row);
    }
    return row->in_flight > scope->bound ||
           (scope->request->prefix_hash &&
            recent_prompt_tokens(row, scope->request->now_ms) >
                scope->prompt_bound);
}

/* Returns one of two candidates in scope, drawn at random, by shared load. */
static struct pick
pick_of_pair(struct ct_balance_base *base, const struct scope *scope,
             const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_pair pair = ct_balance_shared_draw(&scope->shared);
    uint32_t first = 0;
    uint32_t second = 0;
    uint32_t in_scope = 0;

    for (uint32_t i = 0; i < n; i++) {
        if (is_in_scope(scope, &candidates[i],
                        ct_balance_row(&base->rows, candidates[i].upstream))) {
            first = in_scope == pair.first ? i : first;
            second = in_scope == pair.second ? i : second;
            in_scope++;
        }
    }
    if (ct_balance_shared_prefers_second(
            &scope->shared, &candidates[first],
            ct_balance_row(&base->rows, candidates[first].upstream),
            &candidates[second],
            ct_balance_row(&base->rows, candidates[second].upstream))) {
        first = second;
    }
    return (struct pick){.index = (int)first};
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
    bool by_home = scope->request->prefix_hash && scope->bound != UINT64_MAX;

    if (scope->shares_load && !by_home) {
        return pick_of_pair(base, scope, candidates, n);
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint64_t score;

        if (!is_in_scope(scope, &candidates[i], row) ||
            is_over_bound(scope, &candidates[i], row)) {
            continue;
        }
        if (by_home) {
            score = ct_rendezvous_hash(scope->request->prefix_hash,
                                       candidates[i].name_hash);
        }
        else {
            score = load_score(row);
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
        .reserved_up_to =
            ct_balance_reserve(base, request, candidates, n).up_to,
        .any_kind = ct_balance_is_interactive(request) &&
                    request->now_ms < base->overflow_until_ms,
    };
    struct pick pick;
    int err = compute_bound(base, &scope, candidates, n);

    if (!base->first_choice_ms) {
        base->first_choice_ms = request->now_ms;
    }
    if (err == CT_OK &&
        (scope.bound == UINT64_MAX ||
         (ct_balance_is_interactive(request) && are_reserved_full(&scope)))) {
        scope.any_kind = true;
        err = compute_bound(base, &scope, candidates, n);
    }
    if (err < 0) {
        return err;
    }
    pick = find_best_candidate(base, &scope, candidates, n);
    if (pick.index < 0) {
        scope.bound = UINT64_MAX;
        scope.prompt_bound = UINT64_MAX;
        pick = find_best_candidate(base, &scope, candidates, n);
    }
    if (pick.index < 0) {
        /* An upstream that failed recently is better than none. */
        scope.any_health = true;
        pick = find_best_candidate(base, &scope, candidates, n);
    }
    if (pick.index >= 0) {
        struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[pick.index].upstream);

        row->last_choice = FIRST_TURNS + base->choices++;
        add_prompt_tokens(row, request->prompt_tokens, request->now_ms);
    }
    return pick.index;
}

static bool
is_new_upstream(const struct ct_balance_base *base,
                const struct ct_balance_row *row, ct_ms now_ms)
{
    if (row->unreserved_ms && now_ms - row->unreserved_ms < NEW_UPSTREAM_MS) {
        return true;
    }
    return row->first_seen_ms > base->first_choice_ms + STARTUP_MS &&
           now_ms - row->first_seen_ms < NEW_UPSTREAM_MS;
}

/*
 * Returns the highest-ranked home of the prefix other than the chosen
 * candidate, if the home ranks above the chosen candidate or the latter is
 * new. Returns CT_ERR_NOT_FOUND for prompts that are read faster than copied.
 */
static int
home_cache_donor(struct ct_balance_policy *policy,
                 const struct ct_balance_request *request,
                 const struct ct_candidate *candidates, uint32_t n,
                 uint32_t chosen)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct scope scope = {.request = request};
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    if (!request->prefix_hash ||
        request->prompt_tokens < COPY_PROMPT_MIN_TOKENS) {
        return CT_ERR_NOT_FOUND;
    }
    scope.reserved_up_to =
        ct_balance_reserve(base, request, candidates, n).up_to;
    if (!is_new_upstream(
            base, ct_balance_row(&base->rows, candidates[chosen].upstream),
            request->now_ms)) {
        pick.score = ct_rendezvous_hash(request->prefix_hash,
                                        candidates[chosen].name_hash);
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint64_t score =
            ct_rendezvous_hash(request->prefix_hash, candidates[i].name_hash);

        if (i == chosen || !row || !matches_kind(&scope, &candidates[i]) ||
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

/*
 * Returns a score that prefers an upstream that did not fail recently, then
 * another availability zone, whose cheap upstreams are not reclaimed together
 * with the chosen one, then reserved upstreams, which long prompts do not
 * delay, then few requests in flight.
 */
static uint64_t
backup_score(const struct ct_candidate *candidate,
             const struct ct_balance_row *row,
             const struct ct_balance_reserve *reserve, ct_ms now_ms)
{
    bool healthy = row->ejected_until_ms <= now_ms;
    bool reserved = ct_balance_reserve_hash(candidate) <= reserve->up_to;

    return ((uint64_t)healthy << 35) +
           ((uint64_t)!candidate->same_zone << 34) +
           ((uint64_t)reserved << 33) + (UINT32_MAX - row->in_flight);
}

/*
 * Makes no copies while interactive requests need more upstreams than can be
 * reserved: copies take memory that the running requests then need.
 */
static int
home_choose_backup(struct ct_balance_policy *policy,
                   const struct ct_balance_request *request,
                   const struct ct_candidate *candidates, uint32_t n,
                   uint32_t chosen)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    struct ct_balance_reserve reserve =
        ct_balance_reserve(base, request, candidates, n);
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    if (reserve.full || request->now_ms < base->overflow_until_ms) {
        return CT_ERR_NOT_FOUND;
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&base->rows, candidates[i].upstream);
        uint64_t score;

        if (i == chosen || !row || candidates[i].excluded ||
            candidates[i].barred) {
            continue;
        }
        score = backup_score(&candidates[i], row, &reserve, request->now_ms);
        if (pick.index < 0 || score > pick.score) {
            pick = (struct pick){(int)i, score};
        }
    }
    return pick.index;
}

static void
start_overflow(struct ct_balance_base *base, const struct ct_balance_row *row,
               ct_ms now_ms)
{
    if (row->reserved) {
        base->overflow_until_ms = now_ms + OVERFLOW_MS;
    }
}

static void
home_first_token(struct ct_balance_policy *policy, struct ct_handle upstream,
                 ct_ms wait_ms, ct_ms now_ms)
{
    struct ct_balance_base *base = (struct ct_balance_base *)policy;
    const struct ct_balance_row *row = ct_balance_row(&base->rows, upstream);

    if (row && wait_ms > RESERVED_WAIT_MS) {
        start_overflow(base, row, now_ms);
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
        start_overflow(base, row, now_ms);
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
    .choose_backup = home_choose_backup,
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
ct_balance_prefix_home_new(uint64_t seed)
{
    struct ct_balance_policy *policy = ct_balance_base_new(&home_ops);

    if (policy) {
        ((struct ct_balance_base *)policy)->seed = seed;
    }
    return policy;
}
