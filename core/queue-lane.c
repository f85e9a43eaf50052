#include <string.h>

#include "error.h"
#include "queue-tiered.h"

/* Scale of virtual time, so that tokens divided by weights keep precision. */
#define TAG_SCALE 64
/*
 * Organisations within this many tokens of the lowest are served by start
 * deadline.
 */
#define FAIR_SLACK_TOKENS 512
#define USAGE_HALF_LIFE_MS 10000

uint32_t
ct_lane_weight(const struct ct_queue_tiered *q, uint32_t organisation)
{
    if (organisation >= q->base.rows.n_weights ||
        q->base.rows.weights[organisation] == 0) {
        return 1;
    }
    return q->base.rows.weights[organisation];
}

/*
 * Returns the index of the row's lane, else of a free one, else -1. *tag is
 * set to the virtual start time of the organisation.
 */
static int
find_lane(const struct ct_tiered_pool *tp, const struct ct_queue_row *row,
          uint64_t *tag)
{
    int unused = -1;

    *tag = tp->virtual_time[row->tier];
    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        const struct ct_queue_lane *lane = &tp->lanes[i];
        bool idle = lane->list.n == 0 && lane->running == 0;

        if (lane->used && lane->organisation == row->w.organisation &&
            lane->tier == row->tier) {
            if (lane->klass == row->w.klass) {
                *tag = lane->tag;
                return (int)i;
            }
            if (lane->tag > *tag) {
                *tag = lane->tag;
            }
        }
        if (unused < 0 &&
            (!lane->used ||
             (idle && lane->tag <= tp->virtual_time[lane->tier]))) {
            unused = (int)i;
        }
    }
    return unused;
}

int
ct_lane_assign(struct ct_queue_tiered *q, struct ct_queue_row *row)
{
    struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    struct ct_queue_lane *lane;
    uint64_t tag;
    int found = find_lane(tp, row, &tag);
    int err;

    if (found < 0) {
        found = (int)tp->n_lanes;
        err = ct_array_grow((void **)&tp->lanes, &tp->n_lanes, tp->n_lanes + 1,
                            sizeof(*tp->lanes));
        if (err < 0) {
            return err;
        }
    }
    lane = &tp->lanes[found];
    if (!lane->used || lane->organisation != row->w.organisation ||
        lane->klass != row->w.klass) {
        memset(lane, 0, sizeof(*lane));
        lane->used = true;
        lane->organisation = row->w.organisation;
        lane->klass = row->w.klass;
        lane->tier = row->tier;
    }
    /* An idle organisation accumulates no credit. */
    if (lane->list.n == 0 && tag < tp->virtual_time[row->tier]) {
        tag = tp->virtual_time[row->tier];
    }
    lane->tag = tag;
    row->lane = (uint32_t)found;
    return CT_OK;
}

static struct ct_queue_lane *
lane_of(struct ct_queue_tiered *q, const struct ct_queue_row *row)
{
    return &q->pools[row->w.pool].lanes[row->lane];
}

/*
 * Returns the row after which to insert: rows are ordered by start deadline,
 * with late rows behind all others.
 */
static struct ct_handle
insert_position(const struct ct_queue_tiered *q,
                const struct ct_queue_lane *lane,
                const struct ct_queue_row *row)
{
    struct ct_handle after = lane->list.tail;
    const struct ct_queue_row *other;

    while (!row->late && (other = ct_queue_row_get(&q->base.rows, after))) {
        if (!other->late && other->start_by_ms <= row->start_by_ms) {
            break;
        }
        after = other->prev;
    }
    return after;
}

void
ct_lane_insert(struct ct_queue_tiered *q, struct ct_handle handle,
               bool at_head)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);
    struct ct_queue_lane *lane = lane_of(q, row);
    struct ct_handle after = CT_NO_HANDLE;

    if (!at_head || row->late) {
        after = insert_position(q, lane, row);
    }
    ct_queue_list_insert(&q->base.rows, &lane->list, after, handle);
    lane->queued_ms += row->expected_hold_ms;
    q->pools[row->w.pool].uses[row->w.klass].queued++;
    q->pools[row->w.pool].late += row->late ? 1 : 0;
}

void
ct_lane_remove(struct ct_queue_tiered *q, struct ct_handle handle)
{
    struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);
    struct ct_queue_lane *lane = lane_of(q, row);

    ct_queue_list_remove(&q->base.rows, &lane->list, handle);
    lane->queued_ms -= row->expected_hold_ms;
    q->pools[row->w.pool].uses[row->w.klass].queued--;
    q->pools[row->w.pool].late -= row->late ? 1 : 0;
}

void
ct_lane_charge(struct ct_queue_tiered *q, const struct ct_queue_row *row,
               int64_t tokens)
{
    struct ct_tiered_pool *tp = &q->pools[row->w.pool];
    int64_t scaled =
        tokens * TAG_SCALE / ct_lane_weight(q, row->w.organisation);

    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        struct ct_queue_lane *lane = &tp->lanes[i];

        if (!lane->used || lane->tier != row->tier ||
            lane->organisation != row->w.organisation) {
            continue;
        }
        if (scaled < 0 && lane->tag < (uint64_t)-scaled) {
            lane->tag = 0;
        }
        else {
            lane->tag += (uint64_t)scaled;
        }
    }
}

