#include "queue-rows.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"

void
ct_queue_rows_init(struct ct_queue_rows *rows, uint32_t max_queued)
{
    memset(rows, 0, sizeof(*rows));
    rows->max_queued = max_queued;
    ct_table_init(&rows->table, sizeof(struct ct_queue_row), 0, NULL);
}

void
ct_queue_rows_free(struct ct_queue_rows *rows)
{
    ct_table_free(&rows->table);
    free(rows->by_request);
    free(rows->classes);
    free(rows->pools);
    free(rows->weights);
}

size_t
ct_queue_rows_bytes(const struct ct_queue_rows *rows)
{
    return ct_table_bytes(&rows->table) +
           rows->n_by_request * sizeof(*rows->by_request) +
           rows->n_classes * sizeof(*rows->classes) +
           rows->n_pools * sizeof(*rows->pools) +
           rows->n_weights * sizeof(*rows->weights);
}

int
ct_array_grow(void **array, uint32_t *n, uint32_t wanted, size_t size)
{
    uint32_t cap = *n ? *n : 8;
    uint8_t *grown;

    if (wanted <= *n) {
        return CT_OK;
    }
    while (cap < wanted) {
        cap *= 2;
    }
    grown = realloc(*array, cap * size);
    if (!grown) {
        return CT_ERR_NO_MEMORY;
    }
    memset(grown + *n * size, 0, (cap - *n) * size);
    *array = grown;
    *n = cap;
    return CT_OK;
}

int
ct_queue_base_set_class(struct ct_queue_policy *policy, uint32_t klass,
                        const struct ct_class *settings)
{
    struct ct_queue_rows *rows = &((struct ct_queue_base *)policy)->rows;
    int err;

    if (settings->tier >= CT_TIERS) {
        return CT_ERR_INVALID;
    }
    err = ct_array_grow((void **)&rows->classes, &rows->n_classes, klass + 1,
                        sizeof(*rows->classes));
    if (err < 0) {
        return err;
    }
    rows->classes[klass].set = true;
    rows->classes[klass].settings = *settings;
    return CT_OK;
}

int
ct_queue_base_set_organisation(struct ct_queue_policy *policy,
                               uint32_t organisation, uint32_t weight)
{
    struct ct_queue_rows *rows = &((struct ct_queue_base *)policy)->rows;
    int err = ct_array_grow((void **)&rows->weights, &rows->n_weights,
                            organisation + 1, sizeof(*rows->weights));

    if (err < 0) {
        return err;
    }
    rows->weights[organisation] = weight;
    return CT_OK;
}

int
ct_queue_rows_set_pool(struct ct_queue_rows *rows, uint32_t pool,
                       uint32_t firm_slots, uint32_t cheap_slots)
{
    int err = ct_array_grow((void **)&rows->pools, &rows->n_pools, pool + 1,
                            sizeof(*rows->pools));

    if (err < 0) {
        return err;
    }
    rows->pools[pool].set = true;
    rows->pools[pool].firm_slots = firm_slots;
    rows->pools[pool].cheap_slots = cheap_slots;
    return CT_OK;
}

static int
check_waiting(const struct ct_queue_rows *rows,
              const struct ct_queue_request *w)
{
    struct ct_handle row;

    if (w->klass >= rows->n_classes || !rows->classes[w->klass].set ||
        w->pool >= rows->n_pools || !rows->pools[w->pool].set) {
        return CT_ERR_NOT_FOUND;
    }
    if (ct_queue_rows_find(rows, w->request, CT_QUEUE_ROW_WAITING, &row) ||
        ct_queue_rows_find(rows, w->request, CT_QUEUE_ROW_RUNNING, &row)) {
        return CT_ERR_EXISTS;
    }
    return CT_OK;
}

int
ct_queue_rows_add(struct ct_queue_rows *rows, const struct ct_queue_request *w,
                  struct ct_handle *handle)
{
    const struct ct_class *settings;
    struct ct_queue_row *row;
    int err = check_waiting(rows, w);

    if (err < 0) {
        return err;
    }
    err = ct_array_grow((void **)&rows->by_request, &rows->n_by_request,
                        w->request.index + 1, sizeof(*rows->by_request));
    if (err < 0) {
        return err;
    }
    err = ct_table_add(&rows->table, handle);
    if (err < 0) {
        return err;
    }
    rows->by_request[w->request.index] = *handle;
    settings = &rows->classes[w->klass].settings;
    row = ct_queue_row_get(rows, *handle);
    row->w = *w;
    row->state = CT_QUEUE_ROW_WAITING;
    row->tier = settings->tier;
    row->cheap_allowed = settings->cheap_allowed;
    row->wait_deadline_ms = w->arrived_ms + settings->queue_limit_ms;
    row->start_by_ms = w->arrived_ms + settings->first_token_target_ms;
    row->sequence = ++rows->next_sequence;
    return CT_OK;
}

struct ct_queue_row *
ct_queue_rows_find(const struct ct_queue_rows *rows, struct ct_handle request,
                   enum ct_queue_row_state state, struct ct_handle *handle)
{
    struct ct_queue_row *row;

