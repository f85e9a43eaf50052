/*
 * Tests of the choice with load that hosts share, in a world of hosts that
 * learn of each other's calls late, and of engines that run them.
 */
#include "lib-balance-world.h"

#define CANDIDATES 20
#define CHOICES 1000

static struct ct_balance_policy *
policy_new(struct ct_candidate candidates[CANDIDATES])
{
    for (uint32_t i = 0; i < CANDIDATES; i++) {
        candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
            .load_known = true,
            .others_in_flight = 10,
            .load_age_ms = 1000,
        };
    }
    return ct_balance_prefix_home_new(1);
}

/* Chooses for the n-th call; each has its own random number. */
static int
choose_by_gap(struct ct_balance_policy *policy,
              struct ct_candidate *candidates, guint64 prefix, guint64 n,
              bool short_gap)
{
    struct ct_balance_request request = {
        .now_ms = 1000 + (ct_ms)n,
        .prefix_hash = prefix,
        .prompt_tokens = 100,
        .tight_gap = true,
        .short_gap = short_gap,
        .hosts = 100,
        .random = ct_hash_bytes(CT_HASH_SEED, &n, sizeof(n)),
    };

    return policy->ops->choose_upstream(policy, &request, candidates,
                                        CANDIDATES);
}

static int
choose(struct ct_balance_policy *policy, struct ct_candidate *candidates,
       guint64 prefix, guint64 n)
{
    return choose_by_gap(policy, candidates, prefix, n, false);
}

/*
 * If the load of only one upstream is not known, numbers left from before must
 * not change a choice.
 */
static void
test_unknown_load(void)
{
    struct ct_candidate unknown[CANDIDATES];
    struct ct_candidate partly[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(unknown);
    struct ct_balance_policy *other = policy_new(partly);

    for (guint i = 0; i < CANDIDATES; i++) {
        unknown[i].load_known = false;
        unknown[i].others_in_flight = 0;
        partly[i].load_known = i != 7;
        partly[i].others_in_flight = i * 100;
        partly[i].speed_percent = i % 4 == 0 ? 40 : 100;
    }
    for (guint i = 0; i < CHOICES; i++) {
        int chosen = choose(policy, unknown, i % 5 * 99, i);

        g_assert_cmpint(choose_by_gap(other, partly, i % 5 * 99, i, true), ==,
                        chosen);
        policy->ops->started(policy, unknown[chosen].upstream, 1000 + i);
        other->ops->started(other, partly[chosen].upstream, 1000 + i);
    }
    policy->ops->free(policy);
    other->ops->free(other);
}

/*
 * A home with twice the bound loses about half of its calls, not all at once,
 * and those to one second home, which must not read the prefix elsewhere.
 */
static void
test_home_over_bound(void)
{
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(candidates);
    int home = choose(policy, candidates, 99, 0);
    int second = -1;
    guint kept = 0;

    /* The mean of the three reserved upstreams is 20, the bound 26. */
    candidates[home].others_in_flight = 40;
    for (guint i = 0; i < CHOICES; i++) {
        int chosen = choose(policy, candidates, 99, i);

        kept += chosen == home;
        if (chosen != home) {
            g_assert_true(second < 0 || chosen == second);
            second = chosen;
        }
    }
    g_assert_cmpuint(kept, >, CHOICES / 2);
    g_assert_cmpuint(kept, <, CHOICES * 3 / 4);
    policy->ops->free(policy);
}

/*
 * A wrong number, however high, must not raise the mean so far that no other
 * home is over its bound, and must not bar an upstream without alternative.
 */
static void
test_wrong_load(void)
{
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(candidates);
    guint kept = 0;
    int home;

    /* All are in use, and none is reserved. */
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].slots = 8;
    }
    home = choose(policy, candidates, 99, 0);
    candidates[home].others_in_flight = 100;
    candidates[home == 0].others_in_flight = G_MAXUINT32;
    for (guint i = 0; i < CHOICES; i++) {
        kept += choose(policy, candidates, 99, i) == home;
    }
    g_assert_cmpuint(kept, <, CHOICES / 2);
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].excluded = i != 5;
    }
    for (guint i = 0; i < CHOICES; i++) {
        g_assert_cmpint(choose(policy, candidates, i % 5 * 99, i), ==, 5);
    }
    policy->ops->free(policy);
}

