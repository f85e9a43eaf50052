#ifndef CT_BALANCE_ROWS_H
#define CT_BALANCE_ROWS_H

#include "balance-policy.h"

/* Measurements of the balancing policies, with one row per upstream. */

/* Own requests in flight from at_ms on. */
struct ct_in_flight_sample {
    ct_ms at_ms;
    uint32_t in_flight;
};

#define CT_IN_FLIGHT_SAMPLES 32

enum ct_health {
    CT_HEALTHY = 0,
    /* Ejected after failures; readmitted by a successful probe. */
    CT_EJECTED_FAILED,
    /*
     * Ejected because it is much slower than its peers; readmitted by a probe.
     */
    CT_EJECTED_SLOW,
};

struct ct_balance_row {
    struct ct_handle upstream;
    uint32_t slots;
    uint32_t in_flight;
    enum ct_health health;
    /* A probe is in flight. */
    bool probing;
    uint32_t failures;
    uint32_t ejections;
    ct_ms ejected_until_ms;
    /* Home policy: how long it was avoided after its last failure. */
    ct_ms avoided_ms;
    /* Home policy: reserved for interactive requests. */
    bool reserved;
    /* When it was reserved no more; 0 if never. */
    ct_ms unreserved_ms;
    /*
     * Home policy: prompt tokens sent to it, decreasing over time, as of
     * prompt_tokens_at_ms.
     */
    uint64_t prompt_tokens;
    ct_ms prompt_tokens_at_ms;
    /* Home policy: number of the choice that last fell on it. */
    uint32_t last_choice;
    /* When it was first among the candidates. */
    ct_ms first_seen_ms;
    /* Counts as full until this time, because it declined a request. */
    ct_ms full_until_ms;
    /*
     * Scaled moving averages, 0 before the first sample. Token gaps are
     * converted to those of an idle engine.
     */
    uint64_t scaled_gap_us;
    uint64_t scaled_first_us;
    uint32_t gap_samples;
    /* Medians of its peers at the last comparison. */
    uint64_t median_gap_us;
    uint64_t median_first_us;
    ct_ms compared_at_ms;
    /* Load from all other hosts according to the last report. */
    uint32_t others_load;
    ct_ms reported_at_ms;
    /* Ring of the last changes of the own requests in flight. */
    struct ct_in_flight_sample in_flight_samples[CT_IN_FLIGHT_SAMPLES];
    uint32_t n_in_flight_samples;
};

struct ct_balance_rows {
    struct ct_balance_row *rows;
    uint32_t n_rows;
};

/*
 * Returns the row of an upstream; a new handle gets a cleared row. Returns
 * NULL if out of memory.
 */
struct ct_balance_row *ct_balance_row(struct ct_balance_rows *rows,
                                      struct ct_handle upstream);
void ct_balance_rows_free(struct ct_balance_rows *rows);

/*
 * Returns the own requests in flight at at_ms, as far back as the ring
 * reaches.
 */
uint32_t ct_balance_in_flight_at(const struct ct_balance_row *row,
                                 ct_ms at_ms);

void ct_balance_row_started(struct ct_balance_row *row, ct_ms now_ms);
void ct_balance_row_ended(struct ct_balance_row *row, ct_ms now_ms);

/* Whether the outcome is a fault of the upstream. */
bool ct_balance_is_failure(enum ct_outcome outcome);

/*
 * Common part of the round-robin, the least-loaded and the home policy, which
 * differ in choose_upstream(). Unless a policy overrides it, one failure
 * ejects an upstream for a fixed time.
 */
struct ct_balance_base {
    struct ct_balance_policy policy;
    struct ct_balance_rows rows;
    /* Index of the upstream that was chosen last. */
    uint32_t last_index;
    /* Home policy: until then interactive requests may go to any upstream. */
    ct_ms overflow_until_ms;
    /* Home policy: time of the first choice, and number of choices. */
    ct_ms first_choice_ms;
    uint32_t choices;
    uint64_t seed;
};

struct ct_balance_policy *
ct_balance_base_new(const struct ct_balance_policy_ops *ops);

/* Whether the candidate can take the request. */
bool ct_balance_base_is_eligible(const struct ct_balance_row *row,
                                 const struct ct_candidate *candidate,
                                 const struct ct_balance_request *request);

/* Returns CT_ERR_NOT_FOUND: these policies do not know what is cached. */
int ct_balance_base_cache_donor(struct ct_balance_policy *policy,
                                const struct ct_balance_request *request,
                                const struct ct_candidate *candidates,
                                uint32_t n, uint32_t chosen);
/* Returns CT_ERR_NOT_FOUND: these policies make no copies. */
int ct_balance_base_choose_backup(struct ct_balance_policy *policy,
                                  const struct ct_balance_request *request,
                                  const struct ct_candidate *candidates,
                                  uint32_t n, uint32_t chosen);
void ct_balance_base_started(struct ct_balance_policy *policy,
                             struct ct_handle upstream, ct_ms now_ms);
void ct_balance_base_ended(struct ct_balance_policy *policy,
                           struct ct_handle upstream, enum ct_outcome outcome,
                           ct_ms now_ms);
void ct_balance_base_first_token(struct ct_balance_policy *policy,
                                 struct ct_handle upstream, ct_ms wait_ms,
                                 ct_ms now_ms);
void ct_balance_base_token_gap(struct ct_balance_policy *policy,
                               struct ct_handle upstream, uint32_t tokens,
                               ct_ms gap_ms, ct_ms now_ms);
void ct_balance_base_reported(struct ct_balance_policy *policy,
                              struct ct_handle upstream, uint32_t running,
                              uint32_t waiting, ct_ms at_ms);
bool ct_balance_base_usable(struct ct_balance_policy *policy,
                            struct ct_handle upstream, ct_ms now_ms);
size_t ct_balance_base_bytes(const struct ct_balance_policy *policy);
void ct_balance_base_free(struct ct_balance_policy *policy);

#define CT_BALANCE_BASE_OPS                                                   \
    .cache_donor = ct_balance_base_cache_donor,                               \
    .choose_backup = ct_balance_base_choose_backup,                           \
    .started = ct_balance_base_started, .ended = ct_balance_base_ended,       \
    .first_token = ct_balance_base_first_token,                               \
    .token_gap = ct_balance_base_token_gap,                                   \
    .reported = ct_balance_base_reported, .usable = ct_balance_base_usable,   \
    .bytes = ct_balance_base_bytes, .free = ct_balance_base_free

#endif
