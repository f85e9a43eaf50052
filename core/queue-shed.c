#include "error.h"
#include "queue-tiered.h"

#define MIN_RETRY_AFTER_MS 200
#define MAX_RETRY_AFTER_MS 60000

/*
 * Counts the refusal of a row if it is a tier inversion as defined in
 * queue-tiered.h.
 */
static void
count_inversion(struct ct_queue_tiered *q, const struct ct_queue_row *row,
                enum ct_refusal reason)
{
    struct ct_queue_pool *pool = &q->base.rows.pools[row->w.pool];
    const struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    const uint64_t *starts =
        row->cheap_allowed ? tp->last_start : tp->last_firm_start;
    bool inverted = false;

    for (uint32_t tier = row->tier + 1; tier < CT_TIERS; tier++) {
        inverted = inverted || starts[tier] >= row->sequence;
    }
    if (reason == CT_REFUSAL_OVERLOAD || reason == CT_REFUSAL_OVER_SHARE) {
        inverted = inverted || ct_reserve_exceeded_below(q, row, false);
    }
    if (reason == CT_REFUSAL_TARGET_UNREACHABLE) {
        inverted = inverted || ct_reserve_exceeded_below(q, row, true);
    }
    pool->inversions += inverted ? 1 : 0;
}

/*
 * Returns the time after which the backlog should have shrunk enough for a
 * request like this one.
 */
static ct_ms
retry_after_ms(const struct ct_queue_tiered *q, const struct ct_queue_row *row)
{
    ct_ms wait_ms = ct_predict_wait(q, row);
    ct_ms usual_ms = row->start_by_ms - row->w.arrived_ms;

    if (wait_ms == CT_MS_NEVER || wait_ms - usual_ms > MAX_RETRY_AFTER_MS) {
        return MAX_RETRY_AFTER_MS;
    }
    if (wait_ms - usual_ms < MIN_RETRY_AFTER_MS) {
        return MIN_RETRY_AFTER_MS;
    }
    return wait_ms - usual_ms;
}

/* Removes a row from its lane and refuses it. */
static void
shed_row(struct ct_queue_tiered *q, struct ct_handle handle,
         enum ct_refusal reason, struct ct_queue_refusal *shed)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);

    shed->request = row->w.request;
    shed->reason = reason;
    shed->retry_after_ms = retry_after_ms(q, row);
    ct_lane_remove(q, handle);
    count_inversion(q, row, reason);
    ct_queue_rows_remove(&q->base.rows, handle);
}

void
ct_shed_arrival(struct ct_queue_tiered *q, struct ct_handle handle,
                enum ct_refusal reason, struct ct_queue_decision *decision)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);

    decision->admission = CT_REFUSED;
    decision->reason = reason;
    decision->retry_after_ms = retry_after_ms(q, row);
    count_inversion(q, row, reason);
    ct_queue_rows_remove(&q->base.rows, handle);
}

bool
ct_shed_allowed(const struct ct_queue_tiered *q,
                const struct ct_queue_row *row, uint32_t queued)
{
    const struct ct_class_use *use = &q->pools[row->w.pool].uses[row->w.klass];

    if (use->running + queued <
        ct_reserve_slots(q, row->w.pool, row->w.klass)) {
        return false;
    }
    return !ct_reserve_exceeded_below(q, row, true);
}

/*
 * Finds the lowest tier, below the row's, with a class that has more rows in
 * the queue than its reserved places.
 */
static bool
find_lower_victim_tier(const struct ct_queue_tiered *q,
                       const struct ct_queue_row *row, uint32_t *tier)
{
    for (*tier = CT_TIERS - 1; *tier > row->tier; (*tier)--) {
        const struct ct_tiered_pool *tp = &q->pools[row->w.pool];

        for (uint32_t klass = 0; klass < tp->n_uses; klass++) {
            if (tp->uses[klass].seen &&
                q->base.rows.classes[klass].settings.tier == *tier &&
                tp->uses[klass].queued > ct_reserve_places(q, klass)) {
                return true;
            }
        }
    }
    return false;
}

