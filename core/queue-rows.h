#ifndef CT_QUEUE_ROWS_H
#define CT_QUEUE_ROWS_H

#include "histogram.h"
#include "queue-policy.h"

/*
 * Rows common to all queueing policies: one per request, from its arrival
 * until it leaves its slot, and the settings and use of classes and pools.
 * Here a handle named "row" refers to the row table, and one named "request"
 * is the owner's handle.
 */

enum ct_queue_row_state {
    CT_QUEUE_ROW_WAITING = 1,
    CT_QUEUE_ROW_RUNNING,
};

struct ct_queue_row {
    struct ct_queue_request w;
    enum ct_queue_row_state state;
    uint32_t tier;
    bool cheap_allowed;
    /* Placed on a cheap upstream. */
    bool cheap;
    /* Started from the reserve of its class. */
    bool from_reserve;
    /* The timers that end or demote its wait are armed. */
    bool timers_armed;
    /* Its start deadline passed while it waited. */
    bool late;
    /*
     * Start deadline: the last time at which the row can start and still meet
     * its targets; and the end of its wait.
     */
    ct_ms start_by_ms;
    ct_ms wait_deadline_ms;
    ct_ms started_ms;
    /* Predictions made at arrival. */
    ct_ms expected_hold_ms;
    uint32_t expected_tokens;
    /* Order of arrival. */
    uint64_t sequence;
    /* Lane of the tiered policy. */
    uint32_t lane;
    /* Neighbours in a list of waiting rows. */
    struct ct_handle prev;
    struct ct_handle next;
};

struct ct_queue_list {
    struct ct_handle head;
    struct ct_handle tail;
    uint32_t n;
};

struct ct_queue_class {
    bool set;
    struct ct_class settings;
    /*
     * Output tokens and slot time of complete responses; time to the first
     * token.
     */
    struct ct_histogram output_tokens;
    struct ct_histogram hold_ms;
    struct ct_histogram first_token_ms;
};

struct ct_queue_pool {
    bool set;
    uint32_t firm_slots;
    uint32_t cheap_slots;
    uint32_t firm_running;
    uint32_t cheap_running;
    uint32_t queued;
    uint32_t queued_by_tier[CT_TIERS];
    uint32_t cheap_queued_by_tier[CT_TIERS];
    uint64_t inversions;
};

struct ct_queue_rows {
    struct ct_table table;
    uint32_t max_queued;
    uint64_t next_sequence;
    /* Handle of a request's row, by the index of the request's handle. */
    struct ct_handle *by_request;
    uint32_t n_by_request;
    struct ct_queue_class *classes;
    uint32_t n_classes;
    struct ct_queue_pool *pools;
    uint32_t n_pools;
    uint32_t *weights;
    uint32_t n_weights;
};

void ct_queue_rows_init(struct ct_queue_rows *rows, uint32_t max_queued);
void ct_queue_rows_free(struct ct_queue_rows *rows);
size_t ct_queue_rows_bytes(const struct ct_queue_rows *rows);

/*
 * Grows *array to at least `wanted` elements; new elements are zeroed. Errors:
 * CT_ERR_NO_MEMORY.
 */
int ct_array_grow(void **array, uint32_t *n, uint32_t wanted, size_t size);

int ct_queue_rows_set_pool(struct ct_queue_rows *rows, uint32_t pool,
                           uint32_t firm_slots, uint32_t cheap_slots);

/*
 * Adds a waiting row without inserting it into a list. Errors: see arrive() in
 * queue-policy.h.
 */
int ct_queue_rows_add(struct ct_queue_rows *rows,
                      const struct ct_queue_request *w, struct ct_handle *row);

/* Returns the row of a request that is in the given state, or NULL. */
struct ct_queue_row *ct_queue_rows_find(const struct ct_queue_rows *rows,
                                        struct ct_handle request,
                                        enum ct_queue_row_state state,
                                        struct ct_handle *row);

static inline struct ct_queue_row *
ct_queue_row_get(const struct ct_queue_rows *rows, struct ct_handle row)
{
    return ct_table_get(&rows->table, row);
}

/* Whether a firm slot is free, or a cheap one if cheap_allowed. */
bool ct_queue_slot_free(const struct ct_queue_pool *pool, bool cheap_allowed);

/* Move a row that is in no list into a slot, or out of its slot. */
void ct_queue_rows_start(struct ct_queue_rows *rows, struct ct_queue_row *row,
                         ct_ms now_ms);
void ct_queue_rows_stop(struct ct_queue_rows *rows, struct ct_queue_row *row);

/* Removes a row that is in no list and holds no slot. */
void ct_queue_rows_remove(struct ct_queue_rows *rows, struct ct_handle row);

void ct_queue_rows_set_placement(struct ct_queue_rows *rows,
                                 struct ct_handle request, bool cheap);

/*
 * Inserts a waiting row into a list after the given row, or at the head if
 * that is CT_NO_HANDLE.
 */
void ct_queue_list_insert(struct ct_queue_rows *rows,
                          struct ct_queue_list *list, struct ct_handle after,
                          struct ct_handle row);
void ct_queue_list_remove(struct ct_queue_rows *rows,
                          struct ct_queue_list *list, struct ct_handle row);

/*
 * First member of each policy that uses these rows, with the operations that
 * are the same for all.
 */
struct ct_queue_base {
    struct ct_queue_policy policy;
    struct ct_queue_rows rows;
};

int ct_queue_base_set_class(struct ct_queue_policy *policy, uint32_t klass,
                            const struct ct_class *settings);
int ct_queue_base_set_organisation(struct ct_queue_policy *policy,
                                   uint32_t organisation, uint32_t weight);
void ct_queue_base_totals(const struct ct_queue_policy *policy, uint32_t pool,
                          struct ct_queue_totals *totals);

#endif
