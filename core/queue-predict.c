#include "queue-tiered.h"

/* Assumed slot time of a class of which no request has completed yet. */
#define DEFAULT_HOLD_MS 1000
/* Quantiles of the observed slot times and first-token times that count. */
#define HOLD_PERMILLE 500
#define FIRST_TOKEN_PERMILLE 900
/* Period over which departures are counted, so that rates can be integers. */
#define RATE_SCALE_MS 1000000

static ct_ms
class_hold_ms(const struct ct_queue_class *klass)
{
    uint64_t mean = ct_histogram_mean(&klass->hold_ms);

    return mean > 0 ? (ct_ms)mean : DEFAULT_HOLD_MS;
}

void
ct_predict_row(struct ct_queue_tiered *q, struct ct_queue_row *row)
{
    const struct ct_queue_class *klass = &q->base.rows.classes[row->w.klass];
    const struct ct_class *settings = &klass->settings;
    uint64_t mean = ct_histogram_mean(&klass->output_tokens);
    uint64_t tokens = mean;
    ct_ms hold_ms;
    ct_ms total_by_ms;

    row->expected_hold_ms = class_hold_ms(klass);
    if (row->w.max_tokens > 0 && row->w.max_tokens < mean) {
        tokens = row->w.max_tokens;
        row->expected_hold_ms =
            row->expected_hold_ms * (ct_ms)tokens / (ct_ms)mean;
    }
    row->expected_tokens = (uint32_t)tokens + row->w.prompt_tokens / 16 + 1;
    row->start_by_ms = row->w.arrived_ms + settings->first_token_target_ms -
                       (ct_ms)ct_histogram_quantile(&klass->first_token_ms,
                                                    FIRST_TOKEN_PERMILLE);
    if (settings->total_target_ms > 0) {
        hold_ms = (ct_ms)ct_histogram_quantile(&klass->hold_ms, HOLD_PERMILLE);
        total_by_ms = row->w.arrived_ms + settings->total_target_ms - hold_ms;
        if (total_by_ms < row->start_by_ms) {
            row->start_by_ms = total_by_ms;
        }
    }
}

/* Returns the number of requests that fair queueing serves before the row. */
static uint64_t
count_requests_ahead(const struct ct_queue_tiered *q,
                     const struct ct_queue_row *row)
{
    const struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    uint32_t own_weight = ct_lane_weight(q, row->w.organisation);
    ct_ms own_ms = tp->lanes[row->lane].queued_ms + row->expected_hold_ms;
    uint64_t ahead = tp->lanes[row->lane].list.n;

    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        const struct ct_queue_lane *lane = &tp->lanes[i];
        ct_ms fair_ms;

        if (lane->list.n == 0 || i == row->lane || lane->tier > row->tier) {
            continue;
        }
        fair_ms = own_ms * ct_lane_weight(q, lane->organisation) / own_weight;
        if (lane->tier < row->tier || lane->queued_ms <= fair_ms) {
            ahead += lane->list.n;
        }
        else {
            ahead +=
                lane->list.n * (uint64_t)fair_ms / (uint64_t)lane->queued_ms;
        }
    }
    return ahead;
}

/*
 * Returns how many slots that the row could use become free per RATE_SCALE_MS.
 * Each class counts with its own mean slot time, because a class with long
 * requests occupies its slots for longer than the mean of all classes.
 */
static uint64_t
departure_rate(const struct ct_queue_tiered *q, const struct ct_queue_row *row)
{
    const struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    uint64_t rate = 0;

    for (uint32_t klass = 0; klass < tp->n_uses; klass++) {
        const struct ct_class_use *use = &tp->uses[klass];
        uint32_t running = use->running;

        if (!row->cheap_allowed) {
            running -= use->cheap_running;
        }
        if (running > 0) {
            rate += (uint64_t)running * RATE_SCALE_MS /
                    (uint64_t)class_hold_ms(&q->base.rows.classes[klass]);
        }
    }
    return rate;
}

/* Returns the wait for service from the reserve of the row's class. */
static ct_ms
reserve_wait_ms(const struct ct_queue_tiered *q,
                const struct ct_queue_row *row, uint32_t slots)
{
    const struct ct_class_use *use = &q->pools[row->w.pool].uses[row->w.klass];
    ct_ms rate = (ct_ms)slots *
                 q->base.rows.classes[row->w.klass].settings.reserve_percent;
    ct_ms work_ms = use->queued * row->expected_hold_ms;

    if (rate == 0) {
        return CT_MS_NEVER;
    }
    if (use->credit < 0) {
        work_ms -= use->credit;
    }
    return work_ms * 100 / rate;
}

ct_ms
ct_predict_wait(const struct ct_queue_tiered *q,
                const struct ct_queue_row *row)
{
    const struct ct_queue_pool *pool = &q->base.rows.pools[row->w.pool];
    uint32_t slots = pool->firm_slots;
    uint64_t rate = departure_rate(q, row);
    ct_ms wait_ms;
    ct_ms reserve_ms;

    if (row->cheap_allowed) {
        slots += pool->cheap_slots;
    }
    if (slots == 0 || rate == 0) {
        return CT_MS_NEVER;
    }
    wait_ms =
        (ct_ms)((count_requests_ahead(q, row) + 1) * RATE_SCALE_MS / rate);
    reserve_ms = reserve_wait_ms(q, row, slots);
    if (reserve_ms == CT_MS_NEVER) {
        return wait_ms;
    }
    reserve_ms += (ct_ms)(RATE_SCALE_MS / rate);
    return reserve_ms < wait_ms ? reserve_ms : wait_ms;
}

void
ct_predict_record_served(struct ct_queue_tiered *q,
                         const struct ct_queue_row *row,
                         const struct ct_queue_result *served, ct_ms hold_ms)
{
    struct ct_queue_class *klass = &q->base.rows.classes[row->w.klass];

    if (served->first_token_ms >= 0) {
        ct_histogram_add(&klass->first_token_ms,
                         (uint64_t)served->first_token_ms);
    }
    if (!served->complete) {
        return;
    }
    ct_histogram_add(&klass->output_tokens, served->output_tokens);
    ct_histogram_add(&klass->hold_ms, (uint64_t)hold_ms);
}
