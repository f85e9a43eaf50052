#include "config-changes.h"

#include <string.h>

#include "index.h"
#include "prefix-route.h"

/* One of the two configurations. */
struct side {
    const struct ct_decoded_config *decoded;
    /* From the rows of routes to struct ct_decoded_route. */
    GHashTable *routes;
};

struct comparison {
    struct side next;
    struct side in_force;
    GArray *findings;
};

/* A kind of items that are compared. */
struct item_kind {
    enum ct_config_kind kind;
    /* Makes an index of rows by the key of the item, the first member of u. */
    GHashTable *(*new_index)(void);
    /* Appends what differs between two rows of an item, each with a comma. */
    void (*compare)(const struct comparison *c, const struct ct_config_row *a,
                    const struct ct_config_row *b, GString *out);
};

static const struct ct_config_row *
row_at(const struct side *side, guint i)
{
    return &g_array_index(side->decoded->rows, struct ct_config_row, i);
}

static const struct ct_config_row *
end_of_rows(const struct side *side)
{
    return row_at(side, side->decoded->rows->len);
}

static void
append_if(GString *out, bool differs, const char *what)
{
    if (differs) {
        g_string_append_printf(out, "%s%s", out->len > 0 ? ", " : "", what);
    }
}

/* Whether two routes have different shares, which follow their rows. */
static bool
shares_differ(const struct comparison *c, const struct ct_config_row *a,
              const struct ct_config_row *b)
{
    for (;;) {
        bool more_a =
            ++a < end_of_rows(&c->next) && a->kind == CT_CONFIG_POOL_SHARE;
        bool more_b =
            ++b < end_of_rows(&c->in_force) && b->kind == CT_CONFIG_POOL_SHARE;

        if (!more_a || !more_b) {
            return more_a != more_b;
        }
        if (a->u.pool_share.weight != b->u.pool_share.weight ||
            !ct_name_eq(&a->u.pool_share.pool, &b->u.pool_share.pool)) {
            return true;
        }
    }
}

static void
compare_routes(const struct comparison *c, const struct ct_config_row *a,
               const struct ct_config_row *b, GString *out)
{
    const struct ct_prefix_route *x = &a->u.prefix_route;
    const struct ct_prefix_route *y = &b->u.prefix_route;
    const struct ct_decoded_route *x_unused =
        g_hash_table_lookup(c->next.routes, a);
    const struct ct_decoded_route *y_unused =
        g_hash_table_lookup(c->in_force.routes, b);

    append_if(out,
              !ct_name_eq(&x_unused->written_name, &y_unused->written_name),
              "name");
    append_if(out, x->stream != y->stream || x->repeat != y->repeat, "type");
    append_if(out, x->open_to_all != y->open_to_all,
              x->open_to_all ? "open to all" : "no longer open to all");
    append_if(out, x->sticky != y->sticky, "affinity");
    append_if(out, x->rank != y->rank, "priority");
    append_if(out, x->attempts != y->attempts, "attempts");
    append_if(out, x->timeout_ms != y->timeout_ms, "time limit");
    append_if(out, x_unused->target_ms != y_unused->target_ms, "target");
    append_if(out, x->gap_target_ms != y->gap_target_ms, "gap target");
    append_if(out, shares_differ(c, a, b), "services");
}

static bool
has_order_zone(const struct side *side, const struct ct_order_zone *zone)
{
    for (guint i = 0; i < side->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(side, i);

        if (row->kind == CT_CONFIG_ORDER_ZONE &&
            ct_name_eq(&row->u.order_zone.pool, &zone->pool) &&
            ct_name_eq(&row->u.order_zone.zone, &zone->zone)) {
            return true;
        }
    }
    return false;
}

/* Whether the first side orders the service in a zone that the other lacks. */
static bool
has_other_zone(const struct side *side, const struct side *other,
               const struct ct_name *service)
{
    for (guint i = 0; i < side->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(side, i);

        if (row->kind == CT_CONFIG_ORDER_ZONE &&
            ct_name_eq(&row->u.order_zone.pool, service) &&
            !has_order_zone(other, &row->u.order_zone)) {
            return true;
        }
    }
    return false;
}

