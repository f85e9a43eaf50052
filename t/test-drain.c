/* Tests of drain.h: when a host that drains may end. */
#include "lib-core.h"

#define STEP_MS 100

/* Steps until CT_EFFECT_DRAINED; each step a call arrives where asked for. */
static ct_ms
run_drain(struct t_core *core, bool calls, ct_ms limit_ms)
{
    ct_ms start_ms = core->now_ms;

    while (core->now_ms - start_ms < limit_ms) {
        t_core_tick(core, STEP_MS);
        if (t_core_count(core, CT_EFFECT_DRAINED) > 0) {
            return core->now_ms - start_ms;
        }
        if (calls) {
            t_core_call(core, 1, T_CHAT_PATH);
            g_assert_cmpint(t_core_effect(core, CT_EFFECT_REFUSE_REQUEST, 0)
                                ->u.refuse.reason,
                            ==, CT_REFUSAL_DRAINING);
        }
    }
    return CT_MS_NEVER;
}

static void
start(struct t_core *core)
{
    struct ct_event event = {.type = CT_EVENT_DRAIN};

    t_core_post(core, &event);
}

static void
test_quiet(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    start(&core);
    g_assert_cmpint(run_drain(&core, false, 60000), <=, 1000);
    t_core_free(&core);
}

/* Callers that do not stop calling do not keep the host for ever. */
static void
test_stubborn_callers(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    start(&core);
    g_assert_cmpint(run_drain(&core, true, 60000), <=, 6000);
    t_core_free(&core);
}

/* A request that runs keeps the host, however long it takes. */
static void
test_running(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_cmpint(core.state->requests.active, ==, 1);
    start(&core);
    for (int i = 0; i < 100 && core.state->requests.active; i++) {
        t_core_tick(&core, STEP_MS);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_DRAINED), ==, 0);
    }
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/drain/quiet", test_quiet);
    g_test_add_func("/drain/stubborn-callers", test_stubborn_callers);
    g_test_add_func("/drain/running", test_running);
    return g_test_run();
}
