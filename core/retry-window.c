#include "retry-window.h"

/* Part of the budget that is used, as hosts' windows do not line up. */
#define USED_PERCENT 80

static struct ct_retry_slot *
slot_at(struct ct_retry_window *window, const struct ct_bounds *bounds,
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
    slot_at(window, bounds, now_ms)->calls++;
}

bool
ct_retry_window_take_repeat(struct ct_retry_window *window,
                            const struct ct_bounds *bounds, uint32_t hosts,
                            ct_ms now_ms)
{
    struct ct_retry_slot *now = slot_at(window, bounds, now_ms);
    uint64_t calls = 0;
    uint64_t repeats = 0;
    uint64_t allowed;

    for (uint32_t i = 0; i < CT_RETRY_SLOTS; i++) {
        const struct ct_retry_slot *slot = &window->slots[i];

        if (slot->number > now->number - CT_RETRY_SLOTS) {
            calls += slot->calls;
            repeats += slot->repeats;
        }
    }
    allowed = calls * (uint64_t)bounds->repeat_permille / 1000 +
              bounds->repeat_burst / (hosts > 0 ? hosts : 1);
    if (repeats + 1 > allowed * USED_PERCENT / 100) {
        return false;
    }
    now->repeats++;
    return true;
}
