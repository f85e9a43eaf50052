#include "service-checks.h"

#include <string.h>

#include "error.h"

#define PERCENT_MAX 100
#define ROW_KEY_MAX (CT_PATH_MAX + 2 * CT_NAME_MAX + 16)

static const struct ct_config_row *
row_at(const struct ct_config_draft *draft, guint i)
{
    return &g_array_index(draft->rows, struct ct_config_row, i);
}

static void
report_row(struct ct_config_draft *draft, guint i, int err, const char *name,
           const char *value)
{
    const struct ct_row_source *source =
        &g_array_index(draft->sources, struct ct_row_source, i);
    char field[CT_DIAG_FIELD_MAX];

    g_snprintf(field, sizeof(field), "%.60s.%s", source->field, name);
    ct_diags_add(draft->diags, err, source->file, source->line, field, value);
}

/*
 * Writes the key that identifies a row among its kind: the name, or the path
 * and model of a route, and also the organisation of an access row.
 */
static void
row_key(const struct ct_config_row *row, char *key, gulong size)
{
    const char *name = "";

    switch (row->kind) {
    case CT_CONFIG_ORGANISATION:
        name = row->u.organisation.name.text;
        break;
    case CT_CONFIG_HOST:
        name = row->u.host.name.text;
        break;
    case CT_CONFIG_CLASS:
        name = row->u.klass.name.text;
        break;
    case CT_CONFIG_POOL:
        name = row->u.pool.name.text;
        break;
    case CT_CONFIG_UPSTREAM:
        name = row->u.upstream.name.text;
        break;
    case CT_CONFIG_ROUTE:
        g_snprintf(key, size, "%s %s", row->u.route.path.text,
                   row->u.route.model.text);
        return;
    case CT_CONFIG_ACCESS:
        g_snprintf(key, size, "%s %s %s", row->u.access.path.text,
                   row->u.access.model.text, row->u.access.organisation.text);
        return;
    case CT_CONFIG_PREFIX_ROUTE:
    case CT_CONFIG_POOL_SHARE:
    case CT_CONFIG_ORDER_ZONE:
    case CT_CONFIG_KEY:
        /* These kinds do not occur in service files. */
        break;
    }
    g_strlcpy(key, name, size);
}

/* Writes the kind and key of a row as a key of the index. */
static void
index_key(enum ct_config_kind kind, const char *key, char *out, gulong size)
{
    g_snprintf(out, size, "%d %s", (int)kind, key);
}

/* Returns the position of the first row with this kind and key, or -1. */
static int
find_row(const struct ct_config_draft *draft, enum ct_config_kind kind,
         const char *key)
{
    char text[ROW_KEY_MAX];
    gpointer i;

    index_key(kind, key, text, sizeof(text));
    return g_hash_table_lookup_extended(draft->index, text, NULL, &i)
               ? GPOINTER_TO_INT(i)
               : -1;
}

static void
build_index(struct ct_config_draft *draft)
{
    char key[ROW_KEY_MAX];
    char text[ROW_KEY_MAX];

    draft->index =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < draft->rows->len; i++) {
        row_key(row_at(draft, i), key, sizeof(key));
        index_key(row_at(draft, i)->kind, key, text, sizeof(text));
        if (!g_hash_table_contains(draft->index, text)) {
            g_hash_table_insert(draft->index, g_strdup(text),
                                GUINT_TO_POINTER(i));
        }
    }
}

static guint
count_access_rows(const struct ct_config_draft *draft, guint route)
{
    guint i = route + 1;

    while (i < draft->rows->len &&
           row_at(draft, i)->kind == CT_CONFIG_ACCESS) {
        i++;
    }
    return i - route - 1;
}

/* Whether an access row belongs to a repeated declaration of a route. */
static bool
is_of_duplicate_route(const struct ct_config_draft *draft, guint i)
{
    const struct ct_access *access = &row_at(draft, i)->u.access;
    char key[ROW_KEY_MAX];
    int route;

    g_snprintf(key, sizeof(key), "%s %s", access->path.text,
               access->model.text);
    route = find_row(draft, CT_CONFIG_ROUTE, key);
    return i > (guint)route + count_access_rows(draft, (guint)route);
}

