/*
 * Tests of replication.h: which host follows which source, which updates are
 * applied, and how old the data counts.
 */
#include <string.h>

#include "lib-replication.h"

/*
 * The source reads one entry at the end offset of its topic and sends the
 * update.
 */
static void
read_entry_at_source(struct t_replication_pair *pair,
                     struct ct_store_upstream *entry)
{
    entry->offset = pair->source.state->store.topics[CT_TOPIC_UPSTREAMS].next;
    t_relay_post_upstream(&pair->source, entry);
    t_relay_read(&pair->source, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_replication_deliver_all(&pair->source, &pair->follower);
}

/*
 * A host in an availability zone with few hosts, or the first host of the
 * zone, has no source.
 */
static void
test_source_choice(void)
{
    struct t_core core;

    t_replication_host(&core, 2);
    t_replication_members(&core, 6, 4);
    t_core_tick(&core, 1000);
    g_assert_null(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0));
    t_replication_members(&core, 6, 5);
    t_core_tick(&core, 1000);
    g_assert_cmpstr(t_replication_requested_peer(&core)->name.text, ==, "h1");
    g_assert_cmpstr(t_replication_requested_peer(&core)->peer_address.text, ==,
                    "10.0.0.1:7340");
    t_core_free(&core);
    t_replication_host(&core, 1);
    t_replication_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_null(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0));
    t_core_free(&core);
}

/*
 * A stale source is replaced by the next one; a host that has no further
 * source reads the store itself.
 */
static void
test_stale_source(void)
{
    struct t_core core;

    t_replication_host(&core, 3);
    t_replication_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_cmpstr(t_replication_requested_peer(&core)->name.text, ==, "h1");
    t_replication_link(&core, "h1", true);
    for (int i = 0; i < 4 && t_core_count(&core, CT_EFFECT_SET_PEERS) == 0;
         i++) {
        t_core_tick(&core, 1000);
    }
    g_assert_cmpstr(t_replication_requested_peer(&core)->name.text, ==, "h2");
    t_core_free(&core);
    t_replication_host(&core, 2);
    t_replication_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_nonnull(t_replication_requested_peer(&core));
    t_core_tick(&core, 1000);
    for (int i = 0; i < 4 && t_core_count(&core, CT_EFFECT_SET_PEERS) == 0;
         i++) {
        t_core_tick(&core, 1000);
    }
    g_assert_cmpuint(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0)->rows.n, ==,
                     0);
    t_core_free(&core);
}

/*
 * A host with followers does not become a follower itself, so that hosts do
 * not follow each other in a cycle.
 */
static void
test_no_cycle(void)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct t_core core;

    t_replication_host(&core, 2);
    event.u.peer.message.type = CT_PEER_STORE_UPDATE_REQUEST;
    CT_TEXT_SET(event.u.peer.message.sender, "h5");
    event.u.peer.message.u.requested_ms = 1;
    t_core_post(&core, &event);
    t_replication_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_null(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0));
    /* Once the follower's requests stop, this host may follow another one. */
    t_core_tick(&core, 1000);
    g_assert_null(t_replication_requested_peer(&core));
    t_core_tick(&core, 1000);
    g_assert_nonnull(t_replication_requested_peer(&core));
    t_core_free(&core);
}

/*
 * An entry that differs only in its remaining cold time reaches the follower,
 * for which the time counts from then.
 */
static void
test_cold_entry(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    const struct ct_upstream_entry *kept;
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_replication_confirm(&pair, CT_TOPIC_UPSTREAMS);
    entry.cold_left_ms = 5000;
    read_entry_at_source(&pair, &entry);
    kept =
        ct_upstream_registry_entry(pair.follower.state, &entry.upstream.name);
    g_assert_nonnull(kept);
    g_assert_cmpint(kept->cold_until_ms, ==, pair.follower.now_ms + 5000);
    t_replication_free(&pair);
}

/*
 * While updates arrive, the follower does not read the store, and its data
 * stays fresh.
 */
static void
test_fresh_updates(void)
{
    struct t_replication_pair pair;
    ct_ms age_ms;

    t_replication_init(&pair);
    for (int i = 0; i < 20; i++) {
        t_replication_tick(&pair, 500);
        g_assert_cmpuint(t_core_count(&pair.follower, CT_EFFECT_STORE_READ),
                         ==, 0);
        t_replication_deliver_all(&pair.follower, &pair.source);
        t_replication_confirm(&pair, CT_TOPIC_CONFIG);
        t_replication_confirm(&pair, CT_TOPIC_UPSTREAMS);
        age_ms = ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG);
        g_assert_cmpint(age_ms, <=, 500);
    }
    t_replication_free(&pair);
}

