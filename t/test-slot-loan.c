/* Tests of slot-loan.h: hosts on a virtual clock, with links that lose
 * messages.
 */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "slot-loan.h"

#define HOSTS 8
#define SLOTS 44
#define STEP_MS 10

struct message {
    guint from;
    guint to;
    ct_ms at_ms;
    struct ct_slot_message send;
};

struct host {
    struct ct_slot_loans shares;
    struct ct_slot_demand demand;
    gboolean dead;
    /* Arrivals a second, and their tier. */
    guint per_s;
    guint tier;
    guint started;
    guint asks;
};

struct net {
    struct host hosts[HOSTS];
    struct ct_name names[HOSTS];
    GQueue *messages;
    GRand *random;
    ct_ms now_ms;
    guint loss_percent;
    guint most_held;
};

static struct net *
make_net(guint seed)
{
    struct net *net = g_new0(struct net, 1);

    net->messages = g_queue_new();
    net->random = g_rand_new_with_seed(seed);
    for (guint i = 0; i < HOSTS; i++) {
        net->names[i].text[0] = (char)('a' + i);
    }
    for (guint i = 0; i < HOSTS; i++) {
        struct ct_slot_loans *s = &net->hosts[i].shares;
        struct ct_name pool = {"draft"};

        ct_slot_loans_init(s);
        g_assert_cmpint(
            ct_slot_loans_set_hosts(s, net->names, HOSTS, &net->names[i], 0),
            ==, CT_OK);
        g_assert_cmpint(ct_slot_loans_set_pool(s, &pool, false, SLOTS), ==, 0);
        for (guint j = 0; j < HOSTS; j++) {
            ct_slot_loans_on_link(s, &net->names[j], i != j, 0);
        }
    }
    return net;
}

static void
free_net(struct net *net)
{
    for (guint i = 0; i < HOSTS; i++) {
        ct_slot_loans_free(&net->hosts[i].shares);
    }
    g_queue_free_full(net->messages, g_free);
    g_rand_free(net->random);
    g_free(net);
}

static guint
held(struct net *net, guint i)
{
    return ct_slot_loans_held(&net->hosts[i].shares, 0, net->now_ms);
}

static void
post(struct net *net, guint from, const struct ct_slot_message *send)
{
    struct message *m;

    if (g_rand_int_range(net->random, 0, 100) < (gint)net->loss_percent) {
        return;
    }
    m = g_new0(struct message, 1);
    m->from = from;
    m->to = (guint)(send->peer.text[0] - 'a');
    m->at_ms = net->now_ms + STEP_MS;
    m->send = *send;
    g_queue_push_tail(net->messages, m);
}

static void
deliver(struct net *net)
{
    struct message *m;

    while ((m = g_queue_peek_head(net->messages)) && m->at_ms <= net->now_ms) {
        struct host *to = &net->hosts[m->to];
        struct ct_slot_message answer;

        g_queue_pop_head(net->messages);
        if (!to->dead && m->send.type == CT_PEER_SLOT_GRANT) {
            ct_slot_loans_on_grant(&to->shares, &net->names[m->from],
                                   &m->send.row, net->now_ms);
        }
        else if (!to->dead &&
                 ct_slot_loans_on_request(&to->shares, &net->names[m->from],
                                          &m->send.row, &to->demand,
                                          net->now_ms, &answer) == CT_OK) {
            post(net, m->to, &answer);
        }
        g_free(m);
    }
}

/* Requests arrive, end after a second in the mean, and start. */
static void
serve(struct net *net, guint i)
{
    struct host *h = &net->hosts[i];
    struct ct_slot_message send;

    if (g_rand_int_range(net->random, 0, 1000 / STEP_MS) < (gint)h->per_s &&
        h->demand.waiting[h->tier] < 50) {
        h->demand.waiting[h->tier]++;
    }
    for (guint n = h->demand.busy; n > 0; n--) {
        h->demand.busy -=
            g_rand_int_range(net->random, 0, 1000 / STEP_MS) == 0;
    }
    while (ct_slot_loans_next_owed(&h->shares, 0, &h->demand, net->now_ms,
                                   &send)) {
        post(net, i, &send);
    }
    while (h->demand.waiting[h->tier] > 0 && h->demand.busy < held(net, i)) {
        h->demand.waiting[h->tier]--;
        h->demand.busy++;
        h->started++;
    }
    while (ct_slot_loans_next_request(&h->shares, 0, &h->demand, net->now_ms,
                                      &send)) {
        h->asks++;
        post(net, i, &send);
    }
}

static void
run(struct net *net, ct_ms for_ms)
{
    ct_ms end_ms = net->now_ms + for_ms;

    for (; net->now_ms < end_ms; net->now_ms += STEP_MS) {
        guint sum = 0;

        deliver(net);
        for (guint i = 0; i < HOSTS; i++) {
            if (!net->hosts[i].dead) {
                serve(net, i);
                sum += held(net, i);
            }
        }
        net->most_held = MAX(net->most_held, sum);
    }
}

/* Changing demand and lost messages: a slot is held once at a time. */
static void
test_never_more(void)
{
    for (guint seed = 1; seed <= 40; seed++) {
        struct net *net = make_net(seed);
        guint asks = 0;

        net->loss_percent = 10 * (seed % 5);
        for (guint round = 0; round < 20; round++) {
            for (guint i = 0; i < HOSTS; i++) {
                net->hosts[i].per_s =
                    (guint)g_rand_int_range(net->random, 0, 30);
                net->hosts[i].tier =
                    (guint)g_rand_int_range(net->random, 0, CT_TIERS);
                memset(net->hosts[i].demand.waiting, 0,
                       sizeof(net->hosts[i].demand.waiting));
            }
            run(net, 3000);
        }
        g_assert_cmpuint(net->most_held, <=, SLOTS);
        g_assert_cmpuint(net->most_held, >, SLOTS / 2);
        for (guint i = 0; i < HOSTS; i++) {
            asks += net->hosts[i].asks;
        }
        g_assert_cmpuint(asks, <=, HOSTS * 10 * 60);
        free_net(net);
    }
}

