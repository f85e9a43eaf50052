/*
 * Runs the relay daemon as a process between a fake store and fake upstreams
 * that use the wire format of the users' platform. Checks that calls follow
 * the entries of the store, and what the upstreams say of themselves.
 */
#include "lib-relay-process.h"

#define AWAIT_TIMEOUT_MS RELAY_PROCESS_TIMEOUT_MS
#define KEY_HEADER RELAY_PROCESS_KEY

static struct relay_process f;

/* A key is removed from the configuration and added again at run time. */
static void
test_key_withdrawn(void)
{
    relay_process_put_config(&f, "\"k1\"");
    RELAY_PROCESS_AWAIT_STATUS(&f, 401, "/any/x", "Key: k2");
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", KEY_HEADER), ==, 200);
    relay_process_put_config(&f, "\"k1\",\"k2\"");
    RELAY_PROCESS_AWAIT_STATUS(&f, 200, "/any/x", "Key: k2");
}

/* Entries that cannot be parsed do not affect the other entries. */
static void
test_unreadable_entries(void)
{
    static const char unknown_state[] =
        "{\"service\":\"app\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z\","
        "\"slots\":1,\"state\":\"odd\"}";
    static const char large_slots[] =
        "{\"service\":\"app\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z\","
        "\"slots\":1e999,\"born\":99999999999999999999,\"state\":\"ready\"}";
    static const char bad_port[] =
        "{\"service\":\"app\",\"addr\":\"127.0.0.1:99999\",\"zone\":\"z\","
        "\"slots\":1,\"state\":\"ready\"}";
    g_autofree char *deep = g_strnfill(20000, '[');
    const char *const unreadable[] = {
        "{",           "[]",     "{\"service\":7}", "\xff\xfe\xfd",
        unknown_state, bad_port, large_slots,       deep};

    for (size_t i = 0; i < G_N_ELEMENTS(unreadable); i++) {
        char key[16];

        g_snprintf(key, sizeof(key), "odd-%zu", i);
        platform_put(f.store.port, PLATFORM_TOPIC_UPSTREAMS, key,
                     unreadable[i]);
    }
    platform_put(f.store.port, PLATFORM_TOPIC_CONFIG, "config",
                 "{\"version\":");
    for (int i = 0; i < 8; i++) {
        g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", KEY_HEADER), ==,
                        200);
    }
}

/* Makes calls; returns whether none of them ran at the first upstream. */
static bool
is_first_runner_idle(int calls)
{
    int before = HTTP_COUNT_SEEN(f.runners[0].port, "\"ran\"");

    for (int i = 0; i < calls; i++) {
        g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", KEY_HEADER), ==,
                        200);
    }
    return HTTP_COUNT_SEEN(f.runners[0].port, "\"ran\"") == before;
}

/* A draining upstream gets no new calls until it is ready again. */
static void
test_draining_upstream(void)
{
    relay_process_put_runner(&f, 0, "draining");
    AWAIT(is_first_runner_idle(6), AWAIT_TIMEOUT_MS);
    g_assert_true(is_first_runner_idle(20));
    relay_process_put_runner(&f, 0, "ready");
    AWAIT(!is_first_runner_idle(6), AWAIT_TIMEOUT_MS);
}

/*
 * An upstream says that it leaves, beside a store that says nothing, in a
 * plain response, a stream or a refusal: once the response was forwarded, or
 * another upstream was tried, it gets no more calls. Another process under its
 * name does.
 */
