/*
 * Tests of relayed calls that reach another process than the upstream they
 * name (421), as after a restart of many upstreams at their old addresses.
 */
#include "lib-relay.h"

#define MISDIRECTED 421
#define REFUSED 503
/* As many misdirected attempts end a call. */
#define MISDIRECTED_MAX 4

static void
decline(struct t_core *core, uint32_t status)
{
    t_relay_finish(core, t_relay_started(core).attempt, CT_OUTCOME_DECLINED,
                   status);
}

static void
assert_refused(const struct t_core *core)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_REFUSE_REQUEST, 0);

    g_assert_cmpint(effect->u.refuse.reason, ==, CT_REFUSAL_UPSTREAM_FULL);
    g_assert_cmpint(effect->u.refuse.run_state, ==, CT_NOT_RUN);
}

/*
 * Guards against calls with few attempts that are refused because the first
 * upstreams they were sent to had just been replaced.
 */
static void
test_not_an_attempt(gconstpointer path)
{
    struct t_core core;

    t_relay_setup(&core, 6);
    t_relay_call(&core, 1, path);
    decline(&core, MISDIRECTED);
    decline(&core, MISDIRECTED);
    /* The two attempts that the routes allow. */
    decline(&core, REFUSED);
    decline(&core, REFUSED);
    assert_refused(&core);
    t_core_free(&core);
}

/* Guards against a call that visits all upstreams of a replaced pool. */
static void
test_limit(void)
{
    struct t_core core;

    t_relay_setup(&core, MISDIRECTED_MAX + 2);
    t_relay_call(&core, 1, T_ONCE_PATH);
    for (int i = 0; i < MISDIRECTED_MAX; i++) {
        decline(&core, MISDIRECTED);
    }
    assert_refused(&core);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/relay-misdirected/safe", T_ANY_PATH,
                         test_not_an_attempt);
    g_test_add_data_func("/relay-misdirected/once", T_ONCE_PATH,
                         test_not_an_attempt);
    g_test_add_data_func("/relay-misdirected/stream", T_STREAM_PATH,
                         test_not_an_attempt);
    g_test_add_func("/relay-misdirected/limit", test_limit);
    return g_test_run();
}
