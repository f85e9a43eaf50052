/* Tests of replication.h: who reads for whom, what news are taken, how old
 * they are.
 */
#include <string.h>

#include "lib-replication.h"

static bool
reads(const struct t_core *core, enum ct_topic topic)
{
    for (uint32_t i = 0;; i++) {
        const struct ct_effect *effect =
            t_core_effect(core, CT_EFFECT_STORE_READ, i);

        if (effect == NULL || effect->u.store_read.topic == topic) {
            return effect != NULL;
        }
    }
}

/* The source reads one entry, at the offset where its topic ends. */
static void
source_reads(struct t_feed *pair, struct ct_store_upstream *entry)
{
    entry->offset = pair->source.state->store.topics[CT_TOPIC_UPSTREAMS].next;
    t_relay_upstream(&pair->source, entry);
    t_relay_read(&pair->source, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_feed_deliver_all(&pair->source, &pair->follower);
}

/* Few hosts in an availability zone, or the first one, ask nobody. */
static void
test_choice(void)
{
    struct t_core core;

    t_feed_host(&core, 2);
    t_feed_members(&core, 6, 4);
    t_core_tick(&core, 1000);
    g_assert_null(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0));
    t_feed_members(&core, 6, 5);
    t_core_tick(&core, 1000);
    g_assert_cmpstr(t_feed_wanted(&core)->name.text, ==, "h1");
    g_assert_cmpstr(t_feed_wanted(&core)->peer_address.text, ==,
                    "10.0.0.1:7340");
    t_core_free(&core);
    t_feed_host(&core, 1);
    t_feed_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_null(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0));
    t_core_free(&core);
}

/* A source that says nothing is replaced by the next; the next one reads. */
static void
test_silent_source(void)
{
    struct t_core core;

    t_feed_host(&core, 3);
    t_feed_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_cmpstr(t_feed_wanted(&core)->name.text, ==, "h1");
    t_feed_link(&core, "h1", true);
    for (int i = 0; i < 4 && t_core_count(&core, CT_EFFECT_SET_PEERS) == 0;
         i++) {
        t_core_tick(&core, 1000);
    }
    g_assert_cmpstr(t_feed_wanted(&core)->name.text, ==, "h2");
    t_core_free(&core);
    t_feed_host(&core, 2);
    t_feed_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_nonnull(t_feed_wanted(&core));
    t_core_tick(&core, 1000);
    for (int i = 0; i < 4 && t_core_count(&core, CT_EFFECT_SET_PEERS) == 0;
         i++) {
        t_core_tick(&core, 1000);
    }
    g_assert_cmpuint(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0)->rows.n, ==,
                     0);
    t_core_free(&core);
}

/* A host that others ask does not ask itself, so that none waits in a ring. */
static void
test_no_ring(void)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct t_core core;

    t_feed_host(&core, 2);
    event.u.peer.message.type = CT_PEER_STORE_UPDATE_REQUEST;
    CT_TEXT_SET(event.u.peer.message.sender, "h5");
    event.u.peer.message.u.asked_ms = 1;
    t_core_post(&core, &event);
    t_feed_members(&core, 6, 7);
    t_core_tick(&core, 1000);
    g_assert_null(t_core_effect(&core, CT_EFFECT_SET_PEERS, 0));
    /* It stops asking: the one that was asked may ask others. */
    t_core_tick(&core, 1000);
    g_assert_null(t_feed_wanted(&core));
    t_core_tick(&core, 1000);
    g_assert_nonnull(t_feed_wanted(&core));
    t_core_free(&core);
}

/* While news come, the store is not read; they renew what is known. */
static void
test_fed(void)
{
    struct t_feed pair;
    ct_ms asked_ms;

    t_feed_init(&pair);
    for (int i = 0; i < 20; i++) {
        t_feed_tick(&pair, 500);
        g_assert_cmpuint(t_core_count(&pair.follower, CT_EFFECT_STORE_READ),
                         ==, 0);
        t_feed_deliver_all(&pair.follower, &pair.source);
        t_feed_confirm(&pair, CT_TOPIC_CONFIG);
        t_feed_confirm(&pair, CT_TOPIC_UPSTREAMS);
        asked_ms = ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG);
        g_assert_cmpint(asked_ms, <=, 500);
    }
    t_feed_free(&pair);
}

/* No news within the bound: the store is asked, without a wait, and in time.
 */
