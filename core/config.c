#include "config.h"

#include <string.h>

#include "config-check.h"
#include "error.h"
#include "event.h"
#include "index.h"
#include "prefix-route.h"

static guint
route_hash(gconstpointer key)
{
    const struct ct_route *route = key;

    return g_str_hash(route->path.text) * 31 + g_str_hash(route->model.text);
}

static gboolean
route_equal(gconstpointer a, gconstpointer b)
{
    const struct ct_route *x = a;
    const struct ct_route *y = b;

    return strcmp(x->path.text, y->path.text) == 0 &&
           ct_name_eq(&x->model, &y->model);
}

static void
clear_route(void *row)
{
    g_free(((struct ct_route_row *)row)->allowed);
}

static void
clear_pool(void *row)
{
    struct ct_pool_row *pool = row;

    g_free(pool->upstreams);
    if (pool->order_zones) {
        g_array_free(pool->order_zones, TRUE);
    }
}

static void
clear_prefix_route(void *row)
{
    struct ct_prefix_route_row *route = row;

    if (route->pools) {
        g_array_free(route->pools, TRUE);
    }
}

void
ct_config_init(struct ct_config *config)
{
    memset(config, 0, sizeof(*config));
    ct_table_init(&config->organisations, sizeof(struct ct_organisation_row),
                  0, NULL);
    ct_table_init(&config->classes, sizeof(struct ct_class_row), 0, NULL);
    ct_table_init(&config->pools, sizeof(struct ct_pool_row), 0, clear_pool);
    ct_table_init(&config->routes, sizeof(struct ct_route_row), 0,
                  clear_route);
    ct_table_init(&config->hosts, sizeof(struct ct_host_conf_row), 0, NULL);
    ct_table_init(&config->upstreams, sizeof(struct ct_upstream_row), 0, NULL);
    ct_table_init(&config->prefix_routes, sizeof(struct ct_prefix_route_row),
                  0, clear_prefix_route);
    config->organisation_by_name = ct_index_new_by_name();
    config->class_by_name = ct_index_new_by_name();
    config->pool_by_name = ct_index_new_by_name();
    config->host_by_name = ct_index_new_by_name();
    config->upstream_by_name = ct_index_new_by_name();
    config->route_by_key = g_hash_table_new(route_hash, route_equal);
    config->prefix_route_by_name = ct_index_new_by_name();
    config->prefix_route_by_key = ct_prefix_route_index_new();
}

void
ct_config_free(struct ct_config *config)
{
    g_hash_table_destroy(config->organisation_by_name);
    g_hash_table_destroy(config->class_by_name);
    g_hash_table_destroy(config->pool_by_name);
    g_hash_table_destroy(config->host_by_name);
    g_hash_table_destroy(config->upstream_by_name);
    g_hash_table_destroy(config->route_by_key);
    g_hash_table_destroy(config->prefix_route_by_key);
    g_hash_table_destroy(config->prefix_route_by_name);
    ct_table_free(&config->prefix_routes);
    ct_table_free(&config->organisations);
    ct_table_free(&config->classes);
    ct_table_free(&config->pools);
    ct_table_free(&config->routes);
    ct_table_free(&config->hosts);
    ct_table_free(&config->upstreams);
}

/*
 * Describes the rows of one table, so that all tables share the code below.
 * All row types start with their conf struct, which starts with the key.
 */
struct row_kind {
    struct ct_table *table;
    GHashTable *index;
    size_t conf_bytes;
    size_t configured_offset;
};

#define ROW_KIND(config, member, names, type)                                 \
    ((struct row_kind){&(config)->member, (config)->names,                    \
                       sizeof(((type *)0)->conf),                             \
                       offsetof(type, configured)})

static bool *
configured_flag(const struct row_kind *kind, void *row)
{
    return (bool *)((uint8_t *)row + kind->configured_offset);
}

static void
mark_unconfigured(const struct row_kind *kind)
{
    uint32_t cursor = 0;
    void *row;

    while ((row = ct_table_next(kind->table, &cursor, NULL))) {
        *configured_flag(kind, row) = false;
    }
}

