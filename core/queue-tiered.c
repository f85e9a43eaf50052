#include "queue-tiered.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"

/*
 * After a request could not meet its target, its tier counts as unable to meet
 * its targets for this time.
 */
#define TARGET_UNMET_MS 2000

static int
tiered_set_pool(struct ct_queue_policy *policy, uint32_t pool,
                uint32_t firm_slots, uint32_t cheap_slots)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    int err = ct_array_grow((void **)&q->pools, &q->n_pools, pool + 1,
                            sizeof(*q->pools));

    if (err < 0) {
        return err;
    }
    return ct_queue_rows_set_pool(&q->base.rows, pool, firm_slots,
                                  cheap_slots);
}

static void
start_row(struct ct_queue_tiered *q, struct ct_queue_row *row,
          bool from_reserve, ct_ms now_ms)
{
    struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    struct ct_queue_pool *pool = &q->base.rows.pools[row->w.pool];
    struct ct_class_use *use = &tp->uses[row->w.klass];
    struct ct_queue_lane *lane = &tp->lanes[row->lane];
    bool firm_free = ct_queue_slot_free(pool, false);

    ct_reserve_accrue(q, row->w.pool, row->w.klass, now_ms);
    use->running++;
    use->reserve_running += from_reserve ? 1 : 0;
    lane->running++;
    row->from_reserve = from_reserve;
    if (!from_reserve) {
        tp->last_start[row->tier] = q->base.rows.next_sequence;
        if (firm_free) {
            tp->last_firm_start[row->tier] = q->base.rows.next_sequence;
        }
    }
    if (lane->tag > tp->virtual_time[row->tier]) {
        tp->virtual_time[row->tier] = lane->tag;
    }
    ct_lane_charge(q, row, row->expected_tokens);
    ct_queue_rows_start(&q->base.rows, row, now_ms);
    use->cheap_running += row->cheap ? 1 : 0;
}

/* Removes a row from its slot and updates the use of its class and lane. */
static void
stop_row(struct ct_queue_tiered *q, struct ct_queue_row *row, ct_ms now_ms)
{
    struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    struct ct_class_use *use = &tp->uses[row->w.klass];

    ct_reserve_accrue(q, row->w.pool, row->w.klass, now_ms);
    use->running--;
    use->cheap_running -= row->cheap ? 1 : 0;
    use->reserve_running -= row->from_reserve ? 1 : 0;
    tp->lanes[row->lane].running--;
    ct_queue_rows_stop(&q->base.rows, row);
}

/*
 * Whether a slot is free for the row and no waiting row of its tier or a
 * higher one could use a free slot.
 */
static bool
may_start_now(struct ct_queue_tiered *q, const struct ct_queue_row *row)
{
    uint32_t pool = row->w.pool;

    if (!ct_queue_slot_free(&q->base.rows.pools[pool], row->cheap_allowed)) {
        return false;
    }
    for (uint32_t tier = 0; tier <= row->tier; tier++) {
        if (q->base.rows.pools[pool].queued_by_tier[tier] > 0 &&
            !ct_handle_is_none(ct_lane_select(q, pool, tier, -1))) {
            return false;
        }
    }
    return true;
}

/*
 * Arms the timers that end or demote the row's wait. Errors: CT_ERR_NO_MEMORY.
 */
static int
arm_wait_timers(struct ct_queue_tiered *q, struct ct_handle handle)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);
    int err;

    if (row->timers_armed) {
        return CT_OK;
    }
    row->timers_armed = true;
    err = ct_timers_add(&q->timers, row->wait_deadline_ms, CT_TIMER_QUEUE,
                        handle);
    if (err < 0 || row->start_by_ms >= row->wait_deadline_ms) {
        return err;
    }
    return ct_timers_add(&q->timers, row->start_by_ms, CT_TIMER_QUEUE, handle);
}

/*
 * Whether a higher tier counts as unable to meet its targets. In that case a
 * class gets no more queue places than it owns: requests beyond them would
 * prevent the early refusal of requests of the higher tier.
 */
static bool
higher_tier_target_unmet(const struct ct_tiered_pool *tp, uint32_t tier,
                         ct_ms now_ms)
{
    for (uint32_t i = 0; i < tier; i++) {
        if (now_ms < tp->target_unmet_until_ms[i]) {
            return true;
        }
    }
    return false;
}

