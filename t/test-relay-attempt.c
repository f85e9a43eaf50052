/* Tests of relay.h, attempts: what is repeated, resumed and broken off. */
#include <string.h>

#include "lib-relay.h"

/* How an attempt ended, by kind of route: sent elsewhere, passed or refused.
 */
static void
test_ends(void)
{
    static const struct {
        const char *path;
        enum ct_outcome outcome;
        uint32_t status;
        bool repeated;
        /* CT_REFUSAL_COUNT where the answer is passed on. */
        enum ct_refusal reason;
        enum ct_run_state run_state;
    } cases[] = {
        {T_ANY_PATH, CT_OUTCOME_COMPLETE, 200, false, CT_REFUSAL_COUNT},
        {T_ANY_PATH, CT_OUTCOME_COMPLETE, 500, true, CT_REFUSAL_COUNT},
        {T_ANY_PATH, CT_OUTCOME_CONNECTION_LOST, 0, true, CT_REFUSAL_COUNT},
        {T_ANY_PATH, CT_OUTCOME_MISMATCH, 200, true, CT_REFUSAL_COUNT},
        {T_ANY_PATH, CT_OUTCOME_DECLINED, 503, true, CT_REFUSAL_COUNT},
        {T_ONCE_PATH, CT_OUTCOME_COMPLETE, 500, false, CT_REFUSAL_COUNT},
        {T_ONCE_PATH, CT_OUTCOME_CONNECTION_LOST, 0, false,
         CT_REFUSAL_UPSTREAM_FAILED, CT_MAY_HAVE_RUN},
        {T_ONCE_PATH, CT_OUTCOME_MISMATCH, 200, false,
         CT_REFUSAL_UPSTREAM_FAILED, CT_MAY_HAVE_RUN},
        {T_ONCE_PATH, CT_OUTCOME_DECLINED, 503, true, CT_REFUSAL_COUNT},
        {T_STREAM_PATH, CT_OUTCOME_CONNECTION_LOST, 0, false,
         CT_REFUSAL_UPSTREAM_FAILED, CT_MAY_HAVE_RUN},
        {T_STREAM_PATH, CT_OUTCOME_DECLINED, 421, true, CT_REFUSAL_COUNT},
        {T_RESUME_PATH, CT_OUTCOME_CONNECTION_LOST, 0, true, CT_REFUSAL_COUNT},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_relay_start first;
        struct t_core core;

        t_relay_setup(&core, 3);
        t_relay_call(&core, 1, cases[i].path);
        first = t_relay_started(&core);
        t_relay_finish(&core, first.attempt, cases[i].outcome,
                       cases[i].status);
        if (cases[i].repeated) {
            g_assert_cmpstr(t_relay_started(&core).upstream.text, !=,
                            first.upstream.text);
        }
        else if (cases[i].reason == CT_REFUSAL_COUNT) {
            g_assert_true(
                t_core_effect(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE, 0)
                    ->u.forward.is_last);
        }
        else {
            t_core_assert_refused(&core, cases[i].reason, cases[i].run_state);
        }
        t_core_free(&core);
    }
}

/* A connection that never stood leaves no doubt, whatever the kind. */
static void
test_not_sent(void)
{
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    t_relay_call(&core, 1, T_ONCE_PATH);
    for (guint i = 0; i < 2; i++) {
        start = t_relay_started(&core);
        t_relay_done(&core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
    }
    start = t_relay_started(&core);
    t_relay_done(&core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
    t_core_assert_refused(&core, CT_REFUSAL_NO_UPSTREAM, CT_NOT_RUN);
    t_core_free(&core);
}

/* The second decline uses up the attempts; nothing has run, and it is said. */
static void
test_declined_twice(void)
{
    struct t_core core;

    t_relay_setup(&core, 3);
    t_relay_call(&core, 1, T_ONCE_PATH);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_DECLINED,
                   503);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_DECLINED,
                   503);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_FULL, CT_NOT_RUN);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)
                        ->u.refuse.retry_after_ms,
                    >, 0);
    t_core_free(&core);
}

/* A stream is begun with event 4 and breaks. */
static void
begin_and_break(struct t_core *core, const char *path)
{
    struct ct_relay_start start;

    t_relay_call(core, 1, path);
    start = t_relay_started(core);
    t_relay_sent(core, start.attempt);
    t_relay_data(core, start.attempt, 4);
    g_assert_true(t_core_effect(core, CT_EFFECT_RELAY_FORWARD_RESPONSE, 0)
                      ->u.forward.is_first);
    t_relay_done(core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
}

/* The begun answer is broken off; nothing more of it is sent on or asked. */
static void
assert_broken_off(const struct t_core *core)
{
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_FORWARD_RESPONSE), ==,
                     0);
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_START_ATTEMPT), ==, 0);
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_ABORT_RESPONSE), ==,
                     1);
}

