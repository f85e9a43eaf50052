/* Tests of the balancing policy that assigns each prefix a home upstream. */
#include <glib.h>

#include "error.h"
#include "lib-balance.h"

/* A prefix always has the same home, and all upstreams are homes of some. */
static void
test_home(void)
{
    struct balance_fixture f;
    guint homes[BALANCE_CANDIDATES] = {0};

    balance_set_up(&f);
    for (uint64_t prefix = 1; prefix <= 600; prefix++) {
        int home = balance_choose_for_prefix(
            &f, prefix * G_GUINT64_CONSTANT(2654435761));

        g_assert_cmpint(home, ==,
                        balance_choose_for_prefix(
                            &f, prefix * G_GUINT64_CONSTANT(2654435761)));
        homes[home]++;
    }
    for (guint i = 0; i < BALANCE_CANDIDATES; i++) {
        g_assert_cmpuint(homes[i], >, 20);
    }
    balance_tear_down(&f);
}

/* If an upstream is excluded, only the prefixes whose home it was move. */
static void
test_home_excluded(void)
{
    struct balance_fixture f;

    balance_set_up(&f);
    for (uint64_t prefix = 1; prefix <= 100; prefix++) {
        int before = balance_choose_for_prefix(&f, prefix << 20);

        f.candidates[3].excluded = true;
        if (before != 3) {
            g_assert_cmpint(balance_choose_for_prefix(&f, prefix << 20), ==,
                            before);
        }
        else {
            g_assert_cmpint(balance_choose_for_prefix(&f, prefix << 20), !=,
                            3);
        }
        f.candidates[3].excluded = false;
    }
    balance_tear_down(&f);
}

/*
 * A frequent prefix overflows to other upstreams before its home has far more
 * requests in flight than they have.
 */
static void
test_hot_prefix(void)
{
    struct balance_fixture f;
    guint counts[BALANCE_CANDIDATES] = {0};
    guint max_count = 0;

    balance_set_up(&f);
    for (guint i = 0; i < 120; i++) {
        int chosen = balance_choose_for_prefix(&f, 99);

        balance_start_request(&f, chosen);
        counts[chosen]++;
        max_count = MAX(max_count, counts[chosen]);
    }
    g_assert_cmpuint(max_count, <=, 120 / BALANCE_CANDIDATES * 3 / 2 + 4);
    balance_tear_down(&f);
}

/*
 * A request without a prefix goes to the upstream with the fewest requests in
 * flight; upstreams with equal load take turns.
 */
static void
test_no_prefix(void)
{
    struct balance_fixture f;
    guint counts[BALANCE_CANDIDATES] = {0};

    balance_set_up(&f);
    for (guint i = 0; i < 5 * BALANCE_CANDIDATES; i++) {
        int chosen = balance_choose_for_prefix(&f, 0);

        balance_start_request(&f, chosen);
        counts[chosen]++;
    }
    for (guint i = 0; i < BALANCE_CANDIDATES; i++) {
        g_assert_cmpuint(counts[i], ==, 5);
    }
    balance_tear_down(&f);
}

/*
 * Guards against a small pool whose upstreams get unlike shares because calls
 * to another pool come between its own: calls go to upstreams 0, 1 and 11 in
 * turn while calls with a prefix go to the others.
 */
