#include "queue-levels.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"

/* Retry-after of refusals by these policies. */
#define FULL_RETRY_AFTER_MS 1000

static struct ct_queue_list *
list_of(struct ct_queue_levels *q, const struct ct_queue_row *row)
{
    return &q->lists[row->w.pool * CT_TIERS + q->levels_ops->level(row)];
}

static int
levels_set_pool(struct ct_queue_policy *policy, uint32_t pool,
                uint32_t firm_slots, uint32_t cheap_slots)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;
    int err = ct_array_grow((void **)&q->lists, &q->n_lists,
                            (pool + 1) * CT_TIERS, sizeof(*q->lists));

    if (err < 0) {
        return err;
    }
    return ct_queue_rows_set_pool(&q->base.rows, pool, firm_slots,
                                  cheap_slots);
}

static void
refuse_arrival(struct ct_queue_levels *q, struct ct_handle handle,
               struct ct_queue_decision *decision)
{
    ct_queue_rows_remove(&q->base.rows, handle);
    decision->admission = CT_REFUSED;
    decision->reason = CT_REFUSAL_OVERLOAD;
    decision->retry_after_ms = FULL_RETRY_AFTER_MS;
}

/*
 * Sheds a queued row to make room for this one. Returns false if none may be
 * shed.
 */
static bool
shed_for_row(struct ct_queue_levels *q, const struct ct_queue_row *row,
             struct ct_queue_decision *decision)
{
    int level = q->levels_ops->shed_level(q, row);
    struct ct_queue_list *list;
    struct ct_handle victim;

    if (level < 0) {
        return false;
    }
    list = &q->lists[row->w.pool * CT_TIERS + (uint32_t)level];
    victim = list->tail;
    decision->has_shed = true;
    decision->shed.request =
        ct_queue_row_get(&q->base.rows, victim)->w.request;
    decision->shed.reason = CT_REFUSAL_OVERLOAD;
    decision->shed.retry_after_ms = FULL_RETRY_AFTER_MS;
    ct_queue_list_remove(&q->base.rows, list, victim);
    ct_queue_rows_remove(&q->base.rows, victim);
    return true;
}

/* Returns the first row of a list that may use one of the free slots. */
static struct ct_handle
first_startable(const struct ct_queue_levels *q,
                const struct ct_queue_list *list)
{
    struct ct_handle handle = list->head;
    const struct ct_queue_row *row;

    while ((row = ct_queue_row_get(&q->base.rows, handle))) {
        if (ct_queue_slot_free(&q->base.rows.pools[row->w.pool],
                               row->cheap_allowed)) {
            return handle;
        }
        handle = row->next;
    }
    return CT_NO_HANDLE;
}

/*
 * Whether a slot is free for the row and no waiting row of its level or a
 * higher one could use a free slot.
 */
static bool
may_start_now(const struct ct_queue_levels *q, const struct ct_queue_row *row)
{
    uint32_t pool = row->w.pool;

    if (!ct_queue_slot_free(&q->base.rows.pools[pool], row->cheap_allowed)) {
        return false;
    }
    for (uint32_t level = 0; level <= q->levels_ops->level(row); level++) {
        if (!ct_handle_is_none(
                first_startable(q, ct_queue_levels_list(q, pool, level)))) {
            return false;
        }
    }
    return true;
}

static int
levels_arrive(struct ct_queue_policy *policy, const struct ct_queue_request *w,
              ct_ms now_ms, struct ct_queue_decision *decision)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;
    struct ct_queue_pool *pool;
    struct ct_queue_list *list;
    struct ct_queue_row *row;
    struct ct_handle handle;
    int err = ct_queue_rows_add(&q->base.rows, w, &handle);

    memset(decision, 0, sizeof(*decision));
    if (err < 0) {
        return err;
    }
    pool = &q->base.rows.pools[w->pool];
    row = ct_queue_row_get(&q->base.rows, handle);
    list = list_of(q, row);
    decision->queue_length = pool->queued;
    decision->wait_deadline_ms = row->wait_deadline_ms;
    if (may_start_now(q, row)) {
        ct_queue_rows_start(&q->base.rows, row, now_ms);
        decision->admission = CT_ADMITTED;
        return CT_OK;
    }
    if (pool->queued >= q->base.rows.max_queued &&
        !shed_for_row(q, row, decision)) {
        refuse_arrival(q, handle, decision);
        return CT_OK;
    }
    ct_queue_list_insert(&q->base.rows, list, list->tail, handle);
    decision->admission = CT_QUEUED;
    return CT_OK;
}

