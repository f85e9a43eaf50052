/* Tests of upstream-registry.h: which upstreams are there, leave, or are
 * missing. */
#include "lib-relay.h"

static void
drop(struct t_core *core, const char *pool, uint32_t i)
{
    struct ct_store_upstream entry = t_upstream(pool, i);

    entry.gone = true;
    t_relay_upstream(core, &entry);
}

/*
 * The newest records lack an upstream that came with a record after the
 * first ones were read: it is missing like any other.
 */
static void
test_missing_in_newest(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 5);
    struct ct_store_upstream stays = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    t_relay_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-5", true, CT_UPSTREAM_RUNNING);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_LOG_TRUNCATED, 0, 0, 0);
    t_relay_upstream(&core, &stays);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
    t_relay_assert_state(&core, "desk-5", false, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_RUNNING);
    t_core_free(&core);
}

/* An entry that is written again as it was is no news. */
static void
test_unchanged(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    t_relay_upstream(&core, &entry);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_LOG_EVENT), ==, 0);
    entry.leaving = true;
    t_relay_upstream(&core, &entry);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_LOG_EVENT), ==, 1);
    t_core_free(&core);
}

/* With the store in order, an entry that is dropped is gone at once. */
static void
test_gone(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    drop(&core, "desk", 0);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-0", false, 0);
    t_relay_assert_state(&core, "desk-1", true, CT_UPSTREAM_RUNNING);
    t_core_free(&core);
}

/*
 * After an outage entries may have lapsed and come back: until then their
 * upstreams take work only where no other can.
 */
static void
test_doubtful(void)
{
    struct ct_store_upstream back = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    core.now_ms += 5000;
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    drop(&core, "desk", 0);
    drop(&core, "desk", 1);
    drop(&core, "engines", 0);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 3, 0, 0);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 0, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_UNCONFIRMED);
    t_relay_assert_state(&core, "engines-0", true, CT_UPSTREAM_UNCONFIRMED);
    /* Both of this pool are doubtful: better than none. */
    t_relay_call(&core, 1, T_ANY_PATH);
    t_relay_started(&core);
    /* One of the other is sure. */
    for (guint i = 0; i < 8; i++) {
        t_relay_call(&core, 1, T_STREAM_PATH);
        g_assert_cmpstr(t_relay_started(&core).upstream.text, ==, "engines-1");
    }
    t_relay_upstream(&core, &back);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_RUNNING);
    /* Looked at again and again, without another word of the store. */
    for (guint i = 0; i < 21; i++) {
        t_core_tick(&core, 100);
    }
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_RUNNING);
    t_relay_assert_state(&core, "desk-1", false, 0);
    t_relay_assert_state(&core, "engines-0", false, 0);
    t_core_free(&core);
}

/* A leaving upstream gets nothing new. */
static void
test_leaving(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    entry.leaving = true;
    t_relay_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    for (guint i = 0; i < 8; i++) {
        t_relay_call(&core, 1, T_ANY_PATH);
        g_assert_cmpstr(t_relay_started(&core).upstream.text, ==, "desk-1");
    }
    t_core_free(&core);
}

/* The same id with another start is another upstream. */
static void
test_born_again(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct ct_handle before;
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    before = ct_config_upstream(&core.state->config, &entry.upstream.name);
    entry.born_ms = 2;
    CT_TEXT_SET(entry.upstream.address, "10.1.0.99:80");
    t_relay_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    g_assert_false(
        ct_handle_eq(before, ct_config_upstream(&core.state->config,
                                                &entry.upstream.name)));
    t_relay_call(&core, 1, T_ANY_PATH);
    g_assert_cmpstr(t_relay_started(&core).address.text, ==, "10.1.0.99:80");
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream-registry/missing-in-newest",
                    test_missing_in_newest);
    g_test_add_func("/upstream-registry/unchanged", test_unchanged);
    g_test_add_func("/upstream-registry/gone", test_gone);
    g_test_add_func("/upstream-registry/doubtful", test_doubtful);
    g_test_add_func("/upstream-registry/leaving", test_leaving);
    g_test_add_func("/upstream-registry/born-again", test_born_again);
    return g_test_run();
}
