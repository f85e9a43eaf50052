/*
 * Tests of the balancing policy that assigns each prefix a home upstream: the
 * upstreams that it reserves for short prompts.
 */
#include <glib.h>
#include <string.h>

#include "lib-balance.h"

#define MANY_CANDIDATES 200

/*
 * Returns how many of the candidates get prompts of the size, and marks them
 * in used.
 */
static guint
count_used_upstreams(struct balance_fixture *f,
                     const struct ct_candidate *candidates,
                     uint32_t prompt_tokens, bool used[MANY_CANDIDATES])
{
    guint n = 0;

    memset(used, 0, MANY_CANDIDATES * sizeof(used[0]));
    f->request.prompt_tokens = prompt_tokens;
    for (uint64_t prefix = 1; prefix <= 4000; prefix++) {
        f->request.prefix_hash = prefix * G_GUINT64_CONSTANT(2654435761);
        used[f->policy->ops->choose_upstream(
            f->policy, &f->request, candidates, MANY_CANDIDATES)] = true;
    }
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        n += used[i];
    }
    return n;
}

static void
fill_candidates(struct ct_candidate candidates[MANY_CANDIDATES])
{
    for (uint32_t i = 0; i < MANY_CANDIDATES; i++) {
        candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
        };
    }
}

/* Some upstreams are reserved for short prompts; long ones use the others. */
static void
test_prompt_sizes(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used_by_short[MANY_CANDIDATES];
    bool used_by_long[MANY_CANDIDATES];
    struct balance_fixture f;
    guint n;

    balance_set_up(&f);
    fill_candidates(candidates);
    n = count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS,
                             used_by_short);
    g_assert_cmpuint(n, >, MANY_CANDIDATES / 20);
    g_assert_cmpuint(n, <, MANY_CANDIDATES / 3);
    g_assert_cmpuint(count_used_upstreams(&f, candidates, BALANCE_LONG_TOKENS,
                                          used_by_long),
                     ==, MANY_CANDIDATES - n);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used_by_short[i] && used_by_long[i]);
    }
    balance_tear_down(&f);
}

/* If all reserved upstreams are excluded, others are reserved in their place.
 */
static void
test_reserved_excluded(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used_by_short[MANY_CANDIDATES];
    bool used_by_long[MANY_CANDIDATES];
    struct balance_fixture f;
    guint n;

    balance_set_up(&f);
    fill_candidates(candidates);
    n = count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS,
                             used_by_short);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        candidates[i].excluded = used_by_short[i];
    }
    g_assert_cmpuint(count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS,
                                          used_by_short),
                     >, (MANY_CANDIDATES - n) / 20);
    count_used_upstreams(&f, candidates, BALANCE_LONG_TOKENS, used_by_long);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used_by_short[i] &&
                       (used_by_long[i] || candidates[i].excluded));
    }
    balance_tear_down(&f);
}

/* A few upstreams have a reserved one among them, two have none. */
static void
test_reserved_of_few(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used[MANY_CANDIDATES];
    struct balance_fixture f;

    balance_set_up(&f);
    fill_candidates(candidates);
    for (guint i = 6; i < MANY_CANDIDATES; i++) {
        candidates[i].excluded = true;
    }
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used), ==,
        1);
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_LONG_TOKENS, used), ==,
        5);
    for (guint i = 2; i < 6; i++) {
        candidates[i].excluded = true;
    }
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_LONG_TOKENS, used), ==,
        2);
    balance_tear_down(&f);
}

/*
 * A short prompt whose route tolerates longer gaps does not use the reserved
 * upstreams: it would delay the interactive requests there.
 */
static void
test_reserved_for_tight_gaps(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used_by_interactive[MANY_CANDIDATES];
    bool used_by_others[MANY_CANDIDATES];
    struct balance_fixture f;

    balance_set_up(&f);
    fill_candidates(candidates);
    count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS,
                         used_by_interactive);
    f.request.tight_gap = false;
    count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used_by_others);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used_by_interactive[i] && used_by_others[i]);
    }
    balance_tear_down(&f);
}

/*
 * Some prefixes are much more frequent than others. What an upstream is sent
 * stays near the mean, although each host has few requests in flight.
 */