/* Slots follow the demand, and go back when it is over. */
static void
test_follow_demand(void)
{
    struct net *net = make_net(7);
    guint base = held(net, 2);

    net->hosts[2].per_s = 100;
    run(net, 10000);
    g_assert_cmpuint(held(net, 2), >=, SLOTS * 6 / 10);
    net->hosts[2].per_s = 0;
    run(net, 60000);
    g_assert_cmpuint(held(net, 2), ==, base);
    g_assert_cmpuint(net->most_held, <=, SLOTS);
    /* An idle system sends nothing. */
    net->hosts[2].asks = 0;
    run(net, 10000);
    g_assert_cmpuint(net->hosts[2].asks, ==, 0);
    free_net(net);
}

/* A peer's lower tier gives way as its requests end. */
static void
test_higher_tier_first(void)
{
    struct net *net = make_net(8);

    for (guint i = 0; i < HOSTS; i++) {
        net->hosts[i].per_s = 60;
        net->hosts[i].tier = 3;
    }
    run(net, 5000);
    net->hosts[0].tier = 0;
    memset(&net->hosts[0].demand.waiting, 0, sizeof(guint32) * CT_TIERS);
    run(net, 20000);
    g_assert_cmpuint(held(net, 0), >=, SLOTS / 2);
    g_assert_cmpuint(net->most_held, <=, SLOTS);
    /* The same tier is not taken from. */
    net->hosts[0].tier = 3;
    memset(&net->hosts[0].demand.waiting, 0, sizeof(guint32) * CT_TIERS);
    run(net, 20000);
    g_assert_cmpuint(held(net, 0), <=, SLOTS / 4);
    free_net(net);
}

/* Lost messages leave no slot idle for ever. */
static void
test_no_leak(void)
{
    struct net *net = make_net(9);
    guint sum = 0;

    net->loss_percent = 60;
    net->hosts[1].per_s = 50;
    net->hosts[5].per_s = 50;
    run(net, 20000);
    net->loss_percent = 100;
    net->hosts[1].per_s = 0;
    net->hosts[5].per_s = 0;
    run(net, CT_SLOT_LOAN_MS + CT_SLOT_LOAN_MARGIN_MS + 100);
    for (guint i = 0; i < HOSTS; i++) {
        sum += held(net, i);
    }
    g_assert_cmpuint(sum, ==, SLOTS);
    free_net(net);
}

/* The slots of a dead host go to the others, and back to it later. */
static void
test_dead_host(void)
{
    struct net *net = make_net(10);
    guint sum = 0;

    net->hosts[6].per_s = 100;
    run(net, 5000);
    net->hosts[6].dead = TRUE;
    for (guint i = 0; i < HOSTS; i++) {
        ct_slot_loans_on_link(&net->hosts[i].shares, &net->names[6], false,
                              net->now_ms);
    }
    run(net, CT_SLOT_HOST_DEAD_MS + 100);
    g_assert_cmpuint(net->most_held, <=, SLOTS);
    for (guint i = 0; i < HOSTS; i++) {
        sum += net->hosts[i].dead ? 0 : held(net, i);
    }
    g_assert_cmpuint(sum, ==, SLOTS);
    for (guint i = 0; i < HOSTS; i++) {
        ct_slot_loans_on_link(&net->hosts[i].shares, &net->names[6], true,
                              net->now_ms);
    }
    g_assert_cmpuint(held(net, 0), <=, SLOTS / HOSTS + 1);
    free_net(net);
}

/* What is unknown or late is refused; hosts may come and go. */
static void
test_input(void)
{
    struct net *net = make_net(11);
    struct ct_slot_loans *s = &net->hosts[0].shares;
    struct ct_slot_demand demand = {0};
    struct ct_slot_message send;
    struct ct_slot_row row = {.pool = {"draft"}};
    struct ct_name stranger = {"z"};

    g_assert_cmpint(
        ct_slot_loans_on_request(s, &stranger, &row, &demand, 0, &send), ==,
        CT_ERR_NOT_FOUND);
    row.cheap = true;
    g_assert_cmpint(ct_slot_loans_on_grant(s, &net->names[1], &row, 0), ==,
                    CT_ERR_NOT_FOUND);
    row.cheap = false;
    row.epoch = 5;
    g_assert_cmpint(ct_slot_loans_on_grant(s, &net->names[1], &row, 0), ==,
                    CT_ERR_INVALID);
    g_assert_cmpint(
        ct_slot_loans_set_hosts(s, net->names, 2, &net->names[0], 0), ==,
        CT_OK);
    g_assert_cmpuint(held(net, 0), ==, SLOTS / 2);
    free_net(net);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slot-loan/never-more", test_never_more);
    g_test_add_func("/slot-loan/follow-demand", test_follow_demand);
    g_test_add_func("/slot-loan/higher-tier-first", test_higher_tier_first);
    g_test_add_func("/slot-loan/no-leak", test_no_leak);
    g_test_add_func("/slot-loan/dead-host", test_dead_host);
    g_test_add_func("/slot-loan/input", test_input);
    return g_test_run();
}