/*
 * Without updates within the bound, the follower reads the store, without a
 * long poll and in time.
 */
static void
test_missing_updates(void)
{
    struct t_replication_pair pair;
    ct_ms waited_ms = 0;

    t_replication_init(&pair);
    t_replication_confirm(&pair, CT_TOPIC_CONFIG);
    t_replication_confirm(&pair, CT_TOPIC_UPSTREAMS);
    do {
        t_core_tick(&pair.follower, 100);
        waited_ms += 100;
    } while (!t_replication_is_reading(&pair.follower, CT_TOPIC_UPSTREAMS));
    g_assert_cmpint(waited_ms, <,
                    pair.follower.state->self.bounds.drain_ms * 3 / 4);
    /*
     * From then on it reads the store by long polls, like a host without a
     * source.
     */
    g_assert_cmpint(t_core_effect(&pair.follower, CT_EFFECT_STORE_READ, 0)
                        ->u.store_read.wait_ms,
                    >, 0);
    t_replication_free(&pair);
}

/*
 * When the link to the source is lost, the follower reads both topics at once.
 */
static void
test_link_lost(void)
{
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_replication_link(&pair.follower, "h1", false);
    t_core_tick(&pair.follower, 60);
    g_assert_true(t_replication_is_reading(&pair.follower, CT_TOPIC_CONFIG));
    g_assert_true(
        t_replication_is_reading(&pair.follower, CT_TOPIC_UPSTREAMS));
    t_replication_free(&pair);
}

/* Keeps the effects of the follower's last event. */
static void
deliver_requests(struct t_replication_pair *pair)
{
    if (t_core_count(&pair->follower, CT_EFFECT_SEND_PEER_MESSAGE) > 0) {
        t_replication_deliver_all(&pair->follower, &pair->source);
    }
}

/* Fails the reads that the last event of the host started; returns them. */
static guint
fail_reads(struct t_core *core)
{
    bool started[CT_TOPIC_UPSTREAMS + 1] = {false};
    guint n = 0;

    for (uint32_t i = 0; i <= CT_TOPIC_UPSTREAMS; i++) {
        started[i] = t_replication_is_reading(core, (enum ct_topic)i);
    }
    for (uint32_t i = 0; i <= CT_TOPIC_UPSTREAMS; i++) {
        if (started[i]) {
            t_relay_read(core, (enum ct_topic)i, CT_ERR_UNAVAILABLE, 0, 0, 0);
            n++;
        }
    }
    return n;
}

/*
 * The store refuses both hosts for 20 s. The source says so unless its
 * messages are dropped. Returns the follower's reads, and whether it changed
 * its source.
 */
static guint
run_outage(struct t_replication_pair *pair, bool says_so, bool *changed)
{
    guint reads = 0;

    t_replication_init(pair);
    t_relay_read(&pair->source, CT_TOPIC_UPSTREAMS, CT_ERR_UNAVAILABLE, 0, 0,
                 0);
    for (int i = 0; i < 200; i++) {
        t_core_tick(&pair->source, 100);
        if (t_replication_is_reading(&pair->source, CT_TOPIC_UPSTREAMS)) {
            t_relay_read(&pair->source, CT_TOPIC_UPSTREAMS, CT_ERR_UNAVAILABLE,
                         0, 0, 0);
            if (says_so) {
                t_replication_deliver_all(&pair->source, &pair->follower);
            }
        }
        t_core_tick(&pair->follower, 100);
        *changed |= t_core_count(&pair->follower, CT_EFFECT_SET_PEERS) > 0;
        deliver_requests(pair);
        reads += fail_reads(&pair->follower);
    }
    return reads;
}

/*
 * In an outage of the store a follower asks rarely: its source tells when the
 * store responds again. It does not go from source to source, and what the
 * source says makes its data no newer.
 */
static void
test_outage(void)
{
    struct t_replication_pair pair;
    bool changed = false;
    guint silent = run_outage(&pair, false, &changed);
    guint told;

    g_assert_true(changed);
    t_replication_free(&pair);
    changed = false;
    told = run_outage(&pair, true, &changed);
    g_test_message("reads of the follower: %u, %u", silent, told);
    g_assert_cmpuint(told * 2, <=, silent);
    g_assert_cmpuint(told, >, 0);
    g_assert_false(changed);
    g_assert_cmpint(ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG), >=,
                    20000);
    t_replication_deliver_all(&pair.follower, &pair.source);
    t_replication_confirm(&pair, CT_TOPIC_CONFIG);
    g_assert_cmpint(ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG), <=,
                    2000);
    t_replication_free(&pair);
}

