/*
 * Tests of withdrawal.h: a withdrawal sent to one host directly ends the
 * running requests of the key.
 */
#include "lib-core.h"

/*
 * A key withdrawal sent to a host directly ends the running requests of that
 * key only.
 */
static void
test_running_requests(void)
{
    struct ct_event event = {.type = CT_EVENT_KEY_WITHDRAWAL_REQUESTED};
    const struct ct_effect *refuse;
    struct ct_handle attempt;
    struct t_core core;
    uint64_t caller;

    t_core_init(&core);
    t_core_configure(&core, 2, 4);
    caller = t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    t_core_sent(&core, attempt);
    t_core_call(&core, 2, T_CHAT_PATH);
    t_core_started(&core);

    event.u.key_withdrawal.key = t_digest(1);
    t_core_post(&core, &event);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_CANCEL_ATTEMPT), ==, 1);
    refuse = t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0);
    g_assert_nonnull(refuse);
    g_assert_cmpuint(refuse->u.refuse.caller, ==, caller);
    g_assert_cmpint(refuse->u.refuse.reason, ==, CT_REFUSAL_KEY_WITHDRAWN);
    g_assert_cmpuint(core.state->requests.active, ==, 1);

    t_core_call(&core, 1, T_CHAT_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_KEY_WITHDRAWN, CT_NOT_RUN);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/withdrawal/running-requests", test_running_requests);
    return g_test_run();
}
