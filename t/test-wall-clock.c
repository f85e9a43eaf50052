/* Tests of wall-clock.h: true time through jumps of the clock. */
#include <glib.h>

#include "wall-clock.h"

#define START_MS G_GINT64_CONSTANT(1700000000000)

static void
test_jumps(void)
{
    static const ct_ms jumps[] = {2400, -2400, 600000, -5000};

    for (guint i = 0; i < G_N_ELEMENTS(jumps); i++) {
        struct ct_wall_clock wall = {0};

        ct_wall_clock_update(&wall, 1000, START_MS);
        ct_wall_clock_update(&wall, 3000, START_MS + 2000 + jumps[i]);
        g_assert_cmpint(ct_wall_clock_ms(&wall, 3000), ==, START_MS + 2000);
        /* And back again. */
        ct_wall_clock_update(&wall, 9000, START_MS + 8000);
        g_assert_cmpint(ct_wall_clock_ms(&wall, 9000), ==, START_MS + 8000);
    }
}

/* Drift is followed. */
static void
test_drift(void)
{
    struct ct_wall_clock wall = {0};

    for (ct_ms at = 0; at <= 1000000; at += 1000) {
        ct_wall_clock_update(&wall, at, START_MS + at + at / 1000);
    }
    g_assert_cmpint(ct_wall_clock_ms(&wall, 1000000), ==, START_MS + 1001000);
}

/* A difference that stays is taken over: the clock was wrong before. */
static void
test_stays(void)
{
    struct ct_wall_clock wall = {0};

    ct_wall_clock_update(&wall, 0, START_MS - 9000);
    for (ct_ms at = 1000; at <= 60000; at += 1000) {
        ct_wall_clock_update(&wall, at, START_MS + at);
    }
    g_assert_cmpint(ct_wall_clock_ms(&wall, 60000), ==,
                    START_MS - 9000 + 60000);
    for (ct_ms at = 61000; at <= 200000; at += 1000) {
        ct_wall_clock_update(&wall, at, START_MS + at);
    }
    g_assert_cmpint(ct_wall_clock_ms(&wall, 200000), ==, START_MS + 200000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wall-clock/jumps", test_jumps);
    g_test_add_func("/wall-clock/drift", test_drift);
    g_test_add_func("/wall-clock/stays", test_stays);
    return g_test_run();
}