/* The newer the load is, the more calls go to the less loaded upstreams. */
static void
test_age(void)
{
    struct ct_candidate candidates[CANDIDATES];
    guint previous = CHOICES;

    for (ct_ms age_ms = 10; age_ms <= 3000; age_ms = age_ms * 17) {
        struct ct_balance_policy *policy = policy_new(candidates);
        guint to_idle = 0;

        for (guint i = 0; i < CANDIDATES; i++) {
            candidates[i].load_age_ms = age_ms;
            candidates[i].others_in_flight = i < CANDIDATES / 2 ? 8 : 12;
        }
        for (guint i = 0; i < CHOICES; i++) {
            to_idle += choose(policy, candidates, 0, i) < CANDIDATES / 2;
        }
        g_assert_cmpuint(to_idle, <, previous);
        g_assert_cmpuint(to_idle, >, CHOICES / 2);
        previous = to_idle;
        policy->ops->free(policy);
    }
}

/*
 * One call at each upstream must not count as one of every host if the load
 * of the others is known: calls would use all upstreams, not the reserved
 * ones.
 */
static void
test_reserve(void)
{
    struct ct_candidate candidates[CANDIDATES];
    guint used[2] = {0};

    for (guint known = 0; known < 2; known++) {
        struct ct_balance_policy *policy = policy_new(candidates);
        bool seen[CANDIDATES] = {false};

        for (guint i = 0; i < CANDIDATES; i++) {
            candidates[i].load_known = known;
            policy->ops->started(policy, candidates[i].upstream, 1000);
        }
        for (guint i = 1; i <= CHOICES; i++) {
            seen[choose(policy, candidates, i * G_GUINT64_CONSTANT(2654435761),
                        i)] = true;
        }
        for (guint i = 0; i < CANDIDATES; i++) {
            used[known] += seen[i];
        }
        policy->ops->free(policy);
    }
    g_assert_cmpuint(used[0], ==, CANDIDATES);
    g_assert_cmpuint(used[1], ==, CANDIDATES * 15 / 100);
}

/*
 * Hosts that know only their own calls keep popular prefixes and slow engines
 * far above the mean; late reports must not make all hosts crowd at the
 * engines that were idle. A diverted call must not read its prefix each time.
 */
static void
test_many_engines(void)
{
    for (guint seed = 1; seed <= 2; seed++) {
        struct t_balance_figures without =
            t_balance_run(&t_balance_large, 0, seed);
        struct t_balance_figures with =
            t_balance_run(&t_balance_large, T_BALANCE_LOAD, seed);

        g_assert_cmpint(without.busiest, >, 200);
        g_assert_cmpint(with.busiest, <=, 150);
        g_assert_cmpuint(with.waited * 3, <=, without.waited * 2);
        g_assert_cmpint(with.wait_ms * 4, <=, without.wait_ms);
        g_assert_cmpuint(with.read, <=, 100);
    }
}

/*
 * The calls of a small pool are shorter than the reports are late: hosts that
 * trust the reports too much overload the three engines in turn.
 */
static void
test_few_engines(void)
{
    for (guint seed = 1; seed <= 3; seed++) {
        struct t_balance_figures without =
            t_balance_run(&t_balance_plain, 0, seed);
        struct t_balance_figures with =
            t_balance_run(&t_balance_plain, T_BALANCE_LOAD, seed);

        g_assert_cmpint(with.busiest, <=, 150);
        g_assert_cmpint(with.busiest, <, without.busiest);
        g_assert_cmpuint(with.waited * 3, <=, without.waited * 2);
    }
}

/* Returns how many of the calls, with a prefix or not, go to slow upstreams.
 */
