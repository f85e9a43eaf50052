/* Tests of upstream-speed.h: the speed of upstreams by their streams. */
#include "candidates.h"
#include "lib-relay.h"
#include "upstream-speed.h"

#define UPSTREAMS 5
/* Streams are forgotten after this time at the latest. */
#define FORGOTTEN_MS 40000
#define EVENTS 20

static struct ct_handle
upstream_at(const struct t_core *core, uint32_t i)
{
    struct ct_store_upstream entry = t_upstream("engines", i);

    return ct_config_upstream(&core->state->config, &entry.upstream.name);
}

static void
setup(struct t_core *core, uint32_t n)
{
    t_relay_init_sharing(core, "h1", 1);
    t_relay_configure(core, 5, n);
}

/* The upstream sends a stream of EVENTS events with this mean gap. */
static void
add_stream(struct t_core *core, uint32_t i, ct_ms gap_ms)
{
    struct ct_stream_timing timing = {0};

    for (ct_ms k = 0; k < EVENTS; k++) {
        ct_stream_timing_add(&timing, 1, 1000 + k * gap_ms);
    }
    ct_upstream_speed_on_stream(core->state, upstream_at(core, i), &timing);
}

/* Asserts the speed after a new comparison. */
static void
assert_compared(struct t_core *core, uint32_t i, uint32_t percent)
{
    core->state->upstream_speeds.compared_ms = 0;
    ct_upstream_speed_compare(core->state);
    g_assert_cmpuint(
        ct_upstream_speed_percent(core->state, upstream_at(core, i)), ==,
        percent);
}

static void
assert_speed(struct t_core *core, uint32_t i, uint32_t percent)
{
    t_core_tick(core, 1000);
    assert_compared(core, i, percent);
}

/*
 * The shortest mean gap decides, so that neither load nor a short slowdown
 * makes an upstream slow; what was measured is forgotten after a while.
 */
static void
test_speeds(void)
{
    struct t_core core;

    setup(&core, UPSTREAMS);
    for (uint32_t i = 0; i < UPSTREAMS - 1; i++) {
        add_stream(&core, i, i == 0 ? 80 : 40);
    }
    assert_speed(&core, 0, 50);
    assert_speed(&core, 1, 100);
    assert_speed(&core, UPSTREAMS - 1, CT_SPEED_UNKNOWN_PERCENT);
    add_stream(&core, 1, 200);
    assert_speed(&core, 1, 100);
    add_stream(&core, 0, 50);
    assert_speed(&core, 0, 80);
    add_stream(&core, 0, 1000);
    add_stream(&core, UPSTREAMS - 1, 30);
    assert_speed(&core, UPSTREAMS - 1, 133);
    t_core_tick(&core, FORGOTTEN_MS);
    assert_speed(&core, 0, 100);
    for (uint32_t i = 0; i < UPSTREAMS - 1; i++) {
        add_stream(&core, i, i == 0 ? 1000 : 40);
    }
    add_stream(&core, UPSTREAMS - 1, 1000 / EVENTS + 1);
    assert_speed(&core, 0, 25);
    t_core_free(&core);
}

/* Two upstreams have no median: each would be slow or fast by the other. */
static void
test_few_measured(void)
{
    struct t_core core;

    setup(&core, UPSTREAMS);
    add_stream(&core, 0, 100);
    add_stream(&core, 1, 40);
    assert_speed(&core, 0, CT_SPEED_UNKNOWN_PERCENT);
    add_stream(&core, 2, 40);
    assert_speed(&core, 0, 40);
    t_core_free(&core);
}

/* Choices get the speeds as of the last second, and those of no measurement.
 */
static void
test_candidates(void)
{
    struct ct_candidate_filter filter = {.state = CT_UPSTREAM_RUNNING};
    struct ct_candidate candidates[UPSTREAMS];
    struct ct_name pool = {"engines"};
    struct t_core core;

    setup(&core, UPSTREAMS);
    filter.pool = ct_config_pool(&core.state->config, &pool);
    for (uint32_t i = 0; i < UPSTREAMS - 1; i++) {
        add_stream(&core, i, i == 0 ? 80 : 40);
    }
    t_core_tick(&core, 1000);
    t_relay_call(&core, 1, T_STREAM_PATH);
    add_stream(&core, 1, 30);
    t_relay_call(&core, 1, T_STREAM_PATH);
    g_assert_cmpuint(
        ct_candidates_list(core.state, &filter, candidates, UPSTREAMS), ==,
        UPSTREAMS);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        bool slow =
            ct_handle_eq(candidates[i].upstream, upstream_at(&core, 0));

        g_assert_cmpuint(candidates[i].speed_percent, ==, slow ? 50 : 100);
    }
    t_core_free(&core);
}

