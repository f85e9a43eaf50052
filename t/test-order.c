/* Tests of order.h, order-plan.h and order-policy.h. */
#include <string.h>

#include "lib-cluster.h"

#define SETTLE_MS 20000
#define MIN_UPSTREAMS 2
#define MAX_UPSTREAMS 6

/*
 * lib-cluster.c checks of each order that its sender holds the lease, and that
 * its number is that of an intent in the log.
 */

static const struct t_received_order *
get_order(const struct t_cluster *c, guint i)
{
    return &g_array_index(c->orders, struct t_received_order, i);
}

static uint32_t
count_applied_orders(const struct t_cluster *c)
{
    return g_hash_table_size(c->applied_orders);
}

static void
run_until_orders(struct t_cluster *c, guint n)
{
    for (int i = 0; i < 1000 && c->orders->len < n; i++) {
        t_cluster_run(c, 100);
    }
    g_assert_cmpuint(c->orders->len, >=, n);
}

/* The minimum of a pool is ordered once and spread over zones. */
static void
test_minimum(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 3);
    t_cluster_run(&c, 4 * SETTLE_MS);
    g_assert_cmpuint(c.orders->len, ==, MIN_UPSTREAMS);
    g_assert_cmpuint(c.upstreams->len, ==, MIN_UPSTREAMS);
    g_assert_cmpstr(get_order(&c, 0)->order.zone.text, !=,
                    get_order(&c, 1)->order.zone.text);
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_ORDER_INTENT), ==, 2);
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_ORDER_DONE), ==, 2);
    t_cluster_free(&c);
}

/*
 * If orders take effect but their responses are lost, they are repeated under
 * the same numbers and have no second effect.
 */
static void
test_lost_responses(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 3);
    c.order_result = CT_ERR_IO;
    run_until_orders(&c, 6);
    c.order_result = CT_OK;
    t_cluster_run(&c, 3 * SETTLE_MS);
    g_assert_cmpuint(count_applied_orders(&c), ==, MIN_UPSTREAMS);
    g_assert_cmpuint(c.upstreams->len, ==, MIN_UPSTREAMS);
    t_cluster_free(&c);
}

/*
 * If the holder fails with orders outstanding, its successor waits one order
 * time-out and then repeats them under the same numbers.
 */
static void
test_successor(void)
{
    const struct t_received_order *next;
    struct t_cluster c;
    uint32_t first;
    ct_ms lease_taken_ms;
    guint n;

    t_cluster_init(&c, 3);
    c.order_result = CT_ERR_IO;
    run_until_orders(&c, 2);
    first = get_order(&c, 0)->host;
    t_cluster_kill(&c, first);
    n = c.orders->len;
    c.order_result = CT_OK;
    run_until_orders(&c, n + 1);
    next = get_order(&c, n);
    lease_taken_ms = c.hosts[next->host].state->leases.roles[0].held_since_ms;
    g_assert_cmpuint(next->host, !=, first);
    g_assert_cmpint(next->at_ms, >=, lease_taken_ms + CT_ORDER_TIMEOUT_MS);
    g_assert_cmpint(next->order.term, >, get_order(&c, 0)->order.term);
    g_assert_cmpuint(next->order.order_id, ==,
                     get_order(&c, 0)->order.order_id);
    t_cluster_run(&c, 3 * SETTLE_MS);
    g_assert_cmpuint(count_applied_orders(&c), ==, MIN_UPSTREAMS);
    t_cluster_free(&c);
}

/*
 * A holder that is suspended between its decision and the send must not send
 * the expired order after it resumes.
 */