static guint
count_slow(struct ct_candidate *candidates, bool short_gap, bool prefixes)
{
    struct ct_balance_policy *policy = ct_balance_prefix_home_new(1);
    guint slow = 0;

    for (guint i = 1; i <= CHOICES; i++) {
        guint64 prefix = prefixes ? i * G_GUINT64_CONSTANT(2654435761) : 0;
        int chosen = choose_by_gap(policy, candidates, prefix, i, short_gap);

        slow += candidates[chosen].speed_percent < 70;
    }
    policy->ops->free(policy);
    return slow;
}

/*
 * Calls with a short target pass over slow upstreams, unless the others have
 * no room: they would queue there. An upstream is not slow by little, and no
 * call is without an upstream because all are slow.
 */
static void
test_slow_upstreams(void)
{
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(candidates);

    policy->ops->free(policy);
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].speed_percent = i % 4 == 0 ? 50 : 100;
    }
    for (guint prefixes = 0; prefixes < 2; prefixes++) {
        for (guint i = 0; i < CANDIDATES; i++) {
            candidates[i].others_in_flight = i % 4 == 0 ? 5 : 10;
            candidates[i].slots = 16;
        }
        g_assert_cmpuint(count_slow(candidates, true, prefixes), ==, 0);
        g_assert_cmpuint(count_slow(candidates, false, prefixes), >,
                         CHOICES / 20);
        for (guint i = 0; i < CANDIDATES; i++) {
            candidates[i].others_in_flight = i % 4 == 0 ? 2 : 30;
        }
        g_assert_cmpuint(count_slow(candidates, true, prefixes), >,
                         CHOICES / 20);
    }
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].others_in_flight = 10;
        candidates[i].speed_percent = 60;
    }
    g_assert_cmpuint(count_slow(candidates, true, true), ==, CHOICES);
}

/* At its capacity a slow upstream has fewer calls, and not more than that. */
static void
test_capacity(void)
{
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(candidates);
    guint to_slow = 0;

    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].speed_percent = i % 2 == 0 ? 50 : 150;
    }
    for (guint i = 0; i < CHOICES; i++) {
        to_slow += choose(policy, candidates, 0, i) % 2 == 0;
    }
    /* With equal loads the slow ones have three times those of the others. */
    g_assert_cmpuint(to_slow, <, CHOICES * 45 / 100);
    g_assert_cmpuint(to_slow, >, CHOICES / 10);
    policy->ops->free(policy);
}

/*
 * Calls with a short target for gaps miss it on slow engines, a quarter of
 * all; only hosts that are cut off send them there. Waiting times must not
 * rise. By its capacity an engine of full speed takes 8/7 of the mean time.
 */
static void
test_speeds(void)
{
    struct t_balance_figures without =
        t_balance_run(&t_balance_large, T_BALANCE_LOAD, 1);
    struct t_balance_figures with =
        t_balance_run(&t_balance_large, T_BALANCE_LOAD | T_BALANCE_SPEED, 1);

    g_assert_cmpuint(with.slow_short * 4, <=, without.slow_short);
    g_assert_cmpint(with.busiest, <=, 155);
    g_assert_cmpint(with.wait_ms, <=, without.wait_ms);
    g_assert_cmpuint(with.waited, <=, without.waited);
    g_assert_cmpuint(with.read, <=, 100);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance-shared/unknown-load", test_unknown_load);
    g_test_add_func("/balance-shared/home-over-bound", test_home_over_bound);
    g_test_add_func("/balance-shared/wrong-load", test_wrong_load);
    g_test_add_func("/balance-shared/age", test_age);
    g_test_add_func("/balance-shared/reserve", test_reserve);
    g_test_add_func("/balance-shared/many-engines", test_many_engines);
    g_test_add_func("/balance-shared/few-engines", test_few_engines);
    g_test_add_func("/balance-shared/slow-upstreams", test_slow_upstreams);
    g_test_add_func("/balance-shared/capacity", test_capacity);
    g_test_add_func("/balance-shared/speeds", test_speeds);
    return g_test_run();
}