static void
test_prompt_tokens_spread(void)
{
    guint64 sent[BALANCE_CANDIDATES] = {0};
    guint64 max_sent = 0;
    struct balance_fixture f;

    balance_set_up(&f);
    f.request.tight_gap = false;
    f.request.prompt_tokens = BALANCE_SHORT_TOKENS;
    for (guint i = 0; i < 3000; i++) {
        guint prefix = i % 3 ? i % 24 + 1 : 99;
        int chosen = balance_choose_for_prefix(
            &f, prefix * G_GUINT64_CONSTANT(2654435761));

        balance_start_request(&f, chosen);
        f.policy->ops->ended(f.policy, f.candidates[chosen].upstream,
                             CT_OUTCOME_COMPLETE, f.request.now_ms);
        f.request.now_ms += 50;
        sent[chosen]++;
    }
    for (guint i = 0; i < BALANCE_CANDIDATES; i++) {
        max_sent = MAX(max_sent, sent[i]);
    }
    /*
     * A third of the requests would go to one home without the bound. Two
     * upstreams are reserved.
     */
    g_assert_cmpuint(max_sent, <, 3000 / (BALANCE_CANDIDATES - 2) * 3 / 2);
    balance_tear_down(&f);
}

/*
 * If all hosts together would fill half of the reserved upstreams, as many
 * more are reserved as that takes; long prompts keep the rest.
 */
static void
test_reserve_extended(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used[MANY_CANDIDATES];
    bool used_by_long[MANY_CANDIDATES];
    struct balance_fixture f;
    guint n_short = 0;
    guint n_started = 0;
    guint n_extended;
    guint n;

    balance_set_up(&f);
    fill_candidates(candidates);
    f.request.hosts = 100;
    n = count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used);
    g_assert_cmpuint(n, <, MANY_CANDIDATES / 3);
    /*
     * One request at every other upstream for short prompts: with 100 hosts
     * that is 50 requests each on average.
     */
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i] && n_short++ % 2 == 0) {
            f.policy->ops->started(f.policy, candidates[i].upstream,
                                   f.request.now_ms);
            n_started++;
        }
    }
    f.request.now_ms += 60000;
    n_extended =
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used);
    /* At most half of 64 slots each. */
    g_assert_cmpuint(n_extended * 32, >=, n_started * f.request.hosts);
    g_assert_cmpuint(n_extended, <=, MANY_CANDIDATES / 2);
    g_assert_cmpuint(count_used_upstreams(&f, candidates, BALANCE_LONG_TOKENS,
                                          used_by_long),
                     ==, MANY_CANDIDATES - n_extended);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used[i] && used_by_long[i]);
    }
    f.request.hosts = 10;
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used), <=,
        n);
    balance_tear_down(&f);
}

/*
 * After a short prompt has waited too long for its first token, or was
 * declined, short prompts may go to any upstream for a while.
 */
static void
test_short_overflow(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    const struct ct_balance_policy_ops *ops;
    bool used[MANY_CANDIDATES];
    struct balance_fixture f;
    guint n;

    balance_set_up(&f);
    ops = f.policy->ops;
    fill_candidates(candidates);
    n = count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i]) {
            ops->first_token(f.policy, candidates[i].upstream, 100,
                             f.request.now_ms);
        }
    }
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used), ==,
        n);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i]) {
            ops->first_token(f.policy, candidates[i].upstream, 900,
                             f.request.now_ms);
        }
    }
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used), >,
        2 * n);
    f.request.now_ms += 2500;
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used), ==,
        n);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i]) {
            ops->started(f.policy, candidates[i].upstream, f.request.now_ms);
            ops->ended(f.policy, candidates[i].upstream, CT_OUTCOME_DECLINED,
                       f.request.now_ms);
        }
    }
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, BALANCE_SHORT_TOKENS, used), >,
        2 * n);
    balance_tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance-prefix-home/prompt-sizes", test_prompt_sizes);
    g_test_add_func("/balance-prefix-home/reserved-excluded",
                    test_reserved_excluded);
    g_test_add_func("/balance-prefix-home/reserved-of-few",
                    test_reserved_of_few);
    g_test_add_func("/balance-prefix-home/reserved-for-tight-gaps",
                    test_reserved_for_tight_gaps);
    g_test_add_func("/balance-prefix-home/prompt-tokens-spread",
                    test_prompt_tokens_spread);
    g_test_add_func("/balance-prefix-home/short-overflow",
                    test_short_overflow);
    g_test_add_func("/balance-prefix-home/reserve-extended",
                    test_reserve_extended);
    return g_test_run();
}
