#ifndef CT_PREFIX_ROUTE_H
#define CT_PREFIX_ROUTE_H

#include <glib.h>

#include "config.h"

/*
 * Routes of relayed calls. A call takes the route of its authority with the
 * longest prefix that matches the path.
 */

/* Creates an index from authority and prefix of a route to its handle. */
GHashTable *ct_prefix_route_index_new(void);

/*
 * Rebuilds the index and links routes to pools and pools to order zones, as
 * the rows define.
 */
void ct_prefix_routes_link(struct ct_config *config, struct ct_rows rows);

/*
 * Returns the route of a call, or CT_NO_HANDLE if none matches. The path may
 * be truncated at its field's size, since no prefix is longer.
 */
struct ct_handle ct_prefix_route_find(const struct ct_config *config,
                                      const struct ct_authority *authority,
                                      const struct ct_call_path *path);

/*
 * Selects a pool of the route by the weights of its shares; hash is the hash
 * of the call. Returns CT_NO_HANDLE if no pool has a weight.
 */
struct ct_handle ct_prefix_route_pool(const struct ct_prefix_route_row *route,
                                      uint64_t hash);

#endif
