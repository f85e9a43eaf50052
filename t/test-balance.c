/* Tests of the balancing policies. */
#include <glib.h>

#include "balance-policy.h"
#include "error.h"
#include "name.h"

#define CANDIDATES 6
#define SLOTS 8

static struct ct_candidate candidates[CANDIDATES];

static void
reset_candidates(void)
{
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = SLOTS,
        };
    }
}

static struct ct_balance_request
request_at(ct_ms now_ms)
{
    return (struct ct_balance_request){.now_ms = now_ms, .may_probe = true};
}

static gint
choose_and_start(struct ct_balance_policy *b, ct_ms now_ms)
{
    struct ct_balance_request request = request_at(now_ms);
    gint chosen = b->ops->choose_upstream(b, &request, candidates, CANDIDATES);

    if (chosen >= 0) {
        b->ops->started(b, candidates[chosen].upstream, now_ms);
    }
    return chosen;
}

static void
end_request(struct ct_balance_policy *b, gint i, enum ct_outcome outcome,
            ct_ms now_ms)
{
    b->ops->ended(b, candidates[i].upstream, outcome, now_ms);
}

static struct ct_balance_policy *
make_policy(guint policy_index)
{
    reset_candidates();
    switch (policy_index) {
    case 0:
        return ct_balance_round_robin_new();
    case 1:
        return ct_balance_least_loaded_new();
    default:
        return ct_balance_affinity_new(1);
    }
}

/*
 * All policies respect the slots of an upstream, use no cheap upstream unless
 * the request allows it, and use no excluded one.
 */
static void
test_limits(void)
{
    for (guint policy_index = 0; policy_index < 3; policy_index++) {
        struct ct_balance_policy *b = make_policy(policy_index);
        guint counts[CANDIDATES] = {0};
        struct ct_balance_request request = request_at(1);

        candidates[0].cheap = true;
        candidates[1].excluded = true;
        for (guint i = 0; i < (CANDIDATES - 2) * SLOTS; i++) {
            gint chosen = choose_and_start(b, 1);

            g_assert_cmpint(chosen, >=, 2);
            counts[chosen]++;
            if (i == 2 * (CANDIDATES - 2) - 1) {
                g_assert_cmpuint(counts[2], ==, 2);
                g_assert_cmpuint(counts[CANDIDATES - 1], ==, 2);
            }
        }
        g_assert_cmpint(choose_and_start(b, 1), ==, CT_ERR_NOT_FOUND);
        request.cheap_allowed = true;
        g_assert_cmpint(
            b->ops->choose_upstream(b, &request, candidates, CANDIDATES), ==,
            0);
        b->ops->free(b);
    }
}

/* All policies avoid an upstream for a while after it refused a connection. */
static void
test_unreachable(void)
{
    for (guint policy_index = 0; policy_index < 3; policy_index++) {
        struct ct_balance_policy *b = make_policy(policy_index);
        guint hits = 0;
        ct_ms now_ms = 1;

        for (guint i = 0; i < 600; i++, now_ms += 100) {
            gint chosen = choose_and_start(b, now_ms);

            hits += chosen == 3;
            end_request(b, chosen,
                        chosen == 3 ? CT_OUTCOME_NOT_SENT
                                    : CT_OUTCOME_COMPLETE,
                        now_ms + 1);
        }
        /* In one minute: a request every 10 s, or by the doubling back-off. */
        g_assert_cmpuint(hits, >=, 2);
        g_assert_cmpuint(hits, <=, 8);
        b->ops->free(b);
    }
}

/* An ejected upstream gets one request at a time as a probe. */
static void
test_one_probe(void)
{
    struct ct_balance_policy *b = make_policy(2);
    struct ct_balance_request request = request_at(5000);
    gint probe;

    for (guint i = 0; i < CANDIDATES; i++) {
        b->ops->started(b, candidates[i].upstream, 1);
        end_request(b, (gint)i, CT_OUTCOME_NOT_SENT, 1);
        g_assert_false(b->ops->usable(b, candidates[i].upstream, 2));
        candidates[i].excluded = i != 2;
    }
    g_assert_cmpint(choose_and_start(b, 500), ==, CT_ERR_NOT_FOUND);
    request.may_probe = false;
    g_assert_cmpint(
        b->ops->choose_upstream(b, &request, candidates, CANDIDATES), ==,
        CT_ERR_NOT_FOUND);
    probe = choose_and_start(b, 5000);
    g_assert_cmpint(probe, ==, 2);
    g_assert_cmpint(choose_and_start(b, 5001), ==, CT_ERR_NOT_FOUND);
    end_request(b, probe, CT_OUTCOME_COMPLETE, 5100);
    g_assert_cmpint(choose_and_start(b, 5101), ==, 2);
    g_assert_cmpint(choose_and_start(b, 5101), ==, 2);
    b->ops->free(b);
}