/* Another process under the same name is not taken for the slow one. */
static void
test_restart(void)
{
    struct ct_store_upstream entry = t_upstream("engines", 0);
    struct t_core core;

    setup(&core, UPSTREAMS);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        add_stream(&core, i, i == 0 ? 100 : 40);
        ct_upstream_speed_set_others(core.state, upstream_at(&core, i),
                                     i == 0 ? 90000 : 40000);
    }
    assert_compared(&core, 0, 44);
    entry.removed = true;
    t_relay_post_upstream(&core, &entry);
    t_relay_confirm(&core);
    entry = t_upstream("engines", 0);
    entry.started_ms = 2;
    t_relay_post_upstream(&core, &entry);
    t_relay_confirm(&core);
    assert_compared(&core, 0, CT_SPEED_UNKNOWN_PERCENT);
    t_core_free(&core);
}

/* What other hosts measured counts like own measurements. */
static void
test_others(void)
{
    struct t_core core;

    setup(&core, UPSTREAMS);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        ct_upstream_speed_set_others(core.state, upstream_at(&core, i),
                                     i == 0 ? 80000 : 40000);
    }
    assert_compared(&core, 0, 50);
    g_assert_cmpuint(
        ct_upstream_speed_gap_us(core.state, upstream_at(&core, 0)), ==, 0);
    add_stream(&core, 0, 50);
    assert_compared(&core, 0, 80);
    ct_upstream_speed_set_others(core.state, upstream_at(&core, 0), 0);
    assert_compared(&core, 0, 80);
    t_core_free(&core);
}

/* Relays a stream; returns the mean gap that was measured. */
static uint32_t
relay_stream(bool shares, uint32_t events, ct_ms gap_ms, ct_ms first_late_ms)
{
    struct t_core core;
    struct ct_relay_start start;
    uint32_t gap_us;

    if (shares) {
        t_relay_init_sharing(&core, "h1", 1);
    }
    else {
        t_relay_init(&core);
    }
    t_relay_configure(&core, 5, UPSTREAMS);
    t_relay_call(&core, 1, T_STREAM_PATH);
    start = t_relay_started(&core);
    for (uint32_t i = 1; i <= events; i++) {
        t_relay_data(&core, start.attempt, i);
        t_core_tick(&core, i == 1 ? gap_ms - first_late_ms : gap_ms);
    }
    t_relay_finish(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    gap_us = ct_upstream_speed_gap_us(
        core.state, ct_config_upstream(&core.state->config, &start.upstream));
    t_core_free(&core);
    return gap_us;
}

/*
 * Streams that are too short are not measured: a first event that is read late
 * would make their upstream fast. Without the setting none is.
 */
static void
test_streams(void)
{
    g_assert_cmpuint(relay_stream(true, EVENTS, 100, 0), ==, 100000);
    g_assert_cmpuint(relay_stream(true, EVENTS, 100, 95), ==, 95000);
    g_assert_cmpuint(relay_stream(true, EVENTS, 1, 0), ==, 0);
    g_assert_cmpuint(relay_stream(true, 4, 500, 0), ==, 0);
    g_assert_cmpuint(relay_stream(true, 5, 500, 0), ==, 500000);
    g_assert_cmpuint(relay_stream(false, EVENTS, 100, 0), ==, 0);
}

/*
 * Events that arrive together count by the time between the first and the last
 * ones. A resumed stream, which may come from a store, is not measured.
 */
static void
test_timing(void)
{
    struct ct_stream_timing timing = {0};
    struct ct_handle upstream;
    struct t_core core;

    setup(&core, UPSTREAMS);
    upstream = upstream_at(&core, 0);
    timing.resumes = true;
    ct_stream_timing_add(&timing, 3, 5000);
    ct_stream_timing_add(&timing, 10, 5900);
    ct_stream_timing_add(&timing, 10, 5910);
    ct_upstream_speed_on_stream(core.state, upstream, &timing);
    g_assert_cmpuint(ct_upstream_speed_gap_us(core.state, upstream), ==, 0);
    timing.resumes = false;
    ct_upstream_speed_on_stream(core.state, upstream, &timing);
    g_assert_cmpuint(ct_upstream_speed_gap_us(core.state, upstream), ==,
                     910 * 1000 / 20);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream-speed/speeds", test_speeds);
    g_test_add_func("/upstream-speed/few-measured", test_few_measured);
    g_test_add_func("/upstream-speed/candidates", test_candidates);
    g_test_add_func("/upstream-speed/restart", test_restart);
    g_test_add_func("/upstream-speed/others", test_others);
    g_test_add_func("/upstream-speed/streams", test_streams);
    g_test_add_func("/upstream-speed/timing", test_timing);
    return g_test_run();
}