/* Whether the lane has a row that may use one of the free slots. */
static bool
has_startable_row(const struct ct_queue_tiered *q, uint32_t pool,
                  const struct ct_queue_lane *lane, uint32_t tier, int klass)
{
    if (lane->list.n == 0 || lane->tier != tier ||
        (klass >= 0 && lane->klass != (uint32_t)klass)) {
        return false;
    }
    return ct_queue_slot_free(
        &q->base.rows.pools[pool],
        q->base.rows.classes[lane->klass].settings.cheap_allowed);
}

static bool
starts_before(const struct ct_queue_row *row, const struct ct_queue_row *best)
{
    if (!best) {
        return true;
    }
    if (row->start_by_ms != best->start_by_ms) {
        return row->start_by_ms < best->start_by_ms;
    }
    return row->sequence < best->sequence;
}

/* Returns the head of a lane if it may be started now, else NULL. */
static const struct ct_queue_row *
startable_head(const struct ct_queue_tiered *q, uint32_t pool,
               const struct ct_queue_lane *lane, uint32_t tier, int klass,
               bool late)
{
    const struct ct_queue_row *row;

    if (!has_startable_row(q, pool, lane, tier, klass)) {
        return NULL;
    }
    row = ct_queue_row_get(&q->base.rows, lane->list.head);
    return row->late == late ? row : NULL;
}

/*
 * Selects the row with the earliest start deadline among the lanes within
 * FAIR_SLACK_TOKENS of the lowest tag.
 */
static struct ct_handle
select_row(const struct ct_queue_tiered *q, uint32_t pool, uint32_t tier,
           int klass, bool late)
{
    const struct ct_tiered_pool *tp = &q->pools[pool];
    struct ct_handle chosen = CT_NO_HANDLE;
    const struct ct_queue_row *best = NULL;
    uint64_t least = UINT64_MAX;

    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        const struct ct_queue_lane *lane = &tp->lanes[i];

        if (lane->tag < least &&
            startable_head(q, pool, lane, tier, klass, late)) {
            least = lane->tag;
        }
    }
    for (uint32_t i = 0; i < tp->n_lanes && least < UINT64_MAX; i++) {
        const struct ct_queue_lane *lane = &tp->lanes[i];
        const struct ct_queue_row *row =
            startable_head(q, pool, lane, tier, klass, late);

        if (row && lane->tag <= least + FAIR_SLACK_TOKENS * TAG_SCALE &&
            starts_before(row, best)) {
            best = row;
            chosen = lane->list.head;
        }
    }
    return chosen;
}

struct ct_handle
ct_lane_select(struct ct_queue_tiered *q, uint32_t pool, uint32_t tier,
               int klass)
{
    struct ct_handle chosen = select_row(q, pool, tier, klass, false);

    if (ct_handle_is_none(chosen)) {
        chosen = select_row(q, pool, tier, klass, true);
    }
    return chosen;
}

static void
decay_usage(struct ct_organisation_use *use, ct_ms now_ms)
{
    ct_ms passed_ms = now_ms - use->decayed_ms;
    uint64_t lost;

    if (passed_ms <= 0) {
        return;
    }
    while (passed_ms >= USAGE_HALF_LIFE_MS && use->tokens > 0) {
        use->tokens /= 2;
        use->decayed_ms += USAGE_HALF_LIFE_MS;
        passed_ms -= USAGE_HALF_LIFE_MS;
    }
    if (use->tokens == 0) {
        use->decayed_ms = now_ms;
        return;
    }
    /*
     * Decays linearly within a half-life. A loss that rounds to 0 is left for
     * a later call.
     */
    lost = use->tokens * (uint64_t)passed_ms / (2 * USAGE_HALF_LIFE_MS);
    if (lost > 0) {
        use->tokens -= lost;
        use->decayed_ms = now_ms;
    }
}

void
ct_lane_add_usage(struct ct_queue_tiered *q, uint32_t organisation,
                  uint64_t tokens, ct_ms now_ms)
{
    struct ct_organisation_use *use = &q->organisations[organisation];

    decay_usage(use, now_ms);
    use->tokens += tokens;
}

uint64_t
ct_lane_share(struct ct_queue_tiered *q, uint32_t pool, uint32_t organisation,
              uint32_t tier, ct_ms now_ms)
{
    const struct ct_tiered_pool *tp = &q->pools[pool];
    uint64_t tokens;

    decay_usage(&q->organisations[organisation], now_ms);
    tokens = q->organisations[organisation].tokens;
    for (uint32_t i = 0; i < tp->n_lanes; i++) {
        const struct ct_queue_lane *lane = &tp->lanes[i];

        if (lane->used && lane->organisation == organisation &&
            lane->tier == tier && lane->list.n > 0) {
            const struct ct_queue_row *head =
                ct_queue_row_get(&q->base.rows, lane->list.head);

            tokens += (uint64_t)lane->list.n * (head->expected_tokens + 1);
        }
    }
    return tokens * TAG_SCALE / ct_lane_weight(q, organisation);
}