static void
compare_services(const struct comparison *c, const struct ct_config_row *a,
                 const struct ct_config_row *b, GString *out)
{
    const struct ct_pool *x = &a->u.pool;
    const struct ct_pool *y = &b->u.pool;

    append_if(out, x->kind != y->kind, "kind");
    append_if(out, x->backs_up != y->backs_up, "backups");
    append_if(out,
              x->min_upstreams != y->min_upstreams ||
                  x->max_upstreams != y->max_upstreams,
              "bounds of scaling");
    append_if(out,
              has_other_zone(&c->next, &c->in_force, &x->name) ||
                  has_other_zone(&c->in_force, &c->next, &x->name),
              "zones");
}

static void
compare_organisations(const struct comparison *c,
                      const struct ct_config_row *a,
                      const struct ct_config_row *b, GString *out)
{
    const struct ct_organisation *x = &a->u.organisation;
    const struct ct_organisation *y = &b->u.organisation;

    (void)c;
    append_if(out, x->has_rank != y->has_rank || x->rank != y->rank,
              "priority");
}

static void
compare_keys(const struct comparison *c, const struct ct_config_row *a,
             const struct ct_config_row *b, GString *out)
{
    (void)c;
    append_if(out, !ct_name_eq(&a->u.key.organisation, &b->u.key.organisation),
              "organisation");
}

static const struct item_kind item_kinds[] = {
    {CT_CONFIG_PREFIX_ROUTE, ct_prefix_route_index_new, compare_routes},
    {CT_CONFIG_POOL, ct_index_new_by_name, compare_services},
    {CT_CONFIG_ORGANISATION, ct_index_new_by_name, compare_organisations},
    {CT_CONFIG_KEY, ct_index_new_by_digest, compare_keys},
};

/* Indexes the rows of a kind; of several with one key the last counts. */
static GHashTable *
index_rows(const struct side *side, const struct item_kind *kind)
{
    GHashTable *index = kind->new_index();

    for (guint i = 0; i < side->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(side, i);

        if (row->kind == kind->kind) {
            g_hash_table_replace(index, (gpointer)&row->u, (gpointer)row);
        }
    }
    return index;
}

static void
name_route(const struct side *side, const struct ct_config_row *row,
           struct ct_name *name)
{
    ct_decoded_route_name(&row->u.prefix_route,
                          g_hash_table_lookup(side->routes, row), name);
}

/* Adds a finding on the item of a row of that side. */
static struct ct_finding *
add_item(struct comparison *c, enum ct_finding_kind kind,
         const struct side *side, const struct ct_config_row *row)
{
    struct ct_name name = {""};
    struct ct_finding *finding;

    if (row->kind == CT_CONFIG_KEY) {
        ct_finding_name_key(&row->u.key.digest, &name);
    }
    else if (row->kind == CT_CONFIG_PREFIX_ROUTE) {
        name_route(side, row, &name);
    }
    else {
        /* Each of the other types starts with its name. */
        memcpy(&name, &row->u, sizeof(name));
    }
    finding = ct_finding_add(c->findings, kind, row->kind, name.text);
    if (row->kind == CT_CONFIG_KEY) {
        finding->other = row->u.key.organisation;
    }
    return finding;
}

/*
 * Sets other to the route that takes the calls of a removed one: that of the
 * same host with the longest prefix of its prefix.
 */
static void
name_successor(const struct side *side, GHashTable *routes,
               const struct ct_prefix_route *removed, struct ct_name *other)
{
    struct ct_prefix_route key = *removed;
    const struct ct_config_row *row;
    char *slash;

    while ((slash = strrchr(key.prefix.text, '/')) != NULL) {
        slash[1] = '\0';
        row = g_hash_table_lookup(routes, &key);
        if (row != NULL) {
            name_route(side, row, other);
            return;
        }
        slash[0] = '\0';
    }
}

static void
report_removed(struct comparison *c, GHashTable *next, GHashTable *in_force,
               const struct item_kind *kind)
{
    for (guint i = 0; i < c->in_force.decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(&c->in_force, i);
        struct ct_finding *finding;

        if (row->kind != kind->kind ||
            g_hash_table_lookup(in_force, &row->u) != row ||
            g_hash_table_contains(next, &row->u)) {
            continue;
        }
        finding = add_item(c, CT_FINDING_REMOVED, &c->in_force, row);
        if (row->kind == CT_CONFIG_PREFIX_ROUTE) {
            name_successor(&c->next, next, &row->u.prefix_route,
                           &finding->other);
        }
    }
}

