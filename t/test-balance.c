/* Tests of the balancing policies. */
#include <glib.h>

#include "balance-policy.h"
#include "error.h"
#include "name.h"

#define N 6
#define SLOTS 8

static struct ct_candidate candidates[N];

static void
reset_candidates(void)
{
    for (guint i = 0; i < N; i++) {
        candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = SLOTS,
        };
    }
}

static struct ct_balance_request
ask_at(ct_ms now_ms)
{
    return (struct ct_balance_request){.now_ms = now_ms, .may_probe = true};
}

static gint
choose(struct ct_balance_policy *b, ct_ms now_ms)
{
    struct ct_balance_request ask = ask_at(now_ms);
    gint chosen = b->ops->choose_upstream(b, &ask, candidates, N);

    if (chosen >= 0) {
        b->ops->started(b, candidates[chosen].upstream, now_ms);
    }
    return chosen;
}

static void
end(struct ct_balance_policy *b, gint i, enum ct_outcome outcome, ct_ms now_ms)
{
    b->ops->ended(b, candidates[i].upstream, outcome, now_ms);
}

static struct ct_balance_policy *
make(guint which)
{
    reset_candidates();
    switch (which) {
    case 0:
        return ct_balance_round_robin_new();
    case 1:
        return ct_balance_least_loaded_new();
    default:
        return ct_balance_affinity_new(1);
    }
}

/* All policies: slots, cheap and excluded ones are respected. */
static void
test_limits(void)
{
    for (guint which = 0; which < 3; which++) {
        struct ct_balance_policy *b = make(which);
        guint counts[N] = {0};
        struct ct_balance_request ask = ask_at(1);

        candidates[0].cheap = true;
        candidates[1].excluded = true;
        for (guint i = 0; i < (N - 2) * SLOTS; i++) {
            gint chosen = choose(b, 1);

            g_assert_cmpint(chosen, >=, 2);
            counts[chosen]++;
            if (i == 2 * (N - 2) - 1) {
                g_assert_cmpuint(counts[2], ==, 2);
                g_assert_cmpuint(counts[N - 1], ==, 2);
            }
        }
        g_assert_cmpint(choose(b, 1), ==, CT_ERR_NOT_FOUND);
        ask.cheap_allowed = true;
        g_assert_cmpint(b->ops->choose_upstream(b, &ask, candidates, N), ==,
                        0);
        b->ops->free(b);
    }
}

/* All policies: a refused connection keeps an upstream out for a while. */
static void
test_crash(void)
{
    for (guint which = 0; which < 3; which++) {
        struct ct_balance_policy *b = make(which);
        guint hits = 0;
        ct_ms now_ms = 1;

        for (guint i = 0; i < 600; i++, now_ms += 100) {
            gint chosen = choose(b, now_ms);

            hits += chosen == 3;
            end(b, chosen,
                chosen == 3 ? CT_OUTCOME_NOT_SENT : CT_OUTCOME_COMPLETE,
                now_ms + 1);
        }
        /* A minute: one request each 10 s, or the doubling back-off. */
        g_assert_cmpuint(hits, >=, 2);
        g_assert_cmpuint(hits, <=, 8);
        b->ops->free(b);
    }
}

/* Only one request at a time goes to an upstream that may be back. */
static void
test_one_probe(void)
{
    struct ct_balance_policy *b = make(2);
    struct ct_balance_request ask = ask_at(5000);
    gint probe;

    for (guint i = 0; i < N; i++) {
        b->ops->started(b, candidates[i].upstream, 1);
        end(b, (gint)i, CT_OUTCOME_NOT_SENT, 1);
        g_assert_false(b->ops->usable(b, candidates[i].upstream, 2));
        candidates[i].excluded = i != 2;
    }
    g_assert_cmpint(choose(b, 500), ==, CT_ERR_NOT_FOUND);
    ask.may_probe = false;
    g_assert_cmpint(b->ops->choose_upstream(b, &ask, candidates, N), ==,
                    CT_ERR_NOT_FOUND);
    probe = choose(b, 5000);
    g_assert_cmpint(probe, ==, 2);
    g_assert_cmpint(choose(b, 5001), ==, CT_ERR_NOT_FOUND);
    end(b, probe, CT_OUTCOME_COMPLETE, 5100);
    g_assert_cmpint(choose(b, 5101), ==, 2);
    g_assert_cmpint(choose(b, 5101), ==, 2);
    b->ops->free(b);
}

