#include "trace-policy.h"

struct place {
    guint pool;
    guint id;
    gboolean cheap;
};

static struct trace_policy *
self_of(const struct ct_queue_policy *policy)
{
    return (struct trace_policy *)policy;
}

static struct place *
place_of(struct trace_policy *p, struct ct_handle request)
{
    if (p->places->len <= request.index) {
        g_array_set_size(p->places, request.index + 1);
    }
    return &g_array_index(p->places, struct place, request.index);
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
started(struct trace_policy *p, struct ct_handle request, ct_ms now_ms)
{
    struct place *place = place_of(p, request);
    struct trace *t = &p->traces[place->pool];
    gboolean allowed = t->classes[t->requests[place->id].klass].cheap_allowed;

    trace_started(t, place->id,
                  p->firm_running[place->pool] < p->firm_slots[place->pool],
                  now_ms);
    place->cheap =
        allowed && p->cheap_running[place->pool] < p->cheap_slots[place->pool];
    p->cheap_running[place->pool] += place->cheap;
    p->firm_running[place->pool] += !place->cheap;
    trace_placed(t, place->id, place->cheap);
}

static void
left(struct trace_policy *p, const struct place *place)
{
    p->cheap_running[place->pool] -= place->cheap;
    p->firm_running[place->pool] -= !place->cheap;
}

static int
traced_arrive(struct ct_queue_policy *policy, const struct ct_waiting *w,
              ct_ms now_ms, struct ct_queue_decision *decision)
{
    struct trace_policy *p = self_of(policy);
    struct place *place = place_of(p, w->request);
    struct trace *t = &p->traces[w->pool];
    int err;

    place->pool = w->pool;
    place->id = t->n_requests;
    g_assert_cmpuint(place->id, <, p->max_requests);
    trace_arrived(t, place->id, w->klass, now_ms);
    err = p->inner->ops->arrive(p->inner, w, now_ms, decision);
    if (decision->has_shed) {
        trace_refused(t, place_of(p, decision->shed.request)->id,
                      decision->shed.reason);
    }
    place = place_of(p, w->request);
    if (decision->admission == CT_ADMITTED) {
        started(p, w->request, now_ms);
    }
    else if (decision->admission == CT_QUEUED) {
        trace_queued(t, place->id);
    }
    else {
        trace_refused(t, place->id, decision->reason);
    }
    return err;
}

static int
traced_next(struct ct_queue_policy *policy, uint32_t pool, ct_ms now_ms,
            struct ct_waiting *w)
{
    struct trace_policy *p = self_of(policy);
    int got = p->inner->ops->next(p->inner, pool, now_ms, w);

    if (got > 0) {
        started(p, w->request, now_ms);
    }
    return got;
}

static int
traced_expire(struct ct_queue_policy *policy, ct_ms now_ms,
              struct ct_shed *shed)
{
    struct trace_policy *p = self_of(policy);
    int got = p->inner->ops->expire(p->inner, now_ms, shed);

    if (got > 0) {
        const struct place *place = place_of(p, shed->request);

        trace_refused(&p->traces[place->pool], place->id, shed->reason);
    }
    return got;
}

static void
traced_placed(struct ct_queue_policy *policy, struct ct_handle request,
              bool cheap)
{
    struct trace_policy *p = self_of(policy);
    struct place *place = place_of(p, request);

    left(p, place);
    place->cheap = cheap;
    p->cheap_running[place->pool] += cheap;
    p->firm_running[place->pool] += !cheap;
    trace_placed(&p->traces[place->pool], place->id, cheap);
    p->inner->ops->placed(p->inner, request, cheap);
}

static int
traced_give_back(struct ct_queue_policy *policy, struct ct_handle request,
                 ct_ms now_ms)
{
    struct trace_policy *p = self_of(policy);
    const struct place *place = place_of(p, request);

    left(p, place);
    trace_returned(&p->traces[place->pool], place->id, now_ms);
    return p->inner->ops->give_back(p->inner, request, now_ms);
}

static int
traced_finished(struct ct_queue_policy *policy, const struct ct_served *served,
                ct_ms now_ms)
{
    struct trace_policy *p = self_of(policy);
    const struct place *place = place_of(p, served->request);

    left(p, place);
    trace_finished(&p->traces[place->pool], place->id, now_ms);
    return p->inner->ops->finished(p->inner, served, now_ms);
}

static int
traced_gone(struct ct_queue_policy *policy, struct ct_handle request)
{
    struct trace_policy *p = self_of(policy);

    return p->inner->ops->gone(p->inner, request);
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
    g_array_free(p->places, TRUE);
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
    .placed = traced_placed,
    .give_back = traced_give_back,
    .finished = traced_finished,
    .gone = traced_gone,
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
    p->places = g_array_new(FALSE, TRUE, sizeof(struct place));
    for (guint i = 0; i < TRACE_POOLS; i++) {
        trace_init(&p->traces[i], 0, max_queued, max_requests);
    }
    return p;
}
