/* Tests of relay-ready.h: readiness, and calls that a drain still accepts. */
#include "lib-relay.h"
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
    return g_test_run();
}
