#include "lib-queue-trace.h"

#include <glib.h>
#include <string.h>

/* Maximum growth of the reserve credit that a class may save up. */
#define SAVED_CREDIT_MS 5000

void
trace_init(struct trace *t, uint32_t slots, uint32_t max_queued,
           uint32_t max_requests)
{
    memset(t, 0, sizeof(*t));
    t->slots = slots;
    t->max_queued = max_queued;
    t->requests = g_new0(struct trace_request, max_requests);
}

void
trace_free(struct trace *t)
{
    g_free(t->requests);
}

static uint32_t
class_reserve(const struct trace *t, uint32_t klass, uint32_t total)
{
    uint32_t percent = t->classes[klass].reserve_percent;

    return percent ? MAX(1, total * percent / 100) : 0;
}

void
trace_arrived(struct trace *t, uint32_t id, uint32_t klass, ct_ms now_ms)
{
    t->requests[id].klass = klass;
    t->requests[id].arrived_ms = now_ms;
    t->n_requests = MAX(t->n_requests, id + 1);
}

void
trace_queued(struct trace *t, uint32_t id)
{
    t->requests[id].waiting = true;
    t->queued[t->requests[id].klass]++;
}

void
trace_set_placement(struct trace *t, uint32_t id, bool cheap)
{
    struct trace_request *r = &t->requests[id];

    t->cheap_running[r->klass] += cheap - r->cheap;
    r->cheap = cheap;
}

static void
release_slot(struct trace *t, uint32_t id, ct_ms now_ms)
{
    struct trace_request *r = &t->requests[id];
    ct_ms hold_ms = now_ms - r->started_ms;

    trace_set_placement(t, id, false);
    t->running[r->klass]--;
    r->running = false;
    t->longest_hold_ms[r->klass] = MAX(t->longest_hold_ms[r->klass], hold_ms);
    if (r->from_reserve) {
        t->reserve_ms[r->klass] += hold_ms;
    }
}

void
trace_returned(struct trace *t, uint32_t id, ct_ms now_ms)
{
    release_slot(t, id, now_ms);
    trace_queued(t, id);
}

void
trace_started(struct trace *t, uint32_t id, bool firm_free, ct_ms now_ms)
{
    struct trace_request *r = &t->requests[id];
    uint32_t tier = t->classes[r->klass].tier;
    bool within_reserve;

    if (r->waiting) {
        r->waiting = false;
        t->queued[r->klass]--;
    }
    t->running[r->klass]++;
    r->running = true;
    r->from_reserve = false;
    r->started_ms = now_ms;
    t->longest_wait_ms[r->klass] =
        MAX(t->longest_wait_ms[r->klass], now_ms - r->arrived_ms);
    within_reserve =
        t->running[r->klass] <= class_reserve(t, r->klass, t->slots);
    while (t->first_open < id && !t->requests[t->first_open].waiting &&
           !t->requests[t->first_open].running) {
        t->first_open++;
    }
    for (uint32_t i = t->first_open; i < t->n_requests; i++) {
        struct trace_request *other = &t->requests[i];

        if (!other->waiting || t->classes[other->klass].tier >= tier ||
            (!firm_free && !t->classes[other->klass].cheap_allowed)) {
            continue;
        }
        r->from_reserve = within_reserve;
        other->passed_over = other->passed_over || !within_reserve;
    }
}

/*
 * Whether a class of a lower tier has more queue places than its reserve or,
 * with_slots, more slots than its reserve and one of them usable by r.
 */
static bool
lower_tier_exceeds_reserve(const struct trace *t,
                           const struct trace_request *r, bool with_slots)
{
    uint32_t tier = t->classes[r->klass].tier;

    for (uint32_t k = 0; k < TRACE_CLASSES; k++) {
        uint32_t usable = t->running[k];

        if (!t->classes[r->klass].cheap_allowed) {
            usable -= t->cheap_running[k];
        }
        if (t->classes[k].tier <= tier) {
            continue;
        }
        if (t->queued[k] > class_reserve(t, k, t->max_queued) ||
            (with_slots && usable > 0 &&
             t->running[k] > class_reserve(t, k, t->slots))) {
            return true;
        }
    }
    return false;
}

void
trace_refused(struct trace *t, uint32_t id, enum ct_refusal reason)
{
    struct trace_request *r = &t->requests[id];
    bool inverted = r->passed_over;

    if (r->waiting) {
        r->waiting = false;
        t->queued[r->klass]--;
    }
    t->refused[r->klass]++;
    if (reason == CT_REFUSAL_OVERLOAD || reason == CT_REFUSAL_OVER_SHARE) {
        inverted = inverted || lower_tier_exceeds_reserve(t, r, false);
    }
    if (reason == CT_REFUSAL_TARGET_UNREACHABLE) {
        inverted = inverted || lower_tier_exceeds_reserve(t, r, true);
    }
    t->inversions += inverted;
}

void
trace_finished(struct trace *t, uint32_t id, ct_ms now_ms)
{
    release_slot(t, id, now_ms);
    t->served[t->requests[id].klass]++;
}

ct_ms
trace_reserve_bound_ms(const struct trace *t, uint32_t klass, ct_ms elapsed_ms)
{
    ct_ms rate = (ct_ms)t->slots * t->classes[klass].reserve_percent;

    return rate * (elapsed_ms + 2 * SAVED_CREDIT_MS) / 100 +
           class_reserve(t, klass, t->slots) * t->longest_hold_ms[klass];
}
