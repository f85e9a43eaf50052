/* Tests of forwarded-tally.h: records of usage that one host writes for
 * others. */
#include <string.h>

#include "lib-replication.h"

#define WINDOW_MS 5000
#define STEP_MS 50

static void
count(struct t_core *core, guint n)
{
    struct ct_name organisation = {{0}};

    CT_TEXT_SET(organisation, "acme");
    core->state->now_ms = core->now_ms;
    while (n-- > 0) {
        ct_tally_add(core->state, &organisation);
    }
}

/* The follower's record among what a host writes; NULL for none. */
static const struct ct_effect *
written(const struct t_core *core)
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

/* Time passes; says whether one of the two writes the follower's record. */
static bool
step(struct t_feed *pair, bool by_source,
     struct ct_store_append_effect *append)
{
    const struct ct_effect *effect;

    t_core_tick(&pair->follower, STEP_MS);
    effect = written(&pair->follower);
    g_assert_true(effect == NULL || !by_source);
    if (effect != NULL) {
        *append = effect->u.store_append;
        return true;
    }
    t_feed_deliver_all(&pair->follower, &pair->source);
    t_feed_confirm(pair, CT_TOPIC_CONFIG);
    t_core_tick(&pair->source, STEP_MS);
    effect = written(&pair->source);
    g_assert_true(effect == NULL || by_source);
    if (effect != NULL) {
        *append = effect->u.store_append;
    }
    return effect != NULL;
}

static struct ct_store_append_effect
next_record(struct t_feed *pair, bool by_source, ct_ms within_ms)
{
    struct ct_store_append_effect append;

    for (ct_ms i = 0; i < within_ms; i += STEP_MS) {
        if (step(pair, by_source, &append)) {
            return append;
        }
    }
    g_assert_not_reached();
}

static void
answer(struct t_core *core, const struct ct_store_append_effect *append,
       int32_t result)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};

    event.u.store_append.topic = CT_TOPIC_TALLIES;
    event.u.store_append.writer = append->tally.writer;
    event.u.store_append.sequence = append->tally.sequence;
    event.u.store_append.result = result;
    t_core_post(core, &event);
}

/* The store has taken what the follower wrote before it had a source. */
static void
init(struct t_feed *pair)
{
    const GArray *records;

    t_feed_init(pair);
    records = pair->follower.state->tallies.records;
    while (records->len > 0) {
        const struct ct_store_append_effect append = {
            .tally = g_array_index(records, struct ct_tally_record, 0).tally};

        answer(&pair->follower, &append, CT_OK);
    }
}

/* Whether the follower still keeps the record. */
static bool
keeps(const struct t_feed *pair, const struct ct_store_append_effect *append)
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

/* The source writes it and says so; the follower has nothing left to do. */
static void
test_written(void)
{
    struct ct_store_append_effect append;
    struct t_feed pair;

    init(&pair);
    count(&pair.follower, 3);
    append = next_record(&pair, true, 2 * WINDOW_MS);
    g_assert_true(keeps(&pair, &append));
    answer(&pair.source, &append, CT_OK);
    t_feed_deliver_all(&pair.source, &pair.follower);
    g_assert_false(keeps(&pair, &append));
    t_feed_free(&pair);
}

/* The store did not take it, or the source is gone: under the same number. */
static void
test_not_written(void)
{
    struct ct_store_append_effect append;
    struct ct_store_append_effect again;
    struct t_feed pair;

    init(&pair);
    count(&pair.follower, 3);
    append = next_record(&pair, true, 2 * WINDOW_MS);
    answer(&pair.source, &append, CT_ERR_UNAVAILABLE);
    t_feed_deliver_all(&pair.source, &pair.follower);
    g_assert_true(keeps(&pair, &append));
    again = next_record(&pair, false, 2000);
    g_assert_cmpuint(again.tally.sequence, ==, append.tally.sequence);
    /* Its own way is closed as well: the source is asked once more. */
    answer(&pair.follower, &again, CT_ERR_UNAVAILABLE);
    again = next_record(&pair, true, 2000);
    g_assert_cmpuint(again.tally.sequence, ==, append.tally.sequence);
    t_feed_free(&pair);
}

/* Handed over twice it is written once. */
static void
test_twice(void)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    struct ct_tally_row row = {.requests = 2};
    struct t_core core;

    t_feed_host(&core, 1);
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

/* A host that stops writes itself: it may not be there for the answer. */
static void
test_stop(void)
{
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    struct ct_store_append_effect append;
    struct t_feed pair;

    init(&pair);
    count(&pair.follower, 3);
    g_assert_false(step(&pair, true, &append));
    t_core_post(&pair.follower, &drain);
    next_record(&pair, false, 2 * WINDOW_MS);
    t_feed_free(&pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/forwarded-tally/written", test_written);
    g_test_add_func("/forwarded-tally/not-written", test_not_written);
    g_test_add_func("/forwarded-tally/twice", test_twice);
    g_test_add_func("/forwarded-tally/stop", test_stop);
    return g_test_run();
}
