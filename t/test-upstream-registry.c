/*
 * Tests of upstream-registry.h: running, leaving, unconfirmed and removed
 * upstreams.
 */
#include "lib-relay.h"

static void
remove_entry(struct t_core *core, const char *pool, uint32_t i)
{
    struct ct_store_upstream entry = t_upstream(pool, i);

    entry.removed = true;
    t_relay_post_upstream(core, &entry);
}

/*
 * An upstream that was added by a later record and is absent when the newest
 * records are read again is removed like any other.
 */
static void
test_missing_in_newest(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 5);
    struct ct_store_upstream remaining = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    t_relay_post_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-5", true, CT_UPSTREAM_RUNNING);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_LOG_TRUNCATED, 0, 0, 0);
    t_relay_post_upstream(&core, &remaining);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
    t_relay_assert_state(&core, "desk-5", false, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_RUNNING);
    t_core_free(&core);
}

/* An entry that is written again unchanged is not logged as a change. */
static void
test_unchanged(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    t_relay_post_upstream(&core, &entry);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_LOG_EVENT), ==, 0);
    entry.leaving = true;
    t_relay_post_upstream(&core, &entry);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_LOG_EVENT), ==, 1);
    t_core_free(&core);
}

/*
 * An entry that differs only in its remaining cold time is not logged; one
 * that says less than before may be older and does not shorten the time.
 */
static void
test_cold(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    const struct ct_upstream_entry *kept;
    struct t_core core;
    uint64_t revision;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    revision = core.state->upstream_registry.revision;
    entry.cold_left_ms = 5000;
    t_relay_post_upstream(&core, &entry);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_LOG_EVENT), ==, 0);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    g_assert_cmpuint(core.state->upstream_registry.revision, >, revision);
    entry.cold_left_ms = 2000;
    t_relay_post_upstream(&core, &entry);
    kept = ct_upstream_registry_entry(core.state, &entry.upstream.name);
    g_assert_cmpint(kept->cold_until_ms, ==, core.now_ms + 5000);
    entry.leaving = true;
    t_relay_post_upstream(&core, &entry);
    g_assert_cmpint(kept->cold_until_ms, ==, core.now_ms + 5000);
    /* Another process does not take over the cold time of the one before. */
    entry.started_ms++;
    entry.cold_left_ms = 0;
    t_relay_post_upstream(&core, &entry);
    kept = ct_upstream_registry_entry(core.state, &entry.upstream.name);
    g_assert_cmpint(kept->cold_until_ms, ==, 0);
    t_core_free(&core);
}

/*
 * While the store works, the upstream of a removed entry is removed at once.
 */
static void
test_removed(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    remove_entry(&core, "desk", 0);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-0", false, 0);
    t_relay_assert_state(&core, "desk-1", true, CT_UPSTREAM_RUNNING);
    t_core_free(&core);
}

/*
 * After a store outage entries may have expired and be written again: until
 * then their upstreams are unconfirmed and get calls only if no other upstream
 * can take them.
 */
static void
test_unconfirmed(void)
{
    struct ct_store_upstream rewritten = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    core.now_ms += 5000;
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    remove_entry(&core, "desk", 0);
    remove_entry(&core, "desk", 1);
    remove_entry(&core, "engines", 0);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 3, 0, 0);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 0, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_UNCONFIRMED);
    t_relay_assert_state(&core, "engines-0", true, CT_UPSTREAM_UNCONFIRMED);
    /* Both upstreams of this pool are unconfirmed, so one of them is used. */
    t_relay_call(&core, 1, T_ANY_PATH);
    t_relay_started(&core);
    /* One upstream of the other pool is confirmed. */
    for (guint i = 0; i < 8; i++) {
        t_relay_call(&core, 1, T_STREAM_PATH);
        g_assert_cmpstr(t_relay_started(&core).upstream.text, ==, "engines-1");
    }
    t_relay_post_upstream(&core, &rewritten);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_RUNNING);
    /*
     * The time until unconfirmed upstreams are removed passes without further
     * entries.
     */
    for (guint i = 0; i < 21; i++) {
        t_core_tick(&core, 100);
    }
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_RUNNING);
    t_relay_assert_state(&core, "desk-1", false, 0);
    t_relay_assert_state(&core, "engines-0", false, 0);
    t_core_free(&core);
}

/* A leaving upstream gets no new calls. */
static void
test_leaving(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    entry.leaving = true;
    t_relay_post_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    for (guint i = 0; i < 8; i++) {
        t_relay_call(&core, 1, T_ANY_PATH);
        g_assert_cmpstr(t_relay_started(&core).upstream.text, ==, "desk-1");
    }
    t_core_free(&core);
}

/*
 * A report that the store carried out after a newer one must not make a
 * leaving upstream take calls again; a newer report may, and so may the first
 * one of another process.
 */
static void
test_outdated(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    entry.sequence = 5;
    entry.leaving = true;
    t_relay_post_upstream(&core, &entry);
    for (int64_t sequence = 4; sequence <= 6; sequence += 2) {
        entry.sequence = sequence;
        entry.leaving = false;
        t_relay_post_upstream(&core, &entry);
        t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
        t_relay_assert_state(&core, "desk-0", true,
                             sequence < 5 ? CT_UPSTREAM_LEAVING
                                          : CT_UPSTREAM_RUNNING);
    }
    entry.sequence = 1;
    entry.started_ms++;
    entry.leaving = true;
    t_relay_post_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-0", true, CT_UPSTREAM_LEAVING);
    t_core_free(&core);
}

/*
 * An entry with the same name but another start time is a different upstream.
 */
static void
test_restarted(void)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);
    struct ct_handle old_handle;
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    old_handle = ct_config_upstream(&core.state->config, &entry.upstream.name);
    entry.started_ms = 2;
    CT_TEXT_SET(entry.upstream.address, "10.1.0.99:80");
    t_relay_post_upstream(&core, &entry);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    g_assert_false(
        ct_handle_eq(old_handle, ct_config_upstream(&core.state->config,
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
    g_test_add_func("/upstream-registry/cold", test_cold);
    g_test_add_func("/upstream-registry/removed", test_removed);
    g_test_add_func("/upstream-registry/unconfirmed", test_unconfirmed);
    g_test_add_func("/upstream-registry/leaving", test_leaving);
    g_test_add_func("/upstream-registry/outdated", test_outdated);
    g_test_add_func("/upstream-registry/restarted", test_restarted);
    return g_test_run();
}
