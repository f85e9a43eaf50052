/* Tests of relay-ready.h: readiness, and calls that a drain still accepts. */
#include "lib-relay.h"
#include "outcome.h"
#include "relay-ready.h"

static void
init_host(struct t_core *core)
{
    t_relay_init(core);
    t_relay_configure(core, 1, 2);
}

static void
start_drain(struct t_core *core)
{
    struct ct_event event = {.type = CT_EVENT_DRAIN};

    t_core_post(core, &event);
}

static void
test_ready(void)
{
    struct t_core core;

    t_relay_init(&core);
    g_assert_false(ct_relay_is_ready(core.state, core.now_ms));
    t_relay_configure(&core, 1, 2);
    g_assert_true(ct_relay_is_ready(core.state, core.now_ms));
    g_assert_false(ct_relay_is_ready(core.state, core.now_ms + 4200));
    start_drain(&core);
    g_assert_false(ct_relay_is_ready(core.state, core.now_ms));
    t_core_free(&core);
}

/* Completes a call of each route; each takes duration_ms. */
static void
complete_calls(struct t_core *core, ct_ms duration_ms)
{
    static const char *const paths[] = {T_ANY_PATH, T_ONCE_PATH};

    for (guint i = 0; i < G_N_ELEMENTS(paths); i++) {
        struct ct_handle attempt;

        t_relay_call(core, 1, paths[i]);
        attempt = t_relay_started(core).attempt;
        core->now_ms += duration_ms;
        t_relay_finish(core, attempt, CT_OUTCOME_COMPLETE, 200);
        t_relay_confirm(core);
    }
}

/*
 * Guards against calls that are passed on late in a drain and cut off at its
 * end, although calls of their route have taken longer lately: they are
 * refused as not run. So are calls of a route that is not known yet, unless
 * their own time ends before the exit.
 */
static void
test_slow_calls(void)
{
    static const struct {
        /* Duration of earlier calls; 0: there were none. */
        ct_ms earlier_ms, after_ms;
        /* Time limit of the caller; 0: that of the route, 10 s. */
        ct_ms limit_ms;
        bool accepted;
    } cases[] = {
        {3000, 100, 0, true},     {3000, 3400, 0, true},
        {3000, 3700, 0, false},   {3000, 6000, 0, false},
        {3000, 5000, 2000, true}, {6000, 100, 0, false},
        {50, 6000, 0, true},      {0, 100, 0, false},
        {0, 3031, 0, false},      {0, 3031, 4000, true},
        {0, 3400, 4000, false},
    };
    static const char *const paths[] = {T_ANY_PATH, T_ONCE_PATH};

    for (guint i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
        guint c = i / 2;
        struct t_core core;

        init_host(&core);
        if (cases[c].earlier_ms > 0) {
            complete_calls(&core, cases[c].earlier_ms);
        }
        start_drain(&core);
        core.now_ms += cases[c].after_ms / 2;
        t_relay_confirm(&core);
        core.now_ms += cases[c].after_ms - cases[c].after_ms / 2;
        t_relay_confirm(&core);
        t_relay_call_within(&core, 1, paths[i % 2], cases[c].limit_ms);
        g_test_message("case %u, %s", c, paths[i % 2]);
        if (cases[c].accepted) {
            t_relay_started(&core);
        }
        else {
            t_core_assert_refused(&core, CT_REFUSAL_DRAINING, CT_NOT_RUN);
        }
        t_core_free(&core);
    }
}

/* A single slow call is forgotten after some quick ones. */
static void
test_recent_duration(void)
{
    struct ct_prefix_route_row route = {.recent_ms = 0};

    ct_relay_record_duration(&route, 4000);
    g_assert_cmpint(route.recent_ms, ==, 4000);
    for (int i = 0; i < 64; i++) {
        ct_relay_record_duration(&route, 100);
    }
    g_assert_cmpint(route.recent_ms, >=, 100);
    g_assert_cmpint(route.recent_ms, <, 300);
    ct_relay_record_duration(&route, 900);
    g_assert_cmpint(route.recent_ms, ==, 900);
}

/*
 * A call that arrives late in the drain and may not complete before the exit
 * is refused as not run; a short one is still accepted.
 */
static void
test_late_calls(void)
{
    static const struct {
        ct_ms after_ms;
        const char *path;
        bool accepted;
    } cases[] = {
        {100, T_STREAM_PATH, true},   {2800, T_STREAM_PATH, true},
        {3031, T_STREAM_PATH, false}, {3031, T_ONCE_PATH, true},
        {3500, T_STREAM_PATH, false}, {3500, T_ONCE_PATH, true},
        {6000, T_ANY_PATH, true},     {6500, T_ANY_PATH, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct t_core core;

        init_host(&core);
        complete_calls(&core, 20);
        start_drain(&core);
        core.now_ms += cases[i].after_ms;
        t_relay_confirm(&core);
        t_relay_call(&core, 1, cases[i].path);
        if (cases[i].accepted) {
            t_relay_started(&core);
        }
        else {
            t_core_assert_refused(&core, CT_REFUSAL_DRAINING, CT_NOT_RUN);
        }
        t_core_free(&core);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-ready/ready", test_ready);
    g_test_add_func("/relay-ready/late-calls", test_late_calls);
    g_test_add_func("/relay-ready/slow-calls", test_slow_calls);
    g_test_add_func("/relay-ready/recent-duration", test_recent_duration);
    return g_test_run();
}
