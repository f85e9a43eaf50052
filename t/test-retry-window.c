/* Tests of retry-window.h: the bound over any window, for all hosts. */
#include <glib.h>

#include "retry-window.h"

#define WINDOW_MS 10000

static const struct ct_bounds bounds = {
    .repeat_permille = 200,
    .repeat_burst = 56,
    .repeat_window_ms = WINDOW_MS,
};

/*
 * Hosts that repeat whatever they may, with calls that come and go: in no
 * span of the window's length are there more repeats than the bound.
 */
static void
test_bound(void)
{
    static const guint hosts = 8;
    GRand *random = g_rand_new_with_seed(5);
    struct ct_retry_window windows[8] = {0};
    guint calls[400] = {0};
    guint repeats[400] = {0};

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
                repeats[step]++;
            }
        }
    }
    for (guint from = 0; from + 100 <= 400; from++) {
        guint c = 0;
        guint before = 0;
        guint r = 0;

        for (guint i = 0; i < 100; i++) {
            c += calls[from + i];
            before += from >= 100 ? calls[from + i - 100] : 0;
            r += repeats[from + i];
        }
        g_assert_cmpuint(r, <=, MAX(c, before) / 5 + 56);
    }
    g_rand_free(random);
}

/* What was spent comes back once the window has moved on. */
static void
test_comes_back(void)
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

/* Many hosts: each has its part of the burst only. */
static void
test_part(void)
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
    g_test_add_func("/retry-window/comes-back", test_comes_back);
    g_test_add_func("/retry-window/part", test_part);
    return g_test_run();
}
