/* Tests of relay-host.h: a drain aborts no calls. */
#include "lib-relay.h"
#include "outcome.h"
#include "relay-host.h"

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

/* Confirms the append of this host's tally, if the last event caused one. */
static void
confirm_append(struct t_core *core)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_STORE_APPEND, 0);
    struct ct_event event = {.type = CT_EVENT_STORE_APPEND_DONE};

    if (effect) {
        event.u.store_append.topic = effect->u.store_append.topic;
        event.u.store_append.writer = core->state->self.writer;
        event.u.store_append.sequence = effect->u.store_append.tally.sequence;
        t_core_post(core, &event);
    }
}

/* Runs until the drain is complete and returns how long it took. */
static ct_ms
run_until_drained(struct t_core *core)
{
    ct_ms start_ms = core->now_ms;

    for (t_core_tick(core, 50); t_core_count(core, CT_EFFECT_DRAINED) == 0;
         t_core_tick(core, 50)) {
        confirm_append(core);
        t_relay_confirm(core);
        g_assert_cmpint(core->now_ms - start_ms, <, 8000);
    }
    return core->now_ms - start_ms;
}

/*
 * Callers may still connect for as long as they may cache this host's address;
 * without calls the drain then completes.
 */
static void
test_idle_drain(void)
{
    struct t_core core;
    ct_ms took_ms;

    init_host(&core);
    start_drain(&core);
    took_ms = run_until_drained(&core);
    g_assert_cmpint(took_ms, >=, 5000);
    g_assert_cmpint(took_ms, <=, 6500);
    /* The process is about to exit: no call is accepted any more. */
    t_relay_call(&core, 1, T_ONCE_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_DRAINING, CT_NOT_RUN);
    t_core_free(&core);
}

/*
 * A second drain event neither restarts the drain time nor leaves the group
 * again.
 */
static void
test_second_drain_event(void)
{
    struct t_core core;

    init_host(&core);
    t_relay_call(&core, 1, T_STREAM_PATH);
    t_relay_sent(&core, t_relay_started(&core).attempt);
    start_drain(&core);
    core.now_ms += 3000;
    start_drain(&core);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_LEAVE), ==, 0);
    g_assert_cmpint(run_until_drained(&core), <=, 4500);
    t_core_free(&core);
}

/*
 * A running call may continue until the host must exit; it is then refused as
 * one that may have run.
 */
static void
test_busy_drain(void)
{
    struct t_core core;

    init_host(&core);
    t_relay_call(&core, 1, T_STREAM_PATH);
    t_relay_sent(&core, t_relay_started(&core).attempt);
    start_drain(&core);
    g_assert_cmpint(run_until_drained(&core), >=, 7000);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_SILENT, CT_MAY_HAVE_RUN);
    t_core_free(&core);
}

static void
post_delivered(struct t_core *core, uint64_t caller)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_CALL_DELIVERED};

    event.u.caller = caller;
    t_core_post(core, &event);
}

/*
 * Guards against a host that exits while callers still read responses that it
 * has handed over: it stays until they have the last byte, or until the end of
 * the grace period.
 */
static void
test_undelivered(gconstpointer arg)
{
    bool delivered = GPOINTER_TO_INT(arg) != 0;
    struct ct_handle attempt;
    struct t_core core;
    uint64_t caller;
    ct_ms start_ms;

    init_host(&core);
    start_drain(&core);
    start_ms = core.now_ms;
    caller = t_relay_call_within(&core, 1, T_ANY_PATH, 2000);
    attempt = t_relay_started(&core).attempt;
    t_relay_finish(&core, attempt, CT_OUTCOME_COMPLETE, 200);
    while (core.now_ms - start_ms < 6900) {
        t_core_tick(&core, 50);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_DRAINED), ==, 0);
        confirm_append(&core);
        t_relay_confirm(&core);
    }
    if (delivered) {
        post_delivered(&core, caller);
        g_assert_cmpint(run_until_drained(&core), <=, 300);
    }
    else {
        g_assert_cmpint(run_until_drained(&core), <, 8000 - 6900);
        g_assert_cmpint(core.now_ms - start_ms, >=, 7300);
    }
    t_core_free(&core);
}

/* A refused call counts as undelivered like any other. */
static void
test_undelivered_refusal(void)
{
    struct t_core core;
    uint64_t caller;

    init_host(&core);
    caller = t_relay_call(&core, 9, T_ANY_PATH);
    g_assert_cmpuint(core.state->relays.budget.charges.live, ==, 1);
    post_delivered(&core, caller);
    g_assert_cmpuint(core.state->relays.budget.charges.live, ==, 0);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-host/idle-drain", test_idle_drain);
    g_test_add_func("/relay-host/second-drain-event", test_second_drain_event);
    g_test_add_func("/relay-host/busy-drain", test_busy_drain);
    g_test_add_data_func("/relay-host/undelivered", GINT_TO_POINTER(0),
                         test_undelivered);
    g_test_add_data_func("/relay-host/delivered", GINT_TO_POINTER(1),
                         test_undelivered);
    g_test_add_func("/relay-host/undelivered-refusal",
                    test_undelivered_refusal);
    return g_test_run();
}
