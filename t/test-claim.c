/*
 * Tests of claim.h and its use: a request with an idempotency key runs at most
 * once.
 */
#include <string.h>

#include "claim.h"
#include "lib-core.h"

/* Returns the record that the reducer appends; fails if the type differs. */
static struct ct_record
expect_appended(const struct t_core *core, enum ct_record_type type)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_APPEND_LOG, 0);

    g_assert_nonnull(effect);
    g_assert_cmpint(effect->u.log_append.record.type, ==, type);
    return effect->u.log_append.record;
}

static void
post_append_done(struct t_core *core, uint64_t sequence, int32_t result)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_APPEND_DONE;
    event.u.log_append.sequence = sequence;
    event.u.log_append.result = result;
    t_core_post(core, &event);
}

/* A request is not sent before its claim is read back from the log. */
static void
test_claim_before_dispatch(void)
{
    struct t_core core;
    struct ct_record claim;
    const struct ct_effect *effect;

    t_core_init(&core);
    t_core_configure(&core, 1, 2);
    t_core_call(&core, 1, T_PLAIN_PATH);
    g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    claim = expect_appended(&core, CT_RECORD_CLAIM);
    post_append_done(&core, claim.sequence, CT_OK);
    g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    t_core_entry(&core, &claim);
    effect = t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0);
    g_assert_nonnull(effect);
    g_assert_true(effect->u.attempt.at_most_once);
    t_core_free(&core);
}

/*
 * If two hosts claim one key, the host whose record is second in the log
 * refuses its request.
 */
static void
test_race(void)
{
    struct t_core core;
    struct ct_record own;
    struct ct_record other;

    t_core_init(&core);
    t_core_configure(&core, 1, 2);
    t_core_call(&core, 1, T_PLAIN_PATH);
    own = expect_appended(&core, CT_RECORD_CLAIM);
    other = own;
    CT_TEXT_SET(other.writer, "h2-1");
    CT_TEXT_SET(other.u.claim.host, "h2");
    CT_TEXT_SET(other.u.claim.request_id, "request-other");
    t_core_entry(&core, &other);
    t_core_entry(&core, &own);
    g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    t_core_assert_refused(&core, CT_REFUSAL_DUPLICATE, CT_MAY_HAVE_RUN);
    t_core_free(&core);
}

/*
 * A request is refused because the log is unavailable. If its claim appears in
 * the log later, the host releases it as not run.
 */
static void
test_claim_after_refusal(void)
{
    struct t_core core;
    struct ct_record claim;
    struct ct_record done;

    t_core_init(&core);
    t_core_configure(&core, 1, 2);
    t_core_call(&core, 1, T_PLAIN_PATH);
    claim = expect_appended(&core, CT_RECORD_CLAIM);
    post_append_done(&core, claim.sequence, CT_ERR_LOG_UNAVAILABLE);
    t_core_assert_refused(&core, CT_REFUSAL_LOG_UNAVAILABLE, CT_NOT_RUN);
    t_core_entry(&core, &claim);
    g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    done = expect_appended(&core, CT_RECORD_CLAIM_DONE);
    g_assert_cmpint(done.u.claim.status, ==, CT_CLAIM_NOT_RUN);
    t_core_entry(&core, &done);
    g_assert_null(ct_claims_find(&core.state->claims, &claim.u.claim.digest));
    t_core_free(&core);
}

/* A claim of an earlier process of this host is not released. */
static void
test_earlier_process(void)
{
    struct t_core core;
    struct ct_record claim;

    t_core_init(&core);
    t_core_configure(&core, 1, 2);
    t_core_call(&core, 1, T_PLAIN_PATH);
    claim = expect_appended(&core, CT_RECORD_CLAIM);
    CT_TEXT_SET(claim.writer, "h1-0");
    CT_TEXT_SET(claim.u.claim.request_id, "request-earlier");
    memset(&claim.u.claim.digest, 77, sizeof(claim.u.claim.digest));
    t_core_entry(&core, &claim);
    g_assert_null(t_core_effect(&core, CT_EFFECT_APPEND_LOG, 0));
    g_assert_nonnull(
        ct_claims_find(&core.state->claims, &claim.u.claim.digest));
    t_core_free(&core);
}