/* Drops the configuration's reference to each row that is not configured. */
static void
remove_unconfigured(const struct row_kind *kind)
{
    uint32_t cursor = 0;
    struct ct_handle handle;
    void *row;

    while ((row = ct_table_next(kind->table, &cursor, &handle))) {
        if (*configured_flag(kind, row)) {
            continue;
        }
        if (ct_handle_eq(ct_index_get(kind->index, row), handle)) {
            g_hash_table_remove(kind->index, row);
            ct_table_unref(kind->table, handle);
        }
    }
}

/* Finds or adds the row of this key and sets its values. */
static void *
update_row(const struct row_kind *kind, const void *conf,
           struct ct_handle *handle)
{
    void *row;

    *handle = ct_index_get(kind->index, conf);
    row = ct_table_get(kind->table, *handle);
    if (!row) {
        if (ct_table_add(kind->table, handle) < 0) {
            return NULL;
        }
        row = ct_table_get(kind->table, *handle);
        memcpy(row, conf, kind->conf_bytes);
        ct_index_add(kind->index, row, *handle);
    }
    else {
        memcpy(row, conf, kind->conf_bytes);
    }
    *configured_flag(kind, row) = true;
    return row;
}

static struct row_kind
row_kind_of(struct ct_config *config, enum ct_config_kind kind)
{
    switch (kind) {
    case CT_CONFIG_ORGANISATION:
        return ROW_KIND(config, organisations, organisation_by_name,
                        struct ct_organisation_row);
    case CT_CONFIG_HOST:
        return ROW_KIND(config, hosts, host_by_name, struct ct_host_conf_row);
    case CT_CONFIG_CLASS:
        return ROW_KIND(config, classes, class_by_name, struct ct_class_row);
    case CT_CONFIG_POOL:
        return ROW_KIND(config, pools, pool_by_name, struct ct_pool_row);
    case CT_CONFIG_UPSTREAM:
        return ROW_KIND(config, upstreams, upstream_by_name,
                        struct ct_upstream_row);
    case CT_CONFIG_PREFIX_ROUTE:
        return ROW_KIND(config, prefix_routes, prefix_route_by_name,
                        struct ct_prefix_route_row);
    case CT_CONFIG_ROUTE:
    case CT_CONFIG_ACCESS:
    case CT_CONFIG_KEY:
    case CT_CONFIG_POOL_SHARE:
    case CT_CONFIG_ORDER_ZONE:
    default:
        return ROW_KIND(config, routes, route_by_key, struct ct_route_row);
    }
}

static const enum ct_config_kind table_kinds[] = {
    CT_CONFIG_ORGANISATION, CT_CONFIG_HOST,     CT_CONFIG_CLASS,
    CT_CONFIG_POOL,         CT_CONFIG_UPSTREAM, CT_CONFIG_ROUTE,
    CT_CONFIG_PREFIX_ROUTE,
};

/* Whether rows of this kind have no table of their own in struct ct_config. */
static bool
has_no_table(enum ct_config_kind kind)
{
    return kind == CT_CONFIG_ACCESS || kind == CT_CONFIG_KEY ||
           kind == CT_CONFIG_POOL_SHARE || kind == CT_CONFIG_ORDER_ZONE;
}

static void
allow_access(struct ct_config *config, const struct ct_access *access)
{
    struct ct_route key = {.path = access->path, .model = access->model};
    struct ct_handle organisation =
        ct_config_organisation(config, &access->organisation);
    struct ct_route_row *route = ct_table_get(
        &config->routes, ct_index_get(config->route_by_key, &key));
    uint32_t byte = organisation.index / 8;

    if (!route || ct_handle_is_none(organisation)) {
        return;
    }
    if (byte >= route->allowed_bytes) {
        route->allowed = g_realloc(route->allowed, byte + 1);
        memset(route->allowed + route->allowed_bytes, 0,
               byte + 1 - route->allowed_bytes);
        route->allowed_bytes = byte + 1;
    }
    route->allowed[byte] |= (uint8_t)(1U << (organisation.index % 8));
}