/* One broken stream is no crash; two in a row are. */
static void
test_broken(void)
{
    struct ct_balance_policy *b = make(2);

    b->ops->started(b, candidates[0].upstream, 1);
    b->ops->started(b, candidates[0].upstream, 1);
    end(b, 0, CT_OUTCOME_CONNECTION_LOST, 2);
    g_assert_true(b->ops->usable(b, candidates[0].upstream, 2));
    end(b, 0, CT_OUTCOME_CONNECTION_LOST, 3);
    g_assert_false(b->ops->usable(b, candidates[0].upstream, 3));
    b->ops->free(b);
}

/* Runs requests with a token gap each; returns those sent to upstream 4. */
static guint
run_gaps(struct ct_balance_policy *b, ct_ms from_ms, ct_ms to_ms,
         ct_ms slow_gap_ms)
{
    guint hits = 0;

    for (ct_ms now_ms = from_ms; now_ms < to_ms; now_ms += 50) {
        gint chosen = choose(b, now_ms);

        hits += chosen == 4;
        for (guint i = 0; i < 20; i++) {
            b->ops->token_gap(b, candidates[chosen].upstream, 1,
                              chosen == 4 ? slow_gap_ms : 20, now_ms);
        }
        end(b, chosen, CT_OUTCOME_COMPLETE, now_ms + 40);
    }
    return hits;
}

/* A straggler is found by its gaps, probed, and taken back. */
static void
test_straggler(void)
{
    struct ct_balance_policy *b = make(2);

    g_assert_cmpuint(run_gaps(b, 1, 5000, 20), >, 8);
    run_gaps(b, 5000, 7000, 80);
    g_assert_false(b->ops->usable(b, candidates[4].upstream, 7000));
    g_assert_cmpuint(run_gaps(b, 7000, 60000, 80), <=, 6);
    run_gaps(b, 60000, 95000, 20);
    g_assert_cmpuint(run_gaps(b, 95000, 100000, 20), >, 8);
    b->ops->free(b);
}

/* Longer gaps under more load make no straggler. */
static void
test_loaded_is_not_slow(void)
{
    struct ct_balance_policy *b = make(2);

    for (guint i = 0; i < SLOTS - 1; i++) {
        b->ops->started(b, candidates[4].upstream, 1);
    }
    for (ct_ms now_ms = 1; now_ms < 5000; now_ms += 50) {
        struct ct_balance_request ask = ask_at(now_ms);

        g_assert_cmpint(b->ops->choose_upstream(b, &ask, candidates, N), >=,
                        0);
        for (guint i = 0; i < N; i++) {
            b->ops->token_gap(b, candidates[i].upstream, 4, i == 4 ? 180 : 80,
                              now_ms);
        }
    }
    g_assert_true(b->ops->usable(b, candidates[4].upstream, 5000));
    b->ops->free(b);
}

/* Slow ones still serve when no other can, and are never the majority. */
static void
test_slow_serves(void)
{
    struct ct_balance_policy *b = make(2);

    run_gaps(b, 1, 5000, 20);
    run_gaps(b, 5000, 7000, 80);
    for (guint i = 0; i < N; i++) {
        candidates[i].excluded = i != 4;
    }
    g_assert_cmpint(choose(b, 7001), ==, 4);
    b->ops->free(b);
}