static int
levels_next(struct ct_queue_policy *policy, uint32_t pool, ct_ms now_ms,
            struct ct_queue_request *w)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;

    if (pool >= q->base.rows.n_pools ||
        !ct_queue_slot_free(&q->base.rows.pools[pool], true)) {
        return 0;
    }
    for (uint32_t level = 0; level < CT_TIERS; level++) {
        struct ct_queue_list *list = &q->lists[pool * CT_TIERS + level];
        struct ct_handle handle = first_startable(q, list);
        struct ct_queue_row *row = ct_queue_row_get(&q->base.rows, handle);

        if (!row) {
            continue;
        }
        ct_queue_list_remove(&q->base.rows, list, handle);
        ct_queue_rows_start(&q->base.rows, row, now_ms);
        *w = row->w;
        return 1;
    }
    return 0;
}

static int
levels_expire(struct ct_queue_policy *policy, ct_ms now_ms,
              struct ct_queue_refusal *shed)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;
    uint32_t cursor = 0;
    struct ct_handle handle;
    struct ct_queue_row *row;

    while ((row = ct_table_next(&q->base.rows.table, &cursor, &handle))) {
        if (row->state != CT_QUEUE_ROW_WAITING ||
            row->wait_deadline_ms > now_ms) {
            continue;
        }
        shed->request = row->w.request;
        shed->reason = CT_REFUSAL_QUEUE_TIMEOUT;
        shed->retry_after_ms = FULL_RETRY_AFTER_MS;
        ct_queue_list_remove(&q->base.rows, list_of(q, row), handle);
        ct_queue_rows_remove(&q->base.rows, handle);
        return 1;
    }
    return 0;
}

static void
levels_set_placement(struct ct_queue_policy *policy, struct ct_handle request,
                     bool cheap)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;

    ct_queue_rows_set_placement(&q->base.rows, request, cheap);
}

static int
levels_give_back(struct ct_queue_policy *policy, struct ct_handle request,
                 ct_ms now_ms)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;
    struct ct_handle handle;
    struct ct_queue_row *row = ct_queue_rows_find(
        &q->base.rows, request, CT_QUEUE_ROW_RUNNING, &handle);

    (void)now_ms;
    if (!row) {
        return CT_ERR_NOT_FOUND;
    }
    ct_queue_rows_stop(&q->base.rows, row);
    ct_queue_list_insert(&q->base.rows, list_of(q, row), CT_NO_HANDLE, handle);
    return CT_OK;
}

static int
levels_release_slot(struct ct_queue_policy *policy,
                    const struct ct_queue_result *served, ct_ms now_ms)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;
    struct ct_handle handle;
    struct ct_queue_row *row = ct_queue_rows_find(
        &q->base.rows, served->request, CT_QUEUE_ROW_RUNNING, &handle);

    (void)now_ms;
    if (!row) {
        return CT_ERR_NOT_FOUND;
    }
    ct_queue_rows_stop(&q->base.rows, row);
    ct_queue_rows_remove(&q->base.rows, handle);
    return CT_OK;
}

static int
levels_remove_queued(struct ct_queue_policy *policy, struct ct_handle request)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;
    struct ct_handle handle;
    struct ct_queue_row *row = ct_queue_rows_find(
        &q->base.rows, request, CT_QUEUE_ROW_WAITING, &handle);

    if (!row) {
        return CT_ERR_NOT_FOUND;
    }
    ct_queue_list_remove(&q->base.rows, list_of(q, row), handle);
    ct_queue_rows_remove(&q->base.rows, handle);
    return CT_OK;
}

static size_t
levels_bytes(const struct ct_queue_policy *policy)
{
    const struct ct_queue_levels *q = (const struct ct_queue_levels *)policy;

    return sizeof(*q) + ct_queue_rows_bytes(&q->base.rows) +
           q->n_lists * sizeof(*q->lists);
}

static void
levels_free(struct ct_queue_policy *policy)
{
    struct ct_queue_levels *q = (struct ct_queue_levels *)policy;

    ct_queue_rows_free(&q->base.rows);
    free(q->lists);
    free(q);
}

static const struct ct_queue_policy_ops levels_policy_ops = {
    .set_class = ct_queue_base_set_class,
    .set_organisation = ct_queue_base_set_organisation,
    .set_pool = levels_set_pool,
    .arrive = levels_arrive,
    .next = levels_next,
    .expire = levels_expire,
    .set_placement = levels_set_placement,
    .give_back = levels_give_back,
    .release_slot = levels_release_slot,
    .remove_queued = levels_remove_queued,
    .totals = ct_queue_base_totals,
    .bytes = levels_bytes,
    .free = levels_free,
};

struct ct_queue_policy *
ct_queue_levels_new(const struct ct_queue_levels_ops *ops, uint32_t max_queued)
{
    struct ct_queue_levels *q = calloc(1, sizeof(*q));

    if (!q) {
        return NULL;
    }
    q->base.policy.ops = &levels_policy_ops;
    q->levels_ops = ops;
    ct_queue_rows_init(&q->base.rows, max_queued);
    return &q->base.policy;
}
