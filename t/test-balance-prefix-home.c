/* Tests of the balancing policy that assigns each prefix a home upstream. */
#include <glib.h>
#include <string.h>

#include "balance-policy.h"
#include "error.h"

#define CANDIDATES 12

struct fixture {
    struct ct_balance_policy *policy;
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_request request;
};

static void
setup(struct fixture *f)
{
    *f = (struct fixture){.policy = ct_balance_prefix_home_new(1)};
    f->request.now_ms = 1000;
    f->request.cheap_allowed = true;
    f->request.tight_gap = true;
    for (uint32_t i = 0; i < CANDIDATES; i++) {
        f->candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
        };
    }
}

static int
choose_for_prefix(struct fixture *f, uint64_t prefix)
{
    f->request.prefix_hash = prefix;
    return f->policy->ops->choose_upstream(f->policy, &f->request,
                                           f->candidates, CANDIDATES);
}

static void
start_request(struct fixture *f, int i)
{
    f->policy->ops->started(f->policy, f->candidates[i].upstream,
                            f->request.now_ms);
}

static void
teardown(struct fixture *f)
{
    f->policy->ops->free(f->policy);
}

/* A prefix always has the same home, and all upstreams are homes of some. */
static void
test_home(void)
{
    struct fixture f;
    guint homes[CANDIDATES] = {0};

    setup(&f);
    for (uint64_t prefix = 1; prefix <= 600; prefix++) {
        int home =
            choose_for_prefix(&f, prefix * G_GUINT64_CONSTANT(2654435761));

        g_assert_cmpint(
            home, ==,
            choose_for_prefix(&f, prefix * G_GUINT64_CONSTANT(2654435761)));
        homes[home]++;
    }
    for (guint i = 0; i < CANDIDATES; i++) {
        g_assert_cmpuint(homes[i], >, 20);
    }
    teardown(&f);
}

/* If an upstream is excluded, only the prefixes whose home it was move. */
static void
test_home_excluded(void)
{
    struct fixture f;

    setup(&f);
    for (uint64_t prefix = 1; prefix <= 100; prefix++) {
        int before = choose_for_prefix(&f, prefix << 20);

        f.candidates[3].excluded = true;
        if (before != 3) {
            g_assert_cmpint(choose_for_prefix(&f, prefix << 20), ==, before);
        }
        else {
            g_assert_cmpint(choose_for_prefix(&f, prefix << 20), !=, 3);
        }
        f.candidates[3].excluded = false;
    }
    teardown(&f);
}

/*
 * A frequent prefix overflows to other upstreams before its home has far more
 * requests in flight than they have.
 */
static void
test_hot_prefix(void)
{
    struct fixture f;
    guint counts[CANDIDATES] = {0};
    guint max_count = 0;

    setup(&f);
    for (guint i = 0; i < 120; i++) {
        int chosen = choose_for_prefix(&f, 99);

        start_request(&f, chosen);
        counts[chosen]++;
        max_count = MAX(max_count, counts[chosen]);
    }
    g_assert_cmpuint(max_count, <=, 120 / CANDIDATES * 3 / 2 + 4);
    teardown(&f);
}

/*
 * A request without a prefix goes to the upstream with the fewest requests in
 * flight; upstreams with equal load take turns.
 */
static void
test_no_prefix(void)
{
    struct fixture f;
    guint counts[CANDIDATES] = {0};

    setup(&f);
    for (guint i = 0; i < 5 * CANDIDATES; i++) {
        int chosen = choose_for_prefix(&f, 0);

        start_request(&f, chosen);
        counts[chosen]++;
    }
    for (guint i = 0; i < CANDIDATES; i++) {
        g_assert_cmpuint(counts[i], ==, 5);
    }
    teardown(&f);
}

/*
 * Guards against a small pool whose upstreams get unlike shares because calls
 * to another pool come between its own: calls go to upstreams 0, 1 and 11 in
 * turn while calls with a prefix go to the others.
 */
