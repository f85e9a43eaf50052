/* Tests of latency.h: each value is counted in the right bucket only. */
#include <glib.h>

#include "latency.h"

static void
test_buckets(void)
{
    static const struct {
        ct_ms value_ms;
        int bucket;
    } cases[] = {
        {0, 0},   {10, 0},     {11, 1},     {25, 1}, {100, 3},
        {101, 4}, {16000, 10}, {16001, 11}, {-5, 0}, {9999999, 11},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_latency latency = {{0}};

        ct_latency_add(&latency, cases[i].value_ms);
        for (int b = 0; b < CT_LATENCY_BUCKETS; b++) {
            g_assert_cmpuint(latency.counts[b], ==, b == cases[i].bucket);
        }
        g_assert_cmpuint(latency.sum_ms, ==, MAX(cases[i].value_ms, 0));
    }
    g_assert_cmpint(ct_latency_bound_ms(CT_LATENCY_BUCKETS - 1), ==,
                    CT_MS_NEVER);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/latency/buckets", test_buckets);
    return g_test_run();
}
