/*
 * Tests of request.h: a request from its arrival to the end of the response.
 */
#include <string.h>

#include "lib-core.h"

static void
test_stream(void)
{
    struct t_core core;
    struct ct_handle attempt;
    const struct ct_effect *effect;

    t_core_init(&core);
    t_core_configure(&core, 2, 4);
    t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    t_core_sent(&core, attempt);
    t_core_head(&core, attempt, 200);
    t_core_data(&core, attempt, 0, 100);
    effect = t_core_effect(&core, CT_EFFECT_WRITE_HEAD, 0);
    g_assert_nonnull(effect);
    g_assert_cmpuint(effect->u.write.status, ==, 200);
    t_core_data(&core, attempt, 100, 50);
    effect = t_core_effect(&core, CT_EFFECT_WRITE_DATA, 0);
    g_assert_cmpuint(effect->u.write.offset, ==, 100);
    g_assert_cmpuint(effect->u.write.bytes, ==, 50);
    t_core_done(&core, attempt, CT_OUTCOME_COMPLETE);
    effect = t_core_effect(&core, CT_EFFECT_WRITE_END, 0);
    g_assert_true(effect->u.write.complete);
    t_core_tick(&core, 61000);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_FREE_RESPONSE), ==, 1);
    g_assert_cmpuint(core.state->requests.rows.live, ==, 0);
    g_assert_cmpuint(core.state->requests.attempts.live, ==, 0);
    t_core_free(&core);
}

/* Checks on arrival, in the order in which they are made. */
static void
test_checks(void)
{
    static const struct {
        uint8_t key;
        const char *path;
        bool idempotency_key;
        ct_ms key_age_ms;
        enum ct_refusal reason;
    } cases[] = {
        {0, T_CHAT_PATH, false, 0, CT_REFUSAL_NO_KEY},
        {9, T_CHAT_PATH, false, 0, CT_REFUSAL_UNKNOWN_KEY},
        {1, "/nowhere", false, 0, CT_REFUSAL_ROUTE_UNKNOWN},
        {2, T_PLAIN_PATH, true, 0, CT_REFUSAL_ROUTE_FORBIDDEN},
        {1, T_PLAIN_PATH, false, 0, CT_REFUSAL_KEY_REQUIRED},
        {1, T_PLAIN_PATH, true, CT_CLAIM_HORIZON_MS, CT_REFUSAL_KEY_TOO_OLD},
    };
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_event event = t_call(&core, cases[i].key, cases[i].path);

        event.u.call.has_idempotency_key = cases[i].idempotency_key;
        event.u.call.idempotency_wall_ms -= cases[i].key_age_ms;
        t_core_post(&core, &event);
        t_core_assert_refused(&core, cases[i].reason, CT_NOT_RUN);
        g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    }
    g_assert_cmpuint(core.state->requests.rows.live, ==, 0);
    t_core_free(&core);
}

/*
 * A host that cannot tell whether its state is current refuses requests as not
 * run.
 */
static void
test_not_current(void)
{
    struct t_core core;
    struct ct_event event;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    t_core_tick(&core, 60000);
    t_core_call(&core, 1, T_CHAT_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_NOT_CURRENT, CT_NOT_RUN);
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_HEAD;
    event.u.head.first = 1;
    event.u.head.head = core.next_offset - 1;
    t_core_post(&core, &event);
    t_core_call(&core, 1, T_CHAT_PATH);
    t_core_started(&core);
    t_core_free(&core);
}

/*
 * An attempt that was not sent is repeated on another upstream; one that was
 * aborted after it was sent is resumed at the last received byte.
 */
static void
test_retry_and_resume(void)
{
    struct t_core core;
    struct ct_handle attempt;
    const struct ct_effect *effect;

    t_core_init(&core);
    t_core_configure(&core, 3, 4);
    t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    t_core_done(&core, attempt, CT_OUTCOME_NOT_SENT);
    attempt = t_core_started(&core);
    t_core_sent(&core, attempt);
    t_core_head(&core, attempt, 200);
    t_core_data(&core, attempt, 0, 70);
    t_core_done(&core, attempt, CT_OUTCOME_GAP_TIMEOUT);
    t_core_tick(&core, 1000);
    effect = t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0);
    g_assert_nonnull(effect);
    g_assert_cmpuint(effect->u.attempt.resume_offset, ==, 70);
    /* Data that arrives late from the timed-out attempt is dropped. */
    t_core_data(&core, attempt, 70, 10);
    g_assert_cmpuint(core.effects.n, ==, 0);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_LATE_EVENTS], ==,
                     1);
    t_core_free(&core);
}

/*
 * If a slot is free but no upstream accepts requests at present, the request
 * is queued again.
 */