static void
link_route(struct ct_config *config, struct ct_route_row *route)
{
    route->klass =
        ct_index_get(config->class_by_name, &route->conf.class_name);
    route->pool = ct_index_get(config->pool_by_name, &route->conf.pool);
    g_free(route->allowed);
    route->allowed = NULL;
    route->allowed_bytes = 0;
}

static void
add_to_pool(struct ct_config *config, struct ct_handle handle,
            struct ct_upstream_row *upstream)
{
    struct ct_pool_row *pool;

    upstream->pool = ct_index_get(config->pool_by_name, &upstream->conf.pool);
    pool = ct_table_get(&config->pools, upstream->pool);
    if (!pool || !upstream->configured) {
        return;
    }
    pool->upstreams =
        g_renew(struct ct_handle, pool->upstreams, pool->n_upstreams + 1);
    pool->upstreams[pool->n_upstreams++] = handle;
    upstream->name_hash = ct_name_hash(CT_HASH_SEED, &upstream->conf.name);
}

static void
link_upstreams(struct ct_config *config)
{
    struct ct_upstream_row *upstream;
    struct ct_pool_row *pool;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((pool = ct_table_next(&config->pools, &cursor, NULL))) {
        pool->n_upstreams = 0;
    }
    cursor = 0;
    while ((upstream = ct_table_next(&config->upstreams, &cursor, &handle))) {
        add_to_pool(config, handle, upstream);
    }
}

/* Sets the handles between rows, once the rows of all kinds exist. */
static void
link_rows(struct ct_config *config, struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;
    struct ct_class_row *klass;
    struct ct_route_row *route;
    uint32_t cursor = 0;
    uint32_t i;

    while ((route = ct_table_next(&config->routes, &cursor, NULL))) {
        link_route(config, route);
    }
    cursor = 0;
    while ((klass = ct_table_next(&config->classes, &cursor, NULL))) {
        ct_retry_set_class(&klass->retry, &klass->conf);
    }
    link_upstreams(config);
    ct_prefix_routes_link(config, rows);
    ct_rank_levels_set(&config->rank_levels, rows);
    for (i = 0; i < rows.n; i++) {
        if (row[i].kind == CT_CONFIG_ACCESS) {
            allow_access(config, &row[i].u.access);
        }
    }
}

/* Marks listed upstreams as configured even if they are not declared. */
static void
restore_listed(struct ct_config *config)
{
    struct ct_upstream_row *upstream;
    uint32_t cursor = 0;

    while ((upstream = ct_table_next(&config->upstreams, &cursor, NULL))) {
        upstream->declared = upstream->configured;
        upstream->configured = upstream->declared || upstream->listed;
    }
}

static int
list_upstream(struct ct_config *config, const struct ct_listed_upstream *item)
{
    struct row_kind kind = row_kind_of(config, CT_CONFIG_UPSTREAM);
    struct ct_upstream_row *row;
    struct ct_handle handle;

    row = ct_table_get(&config->upstreams,
                       ct_config_upstream(config, &item->upstream.name));
    if (!row) {
        row = update_row(&kind, &item->upstream, &handle);
    }
    if (!row) {
        return CT_ERR_NO_MEMORY;
    }
    row->configured = true;
    row->listed = true;
    row->state = item->leaving       ? CT_UPSTREAM_LEAVING
                 : item->unconfirmed ? CT_UPSTREAM_UNCONFIRMED
                                     : CT_UPSTREAM_RUNNING;
    return CT_OK;
}

int
ct_config_list_upstreams(struct ct_config *config, struct ct_rows rows)
{
    const struct ct_listed_upstream *item = rows.data;
    struct row_kind kind = row_kind_of(config, CT_CONFIG_UPSTREAM);
    struct ct_upstream_row *upstream;
    uint32_t cursor = 0;
    uint32_t i;
    int err = CT_OK;

    if (rows.n && rows.row_size != sizeof(*item)) {
        return CT_ERR_INVALID;
    }
    while ((upstream = ct_table_next(&config->upstreams, &cursor, NULL))) {
        upstream->listed = false;
        upstream->configured = upstream->declared;
    }
    for (i = 0; i < rows.n && err == CT_OK; i++) {
        err = list_upstream(config, &item[i]);
    }
    remove_unconfigured(&kind);
    link_upstreams(config);
    return err;
}

