#ifndef T_LIB_WORLD_H
#define T_LIB_WORLD_H

#include <glib.h>
#include <stdint.h>

/*
 * Reducers of several hosts with simulated callers, upstreams and a log that
 * inject random faults: events are late, reordered or duplicated, appends are
 * lost or take effect late, hosts are killed and restarted. The invariants are
 * checked from the outside, on the requests that upstreams ran and the
 * responses that callers received.
 */

struct t_world_stats {
    uint32_t calls;
    uint32_t complete;
    uint32_t truncated;
    uint32_t refused_not_run;
    uint32_t refused_may_have_run;
    uint32_t runs;
    uint32_t restarts;
    uint32_t withdrawn;
};

/* Returns the next choice below n, or 0 once there are no more choices. */
struct t_world_choices {
    guint32 (*next)(struct t_world_choices *choices, guint32 n);
};

/*
 * Runs a number of steps with faults, then runs without faults until all calls
 * have ended, and checks that no state is left.
 */
void t_world_run(struct t_world_choices *choices, uint32_t steps,
                 struct t_world_stats *stats);

#endif
