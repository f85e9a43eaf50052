#ifndef CT_WALL_CLOCK_H
#define CT_WALL_CLOCK_H

#include <stdbool.h>

#include "clock.h"

/*
 * Smoothed time of day: the steady clock plus an offset, which follows drift
 * but no jumps of the machine's clock. A jump that persists is applied after
 * JUMP_CONFIRM_MS, because the clock may have been wrong before it.
 */

struct ct_wall_clock {
    bool set;
    ct_ms offset_ms;
    /*
     * Steady time at which the machine's clock was first seen to have jumped;
     * 0 if it has not.
     */
    ct_ms jump_since_ms;
};

void ct_wall_clock_update(struct ct_wall_clock *wall, ct_ms now_ms,
                          ct_ms wall_ms);
ct_ms ct_wall_clock_ms(const struct ct_wall_clock *wall, ct_ms now_ms);

#endif