static void
test_suspended_before_send(void)
{
    struct t_cluster c;
    uint32_t first;
    uint64_t expired;

    t_cluster_init(&c, 3);
    c.held_effect = CT_EFFECT_ORDER_UPSTREAM;
    while (t_cluster_records(&c, CT_RECORD_ORDER_INTENT) < 2) {
        t_cluster_run(&c, 100);
    }
    t_cluster_run(&c, 2000);
    first = (uint32_t)t_cluster_lease_holder(&c, CT_ROLE_ORDERS);
    c.suspended[first] = true;
    c.held_effect = 0;
    run_until_orders(&c, 2);
    g_assert_cmpuint(get_order(&c, 0)->host, !=, first);
    c.suspended[first] = false;
    t_cluster_run(&c, 2 * SETTLE_MS);
    expired = c.hosts[first].state->counters.values[CT_COUNTER_ORDERS_EXPIRED];
    g_assert_cmpuint(expired, ==, 2);
    g_assert_cmpuint(count_applied_orders(&c), ==, MIN_UPSTREAMS);
    t_cluster_free(&c);
}

/*
 * An intent is rejected if its term has ended or if it does not build on the
 * last accepted intent.
 */
static void
test_late_intent(void)
{
    struct ct_record lease = {.type = CT_RECORD_LEASE};
    struct ct_record intent = {.type = CT_RECORD_ORDER_INTENT};
    struct t_core core;

    t_core_init(&core);
    lease.u.lease.duration_ms = 10000;
    CT_TEXT_SET(lease.writer, "a-1");
    t_core_entry(&core, &lease);
    intent.u.order.kind = CT_ORDER_START;
    intent.u.order.term = 1;
    t_core_entry(&core, &intent);
    g_assert_cmpuint(core.state->orders.rows.live, ==, 1);
    lease.base_offset = 1;
    CT_TEXT_SET(lease.writer, "b-1");
    t_core_entry(&core, &lease);
    intent.base_offset = 2;
    t_core_entry(&core, &intent);
    g_assert_cmpuint(core.state->orders.rows.live, ==, 1);
    intent.u.order.term = 3;
    intent.base_offset = 0;
    t_core_entry(&core, &intent);
    g_assert_cmpuint(core.state->orders.rows.live, ==, 1);
    intent.base_offset = 2;
    t_core_entry(&core, &intent);
    g_assert_cmpuint(core.state->orders.rows.live, ==, 2);
    t_core_free(&core);
}

/* Posts the demand message of another host to the holder. */
static void
post_demand(struct t_cluster *c, uint32_t busy)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    int holder = t_cluster_lease_holder(c, CT_ROLE_ORDERS);
    struct ct_slot_row row;

    if (holder < 0) {
        return;
    }
    memset(&row, 0, sizeof(row));
    CT_TEXT_SET(row.pool, "engines");
    row.slots_busy = busy;
    event.u.peer.message.type = CT_PEER_DEMAND;
    event.u.peer.message.sender =
        c->hosts[(holder + 1) % (int)c->n].state->self.host;
    event.u.peer.message.rows = CT_ROWS(&row, 1);
    t_cluster_post(c, (uint32_t)holder, &event);
}

static void
run_with_demand(struct t_cluster *c, uint32_t busy, ct_ms for_ms)
{
    for (ct_ms ms = 0; ms < for_ms; ms += 5000) {
        post_demand(c, busy);
        t_cluster_run(c, 5000);
        g_assert_cmpuint(c->upstreams->len, <=, MAX_UPSTREAMS);
    }
}

/*
 * Upstreams are started soon after demand rises; after it falls they are
 * stopped one by one.
 */
static void
test_scaling(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 3);
    run_with_demand(&c, 0, 3 * SETTLE_MS);
    g_assert_cmpuint(c.upstreams->len, ==, MIN_UPSTREAMS);
    /* 12 busy slots and a fifth more need four upstreams of 4 slots. */
    run_with_demand(&c, 12, 2 * SETTLE_MS);
    g_assert_cmpuint(c.upstreams->len, ==, 4);
    run_with_demand(&c, 1000, 2 * SETTLE_MS);
    g_assert_cmpuint(c.upstreams->len, ==, MAX_UPSTREAMS);
    run_with_demand(&c, 0, 3 * SETTLE_MS);
    g_assert_cmpuint(c.upstreams->len, ==, MAX_UPSTREAMS);
    c.orders->len = 0;
    while (c.upstreams->len > MIN_UPSTREAMS) {
        run_with_demand(&c, 0, 5000);
        g_assert_cmpuint(c.hosts[0].now_ms, <, 20000000);
    }
    run_with_demand(&c, 0, 3 * SETTLE_MS);
    g_assert_cmpuint(c.orders->len, ==, MAX_UPSTREAMS - MIN_UPSTREAMS);
    t_cluster_free(&c);
}