/* One lost connection does not eject an upstream; two in a row do. */
static void
test_aborted_response(void)
{
    struct ct_balance_policy *b = make_policy(2);

    b->ops->started(b, candidates[0].upstream, 1);
    b->ops->started(b, candidates[0].upstream, 1);
    end_request(b, 0, CT_OUTCOME_CONNECTION_LOST, 2);
    g_assert_true(b->ops->usable(b, candidates[0].upstream, 2));
    end_request(b, 0, CT_OUTCOME_CONNECTION_LOST, 3);
    g_assert_false(b->ops->usable(b, candidates[0].upstream, 3));
    b->ops->free(b);
}

/*
 * Runs requests with a token gap of 20 ms, or slow_gap_ms at upstream 4;
 * returns how many went to upstream 4.
 */
static guint
run_with_token_gaps(struct ct_balance_policy *b, ct_ms from_ms, ct_ms to_ms,
                    ct_ms slow_gap_ms)
{
    guint hits = 0;

    for (ct_ms now_ms = from_ms; now_ms < to_ms; now_ms += 50) {
        gint chosen = choose_and_start(b, now_ms);

        hits += chosen == 4;
        for (guint i = 0; i < 20; i++) {
            b->ops->token_gap(b, candidates[chosen].upstream, 1,
                              chosen == 4 ? slow_gap_ms : 20, now_ms);
        }
        end_request(b, chosen, CT_OUTCOME_COMPLETE, now_ms + 40);
    }
    return hits;
}

/*
 * An upstream with long token gaps is ejected, probed, and used again when its
 * gaps are normal.
 */
static void
test_slow_upstream(void)
{
    struct ct_balance_policy *b = make_policy(2);

    g_assert_cmpuint(run_with_token_gaps(b, 1, 5000, 20), >, 8);
    run_with_token_gaps(b, 5000, 7000, 80);
    g_assert_false(b->ops->usable(b, candidates[4].upstream, 7000));
    g_assert_cmpuint(run_with_token_gaps(b, 7000, 60000, 80), <=, 6);
    run_with_token_gaps(b, 60000, 95000, 20);
    g_assert_cmpuint(run_with_token_gaps(b, 95000, 100000, 20), >, 8);
    b->ops->free(b);
}

/* An upstream is not slow if its gaps are longer only because of its load. */
static void
test_load_is_not_slowness(void)
{
    struct ct_balance_policy *b = make_policy(2);

    for (guint i = 0; i < SLOTS - 1; i++) {
        b->ops->started(b, candidates[4].upstream, 1);
    }
    for (ct_ms now_ms = 1; now_ms < 5000; now_ms += 50) {
        struct ct_balance_request request = request_at(now_ms);

        g_assert_cmpint(
            b->ops->choose_upstream(b, &request, candidates, CANDIDATES), >=,
            0);
        for (guint i = 0; i < CANDIDATES; i++) {
            b->ops->token_gap(b, candidates[i].upstream, 4, i == 4 ? 180 : 80,
                              now_ms);
        }
    }
    g_assert_true(b->ops->usable(b, candidates[4].upstream, 5000));
    b->ops->free(b);
}

/* A slow upstream is used if all others are excluded. */
static void
test_slow_is_last_resort(void)
{
    struct ct_balance_policy *b = make_policy(2);

    run_with_token_gaps(b, 1, 5000, 20);
    run_with_token_gaps(b, 5000, 7000, 80);
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].excluded = i != 4;
    }
    g_assert_cmpint(choose_and_start(b, 7001), ==, 4);
    b->ops->free(b);
}

/*
 * Load reports include the requests of other hosts; this host's own requests
 * are counted once.
 */
