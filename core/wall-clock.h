#ifndef CT_WALL_CLOCK_H
#define CT_WALL_CLOCK_H

#include <stdbool.h>

#include "clock.h"

/*
 * Time of day that does not follow jumps of the machine's clock: the steady
 * clock with an offset, which follows the time of day slowly. A difference
 * that stays for long is taken over, as the clock may have been wrong before.
 */

struct ct_wall_clock {
    bool set;
    ct_ms offset_ms;
    /* Since when the time of day stands apart; 0 for not. */
    ct_ms apart_ms;
};

void ct_wall_clock_update(struct ct_wall_clock *wall, ct_ms now_ms,
                          ct_ms wall_ms);
ct_ms ct_wall_clock_ms(const struct ct_wall_clock *wall, ct_ms now_ms);

#endif
