#include "config-findings.h"

#include <string.h>

#include "error.h"
#include "index.h"
#include "prefix-route.h"

/* Names of findings that concern no single item. */
#define LIMITS_NAME "limits"
#define ORGANISATIONS_NAME "organisations"

/* A configuration that is being checked. */
struct checker {
    const struct ct_decoded_config *decoded;
    GArray *findings;
    /* Names that rows of shares and keys refer to; keys are in the rows. */
    GHashTable *used_services;
    GHashTable *organisations_with_keys;
    /* From the names of the rows of routes to struct route_entry. */
    GHashTable *routes;
    /* struct route_entry */
    GArray *entries;
};

/* A route with its row and its name for messages. */
struct route_entry {
    const struct ct_prefix_route *route;
    const struct ct_decoded_route *decoded;
    struct ct_name name;
};

static const struct ct_config_row *
row_at(const struct checker *c, guint i)
{
    return &g_array_index(c->decoded->rows, struct ct_config_row, i);
}

static struct ct_finding *
add(struct checker *c, enum ct_finding_kind kind, enum ct_config_kind item,
    const struct ct_name *name)
{
    return ct_finding_add(c->findings, kind, item, name->text);
}

/* Adds a finding on a value of an item that contradicts another one. */
static void
add_contradiction(struct checker *c, enum ct_finding_kind kind,
                  enum ct_config_kind item, const char *name, int64_t value,
                  int64_t limit)
{
    struct ct_finding *finding = ct_finding_add(c->findings, kind, item, name);

    finding->value = value;
    finding->limit = limit;
}

/* Returns the name for messages of the route with that name in its row. */
static const struct ct_name *
route_name(const struct checker *c, const struct ct_name *name)
{
    const struct route_entry *entry = g_hash_table_lookup(c->routes, name);

    return entry != NULL ? &entry->name : name;
}

static void
name_left_out(const struct checker *c, const struct ct_left_out *item,
              struct ct_finding *finding)
{
    const char *group = item->kind == CT_CONFIG_ORGANISATION
                            ? ORGANISATIONS_NAME
                            : LIMITS_NAME;

    finding->whole = item->name.text[0] == '\0';
    if (!finding->whole) {
        finding->name = item->kind == CT_CONFIG_PREFIX_ROUTE
                            ? *route_name(c, &item->name)
                            : item->name;
    }
    else if (item->position > 0) {
        g_snprintf(finding->name.text, sizeof(finding->name.text), "#%u",
                   item->position);
    }
    else {
        g_strlcpy(finding->name.text, group, sizeof(finding->name.text));
    }
}

static void
check_left_out(struct checker *c)
{
    const GArray *items = c->decoded->left_out;

    for (guint i = 0; i < items->len; i++) {
        const struct ct_left_out *item =
            &g_array_index(items, struct ct_left_out, i);
        enum ct_finding_kind kind = item->reason == CT_ERR_REFERENCE_UNKNOWN
                                        ? CT_FINDING_UNKNOWN_SERVICE
                                        : CT_FINDING_LEFT_OUT;
        struct ct_finding *finding = add(c, kind, item->kind, &item->name);

        name_left_out(c, item, finding);
        finding->other = item->reference;
        finding->reason = item->reason;
        g_strlcpy(finding->detail, item->member, sizeof(finding->detail));
    }
}

/* Reports names of rows of a kind that occur twice. */
static void
check_row_names(struct checker *c, enum ct_config_kind kind)
{
    GHashTable *names = ct_index_new_by_name();

    for (guint i = 0; i < c->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(c, i);
        /* Each of these types starts with its name. */
        const struct ct_name *name = (const struct ct_name *)&row->u;

        if (row->kind == kind && !g_hash_table_add(names, (gpointer)name)) {
            add(c, CT_FINDING_DUPLICATE_NAME, kind, name);
        }
    }
    g_hash_table_destroy(names);
}

/* The rows of routes have other names where the written one occurs twice. */
static void
check_route_names(struct checker *c)
{
    GHashTable *names = ct_index_new_by_name();

    for (guint i = 0; i < c->decoded->routes->len; i++) {
        const struct ct_name *name =
            &g_array_index(c->decoded->routes, struct ct_decoded_route, i)
                 .written_name;

        if (name->text[0] != '\0' &&
            !g_hash_table_add(names, (gpointer)name)) {
            add(c, CT_FINDING_DUPLICATE_NAME, CT_CONFIG_PREFIX_ROUTE, name);
        }
    }
    g_hash_table_destroy(names);
}

