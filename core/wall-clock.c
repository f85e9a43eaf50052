#include "wall-clock.h"

/* A difference up to this is drift and is applied at once. */
#define DRIFT_MAX_MS 150
/* A jump is applied if it persists for this long. */
#define JUMP_CONFIRM_MS 120000

void
ct_wall_clock_update(struct ct_wall_clock *wall, ct_ms now_ms, ct_ms wall_ms)
{
    ct_ms offset_ms = wall_ms - now_ms;
    ct_ms difference = offset_ms - wall->offset_ms;

    if (wall->set &&
        (difference > DRIFT_MAX_MS || difference < -DRIFT_MAX_MS)) {
        if (!wall->jump_since_ms) {
            wall->jump_since_ms = now_ms;
        }
        if (now_ms - wall->jump_since_ms < JUMP_CONFIRM_MS) {
            return;
        }
    }
    wall->set = true;
    wall->jump_since_ms = 0;
    wall->offset_ms = offset_ms;
}

ct_ms
ct_wall_clock_ms(const struct ct_wall_clock *wall, ct_ms now_ms)
{
    return now_ms + wall->offset_ms;
}
