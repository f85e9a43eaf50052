/*
 * Tests of slot-loan.h: simulated hosts on a virtual clock, with links that
 * lose messages.
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
    ct_ms due_ms;
    struct ct_slot_message slot_message;
};

struct host {
    struct ct_slot_loans loans;
    struct ct_slot_demand demand;
    gboolean dead;
    /* Arrivals per second, and their tier. */
    guint per_s;
    guint tier;
    guint started;
    guint requests_sent;
};

struct net {
    struct host hosts[HOSTS];
    struct ct_name names[HOSTS];
    GQueue *messages;
    GRand *random;
    ct_ms now_ms;
    guint loss_percent;
    guint max_held;
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
        struct ct_slot_loans *loans = &net->hosts[i].loans;
        struct ct_name pool = {"draft"};

        ct_slot_loans_init(loans);
        g_assert_cmpint(ct_slot_loans_set_hosts(loans, net->names, HOSTS,
                                                &net->names[i], 0),
                        ==, CT_OK);
        g_assert_cmpint(ct_slot_loans_set_pool(loans, &pool, false, SLOTS), ==,
                        0);
        for (guint j = 0; j < HOSTS; j++) {
            ct_slot_loans_on_link(loans, &net->names[j], i != j, 0);
        }
    }
    return net;
}

static void
free_net(struct net *net)
{
    for (guint i = 0; i < HOSTS; i++) {
        ct_slot_loans_free(&net->hosts[i].loans);
    }
    g_queue_free_full(net->messages, g_free);
    g_rand_free(net->random);
    g_free(net);
}

static guint
slots_held(struct net *net, guint i)
{
    return ct_slot_loans_held(&net->hosts[i].loans, 0, net->now_ms);
}

static void
send_message(struct net *net, guint from,
             const struct ct_slot_message *slot_message)
{
    struct message *message;

    if (g_rand_int_range(net->random, 0, 100) < (gint)net->loss_percent) {
        return;
    }
    message = g_new0(struct message, 1);
    message->from = from;
    message->to = (guint)(slot_message->peer.text[0] - 'a');
    message->due_ms = net->now_ms + STEP_MS;
    message->slot_message = *slot_message;
    g_queue_push_tail(net->messages, message);
}

static void
deliver_due_messages(struct net *net)
{
    struct message *message;

    while ((message = g_queue_peek_head(net->messages)) &&
           message->due_ms <= net->now_ms) {
        struct host *receiver = &net->hosts[message->to];
        struct ct_slot_message reply;

        g_queue_pop_head(net->messages);
        if (!receiver->dead &&
            message->slot_message.type == CT_PEER_SLOT_GRANT) {
            ct_slot_loans_on_grant(&receiver->loans,
                                   &net->names[message->from],
                                   &message->slot_message.row, net->now_ms);
        }
        else if (!receiver->dead &&
                 ct_slot_loans_on_request(
                     &receiver->loans, &net->names[message->from],
                     &message->slot_message.row, &receiver->demand,
                     net->now_ms, &reply) == CT_OK) {
            send_message(net, message->to, &reply);
        }
        g_free(message);
    }
}

/* Lets requests arrive, end after one second on average, and start. */
static void
step_host(struct net *net, guint i)
{
    struct host *host = &net->hosts[i];
    struct ct_slot_message slot_message;

    if (g_rand_int_range(net->random, 0, 1000 / STEP_MS) < (gint)host->per_s &&
        host->demand.waiting[host->tier] < 50) {
        host->demand.waiting[host->tier]++;
    }
    for (guint n = host->demand.busy; n > 0; n--) {
        host->demand.busy -=
            g_rand_int_range(net->random, 0, 1000 / STEP_MS) == 0;
    }
    while (ct_slot_loans_next_owed(&host->loans, 0, &host->demand, net->now_ms,
                                   &slot_message)) {
        send_message(net, i, &slot_message);
    }
    while (host->demand.waiting[host->tier] > 0 &&
           host->demand.busy < slots_held(net, i)) {
        host->demand.waiting[host->tier]--;
        host->demand.busy++;
        host->started++;
    }
    while (ct_slot_loans_next_request(&host->loans, 0, &host->demand,
                                      net->now_ms, &slot_message)) {
        host->requests_sent++;
        send_message(net, i, &slot_message);
    }
}

static void
run_network(struct net *net, ct_ms duration_ms)
{
    ct_ms end_ms = net->now_ms + duration_ms;

    for (; net->now_ms < end_ms; net->now_ms += STEP_MS) {
        guint total = 0;

        deliver_due_messages(net);
        for (guint i = 0; i < HOSTS; i++) {
            if (!net->hosts[i].dead) {
                step_host(net, i);
                total += slots_held(net, i);
            }
        }
        net->max_held = MAX(net->max_held, total);
    }
}

/*
 * Under changing demand and message loss, each slot is held by one host at a
 * time.
 */
static void
test_single_holder(void)
{
    for (guint seed = 1; seed <= 40; seed++) {
        struct net *net = make_net(seed);
        guint requests_sent = 0;

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
            run_network(net, 3000);
        }
        g_assert_cmpuint(net->max_held, <=, SLOTS);
        g_assert_cmpuint(net->max_held, >, SLOTS / 2);
        for (guint i = 0; i < HOSTS; i++) {
            requests_sent += net->hosts[i].requests_sent;
        }
        g_assert_cmpuint(requests_sent, <=, HOSTS * 10 * 60);
        free_net(net);
    }
}

