#ifndef CT_UPSTREAM_REGISTRY_H
#define CT_UPSTREAM_REGISTRY_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * The upstream entries of the platform's store as this host last read them;
 * changes are passed to the configuration's tables. An entry that is missing
 * while the store is healthy is removed. After an outage an entry may have
 * expired and be written again; until then its upstream is unconfirmed.
 */

/* An upstream's entry as last read. */
struct ct_upstream_entry {
    struct ct_listed_upstream listed;
    ct_ms started_ms;
    /* The newest report that was read; 0 if reports have no number. */
    int64_t sequence;
    /* When the entry was first found missing; 0 while it exists. */
    ct_ms missing_ms;
    /* When it was first read; 0 for entries of this host's first full read. */
    ct_ms added_ms;
    /* It is cold until this time by its entries; 0 if they do not say so. */
    ct_ms cold_until_ms;
    /* Contained in a page of the full read in progress. */
    bool seen;
};

struct ct_upstream_registry {
    /* struct ct_upstream_entry, and its handles by name */
    struct ct_table entries;
    GHashTable *by_name;
    /* The configuration's tables do not have the latest changes. */
    bool changed;
    /* The entries that existed when this host started were read. */
    bool first_read_done;
    /* Entries say that upstreams are cold for longer than they did. */
    bool cold_changed;
    /* Grows with each change that was passed on. */
    uint64_t revision;
    /* The timer that removes missing entries is armed. */
    bool sweep_armed;
};

struct ct_state;

void ct_upstream_registry_init(struct ct_upstream_registry *registry);
void ct_upstream_registry_free(struct ct_upstream_registry *registry);

void ct_upstream_registry_on_entry(struct ct_state *state,
                                   const struct ct_store_upstream *record);
/*
 * Counts an unreadable entry as present, because its upstream will write it
 * again.
 */
void ct_upstream_registry_mark_present(struct ct_state *state,
                                       const struct ct_name *name);

/*
 * Entries that no page of the full read between these calls contains are
 * missing.
 */
void ct_upstream_registry_begin_full_read(struct ct_state *state);
void ct_upstream_registry_end_full_read(struct ct_state *state);

/* Returns the entry of an upstream, or NULL. */
const struct ct_upstream_entry *
ct_upstream_registry_entry(const struct ct_state *state,
                           const struct ct_name *name);

/* Returns when the upstream's process started; 0 if it has no entry. */
ct_ms ct_upstream_registry_started_ms(const struct ct_state *state,
                                      const struct ct_name *name);

/* Removes missing entries and passes changes to the configuration's tables. */
void ct_upstream_registry_publish(struct ct_state *state);
/* CT_TIMER_STORE */
void ct_upstream_registry_on_timer(struct ct_state *state);

#endif
