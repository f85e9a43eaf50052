/*
 * Tests of the FIFO and priority queue policies: order, full queue, timeouts,
 * cheap slots.
 */
#include <glib.h>

#include "error.h"
#include "queue-policy.h"

/* Class n has tier n; only class 1 may run on cheap upstreams. */
static struct ct_queue_policy *
configure_policy(struct ct_queue_policy *p, guint firm, guint cheap)
{
    for (guint tier = 0; tier < CT_TIERS; tier++) {
        struct ct_class settings = {0};

        settings.tier = tier;
        settings.first_token_target_ms = 100000;
        settings.queue_limit_ms = 100;
        settings.cheap_allowed = tier == 1;
        g_assert_cmpint(p->ops->set_class(p, tier, &settings), ==, CT_OK);
    }
    g_assert_cmpint(p->ops->set_pool(p, 0, firm, cheap), ==, CT_OK);
    return p;
}

static struct ct_handle
request_handle(guint id)
{
    return (struct ct_handle){id, 1};
}

static struct ct_queue_decision
enqueue_request(struct ct_queue_policy *p, guint id, guint klass, ct_ms now_ms)
{
    struct ct_queue_request queued = {.request = request_handle(id),
                                      .klass = klass};
    struct ct_queue_decision decision;

    queued.arrived_ms = now_ms;
    g_assert_cmpint(p->ops->arrive(p, &queued, now_ms, &decision), ==, CT_OK);
    return decision;
}

static void
release_slot(struct ct_queue_policy *p, guint id)
{
    struct ct_queue_result served = {.request = request_handle(id)};

    g_assert_cmpint(p->ops->release_slot(p, &served, 0), ==, CT_OK);
}

static gint
next_request_id(struct ct_queue_policy *p)
{
    struct ct_queue_request queued;

    return p->ops->next(p, 0, 0, &queued) ? (gint)queued.request.index : -1;
}

static void
check_order(struct ct_queue_policy *p, const gint *expected)
{
    configure_policy(p, 1, 0);
    g_assert_cmpint(enqueue_request(p, 0, 2, 0).admission, ==, CT_ADMITTED);
    for (guint id = 1; id <= 4; id++) {
        g_assert_cmpint(enqueue_request(p, id, 4 - id, 0).admission, ==,
                        CT_QUEUED);
    }
    g_assert_cmpint(next_request_id(p), ==, -1);
    release_slot(p, 0);
    for (guint i = 0; i < 4; i++) {
        g_assert_cmpint(next_request_id(p), ==, expected[i]);
        release_slot(p, (guint)expected[i]);
    }
    p->ops->free(p);
}

static void
test_order(void)
{
    check_order(ct_queue_fifo_new(10), (const gint[]){1, 2, 3, 4});
    check_order(ct_queue_priority_new(10), (const gint[]){4, 3, 2, 1});
}

static void
test_full_queue(void)
{
    struct ct_queue_policy *p = configure_policy(ct_queue_fifo_new(1), 1, 0);
    struct ct_queue_decision d;

    enqueue_request(p, 0, 0, 0);
    enqueue_request(p, 1, 3, 0);
    d = enqueue_request(p, 2, 0, 0);
    g_assert_cmpint(d.admission, ==, CT_REFUSED);
    g_assert_cmpint(d.reason, ==, CT_REFUSAL_OVERLOAD);
    p->ops->free(p);

    p = configure_policy(ct_queue_priority_new(1), 1, 0);
    enqueue_request(p, 0, 0, 0);
    enqueue_request(p, 1, 3, 0);
    d = enqueue_request(p, 2, 0, 0);
    g_assert_cmpint(d.admission, ==, CT_QUEUED);
    g_assert_true(d.has_shed);
    g_assert_cmpuint(d.shed.request.index, ==, 1);
    g_assert_cmpint(enqueue_request(p, 3, 0, 0).admission, ==, CT_REFUSED);
    p->ops->free(p);
}

static void
check_queueing(struct ct_queue_policy *p)
{
    struct ct_queue_totals totals;
    struct ct_queue_refusal shed;
    struct ct_queue_request queued = {.request = request_handle(1)};
    struct ct_queue_decision d;

    configure_policy(p, 1, 0);
    enqueue_request(p, 0, 0, 0);
    enqueue_request(p, 1, 0, 5);
    enqueue_request(p, 2, 0, 6);
    g_assert_cmpint(p->ops->arrive(p, &queued, 0, &d), ==, CT_ERR_EXISTS);
    g_assert_cmpint(p->ops->remove_queued(p, request_handle(0)), ==,
                    CT_ERR_NOT_FOUND);
    g_assert_cmpint(p->ops->remove_queued(p, request_handle(2)), ==, CT_OK);
    g_assert_cmpint(p->ops->expire(p, 104, &shed), ==, 0);
    g_assert_cmpint(p->ops->expire(p, 105, &shed), ==, 1);
    g_assert_cmpuint(shed.request.index, ==, 1);
    g_assert_cmpint(shed.reason, ==, CT_REFUSAL_QUEUE_TIMEOUT);
    enqueue_request(p, 3, 0, 0);
    g_assert_cmpint(p->ops->give_back(p, request_handle(0), 0), ==, CT_OK);
    g_assert_cmpint(next_request_id(p), ==, 0);
    p->ops->totals(p, 0, &totals);
    g_assert_cmpuint(totals.running, ==, 1);
    g_assert_cmpuint(totals.queued_by_tier[0], ==, 1);
    queued.klass = 9;
    queued.request = request_handle(7);
    g_assert_cmpint(p->ops->arrive(p, &queued, 0, &d), ==, CT_ERR_NOT_FOUND);
    p->ops->free(p);
}

/*
 * A free cheap slot goes only to requests whose class may use cheap upstreams.
 */
static void
check_cheap_slots(struct ct_queue_policy *p)
{
    configure_policy(p, 1, 1);
    g_assert_cmpint(enqueue_request(p, 0, 0, 0).admission, ==, CT_ADMITTED);
    g_assert_cmpint(enqueue_request(p, 1, 0, 0).admission, ==, CT_QUEUED);
    g_assert_cmpint(enqueue_request(p, 2, 1, 0).admission, ==, CT_ADMITTED);
    release_slot(p, 2);
    g_assert_cmpint(next_request_id(p), ==, -1);
    enqueue_request(p, 2, 1, 0);
    p->ops->set_placement(p, request_handle(2), true);
    release_slot(p, 0);
    g_assert_cmpint(next_request_id(p), ==, 1);
    p->ops->free(p);
}

static void
test_queueing(void)
{
    check_queueing(ct_queue_fifo_new(10));
    check_queueing(ct_queue_priority_new(10));
    check_queueing(ct_queue_tiered_new(10));
}

static void
test_cheap_slots(void)
{
    check_cheap_slots(ct_queue_fifo_new(10));
    check_cheap_slots(ct_queue_priority_new(10));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/queue-baselines/order", test_order);
    g_test_add_func("/queue-baselines/full-queue", test_full_queue);
    g_test_add_func("/queue-baselines/queueing", test_queueing);
    g_test_add_func("/queue-baselines/cheap-slots", test_cheap_slots);
    return g_test_run();
}
