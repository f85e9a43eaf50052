#ifndef BENCH_TRACE_POLICY_H
#define BENCH_TRACE_POLICY_H

#include <glib.h>

#include "lib-queue-trace.h"
#include "queue-policy.h"

/*
 * A queueing policy that forwards every call to an inner policy and records
 * its decisions in one trace per pool.
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
    /* struct traced_request, by the index of the request's handle. */
    GArray *requests_by_handle;
};

/* Takes ownership of the inner policy; max_queued is that policy's limit. */
struct trace_policy *trace_policy_new(struct ct_queue_policy *inner,
                                      guint max_queued, guint max_requests);

#endif