static void
check_duplicate(struct ct_config_draft *draft, guint i)
{
    const struct ct_config_row *row = row_at(draft, i);
    char key[ROW_KEY_MAX];
    const char *name = "name";

    row_key(row, key, sizeof(key));
    if (row->kind == CT_CONFIG_ROUTE) {
        name = "path";
    }
    else if (row->kind == CT_CONFIG_ACCESS) {
        name = "organisations";
        if (is_of_duplicate_route(draft, i)) {
            return;
        }
    }
    if (key[0] && find_row(draft, row->kind, key) != (int)i) {
        report_row(draft, i, CT_ERR_EXISTS, name, key);
    }
}

/*
 * Whether the named row exists; reports it if not, except for an empty name,
 * which ct_schema_read() has reported.
 */
static bool
check_reference(struct ct_config_draft *draft, guint i, const char *field,
                enum ct_config_kind kind, const struct ct_name *name)
{
    if (!name->text[0]) {
        return false;
    }
    if (find_row(draft, kind, name->text) >= 0) {
        return true;
    }
    report_row(draft, i, CT_ERR_REFERENCE_UNKNOWN, field, name->text);
    return false;
}

static void
check_host(struct ct_config_draft *draft, guint i)
{
    const struct ct_host *host = &row_at(draft, i)->u.host;

    for (guint j = 0; j < i; j++) {
        const struct ct_config_row *other = row_at(draft, j);

        if (other->kind == CT_CONFIG_HOST && host->caller_address.text[0] &&
            strcmp(other->u.host.caller_address.text,
                   host->caller_address.text) == 0) {
            report_row(draft, i, CT_ERR_EXISTS, "caller_address",
                       host->caller_address.text);
        }
    }
}

static void
check_class(struct ct_config_draft *draft, guint i)
{
    const struct ct_class *klass = &row_at(draft, i)->u.klass;

    if (klass->first_token_target_ms == 0 && klass->total_target_ms == 0) {
        report_row(draft, i, CT_ERR_FIELD_MISSING, "first_token_target_ms",
                   NULL);
    }
}

static guint
count_upstreams(const struct ct_config_draft *draft,
                const struct ct_name *pool)
{
    guint n = 0;

    for (guint i = 0; i < draft->rows->len; i++) {
        const struct ct_config_row *row = row_at(draft, i);

        n += row->kind == CT_CONFIG_UPSTREAM &&
             ct_name_eq(&row->u.upstream.pool, pool);
    }
    return n;
}

static bool
class_uses_pool(const struct ct_config_draft *draft,
                const struct ct_name *class_name, const struct ct_name *pool)
{
    for (guint i = 0; i < draft->rows->len; i++) {
        const struct ct_config_row *row = row_at(draft, i);

        if (row->kind == CT_CONFIG_ROUTE &&
            ct_name_eq(&row->u.route.class_name, class_name) &&
            ct_name_eq(&row->u.route.pool, pool)) {
            return true;
        }
    }
    return false;
}

static void
check_pool(struct ct_config_draft *draft, guint i)
{
    const struct ct_pool *pool = &row_at(draft, i)->u.pool;
    uint64_t reserve_percent = 0;

    if (pool->min_upstreams > pool->max_upstreams) {
        report_row(draft, i, CT_ERR_FIELD_RANGE, "min_upstreams", NULL);
    }
    if (pool->max_upstreams == 0 && count_upstreams(draft, &pool->name) == 0) {
        report_row(draft, i, CT_ERR_FIELD_MISSING, "max_upstreams", NULL);
    }
    for (guint j = 0; j < draft->rows->len; j++) {
        const struct ct_config_row *row = row_at(draft, j);

        if (row->kind == CT_CONFIG_CLASS &&
            class_uses_pool(draft, &row->u.klass.name, &pool->name)) {
            reserve_percent += row->u.klass.reserve_percent;
        }
    }
    if (reserve_percent > PERCENT_MAX) {
        report_row(draft, i, CT_ERR_FIELD_RANGE, "reserve_percent",
                   pool->name.text);
    }
}