static void
test_turns_beside_other_pool(void)
{
    static const int plain[] = {0, 1, BALANCE_CANDIDATES - 1};
    struct balance_fixture f;
    guint counts[BALANCE_CANDIDATES] = {0};

    balance_set_up(&f);
    for (guint i = 0; i < 300; i++) {
        struct ct_candidate candidates[G_N_ELEMENTS(plain)];
        int chosen;

        f.request.prefix_hash = (i + 1) * G_GUINT64_CONSTANT(2654435761);
        f.policy->ops->choose_upstream(f.policy, &f.request, &f.candidates[2],
                                       BALANCE_CANDIDATES - 3);
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
    balance_tear_down(&f);
}

/* Guards against hosts that start together and all begin with one upstream. */
static void
test_first_turns_differ(void)
{
    guint counts[BALANCE_CANDIDATES] = {0};

    for (uint64_t seed = 1; seed <= 240; seed++) {
        struct balance_fixture f;

        balance_set_up(&f);
        f.policy->ops->free(f.policy);
        f.policy = ct_balance_prefix_home_new(seed);
        counts[balance_choose_for_prefix(&f, 0)]++;
        balance_tear_down(&f);
    }
    for (guint i = 0; i < BALANCE_CANDIDATES; i++) {
        g_assert_cmpuint(counts[i], <, 50);
    }
}

/* Ends a request at its home with the outcome, and returns the home. */
static int
end_request_at_home(struct balance_fixture *f, enum ct_outcome outcome)
{
    int home = balance_choose_for_prefix(f, 99);

    balance_start_request(f, home);
    f->policy->ops->ended(f->policy, f->candidates[home].upstream, outcome,
                          f->request.now_ms);
    g_assert_cmpint(balance_choose_for_prefix(f, 99), !=, home);
    return home;
}

/* An upstream that aborted a response is used again after a short time. */
static void
test_aborted_response(void)
{
    struct balance_fixture f;
    int home;

    balance_set_up(&f);
    home = end_request_at_home(&f, CT_OUTCOME_CONNECTION_LOST);
    f.request.now_ms += 500;
    g_assert_cmpint(balance_choose_for_prefix(&f, 99), ==, home);
    balance_tear_down(&f);
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
    struct balance_fixture f;

    balance_set_up(&f);
    for (int i = 0; i < 4; i++) {
        int home = end_request_at_home(&f, outcome);

        f.policy->ops->ended(f.policy, f.candidates[home].upstream, outcome,
                             f.request.now_ms);
        f.request.now_ms += avoid_ms - 1;
        g_assert_cmpint(balance_choose_for_prefix(&f, 99), !=, home);
        f.request.now_ms += 1;
        g_assert_cmpint(balance_choose_for_prefix(&f, 99), ==, home);
        avoid_ms *= 2;
    }
    f.request.now_ms += 10000;
    end_request_at_home(&f, outcome);
    f.request.now_ms += first_ms;
    balance_choose_for_prefix(&f, 99);
    end_request_at_home(&f, outcome);
    balance_tear_down(&f);
}

/*
 * Seven of twelve upstreams decline two requests in five: with what each
 * decline tells, nearly all requests go to the others.
 */
static void
test_partly_declining(void)
{
    struct balance_fixture f;
    guint declined = 0;

    balance_set_up(&f);
    for (guint i = 0; i < 1200; i++) {
        int chosen = balance_choose_for_prefix(
            &f, (i % 300 + 1) * G_GUINT64_CONSTANT(2654435761));
        bool declines = chosen < 7 && i % 5 < 2;

        balance_start_request(&f, chosen);
        f.request.now_ms += 10;
        declined += declines;
        f.policy->ops->ended(f.policy, f.candidates[chosen].upstream,
                             declines ? CT_OUTCOME_DECLINED
                                      : CT_OUTCOME_COMPLETE,
                             f.request.now_ms);
    }
    /* 280 if the requests were spread evenly. */
    g_assert_cmpuint(declined, <, 60);
    balance_tear_down(&f);
}

/*
 * An upstream that accepted no connection is avoided for a while, unless there
 * is no other.
 */
static void
test_unreachable(void)
{
    struct balance_fixture f;
    int home;

    balance_set_up(&f);
    home = end_request_at_home(&f, CT_OUTCOME_NOT_SENT);
    for (int i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].excluded = i != home;
    }
    g_assert_cmpint(balance_choose_for_prefix(&f, 99), ==, home);
    f.candidates[home].excluded = true;
    g_assert_cmpint(balance_choose_for_prefix(&f, 99), ==, CT_ERR_NOT_FOUND);
    balance_tear_down(&f);
}

static int
choose_backup(struct balance_fixture *f, int chosen)
{
    return f->policy->ops->choose_backup(f->policy, &f->request, f->candidates,
                                         BALANCE_CANDIDATES, (uint32_t)chosen);
}

/*
 * The backup is in another availability zone than the chosen upstream, if it
 * can be, and is one that long prompts do not use, if there is one.
 */
static void
test_backup(void)
{
    bool used_by_long[BALANCE_CANDIDATES] = {false};
    struct balance_fixture f;
    int reserved_elsewhere = 0;
    int chosen;
    int backup;

    balance_set_up(&f);
    f.request.prompt_tokens = BALANCE_LONG_TOKENS;
    for (uint64_t prefix = 1; prefix <= 600; prefix++) {
        used_by_long[balance_choose_for_prefix(
            &f, prefix * G_GUINT64_CONSTANT(2654435761))] = true;
    }
    f.request.prompt_tokens = BALANCE_SHORT_TOKENS;
    chosen = balance_choose_for_prefix(&f, 99);
    for (int i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].same_zone = i == chosen || used_by_long[i];
        reserved_elsewhere += !f.candidates[i].same_zone;
    }
    g_assert_cmpint(reserved_elsewhere, ==, 1);
    backup = choose_backup(&f, chosen);
    g_assert_cmpint(backup, !=, chosen);
    g_assert_false(used_by_long[backup]);
    /* With both reserved upstreams in one zone, another zone goes first. */
    for (int i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].same_zone = !used_by_long[i];
    }
    g_assert_true(used_by_long[choose_backup(&f, chosen)]);
    for (int i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].excluded = i == backup;
    }
    g_assert_cmpint(choose_backup(&f, chosen), >=, 0);
    g_assert_cmpint(choose_backup(&f, chosen), !=, chosen);
    for (int i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].excluded = i != chosen;
    }
    g_assert_cmpint(choose_backup(&f, chosen), ==, CT_ERR_NOT_FOUND);
    balance_tear_down(&f);
}

