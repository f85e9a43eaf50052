#ifndef LIB_QUEUE_TRACE_H
#define LIB_QUEUE_TRACE_H

#include "queue-policy.h"

/*
 * Checks a queueing policy independently: follows the requests of one pool
 * and counts tier inversions by the definition in queue-tiered.h, without
 * using the policy's own reasons for its decisions.
 */

#define TRACE_CLASSES 8

struct trace_request {
    uint32_t klass;
    bool waiting;
    bool running;
    /* Runs in a slot of a cheap upstream. */
    bool cheap;
    /* A lower tier was started while this waited, beyond its reserve. */
    bool passed_over;
    /* Started within its reserve while a higher tier waited. */
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
    /* Requests with a lower id have been served or refused. */
    uint32_t first_open;
    uint32_t queued[TRACE_CLASSES];
    uint32_t running[TRACE_CLASSES];
    uint32_t cheap_running[TRACE_CLASSES];
    /* Slot time of requests that have from_reserve set. */
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
/* The request went from its slot back to the queue. */
void trace_returned(struct trace *t, uint32_t id, ct_ms now_ms);
/* firm_free: before the start, a slot that every class may use was free. */
void trace_started(struct trace *t, uint32_t id, bool firm_free, ct_ms now_ms);
/* Records whether the running request is on a cheap or a firm upstream. */
void trace_set_placement(struct trace *t, uint32_t id, bool cheap);
void trace_refused(struct trace *t, uint32_t id, enum ct_refusal reason);
void trace_finished(struct trace *t, uint32_t id, ct_ms now_ms);

/*
 * Upper bound, by the reserve of the class, on the slot time that it may take
 * from higher tiers.
 */
ct_ms trace_reserve_bound_ms(const struct trace *t, uint32_t klass,
                             ct_ms elapsed_ms);

#endif
