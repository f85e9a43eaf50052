/*
 * Tests of replication.h: which host follows which source, which updates are
 * applied, and how old the data counts.
 */
#include <string.h>

#include "lib-replication.h"

static bool
is_reading_topic(const struct t_core *core, enum ct_topic topic)
{
    for (uint32_t i = 0;; i++) {
        const struct ct_effect *effect =
            t_core_effect(core, CT_EFFECT_STORE_READ, i);

        if (effect == NULL || effect->u.store_read.topic == topic) {
            return effect != NULL;
        }
    }
}

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
    } while (!is_reading_topic(&pair.follower, CT_TOPIC_UPSTREAMS));
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
    g_assert_true(is_reading_topic(&pair.follower, CT_TOPIC_CONFIG));
    g_assert_true(is_reading_topic(&pair.follower, CT_TOPIC_UPSTREAMS));
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
    g_assert_true(is_reading_topic(&pair.follower, CT_TOPIC_CONFIG));
    t_replication_free(&pair);
}

/*
 * The source reads a version without its routes and sends the followers what
 * it is to send.
 */
static void
read_config_at_source(struct t_replication_pair *pair, int64_t version)
{
    GArray *rows = t_relay_rows();

    pair->source.state->self.share_config = true;
    g_array_set_size(rows, 1);
    t_relay_post_config(&pair->source, version, rows);
    t_relay_read(&pair->source, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
    t_replication_deliver_all(&pair->source, &pair->follower);
    g_array_free(rows, TRUE);
}

static bool
has_version(const struct t_core *core, int64_t version)
{
    return core->state->store.config_version == version;
}

/*
 * A configuration that the source sends is in force at its followers without
 * a read of theirs: reads of each host grow with hosts times versions, and a
 * host that the store turns away would refuse calls with keys.
 */
static void
test_config(void)
{
    struct t_replication_pair pair;

    t_replication_init(&pair);
    read_config_at_source(&pair, 6);
    g_assert_true(has_version(&pair.follower, 6));
    g_assert_cmpuint(pair.follower.state->config.prefix_routes.live, ==, 0);
    t_core_tick(&pair.follower, 60);
    g_assert_false(is_reading_topic(&pair.follower, CT_TOPIC_CONFIG));
    t_replication_confirm(&pair, CT_TOPIC_CONFIG);
    g_assert_cmpint(ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG), <=,
                    60);
    t_replication_free(&pair);
}

/*
 * The follower reads the store if the configuration it is sent is not all that
 * it lacks: records before it or beside it could be a newer version or an
 * evacuation.
 */
static void
test_config_incomplete(void)
{
    enum { GAP, EVACUATION, INVALID, READING, CASES };

    for (int c = 0; c < CASES; c++) {
        struct ct_event invalid = {.type = CT_EVENT_STORE_INVALID_ENTRY};
        struct t_replication_pair pair;

        t_replication_init(&pair);
        switch (c) {
        case GAP:
            t_relay_read(&pair.source, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
            break;
        case EVACUATION:
            t_relay_post_evacuation(&pair.source, "zone-b", false);
            break;
        case INVALID:
            invalid.u.store_invalid_entry.topic = CT_TOPIC_CONFIG;
            t_core_post(&pair.source, &invalid);
            break;
        default:
            do {
                t_core_tick(&pair.follower, 100);
            } while (!is_reading_topic(&pair.follower, CT_TOPIC_CONFIG));
            break;
        }
        read_config_at_source(&pair, 6);
        g_assert_true(has_version(&pair.source, 6));
        g_assert_false(has_version(&pair.follower, 6));
        t_core_tick(&pair.follower, 60);
        g_assert_true(c == READING ||
                      is_reading_topic(&pair.follower, CT_TOPIC_CONFIG));
        t_replication_free(&pair);
    }
}

/*
 * A host that is not the source could have older data, and one without the
 * setting sends no configurations.
 */
static void
test_config_not_sent(void)
{
    struct t_replication_pair pair;
    GArray *rows = t_relay_rows();

    t_replication_init(&pair);
    CT_TEXT_SET(pair.source.state->self.host, "h9");
    read_config_at_source(&pair, 6);
    g_assert_false(has_version(&pair.follower, 6));
    t_replication_free(&pair);
    t_replication_init(&pair);
    t_relay_post_config(&pair.source, 6, rows);
    t_relay_read(&pair.source, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
    g_assert_cmpuint(
        t_core_effect(&pair.source, CT_EFFECT_SEND_PEER_MESSAGE, 0)
            ->u.peer.message.type,
        ==, CT_PEER_STORE_UPDATE);
    t_replication_free(&pair);
    g_array_free(rows, TRUE);
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
    } while (!is_reading_topic(&pair.follower, CT_TOPIC_UPSTREAMS));
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
    g_assert_true(is_reading_topic(&pair.follower, CT_TOPIC_UPSTREAMS));
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
    g_assert_true(is_reading_topic(&pair.follower, CT_TOPIC_UPSTREAMS));
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
    g_test_add_func("/replication/age", test_age);
    g_test_add_func("/replication/records", test_records);
    g_test_add_func("/replication/config", test_config);
    g_test_add_func("/replication/config-incomplete", test_config_incomplete);
    g_test_add_func("/replication/config-not-sent", test_config_not_sent);
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
