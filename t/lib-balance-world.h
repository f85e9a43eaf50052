#ifndef T_LIB_BALANCE_WORLD_H
#define T_LIB_BALANCE_WORLD_H

#include <glib.h>

#include "balance-policy.h"

/*
 * A world of hosts that learn of each other's calls late, and of engines of
 * unequal speed that run them.
 */

struct t_balance_setup {
    guint hosts;
    guint engines;
    guint slots;
    guint calls_per_s;
    gint32 work_min_ms;
    gint32 work_max_ms;
    gboolean prefixes;
};

/* Many engines whose calls have prefixes, and few with plain calls. */
extern const struct t_balance_setup t_balance_large;
extern const struct t_balance_setup t_balance_plain;

/* What the hosts know, except those that are cut off. */
enum t_balance_known {
    T_BALANCE_LOAD = 1,
    T_BALANCE_SPEED = 2,
};

struct t_balance_figures {
    /* Time of the calls sent to the busiest engine, in percent of the mean. */
    gint64 busiest;
    /* Calls per thousand that waited while an engine was at most half full. */
    guint waited;
    /* Mean time that a call waits for a slot. */
    gint64 wait_ms;
    /* Calls per thousand whose engine had to read the prefix. */
    guint read;
    /*
     * Calls per thousand with a short target for gaps, and with the longest
     * one, that an engine of half the speed runs.
     */
    guint slow_short;
    guint slow_long;
};

/* Returns the figures of a run; known: bits of enum t_balance_known. */
struct t_balance_figures t_balance_run(const struct t_balance_setup *setup,
                                       guint known, guint seed);

#endif
