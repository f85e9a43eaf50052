#include <glib.h>

#include "balance-rows.h"
#include "error.h"

/* A home is left where it has more than this of the mean, and one more. */
#define HOME_MEAN_PERCENT 150
#define HOME_EXTRA 1

/*
 * How long an upstream is left alone that took no connection, or broke an
 * answer off. Short: the list tells soon which ones are gone.
 */
#define UNREACHABLE_MS 1500
#define BROKEN_MS 400

/* Prompts up to this are short. */
#define SHORT_PROMPT_TOKENS 4096
/* Part of the upstreams that is kept for them. */
#define SHORT_PERCENT 15
#define SHORT_SEED UINT64_C(0x5b0f7c1d2a94e863)

/*
 * Part of their slots above which they are too few: engines that are full
 * interrupt what they run. All hosts are taken to send as much as this one.
 */
#define SHORT_FULL_PERCENT 50
/*
 * Short prompts that wait longer than this for their first token find those
 * upstreams too few; they go to all of them for a while.
 */
#define SHORT_WAIT_MS 500
#define CROWDED_MS 2000

/*
 * For this long an upstream that came lacks prefixes whose home it now is.
 * Those that were there at this host's first choice do not count as new.
 */
#define NEW_MS 60000
#define START_MS 2000

/* Which candidates count, and how much each may have in flight. */
struct scope {
    const struct ct_balance_request *ask;
    /* Those for prompts of the other size too. */
    bool any_size;
    /* Those that failed a moment ago too. */
    bool any_health;
    /* UINT64_MAX where the homes are all full, or there are none. */
    uint64_t bound;
    /* Of those that count: this host's requests in flight, and slots. */
    uint64_t own;
    uint64_t slots;
};

struct pick {
    int index;
    uint64_t score;
};

static uint64_t
rendezvous(uint64_t prefix_hash, uint64_t name_hash)
{
    uint64_t z = prefix_hash ^ name_hash;

    /* The steps of splitmix64 mix the pair. */
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

static bool
is_for_short(const struct ct_candidate *candidate)
{
    return rendezvous(SHORT_SEED, candidate->name_hash) <
           UINT64_MAX / 100 * SHORT_PERCENT;
}

static bool
is_short(const struct ct_balance_request *ask)
{
    return ask->prompt_tokens <= SHORT_PROMPT_TOKENS;
}

static bool
has_size(const struct ct_balance_request *ask,
         const struct ct_candidate *candidate)
{
    return !ask->prefix_hash || !ask->prompt_tokens ||
           is_for_short(candidate) == is_short(ask);
}

static bool
counts(const struct scope *scope, const struct ct_candidate *candidate,
       const struct ct_balance_row *row)
{
    return !candidate->excluded &&
           (scope->any_health ||
            row->ejected_until_ms <= scope->ask->now_ms) &&
           (scope->any_size || has_size(scope->ask, candidate));
}

/*
 * Requests in flight above which a home is passed over, UINT64_MAX where no
 * candidate counts. Errors: CT_ERR_NO_MEMORY.
 */
static int
find_bound(struct ct_balance_plain *plain, struct scope *scope,
           const struct ct_candidate *candidates, uint32_t n)
{
    uint64_t open = 0;

    scope->own = 0;
    scope->slots = 0;
    for (uint32_t i = 0; i < n; i++) {
        struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);

        if (!row) {
            return CT_ERR_NO_MEMORY;
        }
        if (!row->since_ms) {
            row->since_ms = scope->ask->now_ms;
        }
        if (counts(scope, &candidates[i], row)) {
            scope->own += row->own;
            scope->slots += candidates[i].slots;
            open++;
        }
    }
    scope->bound =
        open > 0 ? scope->own * HOME_MEAN_PERCENT / (100 * open) + HOME_EXTRA
                 : UINT64_MAX;
    return CT_OK;
}

