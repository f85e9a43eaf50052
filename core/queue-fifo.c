#include "queue-levels.h"

static uint32_t
fifo_level(const struct ct_queue_row *row)
{
    (void)row;
    return 0;
}

static int
fifo_shed_level(const struct ct_queue_levels *q,
                const struct ct_queue_row *row)
{
    (void)q;
    (void)row;
    return -1;
}

static const struct ct_queue_levels_ops fifo_ops = {
    .level = fifo_level,
    .shed_level = fifo_shed_level,
};

struct ct_queue_policy *
ct_queue_fifo_new(uint32_t max_queued)
{
    return ct_queue_levels_new(&fifo_ops, max_queued);
}