static void
test_headroom(void)
{
    static const struct {
        struct ct_order_policy_input input;
        struct ct_order_plan plan;
    } cases[] = {
        /* slots 4; firm and cheap as {running, waiting} */
        {{0, 0, 2, 9, 4, 3, {0, 0}, {0, 0}}, {2, 0}},
        {{0, 0, 0, 9, 4, 3, {10, 0}, {0, 0}}, {3, 0}},
        {{0, 0, 0, 9, 4, 3, {4, 10}, {0, 0}}, {5, 0}},
        {{0, 0, 0, 2, 4, 3, {100, 0}, {0, 0}}, {2, 0}},
        /* Two are needed and three planned: the loss of a zone leaves two. */
        {{0, 0, 0, 9, 4, 3, {0, 0}, {6, 0}}, {0, 3}},
        {{0, 0, 0, 9, 4, 2, {0, 0}, {6, 0}}, {0, 4}},
        {{0, 0, 0, 9, 4, 1, {0, 0}, {6, 0}}, {0, 2}},
        {{0, 0, 1, 4, 4, 3, {0, 0}, {60, 0}}, {1, 3}},
        {{0, 0, 0, 9, 0, 0, {1, 0}, {0, 0}}, {2, 0}},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_order_policy *policy = ct_order_headroom_new();
        struct ct_order_plan plan = policy->ops->plan(policy, &cases[i].input);

        g_assert_cmpuint(plan.firm, ==, cases[i].plan.firm);
        g_assert_cmpuint(plan.cheap, ==, cases[i].plan.cheap);
        policy->ops->free(policy);
    }
}

/* Random faults; lib-cluster.c checks each order. */
static void
test_random(void)
{
    GRand *random = g_rand_new_with_seed(5);
    struct t_cluster c;

    t_cluster_init(&c, 4);
    for (int i = 0; i < 300; i++) {
        uint32_t host = g_rand_int_range(random, 0, 4);

        switch (g_rand_int_range(random, 0, 7)) {
        case 0:
            c.suspended[host] = !c.suspended[host];
            break;
        case 1:
            t_cluster_kill(&c, host);
            t_cluster_start(&c, host);
            break;
        case 2:
            c.log_down = !c.log_down;
            break;
        case 3:
            c.held_effect = c.held_effect ? 0 : CT_EFFECT_ORDER_UPSTREAM;
            break;
        case 4:
            c.order_result = c.order_result ? CT_OK : CT_ERR_IO;
            break;
        case 5:
            c.delayed_record = c.delayed_record ? 0 : CT_RECORD_ORDER_INTENT;
            break;
        default:
            break;
        }
        run_with_demand(&c, g_rand_int_range(random, 0, 30),
                        g_rand_int_range(random, 1, 5) * 5000);
    }
    g_assert_cmpuint(count_applied_orders(&c), >, 20);
    t_cluster_free(&c);
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/order/minimum", test_minimum);
    g_test_add_func("/order/lost-responses", test_lost_responses);
    g_test_add_func("/order/successor", test_successor);
    g_test_add_func("/order/suspended-before-send",
                    test_suspended_before_send);
    g_test_add_func("/order/late-intent", test_late_intent);
    g_test_add_func("/order/scaling", test_scaling);
    g_test_add_func("/order/headroom", test_headroom);
    g_test_add_func("/order/random", test_random);
    return g_test_run();
}
