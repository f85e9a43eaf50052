#ifndef CT_BALANCE_ROWS_H
#define CT_BALANCE_ROWS_H

#include "balance-policy.h"

/* What the balancing policies have seen of each upstream. */

/* Own requests in flight from a moment on. */
struct ct_flight {
    ct_ms at_ms;
    uint32_t own;
};

#define CT_FLIGHTS 32

enum ct_health {
    CT_HEALTHY = 0,
    /* Failed; comes back through a probe. */
    CT_EJECTED_FAILED,
    /* Much slower than its peers; comes back through a probe. */
    CT_EJECTED_SLOW,
};

struct ct_balance_row {
    struct ct_handle upstream;
    uint32_t slots;
    uint32_t own;
    enum ct_health health;
    /* One request is out to see whether it is back. */
    bool probing;
    uint32_t failures;
    uint32_t ejections;
    ct_ms ejected_until_ms;
    /* Kept for short prompts. */
    bool for_short;
    /* When it was first there to be chosen. */
    ct_ms since_ms;
    /* Declined a request: full until then. */
    ct_ms full_until_ms;
    /* Moving averages, scaled; gaps as of an idle engine; 0 until something
     * was seen. */
    uint64_t scaled_gap_us;
    uint64_t scaled_first_us;
    uint32_t gap_samples;
    /* Medians of its peers when last compared. */
    uint64_t median_gap_us;
    uint64_t median_first_us;
    ct_ms compared_at_ms;
    /* Load of all other hosts by the last report. */
    uint32_t others;
    ct_ms reported_at_ms;
    /* Own requests in flight over the last changes; a ring. */
    struct ct_flight flights[CT_FLIGHTS];
    uint32_t n_flights;
};

struct ct_balance_rows {
    struct ct_balance_row *rows;
    uint32_t n_rows;
};

/* The row of an upstream, new for a new handle. NULL: memory is gone. */
struct ct_balance_row *ct_balance_row(struct ct_balance_rows *rows,
                                      struct ct_handle upstream);
void ct_balance_rows_free(struct ct_balance_rows *rows);

/* Own requests in flight at that time, as far back as it is known. */
uint32_t ct_balance_own_at(const struct ct_balance_row *row, ct_ms at_ms);

void ct_balance_row_started(struct ct_balance_row *row, ct_ms now_ms);
void ct_balance_row_ended(struct ct_balance_row *row, ct_ms now_ms);

/* Whether the outcome says that the upstream itself is at fault. */
bool ct_balance_is_failure(enum ct_outcome outcome);

/*
 * The common part of the two plain policies: one failure keeps an upstream
 * out for a fixed time. They differ in choose().
 */
struct ct_balance_plain {
    struct ct_balance_policy policy;
    struct ct_balance_rows rows;
    /* Upstream that was chosen last. */
    uint32_t last_index;
    /* Until then short prompts may go anywhere; of the policy with homes. */
    ct_ms crowded_until_ms;
    /* The first choice; of the same policy. */
    ct_ms since_ms;
};

struct ct_balance_policy *
ct_balance_plain_new(const struct ct_balance_policy_ops *ops);

/* Whether a plain policy may send the request there. */
bool ct_balance_plain_open(const struct ct_balance_row *row,
                           const struct ct_candidate *candidate,
                           const struct ct_balance_request *ask);

/* Keeps nothing in mind. */
int ct_balance_plain_cache_donor(struct ct_balance_policy *policy,
                                 const struct ct_balance_request *ask,
                                 const struct ct_candidate *candidates,
                                 uint32_t n, uint32_t chosen);
void ct_balance_plain_started(struct ct_balance_policy *policy,
                              struct ct_handle upstream, ct_ms now_ms);
void ct_balance_plain_ended(struct ct_balance_policy *policy,
                            struct ct_handle upstream, enum ct_outcome outcome,
                            ct_ms now_ms);
void ct_balance_plain_first_token(struct ct_balance_policy *policy,
                                  struct ct_handle upstream, ct_ms wait_ms,
                                  ct_ms now_ms);
void ct_balance_plain_token_gap(struct ct_balance_policy *policy,
                                struct ct_handle upstream, uint32_t tokens,
                                ct_ms gap_ms, ct_ms now_ms);
void ct_balance_plain_reported(struct ct_balance_policy *policy,
                               struct ct_handle upstream, uint32_t running,
                               uint32_t waiting, ct_ms at_ms);
bool ct_balance_plain_usable(struct ct_balance_policy *policy,
                             struct ct_handle upstream, ct_ms now_ms);
size_t ct_balance_plain_bytes(const struct ct_balance_policy *policy);
void ct_balance_plain_free(struct ct_balance_policy *policy);

#define CT_BALANCE_PLAIN_OPS                                                  \
    .keeper = ct_balance_plain_cache_donor,                                   \
    .started = ct_balance_plain_started, .ended = ct_balance_plain_ended,     \
    .first_token = ct_balance_plain_first_token,                              \
    .token_gap = ct_balance_plain_token_gap,                                  \
    .reported = ct_balance_plain_reported, .usable = ct_balance_plain_usable, \
    .bytes = ct_balance_plain_bytes, .free = ct_balance_plain_free

#endif
