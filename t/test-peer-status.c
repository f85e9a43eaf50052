/*
 * Tests of peer-status.h: which hosts are current, withdrawals, state copied
 * from peers.
 */
#include <string.h>

#include "lib-cluster.h"

/* Longer than a host stays current without messages. */
#define BEYOND_LIMIT_MS (CT_CURRENT_LIMIT_MS + 3000)

static bool
is_current(const struct t_cluster *c, uint32_t host)
{
    return ct_peer_status_is_current(c->hosts[host].state,
                                     c->hosts[host].now_ms);
}

static void
append_key_grant(struct t_cluster *c, uint8_t n)
{
    struct ct_record record = {.type = CT_RECORD_KEY_GRANT};

    record.u.key.digest = t_digest(n);
    CT_TEXT_SET(record.u.key.organisation, "acme");
    t_cluster_append(c, &record);
    t_cluster_run(c, 2000);
}

static bool
is_usable(const struct t_cluster *c, uint32_t host, uint8_t n)
{
    const struct ct_keys *keys = &c->hosts[host].state->keys;
    struct ct_digest digest = t_digest(n);

    return ct_keys_usable(keys, ct_keys_find(keys, &digest));
}

/* A host is current while it can reach the log or a majority of hosts. */
static void
test_current(void)
{
    static const struct {
        bool log_down;
        uint32_t n_cut;
        bool cut_current;
        bool rest_current;
    } cases[] = {
        {false, 0, true, true}, {false, 3, true, true},  {true, 0, true, true},
        {true, 2, false, true}, {true, 3, false, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct t_cluster c;

        t_cluster_init(&c, 5);
        t_cluster_run(&c, 3000);
        c.log_down = cases[i].log_down;
        for (uint32_t j = 0; j < cases[i].n_cut; j++) {
            c.unlinked[j] = true;
        }
        t_cluster_run(&c, BEYOND_LIMIT_MS);
        for (uint32_t j = 0; j < c.n; j++) {
            g_assert_cmpint(is_current(&c, j), ==,
                            j < cases[i].n_cut ? cases[i].cut_current
                                               : cases[i].rest_current);
        }
        t_cluster_free(&c);
    }
}

/* A host that missed the last entry before an outage copies it from a peer. */
static void
test_catch_up(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 3);
    append_key_grant(&c, 1);
    c.log_down = true;
    t_cluster_run(&c, 1000);
    for (uint32_t i = 1; i < 3; i++) {
        struct ct_event event = {.type = CT_EVENT_LOG_ENTRY};

        event.u.entry.offset = 1000;
        c.hosts[i].state->log.applied = 999;
        event.u.entry.record.type = CT_RECORD_KEY_WITHDRAW;
        event.u.entry.record.u.key.digest = t_digest(1);
        t_cluster_post(&c, i, &event);
    }
    g_assert_true(is_usable(&c, 0, 1));
    t_cluster_run(&c, BEYOND_LIMIT_MS);
    g_assert_false(is_usable(&c, 0, 1));
    g_assert_true(is_current(&c, 0));
    t_cluster_free(&c);
}

/* A host is not current if its peers have an entry that it cannot read. */
static void
test_peer_ahead(void)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct t_cluster c;

    t_cluster_init(&c, 3);
    t_cluster_run(&c, 3000);
    c.log_down = true;
    event.u.peer.message.type = CT_PEER_HEARTBEAT;
    CT_TEXT_SET(event.u.peer.message.sender, "h2");
    event.u.peer.message.u.heartbeat.applied_offset = 1000;
    event.u.peer.message.u.heartbeat.known_head = 1000;
    t_cluster_post(&c, 0, &event);
    t_cluster_kill(&c, 1);
    t_cluster_run(&c, 2 * BEYOND_LIMIT_MS);
    g_assert_false(is_current(&c, 0));
    g_assert_true(is_current(&c, 2));
    t_cluster_free(&c);
}

/*
 * Neither a response that waited while the host was suspended, nor one that
 * names a head the host has not applied yet, makes the host current.
 */
