/* Tests of memory-budget.h: charges of calls, and the limit. */
#include "memory-budget.h"

#define MB (1024 * 1024)

static void
test_charges(void)
{
    struct ct_memory_budget budget;

    ct_memory_budget_init(&budget);
    g_assert_cmpint(ct_memory_budget_add(&budget, 7, 100), ==, 0);
    g_assert_cmpint(ct_memory_budget_add(&budget, 8, 10), ==, 0);
    ct_memory_budget_set_response(&budget, 7, 5000);
    ct_memory_budget_set_response(&budget, 7, 3000);
    ct_memory_budget_set_response(&budget, 9, 3000);
    g_assert_cmpuint(budget.used_bytes, ==, 3110);
    g_assert_cmpuint(ct_memory_budget_response(&budget, 7), ==, 3000);
    g_assert_cmpuint(ct_memory_budget_response(&budget, 9), ==, 0);
    /* A body that grows, and a stream that is not read. */
    g_assert_cmpint(ct_memory_budget_add(&budget, 8, 30), ==, 0);
    g_assert_cmpint(ct_memory_budget_add(&budget, 8, 10), ==, 0);
    ct_memory_budget_set_unread(&budget, 7, 900);
    g_assert_cmpuint(budget.used_bytes, ==, 4010);
    g_assert_true(ct_memory_budget_has(&budget, 7));
    ct_memory_budget_remove(&budget, 7);
    ct_memory_budget_remove(&budget, 7);
    g_assert_false(ct_memory_budget_has(&budget, 7));
    g_assert_cmpuint(budget.used_bytes, ==, 10);
    ct_memory_budget_remove(&budget, 8);
    g_assert_cmpuint(budget.used_bytes, ==, 0);
    g_assert_cmpuint(budget.charges.live, ==, 0);
    ct_memory_budget_free(&budget);
}

/* Half of what the host has beyond the process itself, 8 MB at least. */
static void
test_limit(void)
{
    static const struct {
        uint32_t memory_mb;
        uint64_t limit_mb;
    } cases[] = {{0, 8}, {64, 12}, {88, 24}, {110, 35}, {260, 110}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_bounds bounds = {.memory_mb = cases[i].memory_mb};

        g_assert_cmpuint(ct_memory_budget_limit(&bounds), ==,
                         cases[i].limit_mb * MB);
    }
}

/* Less urgent calls are refused first. */
static void
test_room(void)
{
    static const struct {
        uint32_t used_mb, rank;
        bool room;
    } cases[] = {
        {0, 9, true},  {27, 9, true},  {28, 9, false}, {28, 0, true},
        {35, 0, true}, {36, 0, false}, {31, 4, true},  {32, 4, false},
    };
    const struct ct_bounds bounds = {.memory_mb = 110};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_memory_budget budget = {.used_bytes =
                                              (uint64_t)cases[i].used_mb * MB};

        g_assert_cmpint(
            ct_memory_budget_has_room(&budget, &bounds, cases[i].rank, 10), ==,
            cases[i].room);
        g_assert_cmpint(ct_memory_budget_is_exceeded(&budget, &bounds), ==,
                        cases[i].used_mb > 35);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/memory-budget/charges", test_charges);
    g_test_add_func("/memory-budget/limit", test_limit);
    g_test_add_func("/memory-budget/room", test_room);
    return g_test_run();
}