/* A stream goes on elsewhere after the last event that the caller has. */
static void
test_resume(void)
{
    const struct ct_relay_forward *forward;
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    begin_and_break(&core, T_RESUME_PATH);
    start = t_relay_started(&core);
    g_assert_cmpuint(start.after_event, ==, 4);
    t_relay_sent(&core, start.attempt);
    t_relay_data(&core, start.attempt, 5);
    forward =
        &t_core_effect(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE, 0)->u.forward;
    g_assert_false(forward->is_first);
    t_relay_done(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    forward =
        &t_core_effect(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE, 0)->u.forward;
    g_assert_true(forward->is_last);
    t_core_free(&core);
}

/* Only a route that says so lets a begun stream go on elsewhere. */
static void
test_begun_not_resumed(void)
{
    GArray *rows = t_relay_rows();
    struct t_core core;

    t_relay_setup(&core, 3);
    for (guint i = 0; i < rows->len; i++) {
        struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == CT_CONFIG_PREFIX_ROUTE &&
            row->u.prefix_route.repeat == CT_REPEAT_RESUME) {
            row->u.prefix_route.repeat = CT_REPEAT_ANY;
        }
    }
    t_relay_post_config(&core, 6, rows);
    t_relay_confirm(&core);
    begin_and_break(&core, T_RESUME_PATH);
    assert_broken_off(&core);
    g_array_free(rows, TRUE);
    t_core_free(&core);
}

/* What an attempt says that is over already changes nothing. */
static void
test_late_events(void)
{
    struct ct_event gone = {.type = CT_EVENT_RELAY_CALLER_DISCONNECTED};
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    gone.u.caller = t_relay_call(&core, 1, T_RESUME_PATH);
    start = t_relay_started(&core);
    t_core_post(&core, &gone);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT), ==,
                     1);
    t_relay_sent(&core, start.attempt);
    t_relay_data(&core, start.attempt, 4);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE), ==,
                     0);
    t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT), ==,
                     0);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_LATE_EVENTS], ==,
                     3);
    t_core_free(&core);
}

/* What a begun answer must not become: another run's, or an error's. */
static void
test_no_mixture(void)
{
    struct ct_relay_start start;
    struct t_core core;

    /* A run that begins again. */
    t_relay_setup(&core, 3);
    begin_and_break(&core, T_RESUME_PATH);
    start = t_relay_started(&core);
    t_relay_sent(&core, start.attempt);
    t_relay_data(&core, start.attempt, 1);
    assert_broken_off(&core);
    t_core_free(&core);

    /* An error in place of the rest. */
    t_relay_setup(&core, 3);
    begin_and_break(&core, T_RESUME_PATH);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_COMPLETE,
                   500);
    assert_broken_off(&core);
    t_core_free(&core);

    /* A stream that may not be resumed. */
    t_relay_setup(&core, 3);
    begin_and_break(&core, T_STREAM_PATH);
    assert_broken_off(&core);
    t_core_free(&core);
}

/* A pool where all fail: repeats stay within the part of one host. */
static void
test_repeat_budget(void)
{
    struct t_core core;
    guint repeats = 0;

    t_relay_setup(&core, 3);
    for (guint i = 0; i < 100; i++) {
        struct ct_relay_start start;

        t_relay_call(&core, 1, T_ANY_PATH);
        start = t_relay_started(&core);
        t_relay_finish(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 0);
        if (t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT) > 0) {
            repeats++;
            start = t_relay_started(&core);
            t_relay_finish(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                           0);
        }
    }
    /* A fifth of the calls and a burst of 20. */
    g_assert_cmpuint(repeats, >, 10);
    g_assert_cmpuint(repeats, <=, 40);
    t_core_free(&core);
}

/* The home of a prompt leaves: the next one copies what the home keeps. */
static void
test_copy_from_leaving(void)
{
    struct ct_store_upstream entry;
    struct ct_relay_start home;
    struct ct_relay_start next;
    struct t_core core;

    t_relay_setup(&core, 3);
    t_relay_call(&core, 1, T_RESUME_PATH);
    home = t_relay_started(&core);
    g_assert_cmpstr(home.cache_donor.text, ==, "");
    for (uint32_t i = 0; i < 3; i++) {
        entry = t_upstream("engines", i);
        if (ct_name_eq(&entry.upstream.name, &home.upstream)) {
            entry.leaving = true;
            t_relay_upstream(&core, &entry);
        }
    }
    t_relay_confirm(&core);
    t_relay_call(&core, 1, T_RESUME_PATH);
    next = t_relay_started(&core);
    g_assert_cmpstr(next.upstream.text, !=, home.upstream.text);
    g_assert_cmpstr(next.cache_donor.text, ==, home.address.text);
    /* One that broke the answer off is not asked for a copy. */
    t_relay_finish(&core, next.attempt, CT_OUTCOME_CONNECTION_LOST, 0);
    g_assert_cmpstr(t_relay_started(&core).cache_donor.text, !=,
                    next.address.text);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-attempt/ends", test_ends);
    g_test_add_func("/relay-attempt/not-sent", test_not_sent);
    g_test_add_func("/relay-attempt/declined-twice", test_declined_twice);
    g_test_add_func("/relay-attempt/resume", test_resume);
    g_test_add_func("/relay-attempt/begun-not-resumed",
                    test_begun_not_resumed);
    g_test_add_func("/relay-attempt/late-events", test_late_events);
    g_test_add_func("/relay-attempt/no-mixture", test_no_mixture);
    g_test_add_func("/relay-attempt/repeat-budget", test_repeat_budget);
    g_test_add_func("/relay-attempt/copy-from-leaving",
                    test_copy_from_leaving);
    return g_test_run();
}