static void
test_delayed_response(void)
{
    struct ct_event event = {.type = CT_EVENT_LOG_HEAD};
    struct t_cluster c;
    int64_t head;

    t_cluster_init(&c, 3);
    t_cluster_run(&c, 3000);
    head = c.log->len;
    c.suspended[0] = true;
    t_cluster_run(&c, BEYOND_LIMIT_MS);
    event.u.head.head = head;
    event.u.head.first = 1;
    event.u.head.age_ms = BEYOND_LIMIT_MS;
    t_cluster_post(&c, 0, &event);
    g_assert_false(is_current(&c, 0));
    event.u.head.age_ms = 0;
    event.u.head.head = head + 1;
    t_cluster_post(&c, 0, &event);
    g_assert_false(is_current(&c, 0));
    event.type = CT_EVENT_LOG_ENTRY;
    event.u.entry = (struct ct_log_entry){.offset = head + 1};
    event.u.entry.record.type = CT_RECORD_KEY_WITHDRAW;
    t_cluster_post(&c, 0, &event);
    g_assert_true(is_current(&c, 0));
    t_cluster_free(&c);
}

/* A host that was suspended is not current until it receives a response. */
static void
test_suspended(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 3);
    t_cluster_run(&c, 3000);
    c.suspended[0] = true;
    t_cluster_run(&c, BEYOND_LIMIT_MS);
    g_assert_false(is_current(&c, 0));
    c.suspended[0] = false;
    t_cluster_run(&c, 2000);
    g_assert_true(is_current(&c, 0));
    t_cluster_free(&c);
}

/* Requests the withdrawal of a key at a host and awaits the reply. */
static void
request_withdrawal(struct t_cluster *c, uint32_t host, uint8_t n)
{
    struct ct_event event = {.type = CT_EVENT_KEY_WITHDRAWAL_REQUESTED};

    event.u.key_withdrawal.caller = 7;
    event.u.key_withdrawal.key = t_digest(n);
    t_cluster_post(c, host, &event);
    t_cluster_run(c, 5000);
    g_assert_cmpuint(c->replies, ==, 1);
}

/* During an outage of the log, a withdrawal reaches all reachable hosts. */
static void
test_withdrawal(void)
{
    const struct ct_host_row *confirmations;
    struct t_cluster c;

    t_cluster_init(&c, 4);
    append_key_grant(&c, 1);
    c.log_down = true;
    c.unlinked[3] = true;
    t_cluster_run(&c, 1000);
    request_withdrawal(&c, 1, 1);
    /* The three reachable hosts confirmed, and h4 is reported as missing. */
    confirmations = &g_array_index(c.confirmed, struct ct_host_row, 0);
    g_assert_cmpuint(c.confirmed->len, ==, 4);
    g_assert_cmpstr(confirmations[0].name.text, ==, "h2");
    for (uint32_t i = 0; i < 3; i++) {
        g_assert_false(confirmations[i].leaving);
    }
    g_assert_cmpstr(confirmations[3].name.text, ==, "h4");
    g_assert_true(confirmations[3].leaving);
    for (uint32_t i = 0; i < 3; i++) {
        g_assert_false(is_usable(&c, i, 1));
    }
    g_assert_true(is_usable(&c, 3, 1));
    c.unlinked[3] = false;
    t_cluster_run(&c, 2000);
    g_assert_false(is_usable(&c, 3, 1));

    /*
     * The withdrawal is appended when the log is back, so that it is still in
     * force after all hosts restart.
     */
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_KEY_WITHDRAW), ==, 0);
    c.log_down = false;
    t_cluster_run(&c, 10000);
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_KEY_WITHDRAW), >=, 1);
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_KEY_WITHDRAW), <=, 3);
    for (uint32_t i = 0; i < 4; i++) {
        g_assert_cmpuint(c.hosts[i].state->keys.direct_count, ==, 0);
        t_cluster_kill(&c, i);
        t_cluster_start(&c, i);
    }
    t_cluster_run(&c, 2000);
    for (uint32_t i = 0; i < 4; i++) {
        g_assert_false(is_usable(&c, i, 1));
    }
    t_cluster_free(&c);
}

