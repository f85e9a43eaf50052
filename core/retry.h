#ifndef CT_RETRY_H
#define CT_RETRY_H

#include "clock.h"
#include "config-row.h"
#include "event.h"
#include "histogram.h"

/*
 * Budgets for repeats. First attempts of a class earn a fraction of a token
 * each, retries and hedges cost a whole one, so that repeats stay a fixed
 * part of the load also while everything fails.
 */

/* Tokens are counted in hundredths, so that one percent is one unit. */
struct ct_retry_budget {
    uint32_t retry_units;
    uint32_t hedge_units;
};

/* What the budgets of one class rest on. One value a class. */
struct ct_retry_class {
    uint32_t retry_percent;
    uint32_t hedge_percent;
    ct_ms first_token_target_ms;
    struct ct_retry_budget budget;
    /* Milliseconds from the start of an attempt to its first token. */
    struct ct_histogram first_token;
};

/* Takes settings; a class that is known keeps its budget and figures. */
void ct_retry_set_class(struct ct_retry_class *rc,
                        const struct ct_class *settings);

/* A first attempt was started. */
void ct_retry_first_attempt(struct ct_retry_class *rc);

/* An attempt showed its first token wait_ms after its start. */
void ct_retry_first_token(struct ct_retry_class *rc, ct_ms wait_ms);

/*
 * Whether the outcome leaves it possible that the request ran. A repeat is
 * safe for every request after the other outcomes.
 */
bool ct_outcome_may_have_run(enum ct_outcome outcome);

/*
 * Whether the request may be repeated after this outcome, and takes the
 * repeat out of the budget; one after CT_OUTCOME_NOT_SENT is free, the owner
 * bounds the attempts. Non-idempotent requests are only repeated where they
 * surely did not run.
 */
bool ct_retry_allowed(struct ct_retry_class *rc, enum ct_outcome outcome,
                      bool idempotent);

/*
 * How long to wait for the first token before a second attempt is started.
 * Negative: do not hedge (not idempotent, no budget set, too little seen).
 */
ct_ms ct_hedge_delay_ms(const struct ct_retry_class *rc, bool idempotent);

/* Whether a hedge may be started now, and takes it out of the budget. */
bool ct_hedge_allowed(struct ct_retry_class *rc, bool idempotent);

#endif
