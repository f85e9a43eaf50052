/* Tests of the fifo and priority queues. */
#include <glib.h>

#include "error.h"
#include "queue-policy.h"

/* Classes: number = tier; class 1 may run on cheap upstreams. */
static struct ct_queue_policy *
make(struct ct_queue_policy *p, guint firm, guint cheap)
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
request(guint id)
{
    return (struct ct_handle){id, 1};
}

static struct ct_queue_decision
arrive(struct ct_queue_policy *p, guint id, guint klass, ct_ms now_ms)
{
    struct ct_queue_request w = {.request = request(id), .klass = klass};
    struct ct_queue_decision decision;

    w.arrived_ms = now_ms;
    g_assert_cmpint(p->ops->arrive(p, &w, now_ms, &decision), ==, CT_OK);
    return decision;
}

static void
finish(struct ct_queue_policy *p, guint id)
{
    struct ct_queue_result served = {.request = request(id)};

    g_assert_cmpint(p->ops->release_slot(p, &served, 0), ==, CT_OK);
}

static gint
next(struct ct_queue_policy *p)
{
    struct ct_queue_request w;

    return p->ops->next(p, 0, 0, &w) ? (gint)w.request.index : -1;
}

static void
check_order(struct ct_queue_policy *p, const gint *expected)
{
    make(p, 1, 0);
    g_assert_cmpint(arrive(p, 0, 2, 0).admission, ==, CT_ADMITTED);
    for (guint id = 1; id <= 4; id++) {
        g_assert_cmpint(arrive(p, id, 4 - id, 0).admission, ==, CT_QUEUED);
    }
    g_assert_cmpint(next(p), ==, -1);
    finish(p, 0);
    for (guint i = 0; i < 4; i++) {
        g_assert_cmpint(next(p), ==, expected[i]);
        finish(p, (guint)expected[i]);
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
test_full(void)
{
    struct ct_queue_policy *p = make(ct_queue_fifo_new(1), 1, 0);
    struct ct_queue_decision d;

    arrive(p, 0, 0, 0);
    arrive(p, 1, 3, 0);
    d = arrive(p, 2, 0, 0);
    g_assert_cmpint(d.admission, ==, CT_REFUSED);
    g_assert_cmpint(d.reason, ==, CT_REFUSAL_OVERLOAD);
    p->ops->free(p);

    p = make(ct_queue_priority_new(1), 1, 0);
    arrive(p, 0, 0, 0);
    arrive(p, 1, 3, 0);
    d = arrive(p, 2, 0, 0);
    g_assert_cmpint(d.admission, ==, CT_QUEUED);
    g_assert_true(d.has_shed);
    g_assert_cmpuint(d.shed.request.index, ==, 1);
    g_assert_cmpint(arrive(p, 3, 0, 0).admission, ==, CT_REFUSED);
    p->ops->free(p);
}

static void
check_waits(struct ct_queue_policy *p)
{
    struct ct_queue_totals totals;
    struct ct_queue_refusal shed;
    struct ct_queue_request w = {.request = request(1)};
    struct ct_queue_decision d;

    make(p, 1, 0);
    arrive(p, 0, 0, 0);
    arrive(p, 1, 0, 5);
    arrive(p, 2, 0, 6);
    g_assert_cmpint(p->ops->arrive(p, &w, 0, &d), ==, CT_ERR_EXISTS);
    g_assert_cmpint(p->ops->remove_queued(p, request(0)), ==,
                    CT_ERR_NOT_FOUND);
    g_assert_cmpint(p->ops->remove_queued(p, request(2)), ==, CT_OK);
    g_assert_cmpint(p->ops->expire(p, 104, &shed), ==, 0);
    g_assert_cmpint(p->ops->expire(p, 105, &shed), ==, 1);
    g_assert_cmpuint(shed.request.index, ==, 1);
    g_assert_cmpint(shed.reason, ==, CT_REFUSAL_QUEUE_TIMEOUT);
    arrive(p, 3, 0, 0);
    g_assert_cmpint(p->ops->give_back(p, request(0), 0), ==, CT_OK);
    g_assert_cmpint(next(p), ==, 0);
    p->ops->totals(p, 0, &totals);
    g_assert_cmpuint(totals.running, ==, 1);
    g_assert_cmpuint(totals.queued_by_tier[0], ==, 1);
    w.klass = 9;
    w.request = request(7);
    g_assert_cmpint(p->ops->arrive(p, &w, 0, &d), ==, CT_ERR_NOT_FOUND);
    p->ops->free(p);
}

/* A free cheap slot is for those that may use it. */
static void
check_cheap(struct ct_queue_policy *p)
{
    make(p, 1, 1);
    g_assert_cmpint(arrive(p, 0, 0, 0).admission, ==, CT_ADMITTED);
    g_assert_cmpint(arrive(p, 1, 0, 0).admission, ==, CT_QUEUED);
    g_assert_cmpint(arrive(p, 2, 1, 0).admission, ==, CT_ADMITTED);
    finish(p, 2);
    g_assert_cmpint(next(p), ==, -1);
    arrive(p, 2, 1, 0);
    p->ops->set_placement(p, request(2), true);
    finish(p, 0);
    g_assert_cmpint(next(p), ==, 1);
    p->ops->free(p);
}

static void
test_waits(void)
{
    check_waits(ct_queue_fifo_new(10));
    check_waits(ct_queue_priority_new(10));
    check_waits(ct_queue_tiered_new(10));
}

static void
test_cheap(void)
{
    check_cheap(ct_queue_fifo_new(10));
    check_cheap(ct_queue_priority_new(10));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/queue-baselines/order", test_order);
    g_test_add_func("/queue-baselines/full", test_full);
    g_test_add_func("/queue-baselines/waits", test_waits);
    g_test_add_func("/queue-baselines/cheap", test_cheap);
    return g_test_run();
}
