/*
 * Tests of retry-window.h: the retry budget over any window, for all hosts
 * together.
 */
#include <glib.h>

#include "retry-window.h"

#define WINDOW_MS 10000

static const struct ct_bounds bounds = {
    .repeat_permille = 200,
    .repeat_burst = 56,
    .repeat_window_ms = WINDOW_MS,
};

/*
 * All hosts retry as often as they may, under a call rate that rises and
 * falls: no span of the window's length has more retries than the budget.
 */
static void
test_bound(void)
{
    static const guint hosts = 8;
    GRand *random = g_rand_new_with_seed(5);
    struct ct_retry_window windows[8] = {0};
    guint calls[400] = {0};
    guint retries[400] = {0};

    /* Steps of 100 ms. */
    for (guint step = 0; step < 400; step++) {
        guint rate = (step / 60) % 2 ? 3 : 1;

        for (guint host = 0; host < hosts; host++) {
            guint n = (guint)g_rand_int_range(random, 0, (gint)rate + 1);

            for (guint i = 0; i < n; i++) {
                ct_retry_window_add_call(&windows[host], &bounds, step * 100);
            }
            calls[step] += n;
            while (ct_retry_window_spend_retry(&windows[host], &bounds, hosts,
                                               step * 100)) {
                retries[step]++;
            }
        }
    }
    for (guint start = 0; start + 100 <= 400; start++) {
        guint window_calls = 0;
        guint calls_before = 0;
        guint window_retries = 0;

        for (guint i = 0; i < 100; i++) {
            window_calls += calls[start + i];
            calls_before += start >= 100 ? calls[start + i - 100] : 0;
            window_retries += retries[start + i];
        }
        g_assert_cmpuint(window_retries, <=,
                         MAX(window_calls, calls_before) / 5 + 56);
    }
    g_rand_free(random);
}

/* Spent retries become available again once the window has moved on. */
static void
test_budget_restored(void)
{
    struct ct_retry_window window = {0};
    guint n = 0;

    while (ct_retry_window_spend_retry(&window, &bounds, 1, 1000)) {
        n++;
    }
    g_assert_cmpuint(n, >=, 40);
    g_assert_cmpuint(n, <=, 56);
    g_assert_false(
        ct_retry_window_spend_retry(&window, &bounds, 1, 1000 + 9000));
    g_assert_true(
        ct_retry_window_spend_retry(&window, &bounds, 1, 1000 + 10600));
}

/* With many hosts, each host has only its part of the burst. */
static void
test_burst_part(void)
{
    struct ct_retry_window window = {0};
    guint n = 0;

    while (ct_retry_window_spend_retry(&window, &bounds, 14, 1000)) {
        n++;
    }
    g_assert_cmpuint(n, <=, 4);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-window/bound", test_bound);
    g_test_add_func("/retry-window/budget-restored", test_budget_restored);
    g_test_add_func("/retry-window/burst-part", test_burst_part);
    return g_test_run();
}
