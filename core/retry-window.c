#include "retry-window.h"

/*
 * Part of the budget that is used; the rest is a margin, because the windows
 * of the hosts are not aligned.
 */
#define USABLE_PERCENT 80

static struct ct_retry_interval *
current_interval(struct ct_retry_window *window,
                 const struct ct_bounds *bounds, ct_ms now_ms)
{
    ct_ms interval_ms = bounds->repeat_window_ms / (CT_RETRY_INTERVALS - 1);
    int64_t number = now_ms / (interval_ms > 0 ? interval_ms : 1);
    struct ct_retry_interval *interval =
        &window->intervals[number % CT_RETRY_INTERVALS];

    if (interval->number != number) {
        *interval = (struct ct_retry_interval){.number = number};
    }
    return interval;
}

void
ct_retry_window_add_call(struct ct_retry_window *window,
                         const struct ct_bounds *bounds, ct_ms now_ms)
{
    current_interval(window, bounds, now_ms)->calls++;
}

bool
ct_retry_window_spend_retry(struct ct_retry_window *window,
                            const struct ct_bounds *bounds, uint32_t hosts,
                            ct_ms now_ms)
{
    struct ct_retry_interval *current =
        current_interval(window, bounds, now_ms);
    uint64_t calls = 0;
    uint64_t retries = 0;
    uint64_t allowed;

    for (uint32_t i = 0; i < CT_RETRY_INTERVALS; i++) {
        const struct ct_retry_interval *interval = &window->intervals[i];

        if (interval->number > current->number - CT_RETRY_INTERVALS) {
            calls += interval->calls;
            retries += interval->retries;
        }
    }
    allowed = calls * (uint64_t)bounds->repeat_permille / 1000 +
              bounds->repeat_burst / (hosts > 0 ? hosts : 1);
    if (retries + 1 > allowed * USABLE_PERCENT / 100) {
        return false;
    }
    current->retries++;
    return true;
}
