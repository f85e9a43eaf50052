#ifndef BENCH_TRACE_POLICY_H
#define BENCH_TRACE_POLICY_H

#include <glib.h>

#include "lib-queue-trace.h"
#include "queue-policy.h"

/*
 * A queueing policy that hands everything to another one and keeps a trace of
 * what that decides, one a pool.
 */

#define TRACE_POOLS 4

struct trace_policy {
    struct ct_queue_policy policy;
    struct ct_queue_policy *inner;
    guint max_requests;
    struct trace traces[TRACE_POOLS];
    struct ct_class classes[TRACE_CLASSES];
    guint firm_slots[TRACE_POOLS];
    guint firm_running[TRACE_POOLS];
    guint cheap_running[TRACE_POOLS];
    guint cheap_slots[TRACE_POOLS];
    /* By the index of a request's handle: pool, number in its trace. */
    GArray *places;
};

/* max_queued is that of the inner policy, which belongs to the new one. */
struct trace_policy *trace_policy_new(struct ct_queue_policy *inner,
                                      guint max_queued, guint max_requests);

#endif