static void
test_turns_beside_other_pool(void)
{
    static const int plain[] = {0, 1, CANDIDATES - 1};
    struct fixture f;
    guint counts[CANDIDATES] = {0};

    setup(&f);
    for (guint i = 0; i < 300; i++) {
        struct ct_candidate candidates[G_N_ELEMENTS(plain)];
        int chosen;

        f.request.prefix_hash = (i + 1) * G_GUINT64_CONSTANT(2654435761);
        f.policy->ops->choose_upstream(f.policy, &f.request, &f.candidates[2],
                                       CANDIDATES - 3);
        f.request.prefix_hash = 0;
        for (guint j = 0; j < G_N_ELEMENTS(plain); j++) {
            candidates[j] = f.candidates[plain[j]];
        }
        chosen = f.policy->ops->choose_upstream(
            f.policy, &f.request, candidates, G_N_ELEMENTS(plain));
        counts[plain[chosen]]++;
    }
    for (guint j = 0; j < G_N_ELEMENTS(plain); j++) {
        g_assert_cmpuint(counts[plain[j]], ==, 100);
    }
    teardown(&f);
}

/* Guards against hosts that start together and all begin with one upstream. */
static void
test_first_turns_differ(void)
{
    guint counts[CANDIDATES] = {0};

    for (uint64_t seed = 1; seed <= 240; seed++) {
        struct fixture f;

        setup(&f);
        f.policy->ops->free(f.policy);
        f.policy = ct_balance_prefix_home_new(seed);
        counts[choose_for_prefix(&f, 0)]++;
        teardown(&f);
    }
    for (guint i = 0; i < CANDIDATES; i++) {
        g_assert_cmpuint(counts[i], <, 50);
    }
}

/* Ends a request at its home with the outcome, and returns the home. */
static int
end_request_at_home(struct fixture *f, enum ct_outcome outcome)
{
    int home = choose_for_prefix(f, 99);

    start_request(f, home);
    f->policy->ops->ended(f->policy, f->candidates[home].upstream, outcome,
                          f->request.now_ms);
    g_assert_cmpint(choose_for_prefix(f, 99), !=, home);
    return home;
}

/* An upstream that aborted a response is used again after a short time. */
static void
test_aborted_response(void)
{
    struct fixture f;
    int home;

    setup(&f);
    home = end_request_at_home(&f, CT_OUTCOME_CONNECTION_LOST);
    f.request.now_ms += 500;
    g_assert_cmpint(choose_for_prefix(&f, 99), ==, home);
    teardown(&f);
}

/*
 * Each time an upstream fails again, it is avoided for twice as long. Requests
 * that fail together count once, and after a good while it starts anew.
 */
static void
test_failing_again(gconstpointer arg)
{
    enum ct_outcome outcome = (enum ct_outcome)GPOINTER_TO_INT(arg);
    ct_ms avoid_ms = outcome == CT_OUTCOME_DECLINED ? 500 : 400;
    ct_ms first_ms = avoid_ms;
    struct fixture f;

    setup(&f);
    for (int i = 0; i < 4; i++) {
        int home = end_request_at_home(&f, outcome);

        f.policy->ops->ended(f.policy, f.candidates[home].upstream, outcome,
                             f.request.now_ms);
        f.request.now_ms += avoid_ms - 1;
        g_assert_cmpint(choose_for_prefix(&f, 99), !=, home);
        f.request.now_ms += 1;
        g_assert_cmpint(choose_for_prefix(&f, 99), ==, home);
        avoid_ms *= 2;
    }
    f.request.now_ms += 10000;
    end_request_at_home(&f, outcome);
    f.request.now_ms += first_ms;
    choose_for_prefix(&f, 99);
    end_request_at_home(&f, outcome);
    teardown(&f);
}

/*
 * Seven of twelve upstreams decline two requests in five: with what each
 * decline tells, nearly all requests go to the others.
 */
