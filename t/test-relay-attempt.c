/*
 * Tests of attempts in relay.h: which ones are repeated elsewhere, resumed or
 * aborted.
 */
#include <string.h>

#include "lib-relay.h"

/*
 * For each route kind and outcome of the first attempt: the call is repeated
 * on another upstream, its response is forwarded, or it is refused.
 */
static void
test_outcomes(void)
{
    static const struct {
        const char *path;
        enum ct_outcome outcome;
        uint32_t status;
        bool repeated;
        /* CT_REFUSAL_COUNT if the response is forwarded to the caller. */
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

/*
 * An attempt without a connection has certainly not run, so any route kind
 * repeats it.
 */
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

/*
 * The second decline uses up the attempts; the refusal states that nothing has
 * run.
 */
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

/*
 * An upstream that fails before the first event is logged once for each
 * part of the prompt, one that fails later is not.
 */
static void
test_lost_parts_logged(void)
{
    static const uint64_t parts[] = {0xa1, 0xb2, 0};
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    t_relay_call_with_parts(&core, 1, T_RESUME_PATH, parts);
    start = t_relay_started(&core);
    t_relay_finish(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    for (guint i = 0; i < 2; i++) {
        const struct ct_log_effect *log =
            &t_core_effect(&core, CT_EFFECT_LOG_EVENT, i)->u.log;

        g_assert_cmpint(log->event, ==, CT_LOG_RELAY_PART_LOST);
        g_assert_cmphex(log->prompt_part, ==, parts[i]);
        g_assert_cmpstr(log->upstream.text, ==, start.upstream.text);
        g_assert_cmpuint(log->status, ==, 200);
    }
    start = t_relay_started(&core);
    t_relay_sent(&core, start.attempt);
    t_relay_data(&core, start.attempt, 4);
    t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_LOG_EVENT, 0)->u.log.event,
                    !=, CT_LOG_RELAY_PART_LOST);
    t_core_free(&core);
}

/* Starts a stream whose last event is 4, then loses the connection. */
static void
start_and_break_stream(struct t_core *core, const char *path)
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

/*
 * The partly sent response is aborted; nothing more is forwarded and no
 * attempt is started.
 */
static void
assert_response_aborted(const struct t_core *core)
{
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_FORWARD_RESPONSE), ==,
                     0);
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_START_ATTEMPT), ==, 0);
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_RELAY_ABORT_RESPONSE), ==,
                     1);
}

/*
 * A stream resumes on another upstream after the last event that the caller
 * received.
 */
static void
test_resume(void)
{
    const struct ct_relay_forward *forward;
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    start_and_break_stream(&core, T_RESUME_PATH);
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

/*
 * A partly sent stream resumes on another upstream only if the route allows
 * it.
 */
static void
test_started_not_resumed(void)
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
    start_and_break_stream(&core, T_RESUME_PATH);
    assert_response_aborted(&core);
    g_array_free(rows, TRUE);
    t_core_free(&core);
}

/* Events of an attempt that has already ended change nothing. */
static void
test_late_events(void)
{
    struct ct_event disconnect = {.type = CT_EVENT_RELAY_CALLER_DISCONNECTED};
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    disconnect.u.caller = t_relay_call(&core, 1, T_RESUME_PATH);
    start = t_relay_started(&core);
    t_core_post(&core, &disconnect);
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

/*
 * A partly sent response must not continue with the output of another run or
 * with an error.
 */
static void
test_no_mixed_responses(void)
{
    struct ct_relay_start start;
    struct t_core core;

    /* The next attempt starts again with event 1. */
    t_relay_setup(&core, 3);
    start_and_break_stream(&core, T_RESUME_PATH);
    start = t_relay_started(&core);
    t_relay_sent(&core, start.attempt);
    t_relay_data(&core, start.attempt, 1);
    assert_response_aborted(&core);
    t_core_free(&core);

    /* The next attempt returns an error instead of the rest. */
    t_relay_setup(&core, 3);
    start_and_break_stream(&core, T_RESUME_PATH);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_COMPLETE,
                   500);
    assert_response_aborted(&core);
    t_core_free(&core);

    /* The route does not allow a stream to be resumed. */
    t_relay_setup(&core, 3);
    start_and_break_stream(&core, T_STREAM_PATH);
    assert_response_aborted(&core);
    t_core_free(&core);
}

/*
 * If all attempts of a pool fail, retries stay within the retry budget of one
 * host.
 */
static void
test_retry_budget(void)
{
    struct t_core core;
    guint retries = 0;

    t_relay_setup(&core, 3);
    for (guint i = 0; i < 100; i++) {
        struct ct_relay_start start;

        t_relay_call(&core, 1, T_ANY_PATH);
        start = t_relay_started(&core);
        t_relay_finish(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 0);
        if (t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT) > 0) {
            retries++;
            start = t_relay_started(&core);
            t_relay_finish(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                           0);
        }
    }
    /* The budget is a fifth of the calls plus a burst of 20. */
    g_assert_cmpuint(retries, >, 10);
    g_assert_cmpuint(retries, <=, 40);
    t_core_free(&core);
}