static int
queue_row(struct ct_queue_tiered *q, struct ct_handle handle, ct_ms now_ms,
          struct ct_queue_decision *decision)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);
    struct ct_class_use *use = &q->pools[row->w.pool].uses[row->w.klass];
    const struct ct_queue_pool *pool = &q->base.rows.pools[row->w.pool];
    int reason;
    int err;

    decision->expected_wait_ms = ct_predict_wait(q, row);
    if (decision->expected_wait_ms > row->start_by_ms - now_ms) {
        q->pools[row->w.pool].target_unmet_until_ms[row->tier] =
            now_ms + TARGET_UNMET_MS;
        if (ct_shed_allowed(q, row, use->queued)) {
            ct_shed_arrival(q, handle, CT_REFUSAL_TARGET_UNREACHABLE,
                            decision);
            return CT_OK;
        }
    }
    if (use->queued >= ct_reserve_places(q, row->w.klass) &&
        higher_tier_target_unmet(&q->pools[row->w.pool], row->tier, now_ms) &&
        !ct_reserve_exceeded_below(q, row, false)) {
        ct_shed_arrival(q, handle, CT_REFUSAL_OVERLOAD, decision);
        return CT_OK;
    }
    if (use->queued >= ct_reserve_places(q, row->w.klass) &&
        pool->queued + ct_reserve_unused_places(q, row->w.pool) >=
            q->base.rows.max_queued) {
        reason = ct_shed_to_make_room(q, row, decision, now_ms);
        if (reason < 0) {
            ct_shed_arrival(q, handle, (enum ct_refusal) - reason, decision);
            return CT_OK;
        }
    }
    err = arm_wait_timers(q, handle);
    if (err < 0) {
        ct_queue_rows_remove(&q->base.rows, handle);
        return err;
    }
    ct_lane_insert(q, handle, false);
    decision->admission = CT_QUEUED;
    return CT_OK;
}

/*
 * Grows the arrays for the row's class and organisation, predicts its needs
 * and assigns its lane.
 */
static int
prepare_row(struct ct_queue_tiered *q, struct ct_queue_row *row, ct_ms now_ms)
{
    struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    int err = ct_array_grow((void **)&tp->uses, &tp->n_uses, row->w.klass + 1,
                            sizeof(*tp->uses));

    if (err < 0) {
        return err;
    }
    if (!tp->uses[row->w.klass].seen) {
        tp->uses[row->w.klass].seen = true;
        tp->uses[row->w.klass].credit_at_ms = now_ms;
    }
    err = ct_array_grow((void **)&q->organisations, &q->n_organisations,
                        row->w.organisation + 1, sizeof(*q->organisations));
    if (err < 0) {
        return err;
    }
    ct_predict_row(q, row);
    return ct_lane_assign(q, row);
}

static int
tiered_arrive(struct ct_queue_policy *policy, const struct ct_queue_request *w,
              ct_ms now_ms, struct ct_queue_decision *decision)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_queue_row *row;
    struct ct_handle handle;
    int err = ct_queue_rows_add(&q->base.rows, w, &handle);

    memset(decision, 0, sizeof(*decision));
    if (err < 0) {
        return err;
    }
    row = ct_queue_row_get(&q->base.rows, handle);
    err = prepare_row(q, row, now_ms);
    if (err < 0) {
        ct_queue_rows_remove(&q->base.rows, handle);
        return err;
    }
    decision->queue_length = q->base.rows.pools[w->pool].queued;
    decision->wait_deadline_ms = row->wait_deadline_ms;
    if (may_start_now(q, row)) {
        start_row(q, row, false, now_ms);
        decision->admission = CT_ADMITTED;
        return CT_OK;
    }
    return queue_row(q, handle, now_ms, decision);
}

static int
tiered_next(struct ct_queue_policy *policy, uint32_t pool, ct_ms now_ms,
            struct ct_queue_request *w)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_handle chosen = CT_NO_HANDLE;
    struct ct_handle reserved = CT_NO_HANDLE;
    struct ct_queue_row *row;
    uint32_t tier;
    int klass;

    if (pool >= q->n_pools ||
        !ct_queue_slot_free(&q->base.rows.pools[pool], true)) {
        return 0;
    }
    for (tier = 0; tier < CT_TIERS && ct_handle_is_none(chosen); tier++) {
        if (q->base.rows.pools[pool].queued_by_tier[tier] > 0) {
            chosen = ct_lane_select(q, pool, tier, -1);
        }
    }
    row = ct_queue_row_get(&q->base.rows, chosen);
    if (!row) {
        return 0;
    }
    klass = ct_reserve_select_class(q, row, now_ms);
    if (klass >= 0) {
        reserved = ct_lane_select(
            q, pool, q->base.rows.classes[klass].settings.tier, klass);
    }
    if (!ct_handle_is_none(reserved)) {
        chosen = reserved;
        row = ct_queue_row_get(&q->base.rows, chosen);
    }
    ct_lane_remove(q, chosen);
    start_row(q, row, !ct_handle_is_none(reserved), now_ms);
    *w = row->w;
    return 1;
}