static void
test_load_reports(void)
{
    struct ct_balance_policy *b = make_policy(2);

    for (guint i = 0; i < CANDIDATES; i++) {
        /* Two own requests each, one after the report; it is 300 ms old. */
        b->ops->started(b, candidates[i].upstream, 100);
        b->ops->started(b, candidates[i].upstream, 300);
        b->ops->reported(b, candidates[i].upstream, i == 5 ? 1 : 4, 0, 200);
    }
    /* Other hosts have 3 requests at each, but none at 5: it gets two. */
    for (guint i = 0; i < 2; i++) {
        g_assert_cmpint(choose_and_start(b, 500), ==, 5);
    }
    /* An old report is ignored: by own requests, 5 now has the most. */
    g_assert_cmpint(choose_and_start(b, 9000), !=, 5);
    b->ops->free(b);
}

/*
 * A prefix stays at one upstream until that has far more requests than the
 * mean.
 */
static void
test_affinity(void)
{
    struct ct_balance_policy *b = make_policy(2);
    guint counts[CANDIDATES] = {0};
    guint homes[CANDIDATES] = {0};
    guint max_count = 0;

    for (guint i = 0; i < 600; i++) {
        struct ct_balance_request request = request_at(1);
        gint home;

        request.prefix_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i));
        home = b->ops->choose_upstream(b, &request, candidates, CANDIDATES);
        g_assert_cmpint(
            b->ops->choose_upstream(b, &request, candidates, CANDIDATES), ==,
            home);
        homes[home]++;
    }
    for (guint i = 0; i < CANDIDATES; i++) {
        g_assert_cmpuint(homes[i], >, 60);
    }
    for (guint i = 0; i < 3 * CANDIDATES; i++) {
        struct ct_balance_request request = request_at(1);
        gint chosen;

        request.prefix_hash = 99;
        chosen = b->ops->choose_upstream(b, &request, candidates, CANDIDATES);
        b->ops->started(b, candidates[chosen].upstream, 1);
        counts[chosen]++;
        max_count = MAX(max_count, counts[chosen]);
    }
    g_assert_cmpuint(max_count, <=, 4);
    b->ops->free(b);
}

/*
 * A request that allows cheap upstreams uses them first, so that firm ones
 * stay free for other requests.
 */
static void
test_cheap_first(void)
{
    struct ct_balance_policy *b = make_policy(2);
    struct ct_balance_request request = request_at(1);

    candidates[1].cheap = candidates[2].cheap = true;
    request.cheap_allowed = true;
    for (guint i = 0; i < 2 * SLOTS; i++) {
        gint chosen =
            b->ops->choose_upstream(b, &request, candidates, CANDIDATES);

        g_assert_true(chosen == 1 || chosen == 2);
        b->ops->started(b, candidates[chosen].upstream, 1);
    }
    g_assert_cmpint(
        b->ops->choose_upstream(b, &request, candidates, CANDIDATES), !=, 1);
    b->ops->free(b);
}

/* An upstream that declined a request counts as full for a short time. */
static void
test_declined(void)
{
    struct ct_balance_policy *b = make_policy(2);

    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].excluded = i != 0;
    }
    g_assert_cmpint(choose_and_start(b, 1000), ==, 0);
    end_request(b, 0, CT_OUTCOME_DECLINED, 1001);
    g_assert_cmpint(choose_and_start(b, 1050), ==, CT_ERR_NOT_FOUND);
    g_assert_cmpint(choose_and_start(b, 1200), ==, 0);
    b->ops->free(b);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance/limits", test_limits);
    g_test_add_func("/balance/unreachable", test_unreachable);
    g_test_add_func("/balance/one-probe", test_one_probe);
    g_test_add_func("/balance/aborted-response", test_aborted_response);
    g_test_add_func("/balance/slow-upstream", test_slow_upstream);
    g_test_add_func("/balance/load-is-not-slowness",
                    test_load_is_not_slowness);
    g_test_add_func("/balance/slow-is-last-resort", test_slow_is_last_resort);
    g_test_add_func("/balance/load-reports", test_load_reports);
    g_test_add_func("/balance/affinity", test_affinity);
    g_test_add_func("/balance/cheap-first", test_cheap_first);
    g_test_add_func("/balance/declined", test_declined);
    return g_test_run();
}
