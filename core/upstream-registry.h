#ifndef CT_UPSTREAM_REGISTRY_H
#define CT_UPSTREAM_REGISTRY_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * The entries of upstreams in the platform's store, as this host last read
 * them, and what of them the configuration's tables are told. An entry that
 * is missing while the store is in order is gone; after an outage it may have
 * lapsed and come back, and its upstream is doubtful until then.
 */

/* An upstream's entry as last read. */
struct ct_upstream_entry {
    struct ct_listed_upstream listed;
    ct_ms born_ms;
    /* Its entry is missing since then; 0 while it is there. */
    ct_ms missing_ms;
    /* Seen in the pages of the newest records that are being read. */
    bool seen;
};

struct ct_upstream_registry {
    /* struct ct_upstream_entry, and its rows by name */
    struct ct_table entries;
    GHashTable *by_name;
    /* The configuration's tables have not been told yet. */
    bool changed;
    /* The timer that removes missing entries is armed. */
    bool sweep_armed;
};

struct ct_state;

void ct_upstream_registry_init(struct ct_upstream_registry *listing);
void ct_upstream_registry_free(struct ct_upstream_registry *listing);

void ct_upstream_registry_on_entry(struct ct_state *state,
                                   const struct ct_store_upstream *item);
/* An entry that cannot be read is there: its upstream will write it again. */
void ct_upstream_registry_keep_entry(struct ct_state *state,
                                     const struct ct_name *name);

/* What the pages of the newest entries between the two lack is missing. */
void ct_upstream_registry_begin_full_read(struct ct_state *state);
void ct_upstream_registry_end_full_read(struct ct_state *state);

/* Takes out what is gone and tells the configuration's tables of changes. */
void ct_upstream_registry_publish(struct ct_state *state);
/* CT_TIMER_STORE */
void ct_upstream_registry_on_timer(struct ct_state *state);

#endif
