#ifndef LIB_QUEUE_TRACE_H
#define LIB_QUEUE_TRACE_H

#include "queue-policy.h"

/*
 * Judges a queueing policy from the outside: follows the requests of one
 * pool and counts tier inversions by the definition in queue-tiered.h,
 * without asking the policy why it did something.
 */

#define TRACE_CLASSES 8

struct trace_request {
    uint32_t klass;
    bool waiting;
    bool running;
    /* In a slot of a cheap upstream. */
    bool cheap;
    /* A lower tier was started instead, and not within its reserve. */
    bool passed_over;
    /* Was itself started before a higher tier that waited. */
    bool from_reserve;
    ct_ms arrived_ms;
    ct_ms started_ms;
};

struct trace {
    struct ct_class classes[TRACE_CLASSES];
    uint32_t max_queued;
    uint32_t slots;
    struct trace_request *requests;
    uint32_t n_requests;
    /* Earlier ones have been served or refused. */
    uint32_t first_open;
    uint32_t queued[TRACE_CLASSES];
    uint32_t running[TRACE_CLASSES];
    uint32_t cheap_running[TRACE_CLASSES];
    /* Slot time from starts before a higher tier that waited. */
    ct_ms reserve_ms[TRACE_CLASSES];
    ct_ms longest_hold_ms[TRACE_CLASSES];
    ct_ms longest_wait_ms[TRACE_CLASSES];
    uint32_t served[TRACE_CLASSES];
    uint32_t refused[TRACE_CLASSES];
    uint32_t inversions;
};

void trace_init(struct trace *t, uint32_t slots, uint32_t max_queued,
                uint32_t max_requests);
void trace_free(struct trace *t);
void trace_arrived(struct trace *t, uint32_t id, uint32_t klass, ct_ms now_ms);
void trace_queued(struct trace *t, uint32_t id);
/* Went back to the queue from its slot. */
void trace_returned(struct trace *t, uint32_t id, ct_ms now_ms);
/* firm_free: a slot that every class may use was free before the start. */
void trace_started(struct trace *t, uint32_t id, bool firm_free, ct_ms now_ms);
/* The running request is on a cheap upstream, or on a firm one. */
void trace_placed(struct trace *t, uint32_t id, bool cheap);
void trace_refused(struct trace *t, uint32_t id, enum ct_refusal reason);
void trace_finished(struct trace *t, uint32_t id, ct_ms now_ms);

/* The reserve's bound on slot time that the class took from higher tiers. */
ct_ms trace_reserve_bound_ms(const struct trace *t, uint32_t klass,
                             ct_ms elapsed_ms);

#endif
