/* Tests of histogram.h: quantiles are compared with those of sorted values. */
#include <glib.h>
#include <stdlib.h>

#include "histogram.h"

#define N 4000

static int
compare(const void *a, const void *b)
{
    return (*(const guint *)a > *(const guint *)b) -
           (*(const guint *)a < *(const guint *)b);
}

static void
test_quantiles(void)
{
    static const guint permilles[] = {10, 500, 900, 950, 990, 1000};
    struct ct_histogram h = {0};
    GRand *random = g_rand_new_with_seed(11);
    guint values[N];
    guint64 sum = 0;

    for (guint i = 0; i < N; i++) {
        values[i] = 1u << g_rand_int_range(random, 0, 18);
        values[i] += (guint)g_rand_int_range(random, 0, (gint32)values[i]);
        sum += values[i];
        ct_histogram_add(&h, values[i]);
    }
    qsort(values, N, sizeof(values[0]), compare);
    for (guint i = 0; i < G_N_ELEMENTS(permilles); i++) {
        guint rank = (N * permilles[i] + 999) / 1000 - 1;
        guint64 quantile = ct_histogram_quantile(&h, permilles[i]);

        g_assert_cmpuint(quantile, >=, values[rank]);
        g_assert_cmpuint(quantile, <=, values[rank] + values[rank] / 8 + 1);
    }
    g_assert_cmpuint(ct_histogram_mean(&h), ==, sum / N);
    g_rand_free(random);
}

static void
test_edges(void)
{
    struct ct_histogram h = {0};

    g_assert_cmpuint(ct_histogram_quantile(&h, 500), ==, 0);
    g_assert_cmpuint(ct_histogram_mean(&h), ==, 0);
    ct_histogram_add(&h, 0);
    g_assert_cmpuint(ct_histogram_quantile(&h, 500), ==, 0);
    ct_histogram_add(&h, UINT64_MAX);
    g_assert_cmpuint(ct_histogram_quantile(&h, 1000), >, 4000000);
    g_assert_cmpuint(ct_histogram_mean(&h), >, 2000000);
}

/* The weight of old values decays, so that the median follows the load. */
static void
test_decay(void)
{
    struct ct_histogram h = {0};

    for (guint i = 0; i < 100000; i++) {
        ct_histogram_add(&h, 10);
    }
    for (guint i = 0; i < 8192; i++) {
        ct_histogram_add(&h, 1000);
    }
    g_assert_cmpuint(ct_histogram_quantile(&h, 500), >=, 1000);
    g_assert_cmpuint(ct_histogram_mean(&h), >, 700);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/histogram/quantiles", test_quantiles);
    g_test_add_func("/histogram/edges", test_edges);
    g_test_add_func("/histogram/decay", test_decay);
    return g_test_run();
}
