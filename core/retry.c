#include "retry.h"

#define UNITS_PER_TOKEN 100
/* Upper bound of a budget; limits the burst of retries after a quiet time. */
#define MAX_BUDGET_TOKENS 50
/* Budget of a class before its first attempt. */
#define INITIAL_BUDGET_TOKENS 2

/* At this quantile, about one request in twenty gets a hedge. */
#define HEDGE_QUANTILE_PERMILLE 950
#define HEDGE_MIN_SAMPLES 20
#define HEDGE_MIN_DELAY_MS 20

void
ct_retry_set_class(struct ct_retry_class *rc, const struct ct_class *settings)
{
    bool known = rc->first_token_target_ms != 0;

    rc->retry_percent = settings->retry_budget_percent;
    rc->hedge_percent = settings->hedge_budget_percent;
    rc->first_token_target_ms = settings->first_token_target_ms;
    if (known) {
        return;
    }
    if (rc->retry_percent > 0) {
        rc->budget.retry_units = INITIAL_BUDGET_TOKENS * UNITS_PER_TOKEN;
    }
    if (rc->hedge_percent > 0) {
        rc->budget.hedge_units = INITIAL_BUDGET_TOKENS * UNITS_PER_TOKEN;
    }
}

static void
add_to_budget(uint32_t *units, uint32_t percent)
{
    *units += percent;
    if (*units > MAX_BUDGET_TOKENS * UNITS_PER_TOKEN) {
        *units = MAX_BUDGET_TOKENS * UNITS_PER_TOKEN;
    }
}

static bool
take_from_budget(uint32_t *units)
{
    if (*units < UNITS_PER_TOKEN) {
        return false;
    }
    *units -= UNITS_PER_TOKEN;
    return true;
}

void
ct_retry_count_first_attempt(struct ct_retry_class *rc)
{
    add_to_budget(&rc->budget.retry_units, rc->retry_percent);
    add_to_budget(&rc->budget.hedge_units, rc->hedge_percent);
}

void
ct_retry_record_first_token(struct ct_retry_class *rc, ct_ms wait_ms)
{
    if (wait_ms >= 0) {
        ct_histogram_add(&rc->first_token, (uint64_t)wait_ms);
    }
}

bool
ct_outcome_may_have_run(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_NOT_SENT:
    case CT_OUTCOME_DECLINED:
    case CT_OUTCOME_EXPIRED:
        return false;
    default:
        return true;
    }
}

bool
ct_retry_allowed(struct ct_retry_class *rc, enum ct_outcome outcome,
                 bool idempotent)
{
    if (outcome == CT_OUTCOME_COMPLETE || outcome == CT_OUTCOME_CANCELLED) {
        return false;
    }
    if (!idempotent && ct_outcome_may_have_run(outcome)) {
        return false;
    }
    /* Nothing reached an upstream, so a retry does not add to an overload. */
    if (outcome == CT_OUTCOME_NOT_SENT) {
        return true;
    }
    return take_from_budget(&rc->budget.retry_units);
}

ct_ms
ct_hedge_delay_ms(const struct ct_retry_class *rc, bool idempotent)
{
    ct_ms delay_ms;

    if (!idempotent || rc->hedge_percent == 0 ||
        rc->first_token.total < HEDGE_MIN_SAMPLES) {
        return -1;
    }
    delay_ms = (ct_ms)ct_histogram_quantile(&rc->first_token,
                                            HEDGE_QUANTILE_PERMILLE);
    if (delay_ms < HEDGE_MIN_DELAY_MS) {
        return HEDGE_MIN_DELAY_MS;
    }
    return delay_ms;
}

bool
ct_hedge_allowed(struct ct_retry_class *rc, bool idempotent)
{
    if (!idempotent || rc->hedge_percent == 0) {
        return false;
    }
    return take_from_budget(&rc->budget.hedge_units);
}
