/* Tests of the policy that gives each prefix a home. */
#include <glib.h>
#include <string.h>

#include "balance-policy.h"
#include "error.h"

#define N 12

struct fleet {
    struct ct_balance_policy *policy;
    struct ct_candidate candidates[N];
    struct ct_balance_request ask;
};

static void
setup(struct fleet *f)
{
    *f = (struct fleet){.policy = ct_balance_prefix_home_new()};
    f->ask.now_ms = 1000;
    f->ask.cheap_allowed = true;
    for (uint32_t i = 0; i < N; i++) {
        f->candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
        };
    }
}

static int
choose(struct fleet *f, uint64_t prefix)
{
    f->ask.prefix_hash = prefix;
    return f->policy->ops->choose_upstream(f->policy, &f->ask, f->candidates,
                                           N);
}

static void
start(struct fleet *f, int i)
{
    f->policy->ops->started(f->policy, f->candidates[i].upstream,
                            f->ask.now_ms);
}

static void
teardown(struct fleet *f)
{
    f->policy->ops->free(f->policy);
}

/* The same home each time, and homes spread over all. */
static void
test_home(void)
{
    struct fleet f;
    guint homes[N] = {0};

    setup(&f);
    for (uint64_t prefix = 1; prefix <= 600; prefix++) {
        int home = choose(&f, prefix * G_GUINT64_CONSTANT(2654435761));

        g_assert_cmpint(home, ==,
                        choose(&f, prefix * G_GUINT64_CONSTANT(2654435761)));
        homes[home]++;
    }
    for (guint i = 0; i < N; i++) {
        g_assert_cmpuint(homes[i], >, 20);
    }
    teardown(&f);
}

/* A home that goes takes only its own prefixes with it. */
static void
test_home_goes(void)
{
    struct fleet f;

    setup(&f);
    for (uint64_t prefix = 1; prefix <= 100; prefix++) {
        int before = choose(&f, prefix << 20);

        f.candidates[3].excluded = true;
        if (before != 3) {
            g_assert_cmpint(choose(&f, prefix << 20), ==, before);
        }
        else {
            g_assert_cmpint(choose(&f, prefix << 20), !=, 3);
        }
        f.candidates[3].excluded = false;
    }
    teardown(&f);
}

/* A hot prefix leaves its home before that has far more than the others. */
static void
test_hot(void)
{
    struct fleet f;
    guint at[N] = {0};
    guint most = 0;

    setup(&f);
    for (guint i = 0; i < 120; i++) {
        int chosen = choose(&f, 99);

        start(&f, chosen);
        at[chosen]++;
        most = MAX(most, at[chosen]);
    }
    g_assert_cmpuint(most, <=, 120 / N * 3 / 2 + 4);
    teardown(&f);
}

/* Without a prefix the fewest in flight, and equals in turn. */
static void
test_no_prefix(void)
{
    struct fleet f;
    guint at[N] = {0};

    setup(&f);
    for (guint i = 0; i < 5 * N; i++) {
        int chosen = choose(&f, 0);

        start(&f, chosen);
        at[chosen]++;
    }
    for (guint i = 0; i < N; i++) {
        g_assert_cmpuint(at[i], ==, 5);
    }
    teardown(&f);
}

/* A call goes to its home and ends there so; returns the home. */
static int
end_at_home(struct fleet *f, enum ct_outcome outcome)
{
    int home = choose(f, 99);

    start(f, home);
    f->policy->ops->ended(f->policy, f->candidates[home].upstream, outcome,
                          f->ask.now_ms);
    g_assert_cmpint(choose(f, 99), !=, home);
    return home;
}

/* One that breaks an answer off is soon asked again. */
static void
test_broken(void)
{
    struct fleet f;
    int home;

    setup(&f);
    home = end_at_home(&f, CT_OUTCOME_CONNECTION_LOST);
    f.ask.now_ms += 500;
    g_assert_cmpint(choose(&f, 99), ==, home);
    teardown(&f);
}

