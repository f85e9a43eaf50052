/* Tests of prefix-route.h: longest prefix match, and pool shares. */
#include <string.h>

#include "lib-relay.h"
#include "prefix-route.h"

static void
add_route(GArray *rows, const char *name, const char *authority,
          const char *prefix)
{
    struct ct_prefix_route *route =
        &ct_config_rows_add(rows, CT_CONFIG_PREFIX_ROUTE)->u.prefix_route;

    CT_TEXT_SET(route->name, name);
    CT_TEXT_SET(route->authority, authority);
    CT_TEXT_SET(route->prefix, prefix);
}

static void
add_pool_share(GArray *rows, const char *route, const char *pool,
               uint32_t weight)
{
    struct ct_pool_share *share =
        &ct_config_rows_add(rows, CT_CONFIG_POOL_SHARE)->u.pool_share;

    CT_TEXT_SET(share->route, route);
    CT_TEXT_SET(share->pool, pool);
    share->weight = weight;
}

static void
apply_config(struct ct_config *config, int64_t version, GArray *rows)
{
    const struct ct_rows config_rows =
        CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);

    g_assert_cmpint(ct_config_apply(config, version, config_rows), ==, CT_OK);
}

static void
test_find(void)
{
    static const struct {
        const char *authority, *path, *route;
    } cases[] = {
        {"a.example", "/", "root"},
        {"a.example", "/x", "root"},
        {"a.example", "/one/", "one"},
        {"a.example", "/one", "root"},
        {"a.example", "/one/two/three", "two"},
        {"a.example", "/one/twofold", "one"},
        {"b.example", "/one/two/", "other"},
        {"b.example", "/two/", NULL},
        {"c.example", "/one/", NULL},
        {"a.example", "one/", NULL},
    };
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_config config;

    add_route(rows, "root", "a.example", "/");
    add_route(rows, "one", "a.example", "/one/");
    add_route(rows, "two", "a.example", "/one/two/");
    add_route(rows, "other", "b.example", "/one/");
    ct_config_init(&config);
    apply_config(&config, 1, rows);
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct ct_prefix_route_row *row;
        struct ct_authority authority = {{0}};
        struct ct_call_path path = {{0}};

        CT_TEXT_SET(authority, cases[i].authority);
        CT_TEXT_SET(path, cases[i].path);
        row = ct_table_get(&config.prefix_routes,
                           ct_prefix_route_find(&config, &authority, &path));
        g_assert_cmpstr(row ? row->conf.name.text : NULL, ==, cases[i].route);
    }
    ct_config_free(&config);
    g_array_free(rows, TRUE);
}

/* A route is changed and then removed while a request references it. */
static void
test_changes(void)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_authority authority = {"a.example"};
    struct ct_call_path path = {"/one/x"};
    struct ct_config config;
    struct ct_handle referenced;

    add_route(rows, "one", "a.example", "/one/");
    ct_config_init(&config);
    apply_config(&config, 1, rows);
    referenced = ct_prefix_route_find(&config, &authority, &path);
    ct_table_ref(&config.prefix_routes, referenced);
    g_array_set_size(rows, 0);
    add_route(rows, "one", "a.example", "/uno/");
    apply_config(&config, 2, rows);
    g_assert_true(
        ct_handle_is_none(ct_prefix_route_find(&config, &authority, &path)));
    g_array_set_size(rows, 0);
    apply_config(&config, 3, rows);
    g_assert_nonnull(ct_table_get(&config.prefix_routes, referenced));
    ct_table_unref(&config.prefix_routes, referenced);
    g_assert_null(ct_table_get(&config.prefix_routes, referenced));
    ct_config_free(&config);
    g_array_free(rows, TRUE);
}