static void
test_partly_declining(void)
{
    struct fixture f;
    guint declined = 0;

    setup(&f);
    for (guint i = 0; i < 1200; i++) {
        int chosen = choose_for_prefix(&f, (i % 300 + 1) *
                                               G_GUINT64_CONSTANT(2654435761));
        bool declines = chosen < 7 && i % 5 < 2;

        start_request(&f, chosen);
        f.request.now_ms += 10;
        declined += declines;
        f.policy->ops->ended(f.policy, f.candidates[chosen].upstream,
                             declines ? CT_OUTCOME_DECLINED
                                      : CT_OUTCOME_COMPLETE,
                             f.request.now_ms);
    }
    /* 280 if the requests were spread evenly. */
    g_assert_cmpuint(declined, <, 60);
    teardown(&f);
}

/*
 * An upstream that accepted no connection is avoided for a while, unless there
 * is no other.
 */
static void
test_unreachable(void)
{
    struct fixture f;
    int home;

    setup(&f);
    home = end_request_at_home(&f, CT_OUTCOME_NOT_SENT);
    for (int i = 0; i < CANDIDATES; i++) {
        f.candidates[i].excluded = i != home;
    }
    g_assert_cmpint(choose_for_prefix(&f, 99), ==, home);
    f.candidates[home].excluded = true;
    g_assert_cmpint(choose_for_prefix(&f, 99), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

#define SHORT_TOKENS 1000
#define LONG_TOKENS 20000
#define MANY_CANDIDATES 200

/*
 * Returns how many of the candidates get prompts of the size, and marks them
 * in used.
 */
static guint
count_used_upstreams(struct fixture *f, const struct ct_candidate *candidates,
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
    struct fixture f;
    guint n;

    setup(&f);
    fill_candidates(candidates);
    n = count_used_upstreams(&f, candidates, SHORT_TOKENS, used_by_short);
    g_assert_cmpuint(n, >, MANY_CANDIDATES / 20);
    g_assert_cmpuint(n, <, MANY_CANDIDATES / 3);
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, LONG_TOKENS, used_by_long), ==,
        MANY_CANDIDATES - n);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used_by_short[i] && used_by_long[i]);
    }
    teardown(&f);
}

/* If all reserved upstreams are excluded, others are reserved in their place.
 */
static void
test_reserved_excluded(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used_by_short[MANY_CANDIDATES];
    bool used_by_long[MANY_CANDIDATES];
    struct fixture f;
    guint n;

    setup(&f);
    fill_candidates(candidates);
    n = count_used_upstreams(&f, candidates, SHORT_TOKENS, used_by_short);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        candidates[i].excluded = used_by_short[i];
    }
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, SHORT_TOKENS, used_by_short), >,
        (MANY_CANDIDATES - n) / 20);
    count_used_upstreams(&f, candidates, LONG_TOKENS, used_by_long);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used_by_short[i] &&
                       (used_by_long[i] || candidates[i].excluded));
    }
    teardown(&f);
}

/* A few upstreams have a reserved one among them, two have none. */
static void
test_reserved_of_few(void)
{
    struct ct_candidate candidates[MANY_CANDIDATES];
    bool used[MANY_CANDIDATES];
    struct fixture f;

    setup(&f);
    fill_candidates(candidates);
    for (guint i = 6; i < MANY_CANDIDATES; i++) {
        candidates[i].excluded = true;
    }
    g_assert_cmpuint(count_used_upstreams(&f, candidates, SHORT_TOKENS, used),
                     ==, 1);
    g_assert_cmpuint(count_used_upstreams(&f, candidates, LONG_TOKENS, used),
                     ==, 5);
    for (guint i = 2; i < 6; i++) {
        candidates[i].excluded = true;
    }
    g_assert_cmpuint(count_used_upstreams(&f, candidates, LONG_TOKENS, used),
                     ==, 2);
    teardown(&f);
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
    struct fixture f;

    setup(&f);
    fill_candidates(candidates);
    count_used_upstreams(&f, candidates, SHORT_TOKENS, used_by_interactive);
    f.request.tight_gap = false;
    count_used_upstreams(&f, candidates, SHORT_TOKENS, used_by_others);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used_by_interactive[i] && used_by_others[i]);
    }
    teardown(&f);
}

