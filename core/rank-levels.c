#include "rank-levels.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "config-row.h"

struct rank_set {
    bool has[CT_RANK_MAX + 1];
};

static uint32_t
limit_rank(uint32_t rank)
{
    return MIN(rank, CT_RANK_MAX);
}

static void
collect_ranks(struct ct_rows rows, struct rank_set *of_routes,
              struct rank_set *of_organisations)
{
    const struct ct_config_row *row = rows.data;

    for (uint32_t i = 0; i < rows.n; i++) {
        if (row[i].kind == CT_CONFIG_PREFIX_ROUTE &&
            row[i].u.prefix_route.stream) {
            of_routes->has[limit_rank(row[i].u.prefix_route.rank)] = true;
        }
        else if (row[i].kind == CT_CONFIG_ORGANISATION &&
                 row[i].u.organisation.has_rank) {
            of_organisations->has[limit_rank(row[i].u.organisation.rank)] =
                true;
        }
    }
}

void
ct_rank_levels_set(struct ct_rank_levels *levels, struct ct_rows rows)
{
    uint32_t before[CT_RANK_MAX + 1][CT_RANK_MAX + 1];
    struct rank_set of_organisations = {{false}};
    struct rank_set of_routes = {{false}};
    uint32_t n = 0;

    collect_ranks(rows, &of_routes, &of_organisations);
    for (uint32_t rank = 0; rank <= CT_RANK_MAX; rank++) {
        for (uint32_t route = 0; route <= CT_RANK_MAX; route++) {
            before[rank][route] = n;
            n += of_routes.has[route] &&
                 (rank == route || of_organisations.has[rank]);
        }
    }
    for (uint32_t rank = 0; rank <= CT_RANK_MAX; rank++) {
        for (uint32_t route = 0; route <= CT_RANK_MAX; route++) {
            uint32_t level = n > CT_RANK_LEVELS
                                 ? before[rank][route] * CT_RANK_LEVELS / n
                                 : before[rank][route];

            levels->levels[rank][route] =
                (uint8_t)MIN(level, CT_RANK_LEVELS - 1);
        }
    }
}

uint32_t
ct_rank_level(const struct ct_rank_levels *levels, uint32_t rank,
              uint32_t route_rank)
{
    return levels->levels[limit_rank(rank)][limit_rank(route_rank)];
}