/* Whether the upstreams for short prompts would soon be full. */
static bool
is_full(const struct scope *scope)
{
    return !scope->any_size && scope->ask->prefix_hash &&
           scope->own * scope->ask->hosts * 100 >
               scope->slots * SHORT_FULL_PERCENT;
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
best(struct ct_balance_plain *plain, const struct scope *scope,
     const struct ct_candidate *candidates, uint32_t n)
{
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);
        uint64_t score;

        if (!counts(scope, &candidates[i], row) || row->own > scope->bound) {
            continue;
        }
        if (scope->ask->prefix_hash && scope->bound != UINT64_MAX) {
            score =
                rendezvous(scope->ask->prefix_hash, candidates[i].name_hash);
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
home_choose(struct ct_balance_policy *policy,
            const struct ct_balance_request *ask,
            const struct ct_candidate *candidates, uint32_t n)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    struct scope scope = {
        .ask = ask,
        .any_size = is_short(ask) && ask->now_ms < plain->crowded_until_ms,
    };
    struct pick pick;
    int err = find_bound(plain, &scope, candidates, n);

    if (!plain->since_ms) {
        plain->since_ms = ask->now_ms;
    }
    if (err == CT_OK &&
        (scope.bound == UINT64_MAX || (is_short(ask) && is_full(&scope)))) {
        scope.any_size = true;
        err = find_bound(plain, &scope, candidates, n);
    }
    if (err < 0) {
        return err;
    }
    pick = best(plain, &scope, candidates, n);
    if (pick.index < 0) {
        scope.bound = UINT64_MAX;
        pick = best(plain, &scope, candidates, n);
    }
    if (pick.index < 0) {
        /* One that failed a moment ago is better than none. */
        scope.any_health = true;
        pick = best(plain, &scope, candidates, n);
    }
    if (pick.index >= 0) {
        plain->last_index = candidates[pick.index].upstream.index;
        ct_balance_row(&plain->rows, candidates[pick.index].upstream)
            ->for_short = is_for_short(&candidates[pick.index]);
    }
    return pick.index;
}

static bool
is_new(const struct ct_balance_plain *plain, const struct ct_balance_row *row,
       ct_ms now_ms)
{
    return row->since_ms > plain->since_ms + START_MS &&
           now_ms - row->since_ms < NEW_MS;
}

/*
 * The best home of the prefix but for the chosen one, if that is not its best
 * home, or a new one. Not for short prompts: a copy takes longer than to read
 * them.
 */
static int
home_keeper(struct ct_balance_policy *policy,
            const struct ct_balance_request *ask,
            const struct ct_candidate *candidates, uint32_t n, uint32_t chosen)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    struct pick pick = {.index = CT_ERR_NOT_FOUND};

    if (!ask->prefix_hash || is_short(ask)) {
        return CT_ERR_NOT_FOUND;
    }
    if (!is_new(plain,
                ct_balance_row(&plain->rows, candidates[chosen].upstream),
                ask->now_ms)) {
        pick.score =
            rendezvous(ask->prefix_hash, candidates[chosen].name_hash);
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_balance_row *row =
            ct_balance_row(&plain->rows, candidates[i].upstream);
        uint64_t score = rendezvous(ask->prefix_hash, candidates[i].name_hash);

        if (i == chosen || !row || !has_size(ask, &candidates[i]) ||
            (candidates[i].excluded && !candidates[i].leaving) ||
            row->ejected_until_ms > ask->now_ms ||
            is_new(plain, row, ask->now_ms)) {
            continue;
        }
        if (score > pick.score) {
            pick = (struct pick){(int)i, score};
        }
    }
    return pick.index;
}

static void
note_crowded(struct ct_balance_plain *plain, const struct ct_balance_row *row,
             ct_ms now_ms)
{
    if (row->for_short) {
        plain->crowded_until_ms = now_ms + CROWDED_MS;
    }
}

static void
home_first_token(struct ct_balance_policy *policy, struct ct_handle upstream,
                 ct_ms wait_ms, ct_ms now_ms)
{
    struct ct_balance_plain *plain = (struct ct_balance_plain *)policy;
    const struct ct_balance_row *row = ct_balance_row(&plain->rows, upstream);

    if (row && wait_ms > SHORT_WAIT_MS) {
        note_crowded(plain, row, now_ms);
    }
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
    if (outcome == CT_OUTCOME_DECLINED) {
        note_crowded(plain, row, now_ms);
    }
    if (outcome == CT_OUTCOME_NOT_SENT) {
        row->ejected_until_ms = now_ms + UNREACHABLE_MS;
    }
    else if (outcome == CT_OUTCOME_BROKEN) {
        row->ejected_until_ms = MAX(row->ejected_until_ms, now_ms + BROKEN_MS);
    }
}

static const struct ct_balance_policy_ops home_ops = {
    .choose = home_choose,
    .keeper = home_keeper,
    .started = ct_balance_plain_started,
    .ended = home_ended,
    .first_token = home_first_token,
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
