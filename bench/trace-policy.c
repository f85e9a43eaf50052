#include "trace-policy.h"

struct traced_request {
    guint pool;
    guint id;
    gboolean cheap;
};

static struct trace_policy *
self_of(const struct ct_queue_policy *policy)
{
    return (struct trace_policy *)policy;
}

static struct traced_request *
traced_request_of(struct trace_policy *p, struct ct_handle request)
{
    if (p->requests_by_handle->len <= request.index) {
        g_array_set_size(p->requests_by_handle, request.index + 1);
    }
    return &g_array_index(p->requests_by_handle, struct traced_request,
                          request.index);
}

static int
traced_set_class(struct ct_queue_policy *policy, uint32_t klass,
                 const struct ct_class *settings)
{
    struct trace_policy *p = self_of(policy);

    g_assert_cmpuint(klass, <, TRACE_CLASSES);
    for (guint i = 0; i < TRACE_POOLS; i++) {
        p->traces[i].classes[klass] = *settings;
    }
    p->classes[klass] = *settings;
    return p->inner->ops->set_class(p->inner, klass, settings);
}

static int
traced_set_organisation(struct ct_queue_policy *policy, uint32_t organisation,
                        uint32_t weight)
{
    struct trace_policy *p = self_of(policy);

    return p->inner->ops->set_organisation(p->inner, organisation, weight);
}

static int
traced_set_pool(struct ct_queue_policy *policy, uint32_t pool,
                uint32_t firm_slots, uint32_t cheap_slots)
{
    struct trace_policy *p = self_of(policy);

    g_assert_cmpuint(pool, <, TRACE_POOLS);
    p->firm_slots[pool] = firm_slots;
    p->cheap_slots[pool] = cheap_slots;
    p->traces[pool].slots = firm_slots + cheap_slots;
    return p->inner->ops->set_pool(p->inner, pool, firm_slots, cheap_slots);
}

static void
record_start(struct trace_policy *p, struct ct_handle request, ct_ms now_ms)
{
    struct traced_request *traced = traced_request_of(p, request);
    struct trace *t = &p->traces[traced->pool];
    gboolean allowed = t->classes[t->requests[traced->id].klass].cheap_allowed;

    trace_started(t, traced->id,
                  p->firm_running[traced->pool] < p->firm_slots[traced->pool],
                  now_ms);
    traced->cheap = allowed && p->cheap_running[traced->pool] <
                                   p->cheap_slots[traced->pool];
    p->cheap_running[traced->pool] += traced->cheap;
    p->firm_running[traced->pool] += !traced->cheap;
    trace_set_placement(t, traced->id, traced->cheap);
}

static void
record_release(struct trace_policy *p, const struct traced_request *traced)
{
    p->cheap_running[traced->pool] -= traced->cheap;
    p->firm_running[traced->pool] -= !traced->cheap;
}

static int
traced_arrive(struct ct_queue_policy *policy, const struct ct_queue_request *w,
              ct_ms now_ms, struct ct_queue_decision *decision)
{
    struct trace_policy *p = self_of(policy);
    struct traced_request *traced = traced_request_of(p, w->request);
    struct trace *t = &p->traces[w->pool];
    int err;

    traced->pool = w->pool;
    traced->id = t->n_requests;
    g_assert_cmpuint(traced->id, <, p->max_requests);
    trace_arrived(t, traced->id, w->klass, now_ms);
    err = p->inner->ops->arrive(p->inner, w, now_ms, decision);
    if (decision->has_shed) {
        trace_refused(t, traced_request_of(p, decision->shed.request)->id,
                      decision->shed.reason);
    }
    traced = traced_request_of(p, w->request);
    if (decision->admission == CT_ADMITTED) {
        record_start(p, w->request, now_ms);
    }
    else if (decision->admission == CT_QUEUED) {
        trace_queued(t, traced->id);
    }
    else {
        trace_refused(t, traced->id, decision->reason);
    }
    return err;
}

static int
traced_next(struct ct_queue_policy *policy, uint32_t pool, ct_ms now_ms,
            struct ct_queue_request *w)
{
    struct trace_policy *p = self_of(policy);
    int got = p->inner->ops->next(p->inner, pool, now_ms, w);