static void
test_leaving_beside_silent_store(void)
{
    static const struct {
        const char *path, *set;
    } cases[] = {
        {"/any/x", "{\"leaving\":1}"},
        {"/s/str/x", "{\"leaving\":1}"},
        {"/any/x", "{\"leaving\":1,\"decline\":1}"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int before;

        AWAIT(!is_first_runner_idle(6), AWAIT_TIMEOUT_MS);
        http_set(f.store.port, "/fake/set", "{\"down\":1}");
        http_set(f.runners[0].port, "/fake/set", cases[i].set);
        for (int j = 0; j < 8; j++) {
            g_assert_cmpint(
                RELAY_PROCESS_STATUS(&f, cases[i].path, KEY_HEADER), ==, 200);
        }
        before = HTTP_COUNT_SEEN(f.runners[0].port, "\"ran\"");
        http_set(f.runners[0].port, "/fake/set", "{\"decline\":0}");
        g_assert_true(is_first_runner_idle(20));
        g_assert_cmpint(HTTP_COUNT_SEEN(f.runners[0].port, "\"ran\""), ==,
                        before);
        http_set(f.runners[0].port, "/fake/set", "{\"leaving\":0}");
        http_set(f.store.port, "/fake/set", "{\"down\":0}");
        platform_put_restarted(f.store.port, 0, f.runners[0].port,
                               100 + (int)i);
    }
    AWAIT(!is_first_runner_idle(6), AWAIT_TIMEOUT_MS);
}

/* An upstream that refuses and wants nothing for a while gets no calls then.
 */
static void
test_pause_after_refusal(void)
{
    int before;

    AWAIT(!is_first_runner_idle(6), AWAIT_TIMEOUT_MS);
    http_set(f.runners[0].port, "/fake/set",
             "{\"decline\":1,\"pause_ms\":4000}");
    for (int i = 0; i < 8; i++) {
        g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", KEY_HEADER), ==,
                        200);
    }
    http_set(f.runners[0].port, "/fake/set", "{\"decline\":0,\"pause_ms\":0}");
    before = HTTP_COUNT_SEEN(f.runners[0].port, "\"ran\"");
    /* Longer than a declining upstream is avoided anyway. */
    for (gint64 until = g_get_monotonic_time() + 2 * G_USEC_PER_SEC;
         g_get_monotonic_time() < until;) {
        g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", KEY_HEADER), ==,
                        200);
    }
    g_assert_cmpint(HTTP_COUNT_SEEN(f.runners[0].port, "\"ran\""), ==, before);
    AWAIT(!is_first_runner_idle(6), AWAIT_TIMEOUT_MS);
}

/* The only host is the leader and reports the usage windows. */
static void
test_usage_report(void)
{
    AWAIT(HTTP_COUNT_SEEN(f.store.port, "/usage", "acme") > 0,
          AWAIT_TIMEOUT_MS);
}

/*
 * Without the store, keys are accepted only until the configured limit
 * (revoke_ms) has passed; routes without a key stay open.
 */
static void
test_store_outage(void)
{
    http_set(f.store.port, "/fake/set", "{\"down\":1}");
    RELAY_PROCESS_AWAIT_STATUS(&f, 503, "/any/x", KEY_HEADER);
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/any/x", "Key: nobody"), ==,
                    503);
    g_assert_cmpint(RELAY_PROCESS_STATUS(&f, "/open/x", KEY_HEADER), ==, 200);
    g_assert_false(relay_process_is_ready(&f));
    http_set(f.store.port, "/fake/set", "{\"down\":0}");
    RELAY_PROCESS_AWAIT_STATUS(&f, 200, "/any/x", KEY_HEADER);
    AWAIT(relay_process_is_ready(&f), AWAIT_TIMEOUT_MS);
}

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    g_test_add_func("/relay/key-withdrawn", test_key_withdrawn);
    g_test_add_func("/relay/unreadable-entries", test_unreadable_entries);
    g_test_add_func("/relay/draining-upstream", test_draining_upstream);
    g_test_add_func("/relay/leaving-beside-silent-store",
                    test_leaving_beside_silent_store);
    g_test_add_func("/relay/pause-after-refusal", test_pause_after_refusal);
    g_test_add_func("/relay/usage-report", test_usage_report);
    g_test_add_func("/relay/store-outage", test_store_outage);
    rc = g_test_run();
    process_kill(&f.host);
    relay_process_stop(&f);
    return rc;
}