/*
 * When the upstream that holds a prompt's cache is leaving, the next upstream
 * copies the cache from it.
 */
static void
test_cache_copy_from_leaving(void)
{
    struct ct_store_upstream entry;
    struct ct_relay_start holder;
    struct ct_relay_start next;
    struct t_core core;

    t_relay_setup(&core, 3);
    t_relay_call(&core, 1, T_RESUME_PATH);
    holder = t_relay_started(&core);
    g_assert_cmpstr(holder.cache_donor.text, ==, "");
    for (uint32_t i = 0; i < 3; i++) {
        entry = t_upstream("engines", i);
        if (ct_name_eq(&entry.upstream.name, &holder.upstream)) {
            entry.leaving = true;
            t_relay_post_upstream(&core, &entry);
        }
    }
    t_relay_confirm(&core);
    t_relay_call(&core, 1, T_RESUME_PATH);
    next = t_relay_started(&core);
    g_assert_cmpstr(next.upstream.text, !=, holder.upstream.text);
    g_assert_cmpstr(next.cache_donor.text, ==, holder.address.text);
    /* An upstream that lost the connection is not used as a cache donor. */
    t_relay_finish(&core, next.attempt, CT_OUTCOME_CONNECTION_LOST, 0);
    g_assert_cmpstr(t_relay_started(&core).cache_donor.text, !=,
                    next.address.text);
    t_core_free(&core);
}

#define PROMPT_WITH_BACKUP_TOKENS 1000

static struct ct_relay_start
start_stream(struct t_core *core, const char *path, uint32_t prompt_tokens)
{
    struct ct_relay_start start;

    t_relay_call_of_size(core, 1, path, prompt_tokens);
    start = t_relay_started(core);
    t_relay_sent(core, start.attempt);
    return start;
}

/*
 * Starts a stream that may run once, forwards its first events, loses the
 * upstream, and returns the attempt that continues it.
 */
static struct ct_relay_start
continue_from_backup(struct t_core *core)
{
    struct ct_relay_start first;
    struct ct_relay_start next;

    t_relay_setup_backups(core);
    first = start_stream(core, T_STREAM_PATH, PROMPT_WITH_BACKUP_TOKENS);
    g_assert_cmpstr(first.cache_backup.text, !=, "");
    g_assert_cmpstr(first.cache_backup.text, !=, first.address.text);
    g_assert_false(first.from_backup);
    t_relay_data(core, first.attempt, 4);
    t_relay_done(core, first.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    next = t_relay_started(core);
    g_assert_cmpstr(next.address.text, ==, first.cache_backup.text);
    g_assert_true(next.from_backup);
    g_assert_cmpuint(next.after_event, ==, 4);
    t_relay_sent(core, next.attempt);
    return next;
}

/*
 * The backup continues a stream that may run only once, and the next backup
 * continues it again.
 */
static void
test_backup(void)
{
    struct ct_relay_start next;
    struct t_core core;

    next = continue_from_backup(&core);
    t_relay_data(&core, next.attempt, 5);
    t_relay_done(&core, next.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    g_assert_cmpstr(t_relay_started(&core).address.text, ==,
                    next.cache_backup.text);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_COMPLETE,
                   200);
    g_assert_true(t_core_effect(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE, 0)
                      ->u.forward.is_last);
    t_core_free(&core);
}

/*
 * A backup that has no copy declines, or cannot be reached: the run cannot
 * continue, and another upstream would run the call again.
 */
static void
test_backup_without_copy(gconstpointer arg)
{
    struct ct_relay_start next;
    struct t_core core;

    next = continue_from_backup(&core);
    t_relay_done(&core, next.attempt, (enum ct_outcome)GPOINTER_TO_INT(arg),
                 503);
    assert_response_aborted(&core);
    t_core_free(&core);
}

/* A backup that is leaving gets no more work. */
static void
test_backup_leaving(void)
{
    struct ct_store_upstream entry;
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup_backups(&core);
    start = start_stream(&core, T_STREAM_PATH, PROMPT_WITH_BACKUP_TOKENS);
    t_relay_data(&core, start.attempt, 4);
    for (uint32_t i = 0; i < 3; i++) {
        entry = t_upstream("engines", i);
        if (strcmp(entry.upstream.address.text, start.cache_backup.text) ==
            0) {
            entry.leaving = true;
            t_relay_post_upstream(&core, &entry);
        }
    }
    t_relay_confirm(&core);
    t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    assert_response_aborted(&core);
    t_core_free(&core);
}

/*
 * Calls that can be retried, long prompts, and engines that cannot copy have
 * no backup; without an event forwarded a call fails as before.
 */
static void
test_no_backup(void)
{
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup_backups(&core);
    g_assert_cmpstr(
        start_stream(&core, T_RESUME_PATH, PROMPT_WITH_BACKUP_TOKENS)
            .cache_backup.text,
        ==, "");
    g_assert_cmpstr(
        start_stream(&core, T_STREAM_PATH, 20000).cache_backup.text, ==, "");
    g_assert_cmpstr(start_stream(&core, T_ONCE_PATH, PROMPT_WITH_BACKUP_TOKENS)
                        .cache_backup.text,
                    ==, "");
    start = start_stream(&core, T_STREAM_PATH, PROMPT_WITH_BACKUP_TOKENS);
    t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_FAILED, CT_MAY_HAVE_RUN);
    t_core_free(&core);
    t_relay_setup(&core, 3);
    g_assert_cmpstr(
        start_stream(&core, T_STREAM_PATH, PROMPT_WITH_BACKUP_TOKENS)
            .cache_backup.text,
        ==, "");
    t_core_free(&core);
}

