/* Tests of wall-clock.h: the time of day through jumps of the system clock. */
#include <glib.h>

#include "wall-clock.h"

#define START_MS G_GINT64_CONSTANT(1700000000000)

static void
test_jumps(void)
{
    static const ct_ms jumps[] = {2400, -2400, 600000, -5000};

    for (guint i = 0; i < G_N_ELEMENTS(jumps); i++) {
        struct ct_wall_clock clock = {0};

        ct_wall_clock_update(&clock, 1000, START_MS);
        ct_wall_clock_update(&clock, 3000, START_MS + 2000 + jumps[i]);
        g_assert_cmpint(ct_wall_clock_ms(&clock, 3000), ==, START_MS + 2000);
        /* The system clock jumps back. */
        ct_wall_clock_update(&clock, 9000, START_MS + 8000);
        g_assert_cmpint(ct_wall_clock_ms(&clock, 9000), ==, START_MS + 8000);
    }
}

/* Slow drift of the system clock is followed. */
static void
test_drift(void)
{
    struct ct_wall_clock clock = {0};

    for (ct_ms steady_ms = 0; steady_ms <= 1000000; steady_ms += 1000) {
        ct_wall_clock_update(&clock, steady_ms,
                             START_MS + steady_ms + steady_ms / 1000);
    }
    g_assert_cmpint(ct_wall_clock_ms(&clock, 1000000), ==, START_MS + 1001000);
}

/* A lasting difference is adopted: the system clock was wrong before. */
static void
test_lasting_difference(void)
{
    struct ct_wall_clock clock = {0};

    ct_wall_clock_update(&clock, 0, START_MS - 9000);
    for (ct_ms steady_ms = 1000; steady_ms <= 60000; steady_ms += 1000) {
        ct_wall_clock_update(&clock, steady_ms, START_MS + steady_ms);
    }
    g_assert_cmpint(ct_wall_clock_ms(&clock, 60000), ==,
                    START_MS - 9000 + 60000);
    for (ct_ms steady_ms = 61000; steady_ms <= 200000; steady_ms += 1000) {
        ct_wall_clock_update(&clock, steady_ms, START_MS + steady_ms);
    }
    g_assert_cmpint(ct_wall_clock_ms(&clock, 200000), ==, START_MS + 200000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wall-clock/jumps", test_jumps);
    g_test_add_func("/wall-clock/drift", test_drift);
    g_test_add_func("/wall-clock/lasting-difference", test_lasting_difference);
    return g_test_run();
}
