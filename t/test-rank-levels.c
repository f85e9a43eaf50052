/* Tests of rank-levels.h: which calls come before which. */
#include <glib.h>
#include <string.h>

#include "config-row.h"
#include "rank-levels.h"

static void
add_organisation(GArray *rows, uint32_t rank)
{
    struct ct_config_row row = {.kind = CT_CONFIG_ORGANISATION};

    row.u.organisation.has_rank = true;
    row.u.organisation.rank = rank;
    g_array_append_val(rows, row);
}

static void
add_route(GArray *rows, uint32_t rank)
{
    struct ct_config_row row = {.kind = CT_CONFIG_PREFIX_ROUTE};

    row.u.prefix_route.stream = true;
    row.u.prefix_route.rank = rank;
    g_array_append_val(rows, row);
}

static void
set_levels(struct ct_rank_levels *levels, GArray *rows)
{
    ct_rank_levels_set(levels, (struct ct_rows){rows->data, rows->len,
                                                sizeof(struct ct_config_row)});
    g_array_free(rows, TRUE);
}

static GArray *
new_rows(void)
{
    return g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
}

/* Calls in the order in which an engine is to admit them. */
static const struct pair {
    uint32_t rank, route_rank;
} order[] = {{0, 0}, {1, 0}, {1, 1}, {1, 2}, {2, 2}, {7, 0}, {7, 1}, {7, 2}};

static void
test_order(void)
{
    struct ct_rank_levels levels;
    GArray *rows = new_rows();

    /* The order of the rows does not matter. */
    add_organisation(rows, 7);
    for (uint32_t rank = 3; rank > 0; rank--) {
        add_route(rows, rank - 1);
    }
    add_organisation(rows, 1);
    set_levels(&levels, rows);
    for (guint i = 0; i < G_N_ELEMENTS(order); i++) {
        g_assert_cmpuint(
            ct_rank_level(&levels, order[i].rank, order[i].route_rank), ==, i);
    }
}

static void
test_no_configuration(void)
{
    struct ct_rank_levels levels;

    memset(&levels, 0, sizeof(levels));
    g_assert_cmpuint(ct_rank_level(&levels, 5, 5), ==, 0);
    set_levels(&levels, new_rows());
    g_assert_cmpuint(ct_rank_level(&levels, 5, 5), ==, 0);
}

/* With more ranks than levels no call passes one that is more urgent. */
static void
test_many_ranks(void)
{
    struct ct_rank_levels levels;
    GArray *rows = new_rows();
    uint32_t last = 0;

    for (uint32_t rank = 0; rank < 100; rank++) {
        add_organisation(rows, rank * 1000003);
        add_organisation(rows, rank);
        add_route(rows, rank);
    }
    set_levels(&levels, rows);
    for (uint32_t rank = 0; rank < 100; rank++) {
        for (uint32_t route = 0; route <= CT_RANK_MAX; route++) {
            uint32_t level = ct_rank_level(&levels, rank, route);

            g_assert_cmpuint(level, <, CT_RANK_LEVELS);
            if (rank <= CT_RANK_MAX) {
                g_assert_cmpuint(level, >=, last);
                last = level;
            }
        }
    }
    g_assert_cmpuint(last, ==, CT_RANK_LEVELS - 1);
    g_assert_cmpuint(ct_rank_level(&levels, UINT32_MAX, UINT32_MAX), ==, last);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rank-levels/order", test_order);
    g_test_add_func("/rank-levels/no-configuration", test_no_configuration);
    g_test_add_func("/rank-levels/many-ranks", test_many_ranks);
    return g_test_run();
}