/* After a byte may have been sent, the request is not sent again. */
static void
test_no_retry_after_sending(void)
{
    static const enum ct_outcome outcomes[] = {
        CT_OUTCOME_FAILED,
        CT_OUTCOME_CONNECTION_LOST,
        CT_OUTCOME_GAP_TIMEOUT,
        CT_OUTCOME_MISMATCH,
    };
    struct t_core core;

    for (gsize i = 0; i < G_N_ELEMENTS(outcomes); i++) {
        struct ct_record claim;
        struct ct_handle attempt;
        uint64_t caller;

        t_core_init(&core);
        t_core_configure(&core, 3, 2);
        caller = t_core_call(&core, 1, T_PLAIN_PATH);
        claim = expect_appended(&core, CT_RECORD_CLAIM);
        t_core_entry(&core, &claim);
        attempt = t_core_started(&core);
        t_core_sent(&core, attempt);
        t_core_done(&core, attempt, outcomes[i]);
        g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
        g_assert_cmpint(t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)
                            ->u.refuse.run_state,
                        ==, CT_MAY_HAVE_RUN);
        claim = expect_appended(&core, CT_RECORD_CLAIM_DONE);
        g_assert_cmpint(claim.u.claim.status, !=, CT_CLAIM_NOT_RUN);
        t_core_entry(&core, &claim);
        t_core_tick(&core, 100);
        g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
        /* If the caller repeats the request, it does not run either. */
        {
            struct ct_event event = t_call(&core, 1, T_PLAIN_PATH);

            event.u.call.idempotency_key = t_digest((uint8_t)caller);
            t_core_post(&core, &event);
            g_assert_null(t_core_effect(&core, CT_EFFECT_APPEND_LOG, 0));
            g_assert_cmpint(t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)
                                ->u.refuse.run_state,
                            ==, CT_MAY_HAVE_RUN);
        }
        t_core_free(&core);
    }
}

/* A request that the upstream declined may be sent to another one. */
static void
test_declined_is_retried(void)
{
    struct t_core core;
    struct ct_record claim;
    struct ct_handle attempt;

    t_core_init(&core);
    t_core_configure(&core, 3, 2);
    t_core_call(&core, 1, T_PLAIN_PATH);
    claim = expect_appended(&core, CT_RECORD_CLAIM);
    t_core_entry(&core, &claim);
    attempt = t_core_started(&core);
    t_core_sent(&core, attempt);
    t_core_done(&core, attempt, CT_OUTCOME_DECLINED);
    g_assert_nonnull(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    t_core_free(&core);
}

/* A claim past the horizon is removed, and its key cannot be claimed again. */
static void
test_horizon(void)
{
    struct ct_claims claims;
    struct ct_claim claim;

    memset(&claim, 0, sizeof(claim));
    claim.key_wall_ms = 1000;
    ct_claims_init(&claims);
    ct_claims_advance(&claims, 1000);
    g_assert_cmpint(ct_claims_apply(&claims, &claim, 1), ==, CT_CLAIM_WON);
    g_assert_cmpint(ct_claims_apply(&claims, &claim, 2), ==, CT_CLAIM_LOST);
    ct_claims_advance(&claims, 1000 + CT_CLAIM_HORIZON_MS);
    g_assert_null(ct_claims_find(&claims, &claim.digest));
    g_assert_cmpint(ct_claims_apply(&claims, &claim, 3), ==, CT_CLAIM_TOO_OLD);
    g_assert_cmpuint(claims.rows.live, ==, 0);
    ct_claims_free(&claims);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claim/before-dispatch", test_claim_before_dispatch);
    g_test_add_func("/claim/race", test_race);
    g_test_add_func("/claim/after-refusal", test_claim_after_refusal);
    g_test_add_func("/claim/earlier-process", test_earlier_process);
    g_test_add_func("/claim/no-retry-after-sending",
                    test_no_retry_after_sending);
    g_test_add_func("/claim/declined", test_declined_is_retried);
    g_test_add_func("/claim/horizon", test_horizon);
    return g_test_run();
}