/* Reports tell the load of other hosts; own requests count once. */
static void
test_reports(void)
{
    struct ct_balance_policy *b = make(2);

    for (guint i = 0; i < N; i++) {
        /* Two own requests each; a report that is 300 ms old. */
        b->ops->started(b, candidates[i].upstream, 100);
        b->ops->started(b, candidates[i].upstream, 300);
        b->ops->reported(b, candidates[i].upstream, i == 5 ? 1 : 4, 0, 200);
    }
    /* Others have 3 each, but none at 5: it gets the next two. */
    for (guint i = 0; i < 2; i++) {
        g_assert_cmpint(choose(b, 500), ==, 5);
    }
    /* An old report says nothing: 5 now has the most. */
    g_assert_cmpint(choose(b, 9000), !=, 5);
    b->ops->free(b);
}

/* A prefix stays at one upstream until that has much more than the mean. */
static void
test_affinity(void)
{
    struct ct_balance_policy *b = make(2);
    guint counts[N] = {0};
    guint homes[N] = {0};
    guint most = 0;

    for (guint i = 0; i < 600; i++) {
        struct ct_balance_request ask = ask_at(1);
        gint first;

        ask.prefix_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i));
        first = b->ops->choose_upstream(b, &ask, candidates, N);
        g_assert_cmpint(b->ops->choose_upstream(b, &ask, candidates, N), ==,
                        first);
        homes[first]++;
    }
    for (guint i = 0; i < N; i++) {
        g_assert_cmpuint(homes[i], >, 60);
    }
    for (guint i = 0; i < 3 * N; i++) {
        struct ct_balance_request ask = ask_at(1);
        gint chosen;

        ask.prefix_hash = 99;
        chosen = b->ops->choose_upstream(b, &ask, candidates, N);
        b->ops->started(b, candidates[chosen].upstream, 1);
        counts[chosen]++;
        most = MAX(most, counts[chosen]);
    }
    g_assert_cmpuint(most, <=, 4);
    b->ops->free(b);
}

/* Those that may go cheap leave the firm upstreams to the others. */
static void
test_cheap_first(void)
{
    struct ct_balance_policy *b = make(2);
    struct ct_balance_request ask = ask_at(1);

    candidates[1].cheap = candidates[2].cheap = true;
    ask.cheap_allowed = true;
    for (guint i = 0; i < 2 * SLOTS; i++) {
        gint chosen = b->ops->choose_upstream(b, &ask, candidates, N);

        g_assert_true(chosen == 1 || chosen == 2);
        b->ops->started(b, candidates[chosen].upstream, 1);
    }
    g_assert_cmpint(b->ops->choose_upstream(b, &ask, candidates, N), !=, 1);
    b->ops->free(b);
}

/* A declined request marks the upstream full for a moment. */
static void
test_declined(void)
{
    struct ct_balance_policy *b = make(2);

    for (guint i = 0; i < N; i++) {
        candidates[i].excluded = i != 0;
    }
    g_assert_cmpint(choose(b, 1000), ==, 0);
    end(b, 0, CT_OUTCOME_DECLINED, 1001);
    g_assert_cmpint(choose(b, 1050), ==, CT_ERR_NOT_FOUND);
    g_assert_cmpint(choose(b, 1200), ==, 0);
    b->ops->free(b);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance/limits", test_limits);
    g_test_add_func("/balance/crash", test_crash);
    g_test_add_func("/balance/one-probe", test_one_probe);
    g_test_add_func("/balance/broken", test_broken);
    g_test_add_func("/balance/straggler", test_straggler);
    g_test_add_func("/balance/loaded-is-not-slow", test_loaded_is_not_slow);
    g_test_add_func("/balance/slow-serves", test_slow_serves);
    g_test_add_func("/balance/reports", test_reports);
    g_test_add_func("/balance/affinity", test_affinity);
    g_test_add_func("/balance/cheap-first", test_cheap_first);
    g_test_add_func("/balance/declined", test_declined);
    return g_test_run();
}
