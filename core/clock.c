#include "clock.h"

static ct_ms
manual_steady_ms(const struct ct_clock *clock)
{
    return ((const struct ct_manual_clock *)clock)->steady_ms;
}

static ct_ms
manual_wall_ms(const struct ct_clock *clock)
{
    return ((const struct ct_manual_clock *)clock)->wall_ms;
}

static const struct ct_clock_ops manual_ops = {
    .steady_ms = manual_steady_ms,
    .wall_ms = manual_wall_ms,
};

void
ct_manual_clock_init(struct ct_manual_clock *clock, ct_ms wall_ms)
{
    clock->clock.ops = &manual_ops;
    clock->steady_ms = 0;
    clock->wall_ms = wall_ms;
}

void
ct_manual_clock_advance(struct ct_manual_clock *clock, ct_ms by_ms)
{
    clock->steady_ms += by_ms;
    clock->wall_ms += by_ms;
}