/* A restarted host copies state and withdrawals from its peers. */
static void
test_state_from_peers(void)
{
    struct t_cluster c;
    int64_t applied;

    t_cluster_init(&c, 3);
    append_key_grant(&c, 1);
    append_key_grant(&c, 2);
    c.log_down = true;
    t_cluster_run(&c, 1000);
    request_withdrawal(&c, 1, 1);
    t_cluster_kill(&c, 0);
    t_cluster_start(&c, 0);
    g_assert_false(c.hosts[0].state->log.ready);
    t_cluster_run(&c, 4000);
    applied = c.hosts[1].state->log.applied;
    g_assert_true(c.hosts[0].state->log.ready);
    g_assert_cmpint(c.hosts[0].state->log.applied, ==, applied);
    g_assert_true(is_current(&c, 0));
    g_assert_false(is_usable(&c, 0, 1));
    g_assert_true(is_usable(&c, 0, 2));
    t_cluster_free(&c);
}

/* State from a peer is not enough if it is older than the known log head. */
static void
test_outdated_state(void)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct t_cluster c;

    t_cluster_init(&c, 3);
    t_cluster_run(&c, 1000);
    c.log_down = true;
    t_cluster_kill(&c, 0);
    t_cluster_start(&c, 0);
    t_cluster_run(&c, 100);
    /* Host 2 knows of an entry that no live host has. */
    event.u.peer.message.type = CT_PEER_HEARTBEAT;
    CT_TEXT_SET(event.u.peer.message.sender, "h3");
    event.u.peer.message.u.heartbeat.known_head = 1000;
    c.dead[2] = true;
    t_cluster_post(&c, 0, &event);
    t_cluster_run(&c, 4000);
    g_assert_false(c.hosts[0].state->log.ready);
    t_cluster_free(&c);
}

/*
 * Limits the bytes per second that each of 8 hosts sends and receives over its
 * links, when idle and with usage of 10 organisations that changes each
 * second.
 */
static void
test_traffic(gconstpointer data)
{
    bool with_usage = data != NULL;
    struct t_cluster c;
    uint64_t most = 0;
    const int seconds = 120;

    t_cluster_init(&c, 8);
    t_cluster_run(&c, 20000);
    memset(c.bytes, 0, sizeof(c.bytes));
    for (int i = 0; i < seconds; i++) {
        for (uint32_t j = 0; with_usage && j < 8 * 10; j++) {
            struct ct_name name;

            memset(&name, 0, sizeof(name));
            g_snprintf(name.text, sizeof(name.text), "organisation-%u", j / 8);
            ct_usage_add(c.hosts[j % 8].state, &name, 1, 100, 100);
        }
        t_cluster_run(&c, 1000);
    }
    for (uint32_t i = 0; i < 8; i++) {
        most = MAX(most, c.bytes[i] / seconds);
    }
    g_test_message("busiest host: %" G_GUINT64_FORMAT " bytes/s", most);
    g_assert_cmpuint(most, <=, 4096);
    t_cluster_free(&c);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-status/current", test_current);
    g_test_add_func("/peer-status/catch-up", test_catch_up);
    g_test_add_func("/peer-status/peer-ahead", test_peer_ahead);
    g_test_add_func("/peer-status/suspended", test_suspended);
    g_test_add_func("/peer-status/delayed-response", test_delayed_response);
    g_test_add_func("/peer-status/withdrawal", test_withdrawal);
    g_test_add_func("/peer-status/state-from-peers", test_state_from_peers);
    g_test_add_func("/peer-status/outdated-state", test_outdated_state);
    g_test_add_data_func("/peer-status/traffic/idle", NULL, test_traffic);
    g_test_add_data_func("/peer-status/traffic/with-usage", GINT_TO_POINTER(1),
                         test_traffic);
    return g_test_run();
}
