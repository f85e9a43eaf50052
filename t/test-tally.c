/*
 * Tests of tally.h: requests are counted by window and appended once under one
 * sequence number.
 */
#include "lib-relay.h"

#define WINDOW_MS 5000

static void
add_requests(struct t_core *core, const char *name, guint n)
{
    struct ct_name organisation = {{0}};

    CT_TEXT_SET(organisation, name);
    core->state->now_ms = core->now_ms;
    while (n-- > 0) {
        ct_tally_add(core->state, &organisation);
    }
}

/*
 * Runs until the next record is appended; fails if there is none within the
 * time.
 */
static const struct ct_effect *
next_record(struct t_core *core, ct_ms timeout_ms)
{
    for (ct_ms i = 0; i < timeout_ms; i += 50) {
        const struct ct_effect *effect;

        t_core_tick(core, 50);
        effect = t_core_effect(core, CT_EFFECT_STORE_APPEND, 0);
        if (effect) {
            return effect;
        }
    }
    g_assert_not_reached();
}

static void
post_append_result(struct t_core *core, uint64_t sequence, int32_t result)
{
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};

    event.u.store_append.topic = CT_TOPIC_TALLIES;
    event.u.store_append.writer = core->state->self.writer;
    event.u.store_append.sequence = sequence;
    event.u.store_append.result = result;
    t_core_post(core, &event);
}

static uint64_t
requests_of(const struct ct_effect *effect, const char *name)
{
    const struct ct_tally_row *rows = effect->rows.data;

    for (uint32_t i = 0; i < effect->rows.n; i++) {
        if (g_str_equal(rows[i].organisation.text, name)) {
            return rows[i].requests;
        }
    }
    return 0;
}

/* Counts are appended in parts, and each window is closed at its end. */
static void
test_windows(void)
{
    const struct ct_effect *effect;
    struct t_core core;
    int64_t window;

    t_relay_init(&core);
    add_requests(&core, "acme", 3);
    add_requests(&core, "zeta", 1);
    add_requests(&core, "acme", 1);
    effect = next_record(&core, WINDOW_MS + 1000);
    window = effect->u.store_append.tally.window;
    g_assert_false(effect->u.store_append.tally.closes);
    g_assert_cmpuint(requests_of(effect, "acme"), ==, 4);
    g_assert_cmpuint(requests_of(effect, "zeta"), ==, 1);
    post_append_result(&core, effect->u.store_append.tally.sequence, CT_OK);
    effect = next_record(&core, WINDOW_MS + 1000);
    g_assert_true(effect->u.store_append.tally.closes);
    g_assert_cmpint(effect->u.store_append.tally.window, ==, window);
    g_assert_cmpint(core.wall_ms, >=, (window + 1) * WINDOW_MS);
    g_assert_cmpuint(effect->rows.n, ==, 0);
    post_append_result(&core, effect->u.store_append.tally.sequence, CT_OK);
    /* Counts that the store has confirmed are freed. */
    g_assert_cmpuint(core.state->tallies.counts->len, ==, 0);
    g_assert_cmpuint(core.state->tallies.records->len, ==, 0);
    effect = next_record(&core, WINDOW_MS + 1000);
    g_assert_cmpint(effect->u.store_append.tally.window, ==, window + 1);
    t_core_free(&core);
}

/*
 * Confirms all appends of two windows. The record with this sequence number
 * must be appended again with the same count; returns the sum of the counts of
 * the other records.
 */
static uint64_t
run_and_check_repeat(struct t_core *core, uint64_t sequence, uint64_t requests)
{
    bool repeated = false;
    uint64_t others = 0;

    for (ct_ms i = 0; i < 2 * WINDOW_MS; i += 50) {
        GArray *sequences = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        const struct ct_effect *effect;

        t_core_tick(core, 50);
        for (uint32_t nth = 0;
             (effect = t_core_effect(core, CT_EFFECT_STORE_APPEND, nth));
             nth++) {
            const struct ct_tally *tally = &effect->u.store_append.tally;

            g_array_append_val(sequences, tally->sequence);
            if (tally->sequence == sequence) {
                g_assert_cmpuint(requests_of(effect, "acme"), ==, requests);
                repeated = true;
            }
            else {
                others += requests_of(effect, "acme");
            }
        }
        for (guint n = 0; n < sequences->len; n++) {
            post_append_result(core, g_array_index(sequences, uint64_t, n),
                               CT_OK);
        }
        g_array_free(sequences, TRUE);
    }
    g_assert_true(repeated);
    return others;
}

