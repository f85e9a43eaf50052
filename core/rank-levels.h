#ifndef CT_RANK_LEVELS_H
#define CT_RANK_LEVELS_H

#include <stdint.h>

#include "rows.h"

/*
 * Order of relayed calls at engines, which know a few levels of priority. The
 * rank of the organisation decides, or that of the route if the organisation
 * has none; among equals the rank of the route decides. Otherwise an
 * organisation's rank would make all its calls equal, and its urgent calls
 * would be preempted by the others.
 */

/* Levels that an engine knows; 0 is the most urgent. */
#define CT_RANK_LEVELS 10
/* Greater ranks count as this one. */
#define CT_RANK_MAX 63

/* Zeroed memory is valid and puts all calls on level 0. */
struct ct_rank_levels {
    uint8_t levels[CT_RANK_MAX + 1][CT_RANK_MAX + 1];
};

/*
 * Assigns levels to the ranks that occur in a configuration (struct
 * ct_config_row). If there are more ranks than levels, neighbours share one.
 */
void ct_rank_levels_set(struct ct_rank_levels *levels, struct ct_rows rows);

/* Returns the level of a call; rank is the deciding one. */
uint32_t ct_rank_level(const struct ct_rank_levels *levels, uint32_t rank,
                       uint32_t route_rank);

#endif
