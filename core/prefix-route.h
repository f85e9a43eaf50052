#ifndef CT_PREFIX_ROUTE_H
#define CT_PREFIX_ROUTE_H

#include <glib.h>

#include "config.h"

/*
 * Routes of relayed calls. The route of a call is, among those of its
 * authority, the one with the longest prefix that begins the path.
 */

/* Index from authority and prefix of struct ct_prefix_route to its handle. */
GHashTable *ct_prefix_route_index_new(void);

/* Builds the index anew and links what the rows say of routes and pools. */
void ct_prefix_routes_link(struct ct_config *config, struct ct_rows rows);

/*
 * The route of a call, CT_NO_HANDLE where none matches. The path may be cut
 * off at its field's size: no prefix is longer.
 */
struct ct_handle ct_prefix_route_find(const struct ct_config *config,
                                      const struct ct_authority *authority,
                                      const struct ct_path *path);

/*
 * The pool for a call of the route, by the weights of its shares; the hash
 * is the call's own. CT_NO_HANDLE where no pool has a weight.
 */
struct ct_handle ct_prefix_route_pool(const struct ct_prefix_route_row *route,
                                      uint64_t hash);

#endif
