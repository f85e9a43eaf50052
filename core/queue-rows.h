#ifndef CT_QUEUE_ROWS_H
#define CT_QUEUE_ROWS_H

#include "histogram.h"
#include "queue-policy.h"

/*
 * What all queueing policies keep: one row a request, from arrival until it
 * left its slot, and the settings and use of classes and pools. In this
 * module a handle named "row" refers to the row table, one named "request"
 * is the owner's.
 */

enum ct_queue_row_state {
    CT_QUEUE_ROW_WAITING = 1,
    CT_QUEUE_ROW_RUNNING,
};

struct ct_queue_row {
    struct ct_waiting w;
    enum ct_queue_row_state state;
    uint32_t tier;
    bool cheap_allowed;
    /* Runs on a cheap upstream. */
    bool cheap;
    /* Was started from the reserve of its class. */
    bool from_reserve;
    /* The timers of its wait are armed. */
    bool armed;
    /* Its first-token target has passed while it waited. */
    bool late;
    /* Last useful moment to start, and the end of its wait. */
    ct_ms start_by_ms;
    ct_ms give_up_ms;
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
    /* Tokens of whole answers; slot time; time to the first token. */
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
    /* Row of a request, by the index of the request's handle. */
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

/* Makes *array hold at least n zeroed elements. Errors: CT_ERR_NO_MEMORY. */
int ct_queue_grow(void **array, uint32_t *n, uint32_t wanted, size_t size);

int ct_queue_rows_set_pool(struct ct_queue_rows *rows, uint32_t pool,
                           uint32_t firm_slots, uint32_t cheap_slots);

/*
 * Adds a waiting row that is in no list yet. Errors: see arrive() in
 * queue-policy.h.
 */
int ct_queue_rows_add(struct ct_queue_rows *rows, const struct ct_waiting *w,
                      struct ct_handle *row);

/* The row of a request in this state, or NULL. */
struct ct_queue_row *ct_queue_rows_find(const struct ct_queue_rows *rows,
                                        struct ct_handle request,
                                        enum ct_queue_row_state state,
                                        struct ct_handle *row);

static inline struct ct_queue_row *
ct_queue_row_get(const struct ct_queue_rows *rows, struct ct_handle row)
{
    return ct_table_get(&rows->table, row);
}

/* Whether a slot of the kind that the row may use is free. */
bool ct_queue_slot_free(const struct ct_queue_pool *pool, bool cheap_allowed);

/* Moves a row that is in no list into a slot, or out of it. */
void ct_queue_rows_start(struct ct_queue_rows *rows, struct ct_queue_row *row,
                         ct_ms now_ms);
void ct_queue_rows_stop(struct ct_queue_rows *rows, struct ct_queue_row *row);

/* Forgets a row that neither waits in a list nor runs. */
void ct_queue_rows_drop(struct ct_queue_rows *rows, struct ct_handle row);

void ct_queue_rows_placed(struct ct_queue_rows *rows, struct ct_handle request,
                          bool cheap);

/* Adds a waiting row to a list, after the given row; at the head for none. */
void ct_queue_list_insert(struct ct_queue_rows *rows,
                          struct ct_queue_list *list, struct ct_handle after,
                          struct ct_handle row);
void ct_queue_list_remove(struct ct_queue_rows *rows,
                          struct ct_queue_list *list, struct ct_handle row);

/* What each policy that keeps rows begins with, and its common answers. */
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
