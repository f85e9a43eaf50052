#ifndef CT_SOURCE_LINKS_H
#define CT_SOURCE_LINKS_H

#include <glib.h>

#include "name.h"

/*
 * Which hosts of the group read the platform's store and are the sources of
 * the others, and which of them a source opens links to.
 */

/* In an availability zone with fewer hosts every host reads the store. */
#define CT_ZONE_HOSTS_MIN 4

struct ct_state;

/*
 * Returns the number of sources in an availability zone with so many hosts:
 * its first hosts by name.
 */
uint32_t ct_sources_in_zone(uint32_t hosts);

/*
 * Returns the members of an availability zone by name, const struct ct_member.
 * *self is set to the index of this host, or to -1 if it is not among them.
 */
GPtrArray *ct_zone_members(const struct ct_state *state,
                           const struct ct_name *zone, int *self);

/*
 * Returns the sources, struct ct_host, that this host opens a link to if it
 * has no source itself: those with a smaller name, or all if the others do not
 * count this host as one.
 */
GArray *ct_source_links(const struct ct_state *state);

#endif
