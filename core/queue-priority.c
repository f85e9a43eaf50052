#include "queue-levels.h"

static uint32_t
priority_level(const struct ct_queue_row *row)
{
    return row->tier;
}

/* Returns the lowest tier with waiting rows if it is below the row's own. */
static int
priority_shed_level(const struct ct_queue_levels *q,
                    const struct ct_queue_row *row)
{
    for (uint32_t level = CT_TIERS - 1; level > row->tier; level--) {
        if (ct_queue_levels_list(q, row->w.pool, level)->n > 0) {
            return (int)level;
        }
    }
    return -1;
}

static const struct ct_queue_levels_ops priority_ops = {
    .level = priority_level,
    .shed_level = priority_shed_level,
};

struct ct_queue_policy *
ct_queue_priority_new(uint32_t max_queued)
{
    return ct_queue_levels_new(&priority_ops, max_queued);
}