/* One that failed is left alone for a while, but is better than none. */
static void
test_failed(void)
{
    struct fleet f;
    int home;

    setup(&f);
    home = end_at_home(&f, CT_OUTCOME_NOT_SENT);
    for (int i = 0; i < N; i++) {
        f.candidates[i].excluded = i != home;
    }
    g_assert_cmpint(choose(&f, 99), ==, home);
    f.candidates[home].excluded = true;
    g_assert_cmpint(choose(&f, 99), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

#define SHORT_TOKENS 1000
#define LONG_TOKENS 20000
#define MANY 200

/* Upstreams that get prompts of the size, of many. */
static guint
count_used(struct fleet *f, const struct ct_candidate *candidates,
           uint32_t prompt_tokens, bool used[MANY])
{
    guint n = 0;

    memset(used, 0, MANY * sizeof(used[0]));
    f->ask.prompt_tokens = prompt_tokens;
    for (uint64_t prefix = 1; prefix <= 4000; prefix++) {
        f->ask.prefix_hash = prefix * G_GUINT64_CONSTANT(2654435761);
        used[f->policy->ops->choose_upstream(f->policy, &f->ask, candidates,
                                             MANY)] = true;
    }
    for (guint i = 0; i < MANY; i++) {
        n += used[i];
    }
    return n;
}

static void
fill_many(struct ct_candidate candidates[MANY])
{
    for (uint32_t i = 0; i < MANY; i++) {
        candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
        };
    }
}

/* Short prompts have some upstreams of their own, the long ones the rest. */
static void
test_sizes(void)
{
    struct ct_candidate candidates[MANY];
    bool by_short[MANY];
    bool by_long[MANY];
    struct fleet f;
    guint n;

    setup(&f);
    fill_many(candidates);
    n = count_used(&f, candidates, SHORT_TOKENS, by_short);
    g_assert_cmpuint(n, >, MANY / 20);
    g_assert_cmpuint(n, <, MANY / 3);
    g_assert_cmpuint(count_used(&f, candidates, LONG_TOKENS, by_long), ==,
                     MANY - n);
    for (guint i = 0; i < MANY; i++) {
        g_assert_false(by_short[i] && by_long[i]);
    }
    teardown(&f);
}

/* Where none of one size is left, the others take its prompts. */
static void
test_size_gone(void)
{
    struct ct_candidate candidates[MANY];
    bool by_short[MANY];
    bool used[MANY];
    struct fleet f;

    setup(&f);
    fill_many(candidates);
    count_used(&f, candidates, SHORT_TOKENS, by_short);
    for (guint i = 0; i < MANY; i++) {
        candidates[i].excluded = by_short[i];
    }
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), >, 100);
    teardown(&f);
}

/* So many hosts send short prompts that the ones for them would be full. */
static void
test_full(void)
{
    struct ct_candidate candidates[MANY];
    bool used[MANY];
    struct fleet f;
    guint every = 0;
    guint n;

    setup(&f);
    fill_many(candidates);
    f.ask.hosts = 100;
    n = count_used(&f, candidates, SHORT_TOKENS, used);
    g_assert_cmpuint(n, <, MANY / 3);
    /* One for every other upstream of them: 50 each by all hosts. */
    for (guint i = 0; i < MANY; i++) {
        if (used[i] && every++ % 2 == 0) {
            f.policy->ops->started(f.policy, candidates[i].upstream,
                                   f.ask.now_ms);
        }
    }
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), >, 2 * n);
    f.ask.hosts = 10;
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), <=, n);
    teardown(&f);
}