/* An upstream that failed recently holds backups only if there is no other. */
static void
test_backup_after_failure(void)
{
    struct balance_fixture f;
    int chosen;
    int backup;

    balance_set_up(&f);
    f.request.prompt_tokens = BALANCE_SHORT_TOKENS;
    chosen = balance_choose_for_prefix(&f, 99);
    backup = choose_backup(&f, chosen);
    balance_start_request(&f, backup);
    f.policy->ops->ended(f.policy, f.candidates[backup].upstream,
                         CT_OUTCOME_CONNECTION_LOST, f.request.now_ms);
    g_assert_cmpint(choose_backup(&f, chosen), !=, backup);
    for (int i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].excluded = i != chosen && i != backup;
    }
    g_assert_cmpint(choose_backup(&f, chosen), ==, backup);
    balance_tear_down(&f);
}

/* No backup is made while interactive requests need all reserved upstreams. */
static void
test_no_backup_under_load(void)
{
    struct balance_fixture f;
    int chosen;

    balance_set_up(&f);
    f.request.prompt_tokens = BALANCE_SHORT_TOKENS;
    f.request.hosts = 50;
    chosen = balance_choose_for_prefix(&f, 99);
    /* With 50 hosts, 50 requests in 128 reserved slots, later 200 in 384. */
    balance_start_request(&f, chosen);
    g_assert_cmpint(choose_backup(&f, chosen), >=, 0);
    for (int i = 0; i < 3; i++) {
        balance_start_request(&f, chosen);
    }
    g_assert_cmpint(choose_backup(&f, chosen), ==, CT_ERR_NOT_FOUND);
    balance_tear_down(&f);
}

/*
 * Returns the cache donor for the chosen upstream; CT_ERR_NOT_FOUND if there
 * is none.
 */
static int
find_cache_donor(struct balance_fixture *f, int chosen)
{
    return f->policy->ops->cache_donor(f->policy, &f->request, f->candidates,
                                       BALANCE_CANDIDATES, (uint32_t)chosen);
}

/*
 * An upstream chosen because the home is full copies the cache from that home;
 * the home itself has no donor.
 */
static void
test_cache_donor_full_home(void)
{
    struct balance_fixture f;
    int home;
    int next;

    balance_set_up(&f);
    f.request.prompt_tokens = BALANCE_LONG_TOKENS;
    home = balance_choose_for_prefix(&f, 99);
    g_assert_cmpint(find_cache_donor(&f, home), ==, CT_ERR_NOT_FOUND);
    for (next = home; next == home; next = balance_choose_for_prefix(&f, 99)) {
        balance_start_request(&f, home);
    }
    g_assert_cmpint(find_cache_donor(&f, next), ==, home);
    f.request.prompt_tokens = BALANCE_SHORT_TOKENS;
    g_assert_cmpint(find_cache_donor(&f, next), ==, CT_ERR_NOT_FOUND);
    balance_tear_down(&f);
}

/* A new home copies the cache from the previous home of the prefix. */
static void
test_cache_donor_new_home(void)
{
    struct ct_candidate replaced;
    struct balance_fixture f;
    int before;

    balance_set_up(&f);
    f.request.prompt_tokens = BALANCE_LONG_TOKENS;
    f.request.now_ms += 1;
    before = balance_choose_for_prefix(&f, 99);
    replaced = f.candidates[before];
    f.candidates[before].excluded = true;
    before = balance_choose_for_prefix(&f, 99);
    f.candidates[before].excluded = false;
    f.request.now_ms += 60000;
    /* A new upstream takes the home's place in the order of homes. */
    for (uint32_t i = 0; i < BALANCE_CANDIDATES; i++) {
        f.candidates[i].excluded = false;
        if (f.candidates[i].name_hash == replaced.name_hash) {
            f.candidates[i].upstream.generation++;
        }
    }
    g_assert_cmpint(find_cache_donor(&f, balance_choose_for_prefix(&f, 99)),
                    ==, before);
    f.request.now_ms += 61000;
    g_assert_cmpint(find_cache_donor(&f, balance_choose_for_prefix(&f, 99)),
                    ==, CT_ERR_NOT_FOUND);
    balance_tear_down(&f);
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