static void
report_added_and_changed(struct comparison *c, GHashTable *next,
                         GHashTable *in_force, const struct item_kind *kind)
{
    GString *what = g_string_new(NULL);

    for (guint i = 0; i < c->next.decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(&c->next, i);
        const struct ct_config_row *old;

        if (row->kind != kind->kind ||
            g_hash_table_lookup(next, &row->u) != row) {
            continue;
        }
        old = g_hash_table_lookup(in_force, &row->u);
        if (old == NULL) {
            add_item(c, CT_FINDING_ADDED, &c->next, row);
            continue;
        }
        g_string_truncate(what, 0);
        kind->compare(c, row, old, what);
        if (what->len > 0) {
            g_strlcpy(add_item(c, CT_FINDING_CHANGED, &c->next, row)->detail,
                      what->str, CT_FINDING_DETAIL_MAX);
        }
    }
    g_string_free(what, TRUE);
}

static void
compare_items(struct comparison *c, const struct item_kind *kind)
{
    GHashTable *next = index_rows(&c->next, kind);
    GHashTable *in_force = index_rows(&c->in_force, kind);

    report_removed(c, next, in_force, kind);
    report_added_and_changed(c, next, in_force, kind);
    g_hash_table_destroy(next);
    g_hash_table_destroy(in_force);
}

static void
compare_limits(struct comparison *c)
{
    const struct ct_decoded_config *next = c->next.decoded;
    const struct ct_decoded_config *in_force = c->in_force.decoded;
    const struct ct_caller_bounds *x = &next->config.bounds;
    const struct ct_caller_bounds *y = &in_force->config.bounds;
    GString *what = g_string_new(NULL);

    if (next->config.has_bounds && in_force->config.has_bounds) {
        append_if(what, x->head_bytes != y->head_bytes, "bytes of a head");
        append_if(what, x->body_bytes != y->body_bytes, "bytes of a body");
        append_if(what, x->idle_timeout_ms != y->idle_timeout_ms,
                  "idle limit");
        append_if(what, next->head_timeout_ms != in_force->head_timeout_ms,
                  "time limit of a head");
    }
    if (what->len > 0) {
        g_strlcpy(ct_finding_add(c->findings, CT_FINDING_CHANGED, 0, "limits")
                      ->detail,
                  what->str, CT_FINDING_DETAIL_MAX);
    }
    g_string_free(what, TRUE);
}

static void
compare_versions(struct comparison *c)
{
    const struct ct_store_config *next = &c->next.decoded->config;
    const struct ct_store_config *in_force = &c->in_force.decoded->config;
    struct ct_finding *finding;

    if (next->version <= in_force->version) {
        finding =
            ct_finding_add(c->findings, CT_FINDING_OLD_VERSION, 0, "version");
        finding->value = next->version;
        finding->limit = in_force->version;
    }
    if (next->keys_required != in_force->keys_required) {
        ct_finding_add(c->findings,
                       next->keys_required ? CT_FINDING_KEYS_DEMANDED
                                           : CT_FINDING_KEYS_DROPPED,
                       CT_CONFIG_ORGANISATION, "organisations");
    }
}

static void
index_decoded_routes(struct side *side)
{
    guint n = 0;

    side->routes = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < side->decoded->rows->len; i++) {
        const struct ct_config_row *row = row_at(side, i);

        if (row->kind == CT_CONFIG_PREFIX_ROUTE) {
            g_hash_table_insert(side->routes, (gpointer)row,
                                &g_array_index(side->decoded->routes,
                                               struct ct_decoded_route, n++));
        }
    }
}

void
ct_config_changes(const struct ct_decoded_config *next,
                  const struct ct_decoded_config *in_force, GArray *findings)
{
    struct comparison c = {
        .next = {.decoded = next},
        .in_force = {.decoded = in_force},
        .findings = findings,
    };

    index_decoded_routes(&c.next);
    index_decoded_routes(&c.in_force);
    compare_versions(&c);
    for (guint i = 0; i < G_N_ELEMENTS(item_kinds); i++) {
        compare_items(&c, &item_kinds[i]);
    }
    compare_limits(&c);
    g_hash_table_destroy(c.next.routes);
    g_hash_table_destroy(c.in_force.routes);
}