    if (request.index >= rows->n_by_request) {
        return NULL;
    }
    *handle = rows->by_request[request.index];
    row = ct_queue_row_get(rows, *handle);
    if (!row || row->state != state ||
        !ct_handle_eq(row->w.request, request)) {
        return NULL;
    }
    return row;
}

bool
ct_queue_slot_free(const struct ct_queue_pool *pool, bool cheap_allowed)
{
    if (pool->firm_running < pool->firm_slots) {
        return true;
    }
    return cheap_allowed && pool->cheap_running < pool->cheap_slots;
}

void
ct_queue_rows_start(struct ct_queue_rows *rows, struct ct_queue_row *row,
                    ct_ms now_ms)
{
    struct ct_queue_pool *pool = &rows->pools[row->w.pool];

    row->state = CT_QUEUE_ROW_RUNNING;
    row->started_ms = now_ms;
    row->cheap = row->cheap_allowed && pool->cheap_running < pool->cheap_slots;
    if (row->cheap) {
        pool->cheap_running++;
    }
    else {
        pool->firm_running++;
    }
}

void
ct_queue_rows_stop(struct ct_queue_rows *rows, struct ct_queue_row *row)
{
    struct ct_queue_pool *pool = &rows->pools[row->w.pool];

    if (row->cheap) {
        pool->cheap_running--;
    }
    else {
        pool->firm_running--;
    }
    row->state = CT_QUEUE_ROW_WAITING;
    row->cheap = false;
}

void
ct_queue_rows_remove(struct ct_queue_rows *rows, struct ct_handle handle)
{
    struct ct_queue_row *row = ct_queue_row_get(rows, handle);

    rows->by_request[row->w.request.index] = CT_NO_HANDLE;
    ct_table_unref(&rows->table, handle);
}

void
ct_queue_rows_set_placement(struct ct_queue_rows *rows,
                            struct ct_handle request, bool cheap)
{
    struct ct_handle handle;
    struct ct_queue_row *row =
        ct_queue_rows_find(rows, request, CT_QUEUE_ROW_RUNNING, &handle);
    struct ct_queue_pool *pool;

    if (!row || row->cheap == cheap) {
        return;
    }
    pool = &rows->pools[row->w.pool];
    pool->cheap_running += cheap ? 1 : -1;
    pool->firm_running += cheap ? -1 : 1;
    row->cheap = cheap;
}

void
ct_queue_base_totals(const struct ct_queue_policy *policy, uint32_t pool,
                     struct ct_queue_totals *totals)
{
    const struct ct_queue_rows *rows =
        &((const struct ct_queue_base *)policy)->rows;
    const struct ct_queue_pool *p;

    memset(totals, 0, sizeof(*totals));
    if (pool >= rows->n_pools) {
        return;
    }
    p = &rows->pools[pool];
    totals->queued = p->queued;
    totals->running = p->firm_running + p->cheap_running;
    totals->cheap_running = p->cheap_running;
    memcpy(totals->cheap_queued_by_tier, p->cheap_queued_by_tier,
           sizeof(totals->cheap_queued_by_tier));
    memcpy(totals->queued_by_tier, p->queued_by_tier,
           sizeof(totals->queued_by_tier));
    totals->inversions = p->inversions;
}

static void
count_queued(struct ct_queue_rows *rows, const struct ct_queue_row *row,
             int by)
{
    struct ct_queue_pool *pool = &rows->pools[row->w.pool];

    pool->queued += by;
    pool->queued_by_tier[row->tier] += by;
    if (row->cheap_allowed) {
        pool->cheap_queued_by_tier[row->tier] += by;
    }
}

void
ct_queue_list_insert(struct ct_queue_rows *rows, struct ct_queue_list *list,
                     struct ct_handle after, struct ct_handle handle)
{
    struct ct_queue_row *row = ct_queue_row_get(rows, handle);
    struct ct_queue_row *prev = ct_queue_row_get(rows, after);
    struct ct_queue_row *next;

    row->prev = prev ? after : CT_NO_HANDLE;
    row->next = prev ? prev->next : list->head;
    if (prev) {
        prev->next = handle;
    }
    else {
        list->head = handle;
    }
    next = ct_queue_row_get(rows, row->next);
    if (next) {
        next->prev = handle;
    }
    else {
        list->tail = handle;
    }
    list->n++;
    count_queued(rows, row, 1);
}

void
ct_queue_list_remove(struct ct_queue_rows *rows, struct ct_queue_list *list,
                     struct ct_handle handle)
{
    struct ct_queue_row *row = ct_queue_row_get(rows, handle);
    struct ct_queue_row *prev = ct_queue_row_get(rows, row->prev);
    struct ct_queue_row *next = ct_queue_row_get(rows, row->next);

    if (prev) {
        prev->next = row->next;
    }
    else {
        list->head = row->next;
    }
    if (next) {
        next->prev = row->prev;
    }
    else {
        list->tail = row->prev;
    }
    row->prev = CT_NO_HANDLE;
    row->next = CT_NO_HANDLE;
    list->n--;
    count_queued(rows, row, -1);
}
