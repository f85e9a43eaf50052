#include "queue-tiered.h"

/*
 * Bounds the credit of a class to what its reserve earns in this time. Use
 * outside the reserve lowers the credit to no less than minus that.
 */
#define RESERVE_WINDOW_MS 5000

static uint32_t
share_of(uint32_t total, uint32_t percent)
{
    uint32_t part = (uint32_t)((uint64_t)total * percent / 100);

    if (percent == 0) {
        return 0;
    }
    return part > 0 ? part : 1;
}

static uint32_t
reserve_percent_of(const struct ct_queue_tiered *q, uint32_t klass)
{
    return q->base.rows.classes[klass].settings.reserve_percent;
}

uint32_t
ct_reserve_places(const struct ct_queue_tiered *q, uint32_t klass)
{
    return share_of(q->base.rows.max_queued, reserve_percent_of(q, klass));
}

static uint32_t
pool_slots(const struct ct_queue_tiered *q, uint32_t pool)
{
    return q->base.rows.pools[pool].firm_slots +
           q->base.rows.pools[pool].cheap_slots;
}

uint32_t
ct_reserve_slots(const struct ct_queue_tiered *q, uint32_t pool,
                 uint32_t klass)
{
    return share_of(pool_slots(q, pool), reserve_percent_of(q, klass));
}

uint32_t
ct_reserve_unused_places(const struct ct_queue_tiered *q, uint32_t pool)
{
    const struct ct_tiered_pool *tp = &q->pools[pool];
    uint32_t unused = 0;

    for (uint32_t klass = 0; klass < tp->n_uses; klass++) {
        uint32_t places;

        if (!tp->uses[klass].seen) {
            continue;
        }
        places = ct_reserve_places(q, klass);
        if (tp->uses[klass].queued < places) {
            unused += places - tp->uses[klass].queued;
        }
    }
    return unused;
}

void
ct_reserve_accrue(struct ct_queue_tiered *q, uint32_t pool, uint32_t klass,
                  ct_ms now_ms)
{
    struct ct_class_use *use = &q->pools[pool].uses[klass];
    int64_t rate = (int64_t)pool_slots(q, pool) * reserve_percent_of(q, klass);
    int64_t bound = rate * RESERVE_WINDOW_MS / 100;
    int64_t ordinary = use->running - use->reserve_running;
    ct_ms passed_ms = now_ms - use->credit_at_ms;

    use->credit_at_ms = now_ms;
    use->credit += rate * passed_ms / 100;
    use->credit -= use->reserve_running * passed_ms;
    /*
     * Use of slots that no other class needed must not starve the class later,
     * so it lowers the credit to -bound only.
     */
    if (ordinary > 0 && use->credit > -bound) {
        use->credit -= ordinary * passed_ms;
        if (use->credit < -bound) {
            use->credit = -bound;
        }
    }
    if (use->credit > bound) {
        use->credit = bound;
    }
}

int
ct_reserve_select_class(struct ct_queue_tiered *q,
                        const struct ct_queue_row *chosen, ct_ms now_ms)
{
    uint32_t pool = chosen->w.pool;
    struct ct_tiered_pool *tp = &q->pools[pool];
    int64_t best_credit = -1;
    int best = -1;

    for (uint32_t klass = 0; klass < tp->n_uses; klass++) {
        struct ct_class_use *use = &tp->uses[klass];

        if (use->queued == 0 || klass == chosen->w.klass ||
            reserve_percent_of(q, klass) == 0 ||
            q->base.rows.classes[klass].settings.tier < chosen->tier) {
            continue;
        }
        ct_reserve_accrue(q, pool, klass, now_ms);
        if (use->running < ct_reserve_slots(q, pool, klass) &&
            use->credit > best_credit) {
            best_credit = use->credit;
            best = (int)klass;
        }
    }
    return best;
}

bool
ct_reserve_exceeded_below(const struct ct_queue_tiered *q,
                          const struct ct_queue_row *row, bool with_slots)
{
    uint32_t pool = row->w.pool;
    const struct ct_tiered_pool *tp = &q->pools[pool];

    for (uint32_t klass = 0; klass < tp->n_uses; klass++) {
        const struct ct_class_use *use = &tp->uses[klass];
        uint32_t usable = use->running;

        if (!use->seen ||
            q->base.rows.classes[klass].settings.tier <= row->tier) {
            continue;
        }
        if (use->queued > ct_reserve_places(q, klass)) {
            return true;
        }
        if (!row->cheap_allowed) {
            usable -= use->cheap_running;
        }
        if (with_slots && usable > 0 &&
            use->running > ct_reserve_slots(q, pool, klass)) {
            return true;
        }
    }
    return false;
}
