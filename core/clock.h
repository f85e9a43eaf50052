#ifndef CT_CLOCK_H
#define CT_CLOCK_H

#include <stdint.h>

/*
 * Time in milliseconds. The reducer never reads a clock: each event carries
 * the time. Clocks exist for the programs around the reducer and for tests.
 */

/* A point in time or a duration, in milliseconds. */
typedef int64_t ct_ms;

#define CT_MS_NEVER INT64_MAX

struct ct_clock;

struct ct_clock_ops {
    /* Monotonic time since an arbitrary start. */
    ct_ms (*steady_ms)(const struct ct_clock *clock);
    /* Time since 1970-01-01 UTC. */
    ct_ms (*wall_ms)(const struct ct_clock *clock);
};

struct ct_clock {
    const struct ct_clock_ops *ops;
};

/* A clock that advances only by ct_manual_clock_advance(). */
struct ct_manual_clock {
    struct ct_clock clock;
    ct_ms steady_ms;
    ct_ms wall_ms;
};

static inline ct_ms
ct_clock_steady_ms(const struct ct_clock *clock)
{
    return clock->ops->steady_ms(clock);
}

static inline ct_ms
ct_clock_wall_ms(const struct ct_clock *clock)
{
    return clock->ops->wall_ms(clock);
}

void ct_manual_clock_init(struct ct_manual_clock *clock, ct_ms wall_ms);
void ct_manual_clock_advance(struct ct_manual_clock *clock, ct_ms by_ms);

#endif
