#include "config-check.h"

#include "config-row.h"
#include "error.h"
#include "index.h"

/* Names of one kind of item; the keys are in the rows. */
struct declared_names {
    enum ct_config_kind kind;
    GHashTable *names;
};

/* Kinds of items that rows refer to by name. */
static const enum ct_config_kind named_kinds[] = {
    CT_CONFIG_ORGANISATION,
    CT_CONFIG_CLASS,
    CT_CONFIG_POOL,
    CT_CONFIG_PREFIX_ROUTE,
};

struct declared {
    struct declared_names kinds[G_N_ELEMENTS(named_kinds)];
};

static GHashTable *
names_of(const struct declared *declared, enum ct_config_kind kind)
{
    for (guint i = 0; i < G_N_ELEMENTS(declared->kinds); i++) {
        if (declared->kinds[i].kind == kind) {
            return declared->kinds[i].names;
        }
    }
    return NULL;
}

static void
collect_names(struct declared *declared, struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;

    for (guint i = 0; i < G_N_ELEMENTS(named_kinds); i++) {
        declared->kinds[i] =
            (struct declared_names){named_kinds[i], ct_index_new_by_name()};
    }
    for (uint32_t i = 0; i < rows.n; i++) {
        GHashTable *names = names_of(declared, row[i].kind);

        if (names) {
            /* Each of these types starts with its name. */
            g_hash_table_add(names, (gpointer)&row[i].u);
        }
    }
}

static void
free_names(struct declared *declared)
{
    for (guint i = 0; i < G_N_ELEMENTS(declared->kinds); i++) {
        g_hash_table_destroy(declared->kinds[i].names);
    }
}

static bool
is_declared(const struct declared *declared, enum ct_config_kind kind,
            const struct ct_name *name)
{
    return g_hash_table_contains(names_of(declared, kind), name);
}

static int
check_row(const struct declared *names, const struct ct_config_row *row)
{
    bool declared = true;

    switch (row->kind) {
    case CT_CONFIG_ROUTE:
        declared =
            is_declared(names, CT_CONFIG_CLASS, &row->u.route.class_name) &&
            is_declared(names, CT_CONFIG_POOL, &row->u.route.pool);
        break;
    case CT_CONFIG_ACCESS:
        declared = is_declared(names, CT_CONFIG_ORGANISATION,
                               &row->u.access.organisation);
        break;
    case CT_CONFIG_UPSTREAM:
        declared = is_declared(names, CT_CONFIG_POOL, &row->u.upstream.pool);
        break;
    case CT_CONFIG_POOL_SHARE:
        declared = is_declared(names, CT_CONFIG_PREFIX_ROUTE,
                               &row->u.pool_share.route) &&
                   is_declared(names, CT_CONFIG_POOL, &row->u.pool_share.pool);
        break;
    case CT_CONFIG_ORDER_ZONE:
        declared = is_declared(names, CT_CONFIG_POOL, &row->u.order_zone.pool);
        break;
    case CT_CONFIG_KEY:
        declared = is_declared(names, CT_CONFIG_ORGANISATION,
                               &row->u.key.organisation);
        break;
    case CT_CONFIG_CLASS:
        if (row->u.klass.tier >= CT_TIERS) {
            return CT_ERR_INVALID;
        }
        break;
    case CT_CONFIG_ORGANISATION:
    case CT_CONFIG_HOST:
    case CT_CONFIG_POOL:
    case CT_CONFIG_PREFIX_ROUTE:
        break;
    default:
        return CT_ERR_INVALID;
    }
    return declared ? CT_OK : CT_ERR_REFERENCE_UNKNOWN;
}

int
ct_config_check(struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;
    struct declared names;
    int err = CT_OK;

    if (rows.n && rows.row_size != sizeof(*row)) {
        return CT_ERR_INVALID;
    }
    collect_names(&names, rows);
    for (uint32_t i = 0; i < rows.n && err == CT_OK; i++) {
        err = check_row(&names, &row[i]);
    }
    free_names(&names);
    return err;
}
