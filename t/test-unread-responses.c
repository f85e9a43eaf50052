/* Tests of unread-responses.h: charges, and responses that are cut off. */
#include "lib-relay.h"

#define MB (1024 * 1024)

/* A budget of 12 MB. */
static void
set_up(struct t_core *core)
{
    t_relay_setup(core, 2);
    core->state->self.bounds.memory_mb = 64;
}

/* Starts a stream whose first event was forwarded. */
static uint64_t
start_stream(struct t_core *core)
{
    uint64_t caller = t_relay_call(core, 1, T_STREAM_PATH);
    struct ct_handle attempt = t_relay_started(core).attempt;

    t_relay_sent(core, attempt);
    t_relay_data(core, attempt, 1);
    return caller;
}

static void
report(struct t_core *core, uint64_t caller, uint32_t bytes, bool has_read)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_RESPONSE_UNREAD};

    event.u.unread.caller = caller;
    event.u.unread.unread_bytes = bytes;
    event.u.unread.buffered_bytes = bytes;
    event.u.unread.has_read = has_read;
    t_core_post(core, &event);
}

/* Asserts that the last event cut off this caller alone; 0 for none. */
static void
assert_cut_off(const struct t_core *core, uint64_t caller)
{
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_DISCONNECT_CALLER), ==,
                     caller != 0);
    if (caller != 0) {
        g_assert_cmpuint(
            t_core_effect(core, CT_EFFECT_RELAY_DISCONNECT_CALLER, 0)
                ->u.caller,
            ==, caller);
        g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_CANCEL_ATTEMPT),
                         ==, 1);
    }
}

/* What is buffered is charged, and a share ends with its caller. */
static void
test_charges(void)
{
    struct ct_event gone = {.type = CT_EVENT_RELAY_CALLER_DISCONNECTED};
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    caller = start_stream(&core);
    report(&core, caller, 3 * MB, false);
    g_assert_cmpuint(core.state->relays.budget.used_bytes, ==,
                     3 * MB + CT_RELAY_CALL_BYTES);
    report(&core, caller, MB, true);
    g_assert_cmpuint(core.state->relays.budget.used_bytes, ==,
                     MB + CT_RELAY_CALL_BYTES);
    gone.u.caller = caller;
    t_core_post(&core, &gone);
    g_assert_cmpuint(core.state->relays.budget.used_bytes, ==, 0);
    /* A report that was under way must not add a share again. */
    report(&core, caller, MB, true);
    g_assert_cmpuint(core.state->relays.budget.used_bytes, ==, 0);
    g_assert_cmpuint(core.state->unread_responses.rows.live, ==, 0);
    t_core_free(&core);
}

/*
 * When memory is short, the largest response whose caller reads nothing is cut
 * off, and not those of callers that read.
 */
static void
test_cut_off(void)
{
    struct t_core core;
    uint64_t callers[3];

    set_up(&core);
    for (guint i = 0; i < 3; i++) {
        callers[i] = start_stream(&core);
        report(&core, callers[i], (3 + i) * MB - CT_RELAY_CALL_BYTES, false);
        assert_cut_off(&core, 0);
    }
    core.now_ms += 2000;
    report(&core, callers[2], 5 * MB - CT_RELAY_CALL_BYTES, true);
    assert_cut_off(&core, 0);
    report(&core, callers[0], 3 * MB - CT_RELAY_CALL_BYTES + 1, false);
    assert_cut_off(&core, callers[1]);
    g_assert_cmpuint(core.state->relays.budget.used_bytes, ==, 8 * MB + 1);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_RESPONSES_UNREAD],
                     ==, 1);
    t_core_free(&core);
}

/* Callers that do not read must not keep others from being served. */
static void
test_new_call(void)
{
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    caller = start_stream(&core);
    report(&core, caller, 12 * MB, false);
    core.now_ms += 2000;
    t_relay_call(&core, 1, T_ONCE_PATH);
    assert_cut_off(&core, caller);
    t_relay_started(&core);
    t_core_free(&core);
}

/* Nor may they end the responses of calls that run. */
static void
test_before_running(void)
{
    struct ct_event held = {.type = CT_EVENT_RELAY_ATTEMPT_HELD};
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    caller = start_stream(&core);
    report(&core, caller, 5 * MB, false);
    t_relay_call(&core, 1, T_ONCE_PATH);
    held.u.progress.attempt = t_relay_started(&core).attempt;
    t_relay_sent(&core, held.u.progress.attempt);
    core.now_ms += 2000;
    held.u.progress.bytes = 8 * MB;
    t_core_post(&core, &held);
    assert_cut_off(&core, caller);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), ==, 0);
    t_core_free(&core);
}

/* One caller must not make the host buffer without limit. */
static void
test_limit(void)
{
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    core.state->self.bounds.unread_bytes = MB;
    caller = start_stream(&core);
    report(&core, caller, MB, false);
    assert_cut_off(&core, 0);
    report(&core, caller, MB + 1, false);
    assert_cut_off(&core, caller);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/unread-responses/charges", test_charges);
    g_test_add_func("/unread-responses/cut-off", test_cut_off);
    g_test_add_func("/unread-responses/new-call", test_new_call);
    g_test_add_func("/unread-responses/before-running", test_before_running);
    g_test_add_func("/unread-responses/limit", test_limit);
    return g_test_run();
}
