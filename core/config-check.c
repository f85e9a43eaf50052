#include "config-check.h"

#include "config-row.h"
#include "error.h"

/* Whether the rows declare an item of this kind and name. */
static bool
is_declared(struct ct_rows rows, enum ct_config_kind kind,
            const struct ct_name *name)
{
    const struct ct_config_row *row = rows.data;
    uint32_t i;

    for (i = 0; i < rows.n; i++) {
        /* Each of these types starts with its name. */
        if (row[i].kind == kind &&
            ct_name_eq((const struct ct_name *)&row[i].u, name)) {
            return true;
        }
    }
    return false;
}

static int
check_row(struct ct_rows rows, const struct ct_config_row *row)
{
    bool declared = true;

    switch (row->kind) {
    case CT_CONFIG_ROUTE:
        declared =
            is_declared(rows, CT_CONFIG_CLASS, &row->u.route.class_name) &&
            is_declared(rows, CT_CONFIG_POOL, &row->u.route.pool);
        break;
    case CT_CONFIG_ACCESS:
        declared = is_declared(rows, CT_CONFIG_ORGANISATION,
                               &row->u.access.organisation);
        break;
    case CT_CONFIG_UPSTREAM:
        declared = is_declared(rows, CT_CONFIG_POOL, &row->u.upstream.pool);
        break;
    case CT_CONFIG_POOL_SHARE:
        declared = is_declared(rows, CT_CONFIG_PREFIX_ROUTE,
                               &row->u.pool_share.route) &&
                   is_declared(rows, CT_CONFIG_POOL, &row->u.pool_share.pool);
        break;
    case CT_CONFIG_ORDER_ZONE:
        declared = is_declared(rows, CT_CONFIG_POOL, &row->u.order_zone.pool);
        break;
    case CT_CONFIG_KEY:
        declared = is_declared(rows, CT_CONFIG_ORGANISATION,
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
    uint32_t i;
    int err;

    if (rows.n && rows.row_size != sizeof(*row)) {
        return CT_ERR_INVALID;
    }
    for (i = 0; i < rows.n; i++) {
        err = check_row(rows, &row[i]);
        if (err < 0) {
            return err;
        }
    }
    return CT_OK;
}
