/*
 * Tests of forwarded-tally.h: usage tallies that a source appends for its
 * followers, exactly once.
 */
#include <string.h>

#include "lib-replication.h"

#define WINDOW_MS 5000
#define STEP_MS 50

static void
count_requests(struct t_core *core, guint n)
{
    struct ct_name organisation = {{0}};

    CT_TEXT_SET(organisation, "acme");
    core->state->now_ms = core->now_ms;
    while (n-- > 0) {
        ct_tally_add(core->state, &organisation);
    }
}

/* Returns the effect that appends the follower's tally, or NULL. */
static const struct ct_effect *
find_tally_append(const struct t_core *core)
{
    for (uint32_t i = 0;; i++) {
        const struct ct_effect *effect =
            t_core_effect(core, CT_EFFECT_STORE_APPEND, i);

        if (effect == NULL ||
            strcmp(effect->u.store_append.tally.writer.text, "h2-1") == 0) {
            return effect;
        }
    }
}

/*
 * Advances both hosts by STEP_MS. Returns true if one of them appends the
 * follower's tally, and fails the test if it is not the expected host.
 */
static bool
step_pair(struct t_replication_pair *pair, bool expect_source,
          struct ct_store_append_effect *append)
{
    const struct ct_effect *effect;

    t_core_tick(&pair->follower, STEP_MS);
    effect = find_tally_append(&pair->follower);
    g_assert_true(effect == NULL || !expect_source);
    if (effect != NULL) {
        *append = effect->u.store_append;
        return true;
    }
    t_replication_deliver_all(&pair->follower, &pair->source);
    t_replication_confirm(pair, CT_TOPIC_CONFIG);
    t_core_tick(&pair->source, STEP_MS);
    effect = find_tally_append(&pair->source);
    g_assert_true(effect == NULL || expect_source);
    if (effect != NULL) {
        *append = effect->u.store_append;
    }
    return effect != NULL;
}

static struct ct_store_append_effect
next_tally_append(struct t_replication_pair *pair, bool expect_source,
                  ct_ms limit_ms)
{
    struct ct_store_append_effect append;

    for (ct_ms i = 0; i < limit_ms; i += STEP_MS) {
        if (step_pair(pair, expect_source, &append)) {
            return append;
        }
    }
    g_assert_not_reached();
}

static void
post_append_done(struct t_core *core,
                 const struct ct_store_append_effect *append, int32_t result)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};

    event.u.store_append.topic = CT_TOPIC_TALLIES;
    event.u.store_append.writer = append->tally.writer;
    event.u.store_append.sequence = append->tally.sequence;
    event.u.store_append.result = result;
    t_core_post(core, &event);
}

/* The store confirms the tallies that the follower had before its source. */
static void
init_pair(struct t_replication_pair *pair)
{
    const GArray *records;

    t_replication_init(pair);
    records = pair->follower.state->tallies.records;
    while (records->len > 0) {
        const struct ct_store_append_effect append = {
            .tally = g_array_index(records, struct ct_tally_record, 0).tally};

        post_append_done(&pair->follower, &append, CT_OK);
    }
}

/* Whether the follower still retains the tally for a repeat. */
static bool
follower_retains(const struct t_replication_pair *pair,
                 const struct ct_store_append_effect *append)
{
    const GArray *records = pair->follower.state->tallies.records;

    for (guint i = 0; i < records->len; i++) {
        if (g_array_index(records, struct ct_tally_record, i).tally.sequence ==
            append->tally.sequence) {
            return true;
        }
    }
    return false;
}

/* The follower drops a tally once the source confirms its append. */
static void
test_appended(void)
{
    struct ct_store_append_effect append;
    struct t_replication_pair pair;

    init_pair(&pair);
    count_requests(&pair.follower, 3);
    append = next_tally_append(&pair, true, 2 * WINDOW_MS);
    g_assert_true(follower_retains(&pair, &append));
    post_append_done(&pair.source, &append, CT_OK);
    t_replication_deliver_all(&pair.source, &pair.follower);
    g_assert_false(follower_retains(&pair, &append));
    t_replication_free(&pair);
}

/*
 * A tally that the source could not append, or that was lost with the source,
 * is appended by the follower under the same sequence number.
 */
static void
test_append_failed(void)
{
    struct ct_store_append_effect append;
    struct ct_store_append_effect repeat;
    struct t_replication_pair pair;

    init_pair(&pair);
    count_requests(&pair.follower, 3);
    append = next_tally_append(&pair, true, 2 * WINDOW_MS);
    post_append_done(&pair.source, &append, CT_ERR_UNAVAILABLE);
    t_replication_deliver_all(&pair.source, &pair.follower);
    g_assert_true(follower_retains(&pair, &append));
    repeat = next_tally_append(&pair, false, 2000);
    g_assert_cmpuint(repeat.tally.sequence, ==, append.tally.sequence);
    /* If that append fails too, the tally is forwarded to the source again. */
    post_append_done(&pair.follower, &repeat, CT_ERR_UNAVAILABLE);
    repeat = next_tally_append(&pair, true, 2000);
    g_assert_cmpuint(repeat.tally.sequence, ==, append.tally.sequence);
    t_replication_free(&pair);
}

/* A tally that is forwarded repeatedly is appended once. */
static void
test_duplicate(void)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct ct_tally_row row = {.requests = 2};
    struct t_core core;

    t_replication_host(&core, 1);
    event.u.peer.message.type = CT_PEER_TALLY;
    CT_TEXT_SET(event.u.peer.message.sender, "h2");
    CT_TEXT_SET(event.u.peer.message.u.tally.writer, "h2-1");
    event.u.peer.message.u.tally.sequence = 7;
    CT_TEXT_SET(row.organisation, "acme");
    event.u.peer.message.rows = CT_ROWS(&row, 1);
    t_core_post(&core, &event);
    t_core_post(&core, &event);
    t_core_tick(&core, 100);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_APPEND), ==, 1);
    t_core_post(&core, &event);
    t_core_tick(&core, 100);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_APPEND), ==, 0);
    t_core_free(&core);
}

/*
 * A draining host appends its tallies itself, because it may have exited
 * before a source confirms them.
 */
static void
test_drain(void)
{
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    struct ct_store_append_effect append;
    struct t_replication_pair pair;

    init_pair(&pair);
    count_requests(&pair.follower, 3);
    g_assert_false(step_pair(&pair, true, &append));
    t_core_post(&pair.follower, &drain);
    next_tally_append(&pair, false, 2 * WINDOW_MS);
    t_replication_free(&pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forwarded-tally/appended", test_appended);
    g_test_add_func("/forwarded-tally/append-failed", test_append_failed);
    g_test_add_func("/forwarded-tally/duplicate", test_duplicate);
    g_test_add_func("/forwarded-tally/drain", test_drain);
    return g_test_run();
}