/*
 * If the store refuses the source alone, its followers take another one: they
 * must not read for themselves until the source is served again.
 */
static void
test_source_refused(void)
{
    struct t_replication_pair pair;
    bool changed = false;

    t_replication_init(&pair);
    for (int i = 0; i < 100 && !changed; i++) {
        t_core_tick(&pair.source, 100);
        if (t_replication_is_reading(&pair.source, CT_TOPIC_UPSTREAMS) ||
            i == 0) {
            t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_ERR_UNAVAILABLE,
                         0, 0, 0);
            t_replication_deliver_all(&pair.source, &pair.follower);
        }
        t_core_tick(&pair.follower, 100);
        changed = t_core_count(&pair.follower, CT_EFFECT_SET_PEERS) > 0;
        deliver_requests(&pair);
        t_replication_complete_reads(&pair.follower);
    }
    g_assert_true(changed);
    t_replication_free(&pair);
}

/*
 * An update that was delayed, or comes from a host with outdated data, is
 * dated by the update request that it names.
 */
static void
test_age(void)
{
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_replication_tick(&pair, 400);
    t_replication_tick(&pair, 600);
    t_replication_deliver_all(&pair.follower, &pair.source);
    t_core_tick(&pair.source, 300);
    t_relay_read(&pair.source, CT_TOPIC_CONFIG, CT_OK, 0, 100, 0);
    /* The source's data was complete up to 200 ms after the request. */
    pair.follower.now_ms += 700;
    t_replication_deliver_all(&pair.source, &pair.follower);
    g_assert_cmpint(ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG), ==,
                    500);
    t_replication_free(&pair);
}

/*
 * Entries are part of the update; a newer configuration that was not sent is
 * read from the store.
 */
static void
test_records(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_replication_pair pair;

    t_replication_init(&pair);
    entry.leaving = true;
    read_entry_at_source(&pair, &entry);
    t_relay_assert_state(&pair.follower, "desk-0", true, CT_UPSTREAM_LEAVING);
    t_core_tick(&pair.follower, 60);
    g_assert_cmpuint(t_core_count(&pair.follower, CT_EFFECT_STORE_READ), ==,
                     0);
    t_relay_read(&pair.source, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
    t_replication_deliver_all(&pair.source, &pair.follower);
    t_core_tick(&pair.follower, 60);
    g_assert_true(t_replication_is_reading(&pair.follower, CT_TOPIC_CONFIG));
    t_replication_free(&pair);
}

/*
 * Records that this host already has are not applied again after newer ones.
 */
static void
test_older_records(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_replication_pair pair;
    int64_t next;

    t_replication_init(&pair);
    next = pair.follower.state->store.topics[CT_TOPIC_UPSTREAMS].next;
    entry.leaving = true;
    entry.offset = next + 1;
    t_relay_post_upstream(&pair.follower, &entry);
    t_relay_read(&pair.follower, CT_TOPIC_UPSTREAMS, CT_OK, 2, 0, 0);
    entry.leaving = false;
    read_entry_at_source(&pair, &entry);
    t_relay_assert_state(&pair.follower, "desk-0", true, CT_UPSTREAM_LEAVING);
    t_replication_free(&pair);
}

/* An update is not applied before the older records of a running read. */
static void
test_read_running(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_replication_confirm(&pair, CT_TOPIC_UPSTREAMS);
    do {
        t_core_tick(&pair.follower, 100);
    } while (!t_replication_is_reading(&pair.follower, CT_TOPIC_UPSTREAMS));
    entry.leaving = true;
    read_entry_at_source(&pair, &entry);
    t_relay_assert_state(&pair.follower, "desk-0", true, CT_UPSTREAM_RUNNING);
    t_replication_free(&pair);
}

/* A gap between updates is filled by reading the store. */
static void
test_gap(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_relay_post_upstream(&pair.source, &entry);
    t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    read_entry_at_source(&pair, &entry);
    t_core_tick(&pair.follower, 60);
    g_assert_true(
        t_replication_is_reading(&pair.follower, CT_TOPIC_UPSTREAMS));
    t_replication_free(&pair);
}

/*
 * If the source reads too many entries at once, its followers read them from
 * the store.
 */
static void
test_too_many(void)
{
    struct ct_store_upstream entry;
    struct t_replication_pair pair;

    t_replication_init(&pair);
    for (uint32_t i = 0; i < 200; i++) {
        entry = t_upstream("desk", i);
        t_relay_post_upstream(&pair.source, &entry);
    }
    t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_OK, 200, 0, 0);
    g_assert_cmpuint(
        t_core_effect(&pair.source, CT_EFFECT_SEND_PEER_MESSAGE, 0)->rows.n,
        ==, 0);
    t_replication_deliver_all(&pair.source, &pair.follower);
    t_core_tick(&pair.follower, 60);
    g_assert_true(
        t_replication_is_reading(&pair.follower, CT_TOPIC_UPSTREAMS));
    t_replication_free(&pair);
}