    if (got > 0) {
        record_start(p, w->request, now_ms);
    }
    return got;
}

static int
traced_expire(struct ct_queue_policy *policy, ct_ms now_ms,
              struct ct_queue_refusal *shed)
{
    struct trace_policy *p = self_of(policy);
    int got = p->inner->ops->expire(p->inner, now_ms, shed);

    if (got > 0) {
        const struct traced_request *traced =
            traced_request_of(p, shed->request);

        trace_refused(&p->traces[traced->pool], traced->id, shed->reason);
    }
    return got;
}

static void
traced_placed(struct ct_queue_policy *policy, struct ct_handle request,
              bool cheap)
{
    struct trace_policy *p = self_of(policy);
    struct traced_request *traced = traced_request_of(p, request);

    record_release(p, traced);
    traced->cheap = cheap;
    p->cheap_running[traced->pool] += cheap;
    p->firm_running[traced->pool] += !cheap;
    trace_set_placement(&p->traces[traced->pool], traced->id, cheap);
    p->inner->ops->set_placement(p->inner, request, cheap);
}

static int
traced_give_back(struct ct_queue_policy *policy, struct ct_handle request,
                 ct_ms now_ms)
{
    struct trace_policy *p = self_of(policy);
    const struct traced_request *traced = traced_request_of(p, request);

    record_release(p, traced);
    trace_returned(&p->traces[traced->pool], traced->id, now_ms);
    return p->inner->ops->give_back(p->inner, request, now_ms);
}

static int
traced_finished(struct ct_queue_policy *policy,
                const struct ct_queue_result *served, ct_ms now_ms)
{
    struct trace_policy *p = self_of(policy);
    const struct traced_request *traced =
        traced_request_of(p, served->request);

    record_release(p, traced);
    trace_finished(&p->traces[traced->pool], traced->id, now_ms);
    return p->inner->ops->release_slot(p->inner, served, now_ms);
}

static int
traced_gone(struct ct_queue_policy *policy, struct ct_handle request)
{
    struct trace_policy *p = self_of(policy);

    return p->inner->ops->remove_queued(p->inner, request);
}

static void
traced_totals(const struct ct_queue_policy *policy, uint32_t pool,
              struct ct_queue_totals *totals)
{
    const struct trace_policy *p = self_of(policy);

    p->inner->ops->totals(p->inner, pool, totals);
}

static size_t
traced_bytes(const struct ct_queue_policy *policy)
{
    const struct trace_policy *p = self_of(policy);

    return p->inner->ops->bytes(p->inner);
}

static void
traced_free(struct ct_queue_policy *policy)
{
    struct trace_policy *p = self_of(policy);

    for (guint i = 0; i < TRACE_POOLS; i++) {
        trace_free(&p->traces[i]);
    }
    g_array_free(p->requests_by_handle, TRUE);
    p->inner->ops->free(p->inner);
    g_free(p);
}

static const struct ct_queue_policy_ops trace_ops = {
    .set_class = traced_set_class,
    .set_organisation = traced_set_organisation,
    .set_pool = traced_set_pool,
    .arrive = traced_arrive,
    .next = traced_next,
    .expire = traced_expire,
    .set_placement = traced_placed,
    .give_back = traced_give_back,
    .release_slot = traced_finished,
    .remove_queued = traced_gone,
    .totals = traced_totals,
    .bytes = traced_bytes,
    .free = traced_free,
};

struct trace_policy *
trace_policy_new(struct ct_queue_policy *inner, guint max_queued,
                 guint max_requests)
{
    struct trace_policy *p = g_new0(struct trace_policy, 1);

    p->policy.ops = &trace_ops;
    p->inner = inner;
    p->max_requests = max_requests;
    p->requests_by_handle =
        g_array_new(FALSE, TRUE, sizeof(struct traced_request));
    for (guint i = 0; i < TRACE_POOLS; i++) {
        trace_init(&p->traces[i], 0, max_queued, max_requests);
    }
    return p;
}