static void
test_silence(void)
{
    struct t_feed pair;
    ct_ms waited_ms = 0;

    t_feed_init(&pair);
    t_feed_confirm(&pair, CT_TOPIC_CONFIG);
    t_feed_confirm(&pair, CT_TOPIC_UPSTREAMS);
    do {
        t_core_tick(&pair.follower, 100);
        waited_ms += 100;
    } while (!reads(&pair.follower, CT_TOPIC_UPSTREAMS));
    g_assert_cmpint(waited_ms, <,
                    pair.follower.state->self.bounds.drain_ms * 3 / 4);
    /* From here on it follows the store like a host without a source. */
    g_assert_cmpint(t_core_effect(&pair.follower, CT_EFFECT_STORE_READ, 0)
                        ->u.store_read.wait_ms,
                    >, 0);
    t_feed_free(&pair);
}

/* A link that is lost: both topics are read at once. */
static void
test_link_lost(void)
{
    struct t_feed pair;

    t_feed_init(&pair);
    t_feed_link(&pair.follower, "h1", false);
    t_core_tick(&pair.follower, 60);
    g_assert_true(reads(&pair.follower, CT_TOPIC_CONFIG));
    g_assert_true(reads(&pair.follower, CT_TOPIC_UPSTREAMS));
    t_feed_free(&pair);
}

/*
 * News that were long on their way, or come from a host whose knowledge is
 * old, are dated by the question that they answer.
 */
static void
test_age(void)
{
    struct t_feed pair;

    t_feed_init(&pair);
    t_feed_tick(&pair, 400);
    t_feed_tick(&pair, 600);
    t_feed_deliver_all(&pair.follower, &pair.source);
    t_core_tick(&pair.source, 300);
    t_relay_read(&pair.source, CT_TOPIC_CONFIG, CT_OK, 0, 100, 0);
    /* The source knew all up to 200 ms after the question. */
    pair.follower.now_ms += 700;
    t_feed_deliver_all(&pair.source, &pair.follower);
    g_assert_cmpint(ct_store_age_ms(pair.follower.state, CT_TOPIC_CONFIG), ==,
                    500);
    t_feed_free(&pair);
}

/* Entries are passed on; a newer configuration is read in the store. */
static void
test_records(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_feed pair;

    t_feed_init(&pair);
    entry.leaving = true;
    source_reads(&pair, &entry);
    t_relay_assert_state(&pair.follower, "desk-0", true, CT_UPSTREAM_LEAVING);
    t_core_tick(&pair.follower, 60);
    g_assert_cmpuint(t_core_count(&pair.follower, CT_EFFECT_STORE_READ), ==,
                     0);
    t_relay_read(&pair.source, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
    t_feed_deliver_all(&pair.source, &pair.follower);
    t_core_tick(&pair.follower, 60);
    g_assert_true(reads(&pair.follower, CT_TOPIC_CONFIG));
    t_feed_free(&pair);
}

/* Records that this host has are not applied again after newer ones. */
static void
test_older_records(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_feed pair;
    int64_t next;

    t_feed_init(&pair);
    next = pair.follower.state->store.topics[CT_TOPIC_UPSTREAMS].next;
    entry.leaving = true;
    entry.offset = next + 1;
    t_relay_upstream(&pair.follower, &entry);
    t_relay_read(&pair.follower, CT_TOPIC_UPSTREAMS, CT_OK, 2, 0, 0);
    entry.leaving = false;
    source_reads(&pair, &entry);
    t_relay_assert_state(&pair.follower, "desk-0", true, CT_UPSTREAM_LEAVING);
    t_feed_free(&pair);
}

/* News are not applied before the older records of a read under way. */
static void
test_read_under_way(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_feed pair;

    t_feed_init(&pair);
    t_feed_confirm(&pair, CT_TOPIC_UPSTREAMS);
    do {
        t_core_tick(&pair.follower, 100);
    } while (!reads(&pair.follower, CT_TOPIC_UPSTREAMS));
    entry.leaving = true;
    source_reads(&pair, &entry);
    t_relay_assert_state(&pair.follower, "desk-0", true, CT_UPSTREAM_RUNNING);
    t_feed_free(&pair);
}

/* A gap in the news is filled from the store. */
static void
test_gap(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_feed pair;

    t_feed_init(&pair);
    t_relay_upstream(&pair.source, &entry);
    t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    source_reads(&pair, &entry);
    t_core_tick(&pair.follower, 60);
    g_assert_true(reads(&pair.follower, CT_TOPIC_UPSTREAMS));
    t_feed_free(&pair);
}

/* So many entries at once that all shall read them themselves. */
static void
test_too_many(void)
{
    struct ct_store_upstream entry;
    struct t_feed pair;

    t_feed_init(&pair);
    for (uint32_t i = 0; i < 200; i++) {
        entry = t_upstream("desk", i);
        t_relay_upstream(&pair.source, &entry);
    }
    t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_OK, 200, 0, 0);
    g_assert_cmpuint(
        t_core_effect(&pair.source, CT_EFFECT_SEND_PEER_MESSAGE, 0)->rows.n,
        ==, 0);
    t_feed_deliver_all(&pair.source, &pair.follower);
    t_core_tick(&pair.follower, 60);
    g_assert_true(reads(&pair.follower, CT_TOPIC_UPSTREAMS));
    t_feed_free(&pair);
}