/*
 * Returns the lane of the tier whose organisation has the largest share, among
 * the classes with more rows in the queue than their reserved places; -1 if
 * there is none.
 */
static int
find_victim_lane(struct ct_queue_tiered *q, uint32_t pool, uint32_t tier,
                 uint64_t *share, ct_ms now_ms)
{
    struct ct_tiered_pool *tp = &q->pools[pool];
    int victim = -1;

    *share = 0;
    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        const struct ct_queue_lane *lane = &tp->lanes[i];
        uint64_t lane_share;

        if (lane->list.n == 0 || lane->tier != tier ||
            tp->uses[lane->klass].queued <=
                ct_reserve_places(q, lane->klass)) {
            continue;
        }
        lane_share = ct_lane_share(q, pool, lane->organisation, tier, now_ms);
        if (victim < 0 || lane_share > *share) {
            victim = (int)i;
            *share = lane_share;
        }
    }
    return victim;
}

/*
 * Sheds the tail of the chosen lane: it is late or would be served last, so it
 * is the least likely to meet its target.
 */
int
ct_shed_to_make_room(struct ct_queue_tiered *q, const struct ct_queue_row *row,
                     struct ct_queue_decision *decision, ct_ms now_ms)
{
    enum ct_refusal reason = CT_REFUSAL_OVERLOAD;
    uint32_t pool = row->w.pool;
    uint32_t tier;
    uint64_t share;
    uint64_t own;
    int victim;

    if (!find_lower_victim_tier(q, row, &tier)) {
        tier = row->tier;
        reason = CT_REFUSAL_OVER_SHARE;
    }
    victim = find_victim_lane(q, pool, tier, &share, now_ms);
    if (victim < 0) {
        return -CT_REFUSAL_OVERLOAD;
    }
    if (tier == row->tier) {
        own = ct_lane_share(q, pool, row->w.organisation, tier, now_ms);
        if (q->pools[pool].lanes[victim].organisation == row->w.organisation) {
            return -CT_REFUSAL_OVER_SHARE;
        }
        if (own >= share) {
            return -CT_REFUSAL_OVERLOAD;
        }
    }
    decision->has_shed = true;
    shed_row(q, q->pools[pool].lanes[victim].list.tail, reason,
             &decision->shed);
    return CT_OK;
}

int
ct_shed_on_timer(struct ct_queue_tiered *q, struct ct_handle handle,
                 ct_ms now_ms, struct ct_queue_refusal *shed)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);
    const struct ct_class_use *use;

    if (!row || row->state != CT_QUEUE_ROW_WAITING) {
        return 0;
    }
    if (row->wait_deadline_ms <= now_ms) {
        shed_row(q, handle, CT_REFUSAL_QUEUE_TIMEOUT, shed);
        return 1;
    }
    if (row->start_by_ms > now_ms || row->late) {
        return 0;
    }
    use = &q->pools[row->w.pool].uses[row->w.klass];
    if (ct_shed_allowed(q, row, use->queued - 1)) {
        shed_row(q, handle, CT_REFUSAL_TARGET_UNREACHABLE, shed);
        return 1;
    }
    ct_lane_remove(q, handle);
    row->late = true;
    ct_lane_insert(q, handle, false);
    return 0;
}

int
ct_shed_late_row(struct ct_queue_tiered *q, uint32_t pool,
                 struct ct_queue_refusal *shed)
{
    struct ct_tiered_pool *tp = &q->pools[pool];

    if (tp->late == 0 || q->base.rows.pools[pool].queued == tp->late) {
        return 0;
    }
    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        struct ct_handle last = tp->lanes[i].list.tail;
        const struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, last);

        if (row && row->late &&
            ct_shed_allowed(q, row, tp->uses[row->w.klass].queued - 1)) {
            shed_row(q, last, CT_REFUSAL_TARGET_UNREACHABLE, shed);
            return 1;
        }
    }
    return 0;
}
