#include "retry-window.h"

/*
 * Part of the budget that is used; the rest is a margin, because the windows
 * of the hosts are not aligned.
 */
#define USABLE_PERCENT 80

static struct ct_retry_slot *
current_slot(struct ct_retry_window *window, const struct ct_bounds *bounds,
             ct_ms now_ms)
{
    ct_ms slot_ms = bounds->repeat_window_ms / (CT_RETRY_SLOTS - 1);
    int64_t number = now_ms / (slot_ms > 0 ? slot_ms : 1);
    struct ct_retry_slot *slot = &window->slots[number % CT_RETRY_SLOTS];

    if (slot->number != number) {
        *slot = (struct ct_retry_slot){.number = number};
    }
    return slot;
}

void
ct_retry_window_add_call(struct ct_retry_window *window,
                         const struct ct_bounds *bounds, ct_ms now_ms)
{
    current_slot(window, bounds, now_ms)->calls++;
}

bool
ct_retry_window_spend_retry(struct ct_retry_window *window,
                            const struct ct_bounds *bounds, uint32_t hosts,
                            ct_ms now_ms)
{
    struct ct_retry_slot *current = current_slot(window, bounds, now_ms);
    uint64_t calls = 0;
    uint64_t repeats = 0;
    uint64_t allowed;

    for (uint32_t i = 0; i < CT_RETRY_SLOTS; i++) {
        const struct ct_retry_slot *slot = &window->slots[i];

        if (slot->number > current->number - CT_RETRY_SLOTS) {
            calls += slot->calls;
            repeats += slot->repeats;
        }
    }
    allowed = calls * (uint64_t)bounds->repeat_permille / 1000 +
              bounds->repeat_burst / (hosts > 0 ? hosts : 1);
    if (repeats + 1 > allowed * USABLE_PERCENT / 100) {
        return false;
    }
    current->repeats++;
    return true;
}
