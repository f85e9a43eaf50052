/* Tests of quarantine-sync.h: how a host follows the topic of prompt parts. */
#include <string.h>

#include "error.h"
#include "lib-relay.h"

/* A host whose first read of the topic is in progress. */
static void
setup(struct t_core *core)
{
    t_relay_setup(core, 3);
    t_core_tick(core, 2100);
}

/* Returns the read of the topic that the last event started, or NULL. */
static const struct ct_store_read_effect *
find_read(const struct t_core *core)
{
    const struct ct_effect *effect;

    for (guint i = 0;
         (effect = t_core_effect(core, CT_EFFECT_STORE_READ, i)) != NULL;
         i++) {
        if (effect->u.store_read.topic == CT_TOPIC_PROMPT_PARTS) {
            return &effect->u.store_read;
        }
    }
    return NULL;
}

/* Completes the read with the number read_id and lets the next one start. */
static void
complete(struct t_core *core, uint32_t read_id, int32_t result, bool newest,
         int64_t next)
{
    struct ct_event event = {.type = CT_EVENT_STORE_READ_DONE};

    event.u.store_read = (struct ct_store_read_done){
        .topic = CT_TOPIC_PROMPT_PARTS,
        .read_id = read_id,
        .result = result,
        .newest = newest,
        .next = next,
    };
    t_core_post(core, &event);
    t_core_tick(core, 1);
}

static uint32_t
begin_following(struct t_core *core)
{
    const struct ct_store_read_effect *read;

    setup(core);
    read = find_read(core);
    g_assert_true(read->newest);
    complete(core, read->read_id, CT_OK, true, 7);
    read = find_read(core);
    g_assert_false(read->newest);
    g_assert_cmpint(read->from, ==, 7);
    return read->read_id;
}

/*
 * Hosts that start together read the topic at different times: the store
 * answers a limited number of calls, and they need others to serve.
 */
static void
test_first_reads_are_spread(void)
{
    guint at_once = 0;

    for (guint i = 0; i < 100; i++) {
        struct t_core core;

        t_relay_init_seeded(&core, "h1", i + 1);
        for (guint ms = 0; ms < 300 && find_read(&core) == NULL; ms += 10) {
            t_core_tick(&core, 10);
        }
        at_once += find_read(&core) != NULL;
        t_core_free(&core);
    }
    g_assert_cmpuint(at_once, <=, 30);
}

/* All keys first, then a long wait at the end of the topic. */
static void
test_follow(void)
{
    const struct ct_store_read_effect *read;
    struct t_core core;
    uint32_t id = begin_following(&core);

    complete(&core, id, CT_OK, false, 9);
    read = find_read(&core);
    g_assert_cmpint(read->from, ==, 9);
    g_assert_cmpint(read->wait_ms, ==, 28000);
    g_assert_cmpint(read->timeout_ms, >, read->wait_ms);
    t_core_free(&core);
}

/* Reads that fail are repeated ever later; trimmed records mean a new list. */
static void
test_failures(void)
{
    const struct ct_store_read_effect *read;
    struct t_core core;
    uint32_t id = begin_following(&core);

    complete(&core, id, CT_ERR_UNAVAILABLE, false, 7);
    g_assert_null(find_read(&core));
    t_core_tick(&core, 300);
    read = find_read(&core);
    g_assert_nonnull(read);
    complete(&core, read->read_id, CT_ERR_UNAVAILABLE, false, 7);
    t_core_tick(&core, 150);
    g_assert_null(find_read(&core));
    t_core_tick(&core, 500);
    read = find_read(&core);
    g_assert_nonnull(read);
    complete(&core, read->read_id, CT_ERR_LOG_TRUNCATED, false, 30);
    read = find_read(&core);
    g_assert_true(read->newest);
    t_core_free(&core);
}

static void
post_appended(struct t_core *core)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};

    event.u.store_append.topic = CT_TOPIC_PROMPT_PARTS;
    event.u.store_append.result = CT_OK;
    t_core_post(core, &event);
}

/*
 * A waiting read whose connection is dead returns nothing, so a record of this
 * host that does not return shows it; the late response is ignored.
 */
static void
test_lost_read_is_replaced(void)
{
    const struct ct_store_read_effect *read;
    struct t_core core;
    uint32_t id = begin_following(&core);

    post_appended(&core);
    t_core_tick(&core, 400);
    g_assert_null(find_read(&core));
    t_core_tick(&core, 101);
    t_core_tick(&core, 1);
    read = find_read(&core);
    g_assert_nonnull(read);
    g_assert_cmpint(read->from, ==, 7);
    g_assert_cmpuint(read->read_id, !=, id);
    complete(&core, id, CT_OK, false, 50);
    g_assert_null(find_read(&core));
    complete(&core, id + 1, CT_OK, false, 8);
    g_assert_cmpint(find_read(&core)->from, ==, 8);
    t_core_free(&core);
}

/* A read that returned the record is not replaced. */
static void
test_returned_record_keeps_read(void)
{
    struct t_core core;
    uint32_t id = begin_following(&core);

    post_appended(&core);
    complete(&core, id, CT_OK, false, 8);
    t_core_tick(&core, 1000);
    g_assert_null(find_read(&core));
    t_core_free(&core);
}

/* After an outage of the store the waiting read may be lost. */
static void
test_replaced_when_store_is_back(void)
{
    struct t_core core;

    begin_following(&core);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_TIMEOUT, 0, 0, 0);
    t_core_tick(&core, 1000);
    g_assert_null(find_read(&core));
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    t_core_tick(&core, 500);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 0, 0);
    t_core_tick(&core, 1);
    g_assert_nonnull(find_read(&core));
    /* The read was sent after the outage: the other topic changes nothing. */
    t_core_tick(&core, 100);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
    t_core_tick(&core, 1);
    g_assert_null(find_read(&core));
    t_core_free(&core);
}

/* A read that failed in an outage is repeated at its end, not a delay later.
 */
static void
test_repeated_when_store_is_back(void)
{
    struct t_core core;
    uint32_t id = begin_following(&core);

    for (int i = 0; i < 6; i++) {
        complete(&core, id, CT_ERR_UNAVAILABLE, false, 7);
        while (find_read(&core) == NULL) {
            t_core_tick(&core, 10);
        }
        id = find_read(&core)->read_id;
    }
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_UNAVAILABLE, 0, 0, 0);
    complete(&core, id, CT_ERR_UNAVAILABLE, false, 7);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 0, 0);
    t_core_tick(&core, 500);
    g_assert_nonnull(find_read(&core));
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quarantine-sync/first-reads-are-spread",
                    test_first_reads_are_spread);
    g_test_add_func("/quarantine-sync/follow", test_follow);
    g_test_add_func("/quarantine-sync/failures", test_failures);
    g_test_add_func("/quarantine-sync/lost-read-is-replaced",
                    test_lost_read_is_replaced);
    g_test_add_func("/quarantine-sync/returned-record-keeps-read",
                    test_returned_record_keeps_read);
    g_test_add_func("/quarantine-sync/replaced-when-store-is-back",
                    test_replaced_when_store_is_back);
    g_test_add_func("/quarantine-sync/repeated-when-store-is-back",
                    test_repeated_when_store_is_back);
    return g_test_run();
}
