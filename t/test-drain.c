/* Tests of drain.h: when a draining host may exit. */
#include "lib-core.h"

#define STEP_MS 100

/*
 * Runs until CT_EFFECT_DRAINED and returns the time it took, or CT_MS_NEVER
 * after the limit. With calls, one call arrives per step and is refused.
 */
static ct_ms
run_until_drained(struct t_core *core, bool with_calls, ct_ms limit_ms)
{
    ct_ms start_ms = core->now_ms;

    while (core->now_ms - start_ms < limit_ms) {
        t_core_tick(core, STEP_MS);
        if (t_core_count(core, CT_EFFECT_DRAINED) > 0) {
            return core->now_ms - start_ms;
        }
        if (with_calls) {
            t_core_call(core, 1, T_CHAT_PATH);
            g_assert_cmpint(t_core_effect(core, CT_EFFECT_REFUSE_REQUEST, 0)
                                ->u.refuse.reason,
                            ==, CT_REFUSAL_DRAINING);
        }
    }
    return CT_MS_NEVER;
}

static void
post_drain(struct t_core *core)
{
    struct ct_event event = {.type = CT_EVENT_DRAIN};

    t_core_post(core, &event);
}

static void
test_no_calls(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    post_drain(&core);
    g_assert_cmpint(run_until_drained(&core, false, 60000), <=, 1000);
    t_core_free(&core);
}

/* Callers that continue to call delay the end of a drain only briefly. */
static void
test_continued_calls(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    post_drain(&core);
    g_assert_cmpint(run_until_drained(&core, true, 60000), <=, 6000);
    t_core_free(&core);
}

/* A drain does not end while a request is active, however long it runs. */
static void
test_active_request(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_cmpint(core.state->requests.active, ==, 1);
    post_drain(&core);
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
    g_test_add_func("/drain/no-calls", test_no_calls);
    g_test_add_func("/drain/continued-calls", test_continued_calls);
    g_test_add_func("/drain/active-request", test_active_request);
    return g_test_run();
}
