#include "prefix-route.h"

#include <string.h>

#include "index.h"

static guint
route_hash(gconstpointer key)
{
    const struct ct_prefix_route *route = key;

    return g_str_hash(route->authority.text) * 31 +
           g_str_hash(route->prefix.text);
}

static gboolean
route_equal(gconstpointer a, gconstpointer b)
{
    const struct ct_prefix_route *x = a;
    const struct ct_prefix_route *y = b;

    return strcmp(x->authority.text, y->authority.text) == 0 &&
           strcmp(x->prefix.text, y->prefix.text) == 0;
}

GHashTable *
ct_prefix_route_index_new(void)
{
    return g_hash_table_new(route_hash, route_equal);
}

static void
include_gap_target(struct ct_pool_row *pool,
                   const struct ct_prefix_route *route)
{
    pool->longest_gap_ms = MAX(pool->longest_gap_ms, route->gap_target_ms);
    if (route->gap_target_ms > 0 &&
        (!pool->tightest_gap_ms ||
         route->gap_target_ms < pool->tightest_gap_ms)) {
        pool->tightest_gap_ms = route->gap_target_ms;
    }
}

static void
add_share(struct ct_config *config, const struct ct_pool_share *share)
{
    struct ct_handle pool = ct_config_pool(config, &share->pool);
    struct ct_pool_row *pool_row = ct_table_get(&config->pools, pool);
    struct ct_prefix_route_row *route = ct_table_get(
        &config->prefix_routes,
        ct_index_get(config->prefix_route_by_name, &share->route));

    const struct ct_route_pool route_pool = {pool, share->weight};

    if (!route) {
        return;
    }
    if (!route->pools) {
        route->pools = g_array_new(FALSE, TRUE, sizeof(struct ct_route_pool));
    }
    g_array_append_val(route->pools, route_pool);
    if (pool_row) {
        include_gap_target(pool_row, &route->conf);
    }
}

static void
add_order_zone(struct ct_config *config, const struct ct_order_zone *zone)
{
    struct ct_pool_row *pool =
        ct_table_get(&config->pools, ct_config_pool(config, &zone->pool));

    if (!pool) {
        return;
    }
    if (!pool->order_zones) {
        pool->order_zones =
            g_array_new(FALSE, TRUE, sizeof(struct ct_order_zone));
    }
    g_array_append_val(pool->order_zones, *zone);
}

/* Removes the links that an earlier configuration set. */
static void
clear_links(struct ct_config *config)
{
    struct ct_prefix_route_row *route;
    struct ct_pool_row *pool;
    uint32_t cursor = 0;

    while ((route = ct_table_next(&config->prefix_routes, &cursor, NULL))) {
        if (route->pools) {
            g_array_set_size(route->pools, 0);
        }
    }
    cursor = 0;
    while ((pool = ct_table_next(&config->pools, &cursor, NULL))) {
        pool->tightest_gap_ms = 0;
        pool->longest_gap_ms = 0;
        if (pool->order_zones) {
            g_array_set_size(pool->order_zones, 0);
        }
    }
}

void
ct_prefix_routes_link(struct ct_config *config, struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;
    struct ct_prefix_route_row *route;
    struct ct_handle handle;
    uint32_t cursor = 0;

    g_hash_table_remove_all(config->prefix_route_by_key);
    clear_links(config);
    while ((route = ct_table_next(&config->prefix_routes, &cursor, &handle))) {
        if (route->configured) {
            ct_index_add(config->prefix_route_by_key, &route->conf, handle);
        }
    }
    for (uint32_t i = 0; i < rows.n; i++) {
        if (row[i].kind == CT_CONFIG_POOL_SHARE) {
            add_share(config, &row[i].u.pool_share);
        }
        else if (row[i].kind == CT_CONFIG_ORDER_ZONE) {
            add_order_zone(config, &row[i].u.order_zone);
        }
    }
}

struct ct_handle
ct_prefix_route_find(const struct ct_config *config,
                     const struct ct_authority *authority,
                     const struct ct_call_path *path)
{
    struct ct_prefix_route key = {.authority = *authority, .prefix = *path};
    struct ct_handle handle;
    char *slash;

    while ((slash = strrchr(key.prefix.text, '/'))) {
        slash[1] = '\0';
        handle = ct_index_get(config->prefix_route_by_key, &key);
        if (!ct_handle_is_none(handle)) {
            return handle;
        }
        slash[0] = '\0';
    }
    return CT_NO_HANDLE;
}

struct ct_handle
ct_prefix_route_pool(const struct ct_prefix_route_row *route, uint64_t hash)
{
    const struct ct_route_pool *pools;
    uint64_t total = 0;
    uint64_t point;
    guint i;

    if (!route->pools) {
        return CT_NO_HANDLE;
    }
    pools = (const struct ct_route_pool *)(void *)route->pools->data;
    for (i = 0; i < route->pools->len; i++) {
        total += pools[i].weight;
    }
    if (total == 0) {
        return CT_NO_HANDLE;
    }
    point = hash % total;
    for (i = 0; point >= pools[i].weight; i++) {
        point -= pools[i].weight;
    }
    return pools[i].pool;
}