static void
test_shares(void)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    const struct ct_prefix_route_row *row;
    struct ct_authority authority = {"a.example"};
    struct ct_call_path path = {"/one/x"};
    struct ct_name first = {"p"};
    struct ct_config config;
    guint first_count = 0;

    CT_TEXT_SET(ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool.name, "p");
    CT_TEXT_SET(ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool.name, "q");
    add_route(rows, "one", "a.example", "/one/");
    add_pool_share(rows, "one", "p", 90);
    add_pool_share(rows, "one", "q", 10);
    ct_config_init(&config);
    apply_config(&config, 1, rows);
    row = ct_table_get(&config.prefix_routes,
                       ct_prefix_route_find(&config, &authority, &path));
    for (uint64_t hash = 0; hash < 1000; hash++) {
        first_count += ct_handle_eq(ct_prefix_route_pool(row, hash),
                                    ct_config_pool(&config, &first));
    }
    g_assert_cmpuint(first_count, ==, 900);
    g_array_set_size(rows, rows->len - 2);
    apply_config(&config, 2, rows);
    g_assert_true(ct_handle_is_none(ct_prefix_route_pool(row, 1)));
    ct_config_free(&config);
    g_array_free(rows, TRUE);
}

/*
 * Guards against pools that get no calls because a route has many: each of 40
 * takes its share.
 */
static void
test_many_shares(void)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    const struct ct_prefix_route_row *row;
    struct ct_authority authority = {"a.example"};
    struct ct_call_path path = {"/one/x"};
    struct ct_config config;

    add_route(rows, "one", "a.example", "/one/");
    for (int i = 0; i < 40; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "p%d", i);
        CT_TEXT_SET(ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool.name,
                    name);
        add_pool_share(rows, "one", name, 5);
    }
    ct_config_init(&config);
    apply_config(&config, 1, rows);
    row = ct_table_get(&config.prefix_routes,
                       ct_prefix_route_find(&config, &authority, &path));
    for (uint64_t hash = 0; hash < 200; hash++) {
        struct ct_name name = {{0}};

        g_snprintf(name.text, sizeof(name.text), "p%d", (int)hash / 5);
        g_assert_true(ct_handle_eq(ct_prefix_route_pool(row, hash),
                                   ct_config_pool(&config, &name)));
    }
    ct_config_free(&config);
    g_array_free(rows, TRUE);
}

/*
 * A pool's tightest and longest gap are those targets of the routes to it that
 * have one, also after a new configuration.
 */
static void
test_tightest_gap(void)
{
    static const struct {
        ct_ms gap_ms[2], tightest_ms, longest_ms;
    } cases[] = {{{800, 200}, 200, 800},
                 {{200, 800}, 200, 800},
                 {{0, 300}, 300, 300},
                 {{0, 0}, 0, 0}};
    const struct ct_pool_row *pool;
    struct ct_config config;
    struct ct_name name = {{0}};

    CT_TEXT_SET(name, "engines");
    ct_config_init(&config);
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));

        CT_TEXT_SET(ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool.name,
                    "engines");
        for (guint j = 0; j < 2; j++) {
            const char *route = j == 0 ? "one" : "two";

            add_route(rows, route, "a.example", j == 0 ? "/1/" : "/2/");
            g_array_index(rows, struct ct_config_row, rows->len - 1)
                .u.prefix_route.gap_target_ms = cases[i].gap_ms[j];
            add_pool_share(rows, route, "engines", 1);
        }
        apply_config(&config, i + 1, rows);
        pool = ct_table_get(&config.pools, ct_config_pool(&config, &name));
        g_assert_cmpint(pool->tightest_gap_ms, ==, cases[i].tightest_ms);
        g_assert_cmpint(pool->longest_gap_ms, ==, cases[i].longest_ms);
        g_array_free(rows, TRUE);
    }
    ct_config_free(&config);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/prefix-route/find", test_find);
    g_test_add_func("/prefix-route/changes", test_changes);
    g_test_add_func("/prefix-route/shares", test_shares);
    g_test_add_func("/prefix-route/many-shares", test_many_shares);
    g_test_add_func("/prefix-route/tightest-gap", test_tightest_gap);
    return g_test_run();
}
