/*
 * Tests of replication.h: configurations that a source sends to its followers.
 */
#include <string.h>

#include "lib-replication.h"

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
    g_assert_false(t_replication_is_reading(&pair.follower, CT_TOPIC_CONFIG));
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
            } while (
                !t_replication_is_reading(&pair.follower, CT_TOPIC_CONFIG));
            break;
        }
        read_config_at_source(&pair, 6);
        g_assert_true(has_version(&pair.source, 6));
        g_assert_false(has_version(&pair.follower, 6));
        t_core_tick(&pair.follower, 60);
        g_assert_true(c == READING || t_replication_is_reading(
                                          &pair.follower, CT_TOPIC_CONFIG));
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replication-config/sent", test_config);
    g_test_add_func("/replication-config/incomplete", test_config_incomplete);
    g_test_add_func("/replication-config/not-sent", test_config_not_sent);
    return g_test_run();
}
