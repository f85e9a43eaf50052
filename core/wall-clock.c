#include "wall-clock.h"

/* Differences up to this are drift and are followed. */
#define DRIFT_MS 150
/* A jump that lasts for this long is believed. */
#define APART_MS 120000

void
ct_wall_clock_update(struct ct_wall_clock *wall, ct_ms now_ms, ct_ms wall_ms)
{
    ct_ms offset_ms = wall_ms - now_ms;
    ct_ms difference = offset_ms - wall->offset_ms;

    if (wall->set && (difference > DRIFT_MS || difference < -DRIFT_MS)) {
        if (!wall->apart_ms) {
            wall->apart_ms = now_ms;
        }
        if (now_ms - wall->apart_ms < APART_MS) {
            return;
        }
    }
    wall->set = true;
    wall->apart_ms = 0;
    wall->offset_ms = offset_ms;
}

ct_ms
ct_wall_clock_ms(const struct ct_wall_clock *wall, ct_ms now_ms)
{
    return now_ms + wall->offset_ms;
}
