#ifndef T_LIB_WORLD_H
#define T_LIB_WORLD_H

#include <glib.h>
#include <stdint.h>

/*
 * Hosts' reducers among callers, upstreams and a log that behave badly at
 * random: events come late, crossed or twice, appends are lost or land late,
 * hosts are killed and start anew. What must always hold is asserted from
 * the outside, by what upstreams ran and callers got.
 */

struct t_world_stats {
    uint32_t calls;
    uint32_t whole;
    uint32_t broken;
    uint32_t refused_not_run;
    uint32_t refused_may_have_run;
    uint32_t runs;
    uint32_t restarts;
    uint32_t withdrawn;
};

/* Takes the next choice below n; where choices run out, 0. */
struct t_world_choices {
    guint32 (*next)(struct t_world_choices *choices, guint32 n);
};

/* Runs a number of steps, lets all come to rest, and checks what is left. */
void t_world_run(struct t_world_choices *choices, uint32_t steps,
                 struct t_world_stats *stats);

#endif