/*
 * The source had lost the store: entries that expired meanwhile are
 * unconfirmed at its followers too, and removed after the same time.
 */
static void
test_expired_entries(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    entry.removed = true;
    read_entry_at_source(&pair, &entry);
    t_relay_assert_state(&pair.source, "desk-0", true,
                         CT_UPSTREAM_UNCONFIRMED);
    t_relay_assert_state(&pair.follower, "desk-0", true,
                         CT_UPSTREAM_UNCONFIRMED);
    t_replication_tick(&pair, 1900);
    t_relay_assert_state(&pair.follower, "desk-0", true,
                         CT_UPSTREAM_UNCONFIRMED);
    t_replication_tick(&pair, 600);
    t_relay_assert_state(&pair.follower, "desk-0", false, 0);
    t_replication_free(&pair);
}

/*
 * The source reads the members of the group and sends them to its followers.
 */
static void
test_members(void)
{
    struct t_replication_pair pair;

    t_replication_init(&pair);
    for (int i = 0; i < 30; i++) {
        t_replication_tick(&pair, 500);
        if (i > 4) {
            g_assert_cmpuint(
                t_core_count(&pair.follower, CT_EFFECT_STORE_READ_MEMBERS), ==,
                0);
        }
        t_replication_deliver_all(&pair.follower, &pair.source);
        t_replication_confirm(&pair, CT_TOPIC_CONFIG);
        t_replication_confirm(&pair, CT_TOPIC_UPSTREAMS);
        if (i % 8 == 0) {
            t_replication_members(&pair.source, 5, T_REPLICATION_HOSTS + 1);
            t_replication_deliver_all(&pair.source, &pair.follower);
            g_assert_cmpuint(ct_group_size(pair.follower.state), ==, 5);
        }
    }
    t_replication_link(&pair.follower, "h1", false);
    for (int i = 0; i < 30; i++) {
        t_core_tick(&pair.follower, 500);
        if (t_core_count(&pair.follower, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            t_replication_free(&pair);
            return;
        }
    }
    g_assert_not_reached();
}

/*
 * A host with followers uses shorter long polls, so that its followers see
 * soon that it is alive.
 */
static void
test_source_polls_shorter(void)
{
    struct t_replication_pair pair;

    t_replication_init(&pair);
    t_replication_confirm(&pair, CT_TOPIC_CONFIG);
    g_assert_cmpint(t_core_effect(&pair.source, CT_EFFECT_STORE_READ, 0)
                        ->u.store_read.wait_ms,
                    <=, ct_replication_stale_ms(pair.source.state) * 2 / 3);
    t_replication_free(&pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replication/source-choice", test_source_choice);
    g_test_add_func("/replication/stale-source", test_stale_source);
    g_test_add_func("/replication/no-cycle", test_no_cycle);
    g_test_add_func("/replication/fresh-updates", test_fresh_updates);
    g_test_add_func("/replication/missing-updates", test_missing_updates);
    g_test_add_func("/replication/link-lost", test_link_lost);
    g_test_add_func("/replication/outage", test_outage);
    g_test_add_func("/replication/source-refused", test_source_refused);
    g_test_add_func("/replication/age", test_age);
    g_test_add_func("/replication/records", test_records);
    g_test_add_func("/replication/older-records", test_older_records);
    g_test_add_func("/replication/read-running", test_read_running);
    g_test_add_func("/replication/gap", test_gap);
    g_test_add_func("/replication/too-many", test_too_many);
    g_test_add_func("/replication/expired-entries", test_expired_entries);
    g_test_add_func("/replication/cold-entry", test_cold_entry);
    g_test_add_func("/replication/members", test_members);
    g_test_add_func("/replication/source-polls-shorter",
                    test_source_polls_shorter);
    return g_test_run();
}