static void
test_no_upstream_available(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 4);
    t_core_call(&core, 1, T_CHAT_PATH);
    /* After it declines a request, an upstream counts as full for a moment. */
    t_core_done(&core, t_core_started(&core), CT_OUTCOME_DECLINED);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), ==, 0);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_START_ATTEMPT), ==, 0);
    t_core_tick(&core, 150);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_START_ATTEMPT), ==, 1);
    t_core_free(&core);
}

/* When no further attempt is possible, the response ends as incomplete. */
static void
test_incomplete_end(void)
{
    struct t_core core;
    struct ct_handle attempt;
    const struct ct_effect *effect;

    t_core_init(&core);
    t_core_configure(&core, 1, 4);
    t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    t_core_sent(&core, attempt);
    t_core_head(&core, attempt, 200);
    t_core_data(&core, attempt, 0, 70);
    t_core_done(&core, attempt, CT_OUTCOME_CONNECTION_LOST);
    effect = t_core_effect(&core, CT_EFFECT_WRITE_END, 0);
    for (int i = 0; i < 8 && !effect; i++) {
        if (t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0)) {
            t_core_done(&core, t_core_started(&core),
                        CT_OUTCOME_CONNECTION_LOST);
        }
        else {
            t_core_tick(&core, 1000);
        }
        effect = t_core_effect(&core, CT_EFFECT_WRITE_END, 0);
    }
    g_assert_nonnull(effect);
    g_assert_false(effect->u.write.complete);
    t_core_free(&core);
}

static void
test_caller_disconnected(void)
{
    struct t_core core;
    struct ct_handle attempt;
    uint64_t caller;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    caller = t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    t_core_sent(&core, attempt);
    t_core_caller_disconnected(&core, caller);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_CANCEL_ATTEMPT), ==, 1);
    /* The cancelled attempt has released its slot. */
    t_core_call(&core, 1, T_CHAT_PATH);
    t_core_started(&core);
    t_core_free(&core);
}

static void
test_key_withdrawn(void)
{
    struct t_core core;
    struct ct_handle attempt;
    struct ct_record record;
    const struct ct_effect *effect;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    t_core_head(&core, attempt, 200);
    t_core_data(&core, attempt, 0, 10);
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_KEY_WITHDRAW;
    record.u.key.digest = t_digest(1);
    t_core_entry(&core, &record);
    effect = t_core_effect(&core, CT_EFFECT_WRITE_END, 0);
    g_assert_nonnull(effect);
    g_assert_false(effect->u.write.complete);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_CANCEL_ATTEMPT), ==, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_KEY_WITHDRAWN, CT_NOT_RUN);
    /*
     * A grant record that arrives after the withdrawal does not reactivate the
     * key.
     */
    record.type = CT_RECORD_KEY_GRANT;
    CT_TEXT_SET(record.u.key.organisation, "acme");
    t_core_entry(&core, &record);
    t_core_call(&core, 1, T_CHAT_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_KEY_WITHDRAWN, CT_NOT_RUN);
    t_core_call(&core, 2, T_CHAT_PATH);
    t_core_started(&core);
    t_core_free(&core);
}

/*
 * Retained responses are bounded: the oldest are removed, and no request is
 * refused.
 */
static void
test_retained_bound(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 4);
    for (uint32_t i = 0; i < CT_RETAINED_MAX + 10; i++) {
        struct ct_handle attempt;

        t_core_call(&core, 1, T_CHAT_PATH);
        attempt = t_core_started(&core);
        t_core_head(&core, attempt, 200);
        t_core_done(&core, attempt, CT_OUTCOME_COMPLETE);
    }
    g_assert_cmpuint(core.state->requests.rows.live, ==, CT_RETAINED_MAX);
    g_assert_cmpuint(core.state->requests.retained_bytes, ==, 0);
    for (uint32_t i = 0; i < 3; i++) {
        struct ct_handle attempt;

        t_core_call(&core, 1, T_CHAT_PATH);
        attempt = t_core_started(&core);
        t_core_head(&core, attempt, 200);
        t_core_data(&core, attempt, 0, CT_RETAINED_BYTES_MAX);
        t_core_done(&core, attempt, CT_OUTCOME_COMPLETE);
    }
    g_assert_cmpuint(core.state->requests.rows.live, ==, 1);
    g_assert_cmpuint(core.state->requests.retained_bytes, ==,
                     CT_RETAINED_BYTES_MAX);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request/stream", test_stream);
    g_test_add_func("/request/checks", test_checks);
    g_test_add_func("/request/not-current", test_not_current);
    g_test_add_func("/request/retry-and-resume", test_retry_and_resume);
    g_test_add_func("/request/no-upstream-available",
                    test_no_upstream_available);
    g_test_add_func("/request/incomplete-end", test_incomplete_end);
    g_test_add_func("/request/caller-disconnected", test_caller_disconnected);
    g_test_add_func("/request/key-withdrawn", test_key_withdrawn);
    g_test_add_func("/request/retained-bound", test_retained_bound);
    return g_test_run();
}
