/*
 * Tests of table.h: stale handles, reference counts, the size bound and
 * iteration.
 */
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
    struct ct_table table;
    struct ct_handle first;
    struct ct_handle second;

    ct_table_init(&table, sizeof(int), 0, NULL);
    g_assert_cmpint(ct_table_add(&table, &first), ==, CT_OK);
    g_assert_nonnull(ct_table_get(&table, first));
    g_assert_cmpint(ct_table_unref(&table, first), ==, CT_OK);
    g_assert_null(ct_table_get(&table, first));
    g_assert_cmpint(ct_table_unref(&table, first), ==, CT_ERR_STALE_HANDLE);
    g_assert_cmpint(ct_table_add(&table, &second), ==, CT_OK);
    g_assert_cmpuint(first.index, ==, second.index);
    g_assert_null(ct_table_get(&table, first));
    g_assert_null(ct_table_get(&table, CT_NO_HANDLE));
    ct_table_free(&table);
}

static void
test_references(void)
{
    struct ct_table table;
    struct ct_handle handle;

    cleared = 0;
    ct_table_init(&table, sizeof(int), 0, count_clear);
    ct_table_add(&table, &handle);
    ct_table_ref(&table, handle);
    ct_table_unref(&table, handle);
    g_assert_cmpint(cleared, ==, 0);
    g_assert_nonnull(ct_table_get(&table, handle));
    ct_table_unref(&table, handle);
    g_assert_cmpint(cleared, ==, 1);
    ct_table_free(&table);
}

static void
test_bound_and_iteration(void)
{
    struct ct_table table;
    struct ct_handle handle[200];
    struct ct_handle current;
    uint32_t cursor = 0;
    int n = 0;
    int *row;

    ct_table_init(&table, sizeof(int), 200, NULL);
    for (int i = 0; i < 200; i++) {
        g_assert_cmpint(ct_table_add(&table, &handle[i]), ==, CT_OK);
        *(int *)ct_table_get(&table, handle[i]) = i;
    }
    g_assert_cmpint(ct_table_add(&table, &current), ==, CT_ERR_TABLE_FULL);
    for (int i = 0; i < 200; i += 2) {
        ct_table_unref(&table, handle[i]);
    }
    while ((row = ct_table_next(&table, &cursor, &current))) {
        g_assert_cmpint(*row % 2, ==, 1);
        g_assert_true(ct_handle_eq(current, handle[*row]));
        n++;
    }
    g_assert_cmpint(n, ==, 100);
    g_assert_cmpuint(table.live, ==, 100);
    ct_table_free(&table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/table/stale-handle", test_stale_handle);
    g_test_add_func("/table/references", test_references);
    g_test_add_func("/table/bound-and-iteration", test_bound_and_iteration);
    return g_test_run();
}