/*
 * A record whose append has an unknown result is appended again unchanged, and
 * later requests are counted in other records.
 */
static void
test_repeated_append(void)
{
    const struct ct_effect *effect;
    struct t_core core;
    uint64_t sequence;

    t_relay_init(&core);
    add_requests(&core, "acme", 3);
    effect = next_record(&core, WINDOW_MS + 1000);
    sequence = effect->u.store_append.tally.sequence;
    add_requests(&core, "acme", 5);
    post_append_result(&core, sequence, CT_ERR_TIMEOUT);
    g_assert_cmpuint(run_and_check_repeat(&core, sequence, 3), ==, 5);
    t_core_free(&core);
}

/*
 * Records accumulate while the store refuses appends: only one append at a
 * time is tried, and all are sent once it succeeds.
 */
static void
test_outage(void)
{
    struct t_core core;
    const struct ct_effect *effect;
    guint calls = 0;

    t_relay_init(&core);
    add_requests(&core, "acme", 1);
    for (ct_ms i = 0; i < 4 * WINDOW_MS; i += 50) {
        t_core_tick(&core, 50);
        effect = t_core_effect(&core, CT_EFFECT_STORE_APPEND, 0);
        if (effect) {
            calls++;
            g_assert_null(t_core_effect(&core, CT_EFFECT_STORE_APPEND, 1));
            post_append_result(&core, effect->u.store_append.tally.sequence,
                               CT_ERR_UNAVAILABLE);
        }
    }
    g_assert_cmpuint(core.state->tallies.records->len, >=, 3);
    g_assert_cmpuint(calls, <=, 4 * WINDOW_MS / 1000 + 5);
    effect = next_record(&core, 2000);
    post_append_result(&core, effect->u.store_append.tally.sequence, CT_OK);
    t_core_tick(&core, 300);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_APPEND), >=, 2);
    t_core_free(&core);
}

/*
 * The result of an append applies to the record of its sequence number, in
 * whatever order the results arrive.
 */
static void
test_results_out_of_order(void)
{
    const struct ct_effect *effect;
    struct t_core core;
    uint64_t first;

    t_relay_init(&core);
    add_requests(&core, "acme", 3);
    effect = next_record(&core, WINDOW_MS + 1000);
    first = effect->u.store_append.tally.sequence;
    add_requests(&core, "acme", 5);
    effect = next_record(&core, WINDOW_MS + 1000);
    g_assert_cmpuint(effect->u.store_append.tally.sequence, !=, first);
    post_append_result(&core, effect->u.store_append.tally.sequence, CT_OK);
    g_assert_cmpuint(core.state->tallies.records->len, ==, 1);
    post_append_result(&core, first, CT_ERR_TIMEOUT);
    g_assert_cmpuint(run_and_check_repeat(&core, first, 3), ==, 0);
    t_core_free(&core);
}

/* A jump of the system clock moves no count into another window. */
static void
test_clock_jump(void)
{
    const struct ct_effect *effect;
    struct t_core core;
    int64_t window;

    t_relay_init(&core);
    window = core.wall_ms / WINDOW_MS;
    add_requests(&core, "acme", 1);
    core.wall_ms += 60000;
    add_requests(&core, "acme", 1);
    effect = next_record(&core, WINDOW_MS + 1000);
    g_assert_cmpint(effect->u.store_append.tally.window, ==, window);
    g_assert_cmpuint(requests_of(effect, "acme"), ==, 2);
    t_core_free(&core);
}

/* A host that drains appends its counts before the window ends. */
static void
test_flush(void)
{
    const struct ct_effect *effect;
    struct t_core core;

    t_relay_init(&core);
    add_requests(&core, "acme", 2);
    ct_effects_clear(&core.effects);
    core.state->out = &core.effects;
    g_assert_false(ct_tallies_flush(core.state));
    effect = t_core_effect(&core, CT_EFFECT_STORE_APPEND, 0);
    g_assert_cmpuint(requests_of(effect, "acme"), ==, 2);
    g_assert_true(effect->u.store_append.tally.ends);
    post_append_result(&core, effect->u.store_append.tally.sequence, CT_OK);
    g_assert_true(ct_tallies_flush(core.state));
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/tally/windows", test_windows);
    g_test_add_func("/tally/repeated-append", test_repeated_append);
    g_test_add_func("/tally/outage", test_outage);
    g_test_add_func("/tally/results-out-of-order", test_results_out_of_order);
    g_test_add_func("/tally/clock-jump", test_clock_jump);
    g_test_add_func("/tally/flush", test_flush);
    return g_test_run();
}
