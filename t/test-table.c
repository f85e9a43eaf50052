/* Tests of table.h: handles, generations, reference counts. */
#include <glib.h>

#include "error.h"
#include "table.h"

static int cleared;

static void
count_clear(void *row)
{
    (void)row;
    cleared++;
}

static void
test_stale_handle(void)
{
    struct ct_table t;
    struct ct_handle a;
    struct ct_handle b;

    ct_table_init(&t, sizeof(int), 0, NULL);
    g_assert_cmpint(ct_table_add(&t, &a), ==, CT_OK);
    g_assert_nonnull(ct_table_get(&t, a));
    g_assert_cmpint(ct_table_unref(&t, a), ==, CT_OK);
    g_assert_null(ct_table_get(&t, a));
    g_assert_cmpint(ct_table_unref(&t, a), ==, CT_ERR_STALE_HANDLE);
    g_assert_cmpint(ct_table_add(&t, &b), ==, CT_OK);
    g_assert_cmpuint(a.index, ==, b.index);
    g_assert_null(ct_table_get(&t, a));
    g_assert_null(ct_table_get(&t, CT_NO_HANDLE));
    ct_table_free(&t);
}

static void
test_references(void)
{
    struct ct_table t;
    struct ct_handle h;

    cleared = 0;
    ct_table_init(&t, sizeof(int), 0, count_clear);
    ct_table_add(&t, &h);
    ct_table_ref(&t, h);
    ct_table_unref(&t, h);
    g_assert_cmpint(cleared, ==, 0);
    g_assert_nonnull(ct_table_get(&t, h));
    ct_table_unref(&t, h);
    g_assert_cmpint(cleared, ==, 1);
    ct_table_free(&t);
}

static void
test_bound_and_walk(void)
{
    struct ct_table t;
    struct ct_handle h[200];
    struct ct_handle seen;
    uint32_t cursor = 0;
    int n = 0;
    int *row;

    ct_table_init(&t, sizeof(int), 200, NULL);
    for (int i = 0; i < 200; i++) {
        g_assert_cmpint(ct_table_add(&t, &h[i]), ==, CT_OK);
        *(int *)ct_table_get(&t, h[i]) = i;
    }
    g_assert_cmpint(ct_table_add(&t, &seen), ==, CT_ERR_TABLE_FULL);
    for (int i = 0; i < 200; i += 2) {
        ct_table_unref(&t, h[i]);
    }
    while ((row = ct_table_next(&t, &cursor, &seen))) {
        g_assert_cmpint(*row % 2, ==, 1);
        g_assert_true(ct_handle_eq(seen, h[*row]));
        n++;
    }
    g_assert_cmpint(n, ==, 100);
    g_assert_cmpuint(t.live, ==, 100);
    ct_table_free(&t);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/table/stale-handle", test_stale_handle);
    g_test_add_func("/table/references", test_references);
    g_test_add_func("/table/bound-and-walk", test_bound_and_walk);
    return g_test_run();
}