static void
post_held(struct t_core *core, struct ct_handle attempt, uint32_t bytes)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_ATTEMPT_HELD};

    event.u.progress.attempt = attempt;
    event.u.progress.bytes = bytes;
    t_core_post(core, &event);
}

/*
 * When the memory for calls is used up, the largest response that is not
 * complete is ended, and nothing else; further calls are refused as not run
 * until a caller has its response.
 */
static void
test_memory(void)
{
    const uint32_t third = 20 * 1024 * 1024;
    struct ct_handle attempts[3];
    struct ct_event delivered = {.type = CT_EVENT_RELAY_CALL_DELIVERED};
    uint64_t callers[3];
    struct t_core core;

    t_relay_setup(&core, 4);
    core.state->self.bounds.memory_mb = 160;
    for (guint i = 0; i < 3; i++) {
        callers[i] = t_relay_call(&core, 1, T_ONCE_PATH);
        attempts[i] = t_relay_started(&core).attempt;
        t_relay_sent(&core, attempts[i]);
    }
    post_held(&core, attempts[0], third);
    post_held(&core, attempts[1], third + 1);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT), ==,
                     0);
    post_held(&core, attempts[2], third);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_FAILED, CT_MAY_HAVE_RUN);
    g_assert_cmpuint(
        t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse.caller, ==,
        callers[1]);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT), ==,
                     1);
    g_assert_cmpuint(
        core.state->counters.values[CT_COUNTER_RESPONSES_OVER_MEMORY], ==, 1);
    /* Complete responses that callers still read count as well. */
    for (guint i = 0; i < 3; i += 2) {
        struct ct_event done = {.type = CT_EVENT_RELAY_ATTEMPT_DONE};

        done.u.progress.attempt = attempts[i];
        done.u.progress.outcome = CT_OUTCOME_COMPLETE;
        done.u.progress.status = 200;
        done.u.progress.remaining_bytes = 2 * third;
        t_core_post(&core, &done);
    }
    t_relay_call(&core, 1, T_ONCE_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_OVERLOAD, CT_NOT_RUN);
    for (guint i = 0; i < 3; i++) {
        delivered.u.caller = callers[i];
        t_core_post(&core, &delivered);
    }
    t_relay_call(&core, 1, T_ONCE_PATH);
    t_relay_started(&core);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-attempt/outcomes", test_outcomes);
    g_test_add_func("/relay-attempt/not-sent", test_not_sent);
    g_test_add_func("/relay-attempt/declined-twice", test_declined_twice);
    g_test_add_func("/relay-attempt/lost-parts-logged",
                    test_lost_parts_logged);
    g_test_add_func("/relay-attempt/resume", test_resume);
    g_test_add_func("/relay-attempt/started-not-resumed",
                    test_started_not_resumed);
    g_test_add_func("/relay-attempt/late-events", test_late_events);
    g_test_add_func("/relay-attempt/no-mixed-responses",
                    test_no_mixed_responses);
    g_test_add_func("/relay-attempt/retry-budget", test_retry_budget);
    g_test_add_func("/relay-attempt/cache-copy-from-leaving",
                    test_cache_copy_from_leaving);
    g_test_add_func("/relay-attempt/backup", test_backup);
    g_test_add_data_func("/relay-attempt/backup-without-copy/declined",
                         GINT_TO_POINTER(CT_OUTCOME_DECLINED),
                         test_backup_without_copy);
    g_test_add_data_func("/relay-attempt/backup-without-copy/not-sent",
                         GINT_TO_POINTER(CT_OUTCOME_NOT_SENT),
                         test_backup_without_copy);
    g_test_add_func("/relay-attempt/backup-leaving", test_backup_leaving);
    g_test_add_func("/relay-attempt/no-backup", test_no_backup);
    g_test_add_func("/relay-attempt/memory", test_memory);
    return g_test_run();
}
