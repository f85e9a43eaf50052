#ifndef CT_RETRY_H
#define CT_RETRY_H

#include "clock.h"
#include "config-row.h"
#include "event.h"
#include "histogram.h"

/*
 * Budgets for retries and hedges. Each first attempt of a class adds a
 * fraction of a token, and each retry or hedge costs a whole token, so that
 * retries stay a fixed part of the load even while every attempt fails.
 */

/* Tokens are counted in hundredths, so that one percent is one unit. */
struct ct_retry_budget {
    uint32_t retry_units;
    uint32_t hedge_units;
};

/* Settings, budgets and measurements of one class. */
struct ct_retry_class {
    uint32_t retry_percent;
    uint32_t hedge_percent;
    ct_ms first_token_target_ms;
    struct ct_retry_budget budget;
    /* Milliseconds from the start of an attempt to its first token. */
    struct ct_histogram first_token;
};

/*
 * Applies settings; a class that has settings already keeps its budget and
 * measurements.
 */
void ct_retry_set_class(struct ct_retry_class *rc,
                        const struct ct_class *settings);

/* Adds to the budgets when a first attempt is started. */
void ct_retry_count_first_attempt(struct ct_retry_class *rc);

/*
 * Records that the first token of an attempt arrived wait_ms after its start.
 */
void ct_retry_record_first_token(struct ct_retry_class *rc, ct_ms wait_ms);

/*
 * Whether an attempt with this outcome may have run the request. If not, a
 * retry is safe for every request.
 */
bool ct_outcome_may_have_run(enum ct_outcome outcome);

/*
 * Returns whether the request may be retried after this outcome and, if so,
 * takes the retry from the budget. A retry after CT_OUTCOME_NOT_SENT is free;
 * the owner bounds the number of attempts. Requests that are not idempotent
 * may be retried only if they did not run.
 */
bool ct_retry_allowed(struct ct_retry_class *rc, enum ct_outcome outcome,
                      bool idempotent);

/*
 * Returns how long to wait for the first token before a hedge is started.
 * Negative: do not hedge (not idempotent, no hedge budget, too few samples).
 */
ct_ms ct_hedge_delay_ms(const struct ct_retry_class *rc, bool idempotent);

/*
 * Returns whether a hedge may be started now and, if so, takes it from the
 * budget.
 */
bool ct_hedge_allowed(struct ct_retry_class *rc, bool idempotent);

#endif