/* Slots move to the host with demand, and return when the demand ends. */
static void
test_follow_demand(void)
{
    struct net *net = make_net(7);
    guint base_share = slots_held(net, 2);

    net->hosts[2].per_s = 100;
    run_network(net, 10000);
    g_assert_cmpuint(slots_held(net, 2), >=, SLOTS * 6 / 10);
    net->hosts[2].per_s = 0;
    run_network(net, 60000);
    g_assert_cmpuint(slots_held(net, 2), ==, base_share);
    g_assert_cmpuint(net->max_held, <=, SLOTS);
    /* An idle system sends nothing. */
    net->hosts[2].requests_sent = 0;
    run_network(net, 10000);
    g_assert_cmpuint(net->hosts[2].requests_sent, ==, 0);
    free_net(net);
}

/*
 * A host with a higher tier gets a peer's slots as the peer's lower-tier
 * requests end.
 */
static void
test_higher_tier_first(void)
{
    struct net *net = make_net(8);

    for (guint i = 0; i < HOSTS; i++) {
        net->hosts[i].per_s = 60;
        net->hosts[i].tier = 3;
    }
    run_network(net, 5000);
    net->hosts[0].tier = 0;
    memset(&net->hosts[0].demand.waiting, 0, sizeof(guint32) * CT_TIERS);
    run_network(net, 20000);
    g_assert_cmpuint(slots_held(net, 0), >=, SLOTS / 2);
    g_assert_cmpuint(net->max_held, <=, SLOTS);
    /* A request of the same tier gets no slots that the peer needs. */
    net->hosts[0].tier = 3;
    memset(&net->hosts[0].demand.waiting, 0, sizeof(guint32) * CT_TIERS);
    run_network(net, 20000);
    g_assert_cmpuint(slots_held(net, 0), <=, SLOTS / 4);
    free_net(net);
}

/* A lost message does not leave a slot idle permanently: the loan ends. */
static void
test_no_leak(void)
{
    struct net *net = make_net(9);
    guint total = 0;

    net->loss_percent = 60;
    net->hosts[1].per_s = 50;
    net->hosts[5].per_s = 50;
    run_network(net, 20000);
    net->loss_percent = 100;
    net->hosts[1].per_s = 0;
    net->hosts[5].per_s = 0;
    run_network(net, CT_SLOT_LOAN_MS + CT_SLOT_LOAN_MARGIN_MS + 100);
    for (guint i = 0; i < HOSTS; i++) {
        total += slots_held(net, i);
    }
    g_assert_cmpuint(total, ==, SLOTS);
    free_net(net);
}

/*
 * The slots of a dead host go to the others, and return to it when it is up
 * again.
 */
static void
test_dead_host(void)
{
    struct net *net = make_net(10);
    guint total = 0;

    net->hosts[6].per_s = 100;
    run_network(net, 5000);
    net->hosts[6].dead = TRUE;
    for (guint i = 0; i < HOSTS; i++) {
        ct_slot_loans_on_link(&net->hosts[i].loans, &net->names[6], false,
                              net->now_ms);
    }
    run_network(net, CT_SLOT_HOST_DEAD_MS + 100);
    g_assert_cmpuint(net->max_held, <=, SLOTS);
    for (guint i = 0; i < HOSTS; i++) {
        total += net->hosts[i].dead ? 0 : slots_held(net, i);
    }
    g_assert_cmpuint(total, ==, SLOTS);
    for (guint i = 0; i < HOSTS; i++) {
        ct_slot_loans_on_link(&net->hosts[i].loans, &net->names[6], true,
                              net->now_ms);
    }
    g_assert_cmpuint(slots_held(net, 0), <=, SLOTS / HOSTS + 1);
    free_net(net);
}

/*
 * Messages from unknown hosts, for unknown pools or with an unexpected request
 * number, as of a late grant, are refused; the set of hosts may change.
 */
static void
test_invalid_messages(void)
{
    struct net *net = make_net(11);
    struct ct_slot_loans *loans = &net->hosts[0].loans;
    struct ct_slot_demand demand = {0};
    struct ct_slot_message slot_message;
    struct ct_slot_row row = {.pool = {"draft"}};
    struct ct_name unknown_host = {"z"};

    g_assert_cmpint(ct_slot_loans_on_request(loans, &unknown_host, &row,
                                             &demand, 0, &slot_message),
                    ==, CT_ERR_NOT_FOUND);
    row.cheap = true;
    g_assert_cmpint(ct_slot_loans_on_grant(loans, &net->names[1], &row, 0), ==,
                    CT_ERR_NOT_FOUND);
    row.cheap = false;
    row.request_number = 5;
    g_assert_cmpint(ct_slot_loans_on_grant(loans, &net->names[1], &row, 0), ==,
                    CT_ERR_INVALID);
    g_assert_cmpint(
        ct_slot_loans_set_hosts(loans, net->names, 2, &net->names[0], 0), ==,
        CT_OK);
    g_assert_cmpuint(slots_held(net, 0), ==, SLOTS / 2);
    free_net(net);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slot-loan/single-holder", test_single_holder);
    g_test_add_func("/slot-loan/follow-demand", test_follow_demand);
    g_test_add_func("/slot-loan/higher-tier-first", test_higher_tier_first);
    g_test_add_func("/slot-loan/no-leak", test_no_leak);
    g_test_add_func("/slot-loan/dead-host", test_dead_host);
    g_test_add_func("/slot-loan/invalid-messages", test_invalid_messages);
    return g_test_run();
}