static int
tiered_expire(struct ct_queue_policy *policy, ct_ms now_ms,
              struct ct_queue_refusal *shed)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_timer timer;

    while (ct_timers_pop(&q->timers, now_ms, &timer)) {
        if (ct_shed_on_timer(q, timer.handle, now_ms, shed)) {
            return 1;
        }
    }
    for (uint32_t pool = 0; pool < q->n_pools; pool++) {
        if (ct_shed_late_row(q, pool, shed)) {
            return 1;
        }
    }
    return 0;
}

static void
tiered_set_placement(struct ct_queue_policy *policy, struct ct_handle request,
                     bool cheap)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_handle handle;
    const struct ct_queue_row *row = ct_queue_rows_find(
        &q->base.rows, request, CT_QUEUE_ROW_RUNNING, &handle);

    if (row && row->cheap != cheap) {
        q->pools[row->w.pool].uses[row->w.klass].cheap_running +=
            cheap ? 1 : -1;
    }
    ct_queue_rows_set_placement(&q->base.rows, request, cheap);
}

static int
tiered_give_back(struct ct_queue_policy *policy, struct ct_handle request,
                 ct_ms now_ms)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_handle handle;
    struct ct_queue_row *row = ct_queue_rows_find(
        &q->base.rows, request, CT_QUEUE_ROW_RUNNING, &handle);

    if (!row) {
        return CT_ERR_NOT_FOUND;
    }
    stop_row(q, row, now_ms);
    ct_lane_charge(q, row, -(int64_t)row->expected_tokens);
    ct_lane_insert(q, handle, true);
    return arm_wait_timers(q, handle);
}

static int
tiered_release_slot(struct ct_queue_policy *policy,
                    const struct ct_queue_result *served, ct_ms now_ms)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_handle handle;
    struct ct_queue_row *row = ct_queue_rows_find(
        &q->base.rows, served->request, CT_QUEUE_ROW_RUNNING, &handle);
    int64_t tokens;

    if (!row) {
        return CT_ERR_NOT_FOUND;
    }
    tokens = 1 + (int64_t)served->output_tokens + served->prompt_tokens / 16;
    ct_predict_record_served(q, row, served, now_ms - row->started_ms);
    ct_lane_charge(q, row, tokens - row->expected_tokens);
    ct_lane_add_usage(q, row->w.organisation, (uint64_t)tokens, now_ms);
    stop_row(q, row, now_ms);
    ct_queue_rows_remove(&q->base.rows, handle);
    return CT_OK;
}

static int
tiered_remove_queued(struct ct_queue_policy *policy, struct ct_handle request)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;
    struct ct_handle handle;

    if (!ct_queue_rows_find(&q->base.rows, request, CT_QUEUE_ROW_WAITING,
                            &handle)) {
        return CT_ERR_NOT_FOUND;
    }
    ct_lane_remove(q, handle);
    ct_queue_rows_remove(&q->base.rows, handle);
    return CT_OK;
}

static size_t
tiered_bytes(const struct ct_queue_policy *policy)
{
    const struct ct_queue_tiered *q = (const struct ct_queue_tiered *)policy;
    size_t bytes = sizeof(*q) + ct_queue_rows_bytes(&q->base.rows);

    for (uint32_t i = 0; i < q->n_pools; i++) {
        bytes += q->pools[i].n_lanes * sizeof(*q->pools[i].lanes) +
                 q->pools[i].n_uses * sizeof(*q->pools[i].uses);
    }
    return bytes + q->n_pools * sizeof(*q->pools) +
           q->n_organisations * sizeof(*q->organisations) +
           q->timers.cap * sizeof(*q->timers.heap);
}

static void
tiered_free(struct ct_queue_policy *policy)
{
    struct ct_queue_tiered *q = (struct ct_queue_tiered *)policy;

    for (uint32_t i = 0; i < q->n_pools; i++) {
        free(q->pools[i].lanes);
        free(q->pools[i].uses);
    }
    free(q->pools);
    free(q->organisations);
    ct_timers_free(&q->timers);
    ct_queue_rows_free(&q->base.rows);
    free(q);
}

static const struct ct_queue_policy_ops tiered_ops = {
    .set_class = ct_queue_base_set_class,
    .set_organisation = ct_queue_base_set_organisation,
    .set_pool = tiered_set_pool,
    .arrive = tiered_arrive,
    .next = tiered_next,
    .expire = tiered_expire,
    .set_placement = tiered_set_placement,
    .give_back = tiered_give_back,
    .release_slot = tiered_release_slot,
    .remove_queued = tiered_remove_queued,
    .totals = ct_queue_base_totals,
    .bytes = tiered_bytes,
    .free = tiered_free,
};

struct ct_queue_policy *
ct_queue_tiered_new(uint32_t max_queued)
{
    struct ct_queue_tiered *q = calloc(1, sizeof(*q));

    if (!q) {
        return NULL;
    }
    q->base.policy.ops = &tiered_ops;
    ct_queue_rows_init(&q->base.rows, max_queued);
    ct_timers_init(&q->timers);
    return &q->base.policy;
}