int
ct_config_apply(struct ct_config *config, int64_t offset, struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;
    struct ct_handle handle;
    struct row_kind kind;
    uint32_t i;
    int err;

    err = ct_config_check(rows);
    if (err < 0) {
        return err;
    }
    for (i = 0; i < G_N_ELEMENTS(table_kinds); i++) {
        kind = row_kind_of(config, table_kinds[i]);
        mark_unconfigured(&kind);
    }
    for (i = 0; i < rows.n; i++) {
        if (has_no_table(row[i].kind)) {
            continue;
        }
        kind = row_kind_of(config, row[i].kind);
        if (!update_row(&kind, &row[i].u, &handle)) {
            return CT_ERR_NO_MEMORY;
        }
    }
    restore_listed(config);
    for (i = 0; i < G_N_ELEMENTS(table_kinds); i++) {
        kind = row_kind_of(config, table_kinds[i]);
        remove_unconfigured(&kind);
    }
    link_rows(config, rows);
    config->offset = offset;
    return CT_OK;
}

static void
export_table(struct ct_config *config, enum ct_config_kind kind, GArray *out)
{
    struct row_kind rows = row_kind_of(config, kind);
    uint32_t cursor = 0;
    void *row;

    while ((row = ct_table_next(rows.table, &cursor, NULL))) {
        struct ct_config_row copy;

        if (!*configured_flag(&rows, row) ||
            (kind == CT_CONFIG_UPSTREAM &&
             !((const struct ct_upstream_row *)row)->declared)) {
            continue;
        }
        memset(&copy, 0, sizeof(copy));
        copy.kind = kind;
        memcpy(&copy.u, row, rows.conf_bytes);
        g_array_append_val(out, copy);
    }
}

static void
export_access(const struct ct_config *config, GArray *out)
{
    const struct ct_organisation_row *organisation;
    const struct ct_route_row *route;
    struct ct_handle route_handle;
    uint32_t cursor = 0;

    while ((route = ct_table_next(&config->routes, &cursor, &route_handle))) {
        struct ct_handle handle;
        uint32_t inner = 0;

        if (!route->configured || route->conf.open_to_all) {
            continue;
        }
        while ((organisation =
                    ct_table_next(&config->organisations, &inner, &handle))) {
            struct ct_config_row copy;

            if (!ct_config_may_call(config, route_handle, handle)) {
                continue;
            }
            memset(&copy, 0, sizeof(copy));
            copy.kind = CT_CONFIG_ACCESS;
            copy.u.access.path = route->conf.path;
            copy.u.access.model = route->conf.model;
            copy.u.access.organisation = organisation->conf.name;
            g_array_append_val(out, copy);
        }
    }
}

struct ct_config_row *
ct_config_export(const struct ct_config *config, uint32_t *n)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    uint32_t i;

    for (i = 0; i < G_N_ELEMENTS(table_kinds); i++) {
        export_table((struct ct_config *)config, table_kinds[i], out);
    }
    export_access(config, out);
    *n = out->len;
    return (struct ct_config_row *)(void *)g_array_free(out, FALSE);
}

size_t
ct_config_bytes(const struct ct_config *config)
{
    const struct ct_route_row *route;
    uint32_t cursor = 0;
    size_t n;

    n = ct_table_bytes(&config->organisations) +
        ct_table_bytes(&config->classes) + ct_table_bytes(&config->pools) +
        ct_table_bytes(&config->routes) + ct_table_bytes(&config->hosts) +
        ct_table_bytes(&config->upstreams);
    while ((route = ct_table_next(&config->routes, &cursor, NULL))) {
        n += route->allowed_bytes;
    }
    return n;
}

struct ct_config_row *
ct_config_rows_add(GArray *rows, enum ct_config_kind kind)
{
    guint last = rows->len;
    struct ct_config_row *row;

    g_array_set_size(rows, last + 1);
    row = &g_array_index(rows, struct ct_config_row, last);
    row->kind = kind;
    return row;
}