/*
 * The source had lost the store: entries that lapsed meanwhile are doubtful
 * at its followers too, and gone after the same time.
 */
static void
test_lapsed(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_feed pair;

    t_feed_init(&pair);
    t_relay_read(&pair.source, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    entry.gone = true;
    source_reads(&pair, &entry);
    t_relay_assert_state(&pair.source, "desk-0", true,
                         CT_UPSTREAM_UNCONFIRMED);
    t_relay_assert_state(&pair.follower, "desk-0", true,
                         CT_UPSTREAM_UNCONFIRMED);
    t_feed_tick(&pair, 1900);
    t_relay_assert_state(&pair.follower, "desk-0", true,
                         CT_UPSTREAM_UNCONFIRMED);
    t_feed_tick(&pair, 600);
    t_relay_assert_state(&pair.follower, "desk-0", false, 0);
    t_feed_free(&pair);
}

/* The source asks for the members; followers are told. */
static void
test_members(void)
{
    struct t_feed pair;

    t_feed_init(&pair);
    for (int i = 0; i < 30; i++) {
        t_feed_tick(&pair, 500);
        if (i > 4) {
            g_assert_cmpuint(
                t_core_count(&pair.follower, CT_EFFECT_STORE_READ_MEMBERS), ==,
                0);
        }
        t_feed_deliver_all(&pair.follower, &pair.source);
        t_feed_confirm(&pair, CT_TOPIC_CONFIG);
        t_feed_confirm(&pair, CT_TOPIC_UPSTREAMS);
        if (i % 8 == 0) {
            t_feed_members(&pair.source, 5, T_FEED_HOSTS + 1);
            t_feed_deliver_all(&pair.source, &pair.follower);
            g_assert_cmpuint(ct_group_size(pair.follower.state), ==, 5);
        }
    }
    t_feed_link(&pair.follower, "h1", false);
    for (int i = 0; i < 30; i++) {
        t_core_tick(&pair.follower, 500);
        if (t_core_count(&pair.follower, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            t_feed_free(&pair);
            return;
        }
    }
    g_assert_not_reached();
}

/* A host that others rely on shows them soon that it lives. */
static void
test_source_waits_less(void)
{
    struct t_feed pair;

    t_feed_init(&pair);
    t_feed_confirm(&pair, CT_TOPIC_CONFIG);
    g_assert_cmpint(t_core_effect(&pair.source, CT_EFFECT_STORE_READ, 0)
                        ->u.store_read.wait_ms,
                    <=, ct_replication_stale_ms(pair.source.state) * 2 / 3);
    t_feed_free(&pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replication/choice", test_choice);
    g_test_add_func("/replication/silent-source", test_silent_source);
    g_test_add_func("/replication/no-ring", test_no_ring);
    g_test_add_func("/replication/fed", test_fed);
    g_test_add_func("/replication/silence", test_silence);
    g_test_add_func("/replication/link-lost", test_link_lost);
    g_test_add_func("/replication/age", test_age);
    g_test_add_func("/replication/records", test_records);
    g_test_add_func("/replication/older-records", test_older_records);
    g_test_add_func("/replication/read-under-way", test_read_under_way);
    g_test_add_func("/replication/gap", test_gap);
    g_test_add_func("/replication/too-many", test_too_many);
    g_test_add_func("/replication/lapsed", test_lapsed);
    g_test_add_func("/replication/members", test_members);
    g_test_add_func("/replication/source-waits-less", test_source_waits_less);
    return g_test_run();
}
