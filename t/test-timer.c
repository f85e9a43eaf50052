/*
 * Tests of timer.h: timers fire in order of their due time, then of their
 * sequence number, and never early.
 */
#include <glib.h>

#include "error.h"
#include "timer.h"

static void
test_order(void)
{
    struct ct_timers timers;
    struct ct_timer timer;
    ct_ms last_ms = -1;
    uint64_t last_sequence = 0;
    GRand *random = g_rand_new_with_seed(7);
    int n = 0;

    ct_timers_init(&timers);
    for (int i = 0; i < 1000; i++) {
        ct_timers_add(&timers, g_rand_int_range(random, 0, 50), CT_TIMER_QUEUE,
                      CT_NO_HANDLE);
    }
    while (ct_timers_pop(&timers, 49, &timer)) {
        g_assert_cmpint(timer.due_ms, >=, last_ms);
        if (timer.due_ms == last_ms) {
            g_assert_cmpuint(timer.sequence, >, last_sequence);
        }
        last_ms = timer.due_ms;
        last_sequence = timer.sequence;
        n++;
    }
    g_assert_cmpint(n, ==, 1000);
    g_assert_cmpint(ct_timers_next_ms(&timers), ==, CT_MS_NEVER);
    ct_timers_free(&timers);
    g_rand_free(random);
}

static void
test_not_early(void)
{
    struct ct_timers timers;
    struct ct_timer timer;

    ct_timers_init(&timers);
    ct_timers_add(&timers, 10, CT_TIMER_QUEUE, CT_NO_HANDLE);
    g_assert_cmpint(ct_timers_pop(&timers, 9, &timer), ==, 0);
    g_assert_cmpint(ct_timers_pop(&timers, 10, &timer), ==, 1);
    ct_timers_free(&timers);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/timer/order", test_order);
    g_test_add_func("/timer/not-early", test_not_early);
    return g_test_run();
}