/*
 * Some prefixes are much more frequent than others. What an upstream is sent
 * stays near the mean, although each host has few requests in flight.
 */
static void
test_prompt_tokens_spread(void)
{
    guint64 sent[CANDIDATES] = {0};
    guint64 max_sent = 0;
    struct fixture f;

    setup(&f);
    f.request.tight_gap = false;
    f.request.prompt_tokens = SHORT_TOKENS;
    for (guint i = 0; i < 3000; i++) {
        guint prefix = i % 3 ? i % 24 + 1 : 99;
        int chosen =
            choose_for_prefix(&f, prefix * G_GUINT64_CONSTANT(2654435761));

        start_request(&f, chosen);
        f.policy->ops->ended(f.policy, f.candidates[chosen].upstream,
                             CT_OUTCOME_COMPLETE, f.request.now_ms);
        f.request.now_ms += 50;
        sent[chosen]++;
    }
    for (guint i = 0; i < CANDIDATES; i++) {
        max_sent = MAX(max_sent, sent[i]);
    }
    /*
     * A third of the requests would go to one home without the bound. Two
     * upstreams are reserved.
     */
    g_assert_cmpuint(max_sent, <, 3000 / (CANDIDATES - 2) * 3 / 2);
    teardown(&f);
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
    struct fixture f;
    guint n_short = 0;
    guint n_started = 0;
    guint n_extended;
    guint n;

    setup(&f);
    fill_candidates(candidates);
    f.request.hosts = 100;
    n = count_used_upstreams(&f, candidates, SHORT_TOKENS, used);
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
    n_extended = count_used_upstreams(&f, candidates, SHORT_TOKENS, used);
    /* At most half of 64 slots each. */
    g_assert_cmpuint(n_extended * 32, >=, n_started * f.request.hosts);
    g_assert_cmpuint(n_extended, <=, MANY_CANDIDATES / 2);
    g_assert_cmpuint(
        count_used_upstreams(&f, candidates, LONG_TOKENS, used_by_long), ==,
        MANY_CANDIDATES - n_extended);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        g_assert_false(used[i] && used_by_long[i]);
    }
    f.request.hosts = 10;
    g_assert_cmpuint(count_used_upstreams(&f, candidates, SHORT_TOKENS, used),
                     <=, n);
    teardown(&f);
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
    struct fixture f;
    guint n;

    setup(&f);
    ops = f.policy->ops;
    fill_candidates(candidates);
    n = count_used_upstreams(&f, candidates, SHORT_TOKENS, used);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i]) {
            ops->first_token(f.policy, candidates[i].upstream, 100,
                             f.request.now_ms);
        }
    }
    g_assert_cmpuint(count_used_upstreams(&f, candidates, SHORT_TOKENS, used),
                     ==, n);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i]) {
            ops->first_token(f.policy, candidates[i].upstream, 900,
                             f.request.now_ms);
        }
    }
    g_assert_cmpuint(count_used_upstreams(&f, candidates, SHORT_TOKENS, used),
                     >, 2 * n);
    f.request.now_ms += 2500;
    g_assert_cmpuint(count_used_upstreams(&f, candidates, SHORT_TOKENS, used),
                     ==, n);
    for (guint i = 0; i < MANY_CANDIDATES; i++) {
        if (used[i]) {
            ops->started(f.policy, candidates[i].upstream, f.request.now_ms);
            ops->ended(f.policy, candidates[i].upstream, CT_OUTCOME_DECLINED,
                       f.request.now_ms);
        }
    }
    g_assert_cmpuint(count_used_upstreams(&f, candidates, SHORT_TOKENS, used),
                     >, 2 * n);
    teardown(&f);
}