static void
check_names(struct checker *c)
{
    check_row_names(c, CT_CONFIG_POOL);
    check_row_names(c, CT_CONFIG_ORGANISATION);
    check_route_names(c);
}

static void
check_keys(struct checker *c)
{
    GHashTable *keys = ct_index_new_by_digest();

    for (guint i = 0; i < c->decoded->rows->len; i++) {
        const struct ct_config_key *key = &row_at(c, i)->u.key;
        const struct ct_config_key *first;

        if (row_at(c, i)->kind != CT_CONFIG_KEY) {
            continue;
        }
        first = g_hash_table_lookup(keys, &key->digest);
        if (first == NULL) {
            g_hash_table_insert(keys, (gpointer)&key->digest, (gpointer)key);
        }
        else if (ct_name_eq(&first->organisation, &key->organisation)) {
            add(c, CT_FINDING_REPEATED_KEY, CT_CONFIG_ORGANISATION,
                &key->organisation);
        }
        else {
            add(c, CT_FINDING_SHARED_KEY, CT_CONFIG_ORGANISATION,
                &key->organisation)
                ->other = first->organisation;
        }
    }
    g_hash_table_destroy(keys);
}

static void
check_hidden_routes(struct checker *c)
{
    GHashTable *routes = ct_prefix_route_index_new();

    for (guint i = 0; i < c->entries->len; i++) {
        const struct route_entry *entry =
            &g_array_index(c->entries, struct route_entry, i);
        const struct route_entry *first =
            g_hash_table_lookup(routes, entry->route);

        if (first == NULL) {
            g_hash_table_insert(routes, (gpointer)entry->route,
                                (gpointer)entry);
        }
        else {
            add(c, CT_FINDING_HIDDEN_ROUTE, CT_CONFIG_PREFIX_ROUTE,
                &entry->name)
                ->other = first->name;
        }
    }
    g_hash_table_destroy(routes);
}

/* Checks the shares of a route, the rows that follow that of the route. */
static void
check_shares(struct checker *c, const struct route_entry *entry, guint route)
{
    uint64_t sum = 0;
    guint i;

    for (i = route + 1; i < c->decoded->rows->len &&
                        row_at(c, i)->kind == CT_CONFIG_POOL_SHARE;
         i++) {
        const struct ct_pool_share *share = &row_at(c, i)->u.pool_share;

        sum += share->weight;
        if (share->weight == 0) {
            add(c, CT_FINDING_ZERO_WEIGHT, CT_CONFIG_PREFIX_ROUTE,
                &entry->name)
                ->other = share->pool;
        }
    }
    if (sum == 0 && !entry->decoded->left_out) {
        add(c, CT_FINDING_NO_WEIGHT, CT_CONFIG_PREFIX_ROUTE, &entry->name);
    }
}

static void
check_prefix(struct checker *c, const struct route_entry *entry)
{
    const char *prefix = entry->route->prefix.text;

    if (prefix[0] != '/' || prefix[strlen(prefix) - 1] != '/') {
        add(c, CT_FINDING_PREFIX_FORM, CT_CONFIG_PREFIX_ROUTE, &entry->name);
    }
}

static void
check_route_limits(struct checker *c, const struct route_entry *entry)
{
    const enum ct_config_kind item = CT_CONFIG_PREFIX_ROUTE;
    const struct ct_prefix_route *route = entry->route;
    const char *name = entry->name.text;

    if (entry->decoded->target_ms > route->timeout_ms) {
        add_contradiction(c, CT_FINDING_TARGET_ABOVE_TIMEOUT, item, name,
                          entry->decoded->target_ms, route->timeout_ms);
    }
    if (route->gap_target_ms > route->timeout_ms) {
        add_contradiction(c, CT_FINDING_GAP_ABOVE_TIMEOUT, item, name,
                          route->gap_target_ms, route->timeout_ms);
    }
    if (route->attempts == 0) {
        add(c, CT_FINDING_NO_ATTEMPTS, item, &entry->name);
    }
    if (entry->decoded->may_resume && !route->stream) {
        add(c, CT_FINDING_RESUME_NO_STREAM, item, &entry->name);
    }
    if (route->attempts > 1 && route->repeat == CT_REPEAT_NEVER &&
        !route->stream) {
        add_contradiction(c, CT_FINDING_UNSAFE_ATTEMPTS, item, name,
                          route->attempts, 1);
    }
}