/* A class that may not use cheap upstreams needs a firm one in the pool. */
static void
check_firm_upstream(struct ct_config_draft *draft, guint i)
{
    const struct ct_route *route = &row_at(draft, i)->u.route;
    int klass = find_row(draft, CT_CONFIG_CLASS, route->class_name.text);
    guint n_firm = 0;

    if (row_at(draft, (guint)klass)->u.klass.cheap_allowed ||
        count_upstreams(draft, &route->pool) == 0) {
        return;
    }
    for (guint j = 0; j < draft->rows->len; j++) {
        const struct ct_config_row *row = row_at(draft, j);

        n_firm += row->kind == CT_CONFIG_UPSTREAM && !row->u.upstream.cheap &&
                  ct_name_eq(&row->u.upstream.pool, &route->pool);
    }
    if (n_firm == 0) {
        report_row(draft, i, CT_ERR_FIELD_RANGE, "pool", route->pool.text);
    }
}

static void
check_route(struct ct_config_draft *draft, guint i)
{
    const struct ct_route *route = &row_at(draft, i)->u.route;
    bool has_class = check_reference(draft, i, "class", CT_CONFIG_CLASS,
                                     &route->class_name);
    bool has_pool =
        check_reference(draft, i, "pool", CT_CONFIG_POOL, &route->pool);
    guint n_access_rows = count_access_rows(draft, i);
    int pool;

    if (!route->open_to_all && n_access_rows == 0) {
        report_row(draft, i, CT_ERR_FIELD_MISSING, "organisations", NULL);
    }
    if (route->open_to_all && n_access_rows > 0) {
        report_row(draft, i, CT_ERR_FIELD_RANGE, "open_to_all", NULL);
    }
    if (has_class && has_pool) {
        check_firm_upstream(draft, i);
    }
    if (has_pool && route->model.text[0]) {
        pool = find_row(draft, CT_CONFIG_POOL, route->pool.text);
        if (row_at(draft, (guint)pool)->u.pool.kind == CT_POOL_PLAIN) {
            report_row(draft, i, CT_ERR_FIELD_RANGE, "model",
                       route->model.text);
        }
    }
}

static void
check_row(struct ct_config_draft *draft, guint i)
{
    const struct ct_config_row *row = row_at(draft, i);

    check_duplicate(draft, i);
    switch (row->kind) {
    case CT_CONFIG_HOST:
        check_host(draft, i);
        break;
    case CT_CONFIG_CLASS:
        check_class(draft, i);
        break;
    case CT_CONFIG_ROUTE:
        check_route(draft, i);
        break;
    case CT_CONFIG_ACCESS:
        check_reference(draft, i, "organisations", CT_CONFIG_ORGANISATION,
                        &row->u.access.organisation);
        break;
    case CT_CONFIG_POOL:
        check_pool(draft, i);
        break;
    case CT_CONFIG_UPSTREAM:
        check_reference(draft, i, "pool", CT_CONFIG_POOL,
                        &row->u.upstream.pool);
        break;
    case CT_CONFIG_ORGANISATION:
    case CT_CONFIG_PREFIX_ROUTE:
    case CT_CONFIG_POOL_SHARE:
    case CT_CONFIG_ORDER_ZONE:
    case CT_CONFIG_KEY:
        break;
    }
}

static bool
has_row_of_kind(const struct ct_config_draft *draft, enum ct_config_kind kind)
{
    for (guint i = 0; i < draft->rows->len; i++) {
        if (row_at(draft, i)->kind == kind) {
            return true;
        }
    }
    return false;
}

void
ct_service_checks(struct ct_config_draft *draft, const char *dir)
{
    if (draft->rows->len == 0 && ct_diags_count(draft->diags) > 0) {
        /* No row could be read; the findings say why. */
        return;
    }
    build_index(draft);
    for (guint i = 0; i < draft->rows->len; i++) {
        check_row(draft, i);
    }
    g_clear_pointer(&draft->index, g_hash_table_unref);
    if (!has_row_of_kind(draft, CT_CONFIG_HOST)) {
        ct_diags_add(draft->diags, CT_ERR_FIELD_MISSING, dir, 0, "hosts",
                     NULL);
    }
}