static int
choose_backup(struct fixture *f, int chosen)
{
    return f->policy->ops->choose_backup(f->policy, &f->request, f->candidates,
                                         CANDIDATES, (uint32_t)chosen);
}

/*
 * The backup is in another availability zone than the chosen upstream, if it
 * can be, and is one that long prompts do not use, if there is one.
 */
static void
test_backup(void)
{
    bool used_by_long[CANDIDATES] = {false};
    struct fixture f;
    int reserved_elsewhere = 0;
    int chosen;
    int backup;

    setup(&f);
    f.request.prompt_tokens = LONG_TOKENS;
    for (uint64_t prefix = 1; prefix <= 600; prefix++) {
        used_by_long[choose_for_prefix(
            &f, prefix * G_GUINT64_CONSTANT(2654435761))] = true;
    }
    f.request.prompt_tokens = SHORT_TOKENS;
    chosen = choose_for_prefix(&f, 99);
    for (int i = 0; i < CANDIDATES; i++) {
        f.candidates[i].same_zone = i == chosen || used_by_long[i];
        reserved_elsewhere += !f.candidates[i].same_zone;
    }
    g_assert_cmpint(reserved_elsewhere, ==, 1);
    backup = choose_backup(&f, chosen);
    g_assert_cmpint(backup, !=, chosen);
    g_assert_false(used_by_long[backup]);
    /* With both reserved upstreams in one zone, another zone goes first. */
    for (int i = 0; i < CANDIDATES; i++) {
        f.candidates[i].same_zone = !used_by_long[i];
    }
    g_assert_true(used_by_long[choose_backup(&f, chosen)]);
    for (int i = 0; i < CANDIDATES; i++) {
        f.candidates[i].excluded = i == backup;
    }
    g_assert_cmpint(choose_backup(&f, chosen), >=, 0);
    g_assert_cmpint(choose_backup(&f, chosen), !=, chosen);
    for (int i = 0; i < CANDIDATES; i++) {
        f.candidates[i].excluded = i != chosen;
    }
    g_assert_cmpint(choose_backup(&f, chosen), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

/* An upstream that failed recently holds backups only if there is no other. */
static void
test_backup_after_failure(void)
{
    struct fixture f;
    int chosen;
    int backup;

    setup(&f);
    f.request.prompt_tokens = SHORT_TOKENS;
    chosen = choose_for_prefix(&f, 99);
    backup = choose_backup(&f, chosen);
    start_request(&f, backup);
    f.policy->ops->ended(f.policy, f.candidates[backup].upstream,
                         CT_OUTCOME_CONNECTION_LOST, f.request.now_ms);
    g_assert_cmpint(choose_backup(&f, chosen), !=, backup);
    for (int i = 0; i < CANDIDATES; i++) {
        f.candidates[i].excluded = i != chosen && i != backup;
    }
    g_assert_cmpint(choose_backup(&f, chosen), ==, backup);
    teardown(&f);
}

/* No backup is made while interactive requests need all reserved upstreams. */
static void
test_no_backup_under_load(void)
{
    struct fixture f;
    int chosen;

    setup(&f);
    f.request.prompt_tokens = SHORT_TOKENS;
    f.request.hosts = 50;
    chosen = choose_for_prefix(&f, 99);
    /* With 50 hosts, 50 requests in 128 reserved slots, later 200 in 384. */
    start_request(&f, chosen);
    g_assert_cmpint(choose_backup(&f, chosen), >=, 0);
    for (int i = 0; i < 3; i++) {
        start_request(&f, chosen);
    }
    g_assert_cmpint(choose_backup(&f, chosen), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

/*
 * Returns the cache donor for the chosen upstream; CT_ERR_NOT_FOUND if there
 * is none.
 */
static int
find_cache_donor(struct fixture *f, int chosen)
{
    return f->policy->ops->cache_donor(f->policy, &f->request, f->candidates,
                                       CANDIDATES, (uint32_t)chosen);
}

/*
 * An upstream chosen because the home is full copies the cache from that home;
 * the home itself has no donor.
 */
static void
test_cache_donor_full_home(void)
{
    struct fixture f;
    int home;
    int next;

    setup(&f);
    f.request.prompt_tokens = LONG_TOKENS;
    home = choose_for_prefix(&f, 99);
    g_assert_cmpint(find_cache_donor(&f, home), ==, CT_ERR_NOT_FOUND);
    for (next = home; next == home; next = choose_for_prefix(&f, 99)) {
        start_request(&f, home);
    }
    g_assert_cmpint(find_cache_donor(&f, next), ==, home);
    f.request.prompt_tokens = SHORT_TOKENS;
    g_assert_cmpint(find_cache_donor(&f, next), ==, CT_ERR_NOT_FOUND);
    teardown(&f);
}

/* A new home copies the cache from the previous home of the prefix. */
static void
test_cache_donor_new_home(void)
{
    struct ct_candidate replaced;
    struct fixture f;
    int before;

    setup(&f);
    f.request.prompt_tokens = LONG_TOKENS;
    f.request.now_ms += 1;
    before = choose_for_prefix(&f, 99);
    replaced = f.candidates[before];
    f.candidates[before].excluded = true;
    before = choose_for_prefix(&f, 99);
    f.candidates[before].excluded = false;
    f.request.now_ms += 60000;
    /* A new upstream takes the home's place in the order of homes. */
    for (uint32_t i = 0; i < CANDIDATES; i++) {
        f.candidates[i].excluded = false;
        if (f.candidates[i].name_hash == replaced.name_hash) {
            f.candidates[i].upstream.generation++;
        }
    }
    g_assert_cmpint(find_cache_donor(&f, choose_for_prefix(&f, 99)), ==,
                    before);
    f.request.now_ms += 61000;
    g_assert_cmpint(find_cache_donor(&f, choose_for_prefix(&f, 99)), ==,
                    CT_ERR_NOT_FOUND);
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance-prefix-home/home", test_home);
    g_test_add_func("/balance-prefix-home/home-excluded", test_home_excluded);
    g_test_add_func("/balance-prefix-home/hot-prefix", test_hot_prefix);
    g_test_add_func("/balance-prefix-home/no-prefix", test_no_prefix);
    g_test_add_func("/balance-prefix-home/turns-beside-other-pool",
                    test_turns_beside_other_pool);
    g_test_add_func("/balance-prefix-home/first-turns-differ",
                    test_first_turns_differ);
    g_test_add_func("/balance-prefix-home/aborted-response",
                    test_aborted_response);
    g_test_add_data_func("/balance-prefix-home/failing-again/declined",
                         GINT_TO_POINTER(CT_OUTCOME_DECLINED),
                         test_failing_again);
    g_test_add_data_func("/balance-prefix-home/failing-again/aborted",
                         GINT_TO_POINTER(CT_OUTCOME_CONNECTION_LOST),
                         test_failing_again);
    g_test_add_func("/balance-prefix-home/partly-declining",
                    test_partly_declining);
    g_test_add_func("/balance-prefix-home/unreachable", test_unreachable);
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
    g_test_add_func("/balance-prefix-home/backup", test_backup);
    g_test_add_func("/balance-prefix-home/backup-after-failure",
                    test_backup_after_failure);
    g_test_add_func("/balance-prefix-home/no-backup-under-load",
                    test_no_backup_under_load);
    g_test_add_func("/balance-prefix-home/cache-donor-full-home",
                    test_cache_donor_full_home);
    g_test_add_func("/balance-prefix-home/cache-donor-new-home",
                    test_cache_donor_new_home);
    return g_test_run();
}