static void
check_routes(struct checker *c)
{
    guint n = 0;

    for (guint i = 0; i < c->decoded->rows->len; i++) {
        const struct route_entry *entry;

        if (row_at(c, i)->kind != CT_CONFIG_PREFIX_ROUTE) {
            continue;
        }
        entry = &g_array_index(c->entries, struct route_entry, n++);
        check_prefix(c, entry);
        check_shares(c, entry, i);
        /* The limits of a route that is left out may be incomplete. */
        if (!entry->decoded->left_out) {
            check_route_limits(c, entry);
        }
    }
}

static void
check_service(struct checker *c, const struct ct_pool *service)
{
    if (!g_hash_table_contains(c->used_services, &service->name)) {
        add(c, CT_FINDING_UNUSED_SERVICE, CT_CONFIG_POOL, &service->name);
    }
    if (service->min_upstreams > service->max_upstreams) {
        add_contradiction(c, CT_FINDING_SCALING_BOUNDS, CT_CONFIG_POOL,
                          service->name.text, service->min_upstreams,
                          service->max_upstreams);
    }
}

static void
check_services_and_organisations(struct checker *c)
{
    for (guint i = 0; i < c->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(c, i);

        if (row->kind == CT_CONFIG_POOL) {
            check_service(c, &row->u.pool);
        }
        else if (row->kind == CT_CONFIG_ORGANISATION &&
                 !g_hash_table_contains(c->organisations_with_keys,
                                        &row->u.organisation.name)) {
            add(c, CT_FINDING_NO_KEYS, CT_CONFIG_ORGANISATION,
                &row->u.organisation.name);
        }
    }
}

static void
check_bounds(struct checker *c)
{
    const struct ct_store_config *config = &c->decoded->config;

    if (!config->has_bounds) {
        return;
    }
    if (config->bounds.head_bytes > CT_HEAD_BYTES_MAX) {
        add_contradiction(c, CT_FINDING_HEAD_LIMIT, 0, LIMITS_NAME,
                          config->bounds.head_bytes, CT_HEAD_BYTES_MAX);
    }
    if (c->decoded->head_timeout_ms > config->bounds.idle_timeout_ms) {
        add_contradiction(c, CT_FINDING_HEAD_TIMEOUT, 0, LIMITS_NAME,
                          c->decoded->head_timeout_ms,
                          config->bounds.idle_timeout_ms);
    }
}

static void
collect_route(struct checker *c, const struct ct_prefix_route *route)
{
    struct route_entry entry = {
        .route = route,
        .decoded = &g_array_index(c->decoded->routes, struct ct_decoded_route,
                                  c->entries->len),
    };

    ct_decoded_route_name(route, entry.decoded, &entry.name);
    g_array_append_val(c->entries, entry);
}

static void
collect_rows(struct checker *c)
{
    for (guint i = 0; i < c->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(c, i);

        if (row->kind == CT_CONFIG_POOL_SHARE) {
            g_hash_table_add(c->used_services,
                             (gpointer)&row->u.pool_share.pool);
        }
        else if (row->kind == CT_CONFIG_KEY) {
            g_hash_table_add(c->organisations_with_keys,
                             (gpointer)&row->u.key.organisation);
        }
        else if (row->kind == CT_CONFIG_PREFIX_ROUTE) {
            collect_route(c, &row->u.prefix_route);
        }
    }
    /* The array does not move any more. */
    for (guint i = 0; i < c->entries->len; i++) {
        struct route_entry *entry =
            &g_array_index(c->entries, struct route_entry, i);

        g_hash_table_insert(c->routes, (gpointer)&entry->route->name, entry);
    }
}

void
ct_config_findings(const struct ct_decoded_config *decoded, GArray *findings)
{
    static void (*const checks[])(struct checker *) = {
        check_left_out,      check_names,  check_keys,
        check_hidden_routes, check_routes, check_services_and_organisations,
        check_bounds,
    };
    struct checker c = {
        .decoded = decoded,
        .findings = findings,
        .used_services = ct_index_new_by_name(),
        .organisations_with_keys = ct_index_new_by_name(),
        .routes = ct_index_new_by_name(),
        .entries = g_array_new(FALSE, TRUE, sizeof(struct route_entry)),
    };

    collect_rows(&c);
    for (guint i = 0; i < G_N_ELEMENTS(checks); i++) {
        checks[i](&c);
    }
    g_hash_table_destroy(c.used_services);
    g_hash_table_destroy(c.organisations_with_keys);
    g_hash_table_destroy(c.routes);
    g_array_free(c.entries, TRUE);
}