/* Short prompts that wait too long, or are declined, go to all for a while. */
static void
test_crowded(void)
{
    struct ct_candidate candidates[MANY];
    const struct ct_balance_policy_ops *ops;
    bool used[MANY];
    struct fleet f;
    guint n;

    setup(&f);
    ops = f.policy->ops;
    fill_many(candidates);
    n = count_used(&f, candidates, SHORT_TOKENS, used);
    for (guint i = 0; i < MANY; i++) {
        if (used[i]) {
            ops->first_token(f.policy, candidates[i].upstream, 100,
                             f.ask.now_ms);
        }
    }
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), ==, n);
    for (guint i = 0; i < MANY; i++) {
        if (used[i]) {
            ops->first_token(f.policy, candidates[i].upstream, 900,
                             f.ask.now_ms);
        }
    }
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), >, 2 * n);
    f.ask.now_ms += 2500;
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), ==, n);
    for (guint i = 0; i < MANY; i++) {
        if (used[i]) {
            ops->started(f.policy, candidates[i].upstream, f.ask.now_ms);
            ops->ended(f.policy, candidates[i].upstream, CT_OUTCOME_DECLINED,
                       f.ask.now_ms);
        }
    }
    g_assert_cmpuint(count_used(&f, candidates, SHORT_TOKENS, used), >, 2 * n);
    teardown(&f);
}

/* The keeper of what was chosen last; -1 for none. */
static int
keeper(struct fleet *f, int chosen)
{
    return f->policy->ops->cache_donor(f->policy, &f->ask, f->candidates, N,
                                       (uint32_t)chosen);
}

/* A full home is where the next one copies from; the home itself does not. */
static void
test_keeper_full(void)
{
    struct fleet f;
    int home;
    int next;

    setup(&f);
    f.ask.prompt_tokens = LONG_TOKENS;
    home = choose(&f, 99);
    g_assert_cmpint(keeper(&f, home), ==, CT_ERR_NOT_FOUND);
    for (next = home; next == home; next = choose(&f, 99)) {
        start(&f, home);
    }
    g_assert_cmpint(keeper(&f, next), ==, home);
    f.ask.prompt_tokens = SHORT_TOKENS;
    g_assert_cmpint(keeper(&f, next), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

/* A home that came a moment ago copies from the one before it. */
static void
test_keeper_new(void)
{
    struct ct_candidate fresh;
    struct fleet f;
    int before;

    setup(&f);
    f.ask.prompt_tokens = LONG_TOKENS;
    f.ask.now_ms += 1;
    before = choose(&f, 99);
    fresh = f.candidates[before];
    f.candidates[before].excluded = true;
    before = choose(&f, 99);
    f.candidates[before].excluded = false;
    f.ask.now_ms += 60000;
    /* Another upstream in its place, with the same order of homes. */
    for (uint32_t i = 0; i < N; i++) {
        f.candidates[i].excluded = false;
        if (f.candidates[i].name_hash == fresh.name_hash) {
            f.candidates[i].upstream.generation++;
        }
    }
    g_assert_cmpint(keeper(&f, choose(&f, 99)), ==, before);
    f.ask.now_ms += 61000;
    g_assert_cmpint(keeper(&f, choose(&f, 99)), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance-prefix-home/home", test_home);
    g_test_add_func("/balance-prefix-home/home-goes", test_home_goes);
    g_test_add_func("/balance-prefix-home/hot", test_hot);
    g_test_add_func("/balance-prefix-home/no-prefix", test_no_prefix);
    g_test_add_func("/balance-prefix-home/broken", test_broken);
    g_test_add_func("/balance-prefix-home/failed", test_failed);
    g_test_add_func("/balance-prefix-home/sizes", test_sizes);
    g_test_add_func("/balance-prefix-home/size-gone", test_size_gone);
    g_test_add_func("/balance-prefix-home/crowded", test_crowded);
    g_test_add_func("/balance-prefix-home/full", test_full);
    g_test_add_func("/balance-prefix-home/keeper-full", test_keeper_full);
    g_test_add_func("/balance-prefix-home/keeper-new", test_keeper_new);
    return g_test_run();
}
