/*
 * Tests of upstream-notices.h: what one host does with what upstreams say
 * about limits, pauses and leaving.
 */
#include <string.h>

#include "error.h"
#include "lib-relay.h"

/* Sends a call and returns its attempt, whose head has the notice. */
static struct ct_relay_start
call_with_notice(struct t_core *core, const struct ct_upstream_notice *notice)
{
    struct ct_relay_start start;

    t_relay_call(core, 1, T_RESUME_PATH);
    start = t_relay_started(core);
    t_relay_sent(core, start.attempt);
    t_relay_head(core, start.attempt, notice);
    return start;
}

/* The same; a negative limit is none. */
static struct ct_relay_start
call_with_head(struct t_core *core, int64_t limit_permille)
{
    const struct ct_upstream_notice notice = {
        .limited = limit_permille >= 0,
        .limit_permille = MAX(limit_permille, 0),
    };

    return call_with_notice(core, &notice);
}

static void
complete(struct t_core *core, const struct ct_relay_start *start)
{
    t_relay_data(core, start->attempt, 1);
    t_relay_done(core, start->attempt, CT_OUTCOME_COMPLETE, 200);
}

/* A host alone with one upstream that takes one call in two seconds. */
static void
setup_single(struct t_core *core)
{
    struct ct_relay_start start;

    t_relay_setup(core, 1);
    t_relay_post_members(core, CT_OK, 1);
    start = call_with_head(core, 500);
    complete(core, &start);
}

static void
pass_time(struct t_core *core, ct_ms ms)
{
    for (ct_ms end_ms = core->now_ms + ms;
         core->now_ms < end_ms &&
         !t_core_effect(core, CT_EFFECT_RELAY_START_ATTEMPT, 0);) {
        t_core_tick(core, 10);
    }
}

/* Where every upstream is limited, a call waits for a short time only. */
static void
test_wait_and_refusal(void)
{
    const struct ct_refuse_effect *refuse;
    struct t_core core;

    setup_single(&core);
    t_relay_call(&core, 1, T_RESUME_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_LIMITED, CT_NOT_RUN);
    refuse = &t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse;
    g_assert_cmpint(refuse->retry_after_ms, >, 1900);
    g_assert_cmpint(refuse->retry_after_ms, <=, 2100);
    t_core_tick(&core, 1700);
    t_relay_confirm(&core);
    t_relay_call(&core, 1, T_RESUME_PATH);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), ==, 0);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT), ==,
                     0);
    pass_time(&core, 400);
    t_relay_started(&core);
    t_core_free(&core);
}

/* A caller that leaves while its call waits gets no attempt. */
static void
test_caller_leaves_while_waiting(void)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_CALLER_DISCONNECTED};
    struct t_core core;

    setup_single(&core);
    t_core_tick(&core, 1700);
    t_relay_confirm(&core);
    event.u.caller = t_relay_call(&core, 1, T_RESUME_PATH);
    t_core_post(&core, &event);
    pass_time(&core, 1000);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT), ==,
                     0);
    t_core_free(&core);
}

/* While a more urgent call was refused, others do not take what gets free. */
static void
test_less_urgent_calls_yield(void)
{
    struct t_core core;

    setup_single(&core);
    t_core_tick(&core, 1500);
    t_relay_confirm(&core);
    t_relay_call(&core, 1, T_RESUME_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_LIMITED, CT_NOT_RUN);
    t_core_tick(&core, 600);
    t_relay_confirm(&core);
    /* Key 3 is that of a less urgent organisation. */
    t_relay_call(&core, 3, T_RESUME_PATH);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT), ==,
                     0);
    t_relay_call(&core, 1, T_RESUME_PATH);
    t_relay_started(&core);
    t_core_free(&core);
}

/* A response without a limit ends it. */
static void
test_end_of_limit(void)
{
    struct ct_relay_start start;
    struct t_core core;

    setup_single(&core);
    t_core_tick(&core, 2000);
    t_relay_confirm(&core);
    start = call_with_head(&core, -1);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_LOG_EVENT), ==, 1);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_LOG_EVENT, 0)->u.log.event,
                    ==, CT_LOG_UPSTREAM_UNLIMITED);
    complete(&core, &start);
    for (guint i = 0; i < 5; i++) {
        start = call_with_head(&core, -1);
        complete(&core, &start);
    }
    t_core_free(&core);
}

/* A limit that cannot be read does not end the one before it. */
static void
test_unreadable_limit_keeps_limit(void)
{
    const struct ct_upstream_notice unreadable = {.invalid = true};
    struct ct_relay_start start;
    struct t_core core;

    setup_single(&core);
    t_core_tick(&core, 2000);
    t_relay_confirm(&core);
    start = call_with_notice(&core, &unreadable);
    complete(&core, &start);
    t_relay_call(&core, 1, T_RESUME_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_LIMITED, CT_NOT_RUN);
    t_core_free(&core);
}

/* Another process under the same name and address is not limited. */
static void
test_restart_inherits_nothing(void)
{
    struct ct_store_upstream entry = t_upstream("engines", 0);
    struct t_core core;

    setup_single(&core);
    entry.started_ms = 2;
    t_relay_post_upstream(&core, &entry);
    t_relay_confirm(&core);
    t_relay_call(&core, 1, T_RESUME_PATH);
    t_relay_started(&core);
    t_core_free(&core);
}

/* A call is answered with the notice; its attempt is returned. */
static struct ct_relay_start
learn_leaving(struct t_core *core, const struct ct_upstream_notice *notice)
{
    struct ct_relay_start start = call_with_notice(core, notice);

    complete(core, &start);
    return start;
}

/* Declines the attempt; returns the retry. */
static struct ct_relay_start
decline(struct t_core *core, const struct ct_relay_start *start)
{
    t_relay_finish(core, start->attempt, CT_OUTCOME_DECLINED, 503);
    return t_relay_started(core);
}

/*
 * An upstream that says that it leaves gets no first attempts, retries or
 * backups, whatever its prefixes, until that is too old.
 */
static void
test_leaving(void)
{
    const struct ct_upstream_notice notice = {
        .leaving = true, .limited = true, .limit_permille = 1000000};
    struct ct_relay_start leaving;
    struct t_core core;
    bool used = false;

    t_relay_setup_backups(&core);
    leaving = learn_leaving(&core, &notice);
    for (guint i = 0; i < 50; i++) {
        struct ct_relay_start start;

        t_relay_call_with_prefix(&core, 1, T_RESUME_PATH, 1 + i);
        start = t_relay_started(&core);
        g_assert_cmpstr(start.upstream.text, !=, leaving.upstream.text);
        start = decline(&core, &start);
        g_assert_cmpstr(start.upstream.text, !=, leaving.upstream.text);
        t_relay_sent(&core, start.attempt);
        complete(&core, &start);
        t_relay_call_of_size(&core, 1, T_STREAM_PATH, 100);
        start = t_relay_started(&core);
        g_assert_cmpstr(start.cache_backup.text, !=, "");
        g_assert_cmpstr(start.cache_backup.text, !=, leaving.address.text);
        t_relay_sent(&core, start.attempt);
        complete(&core, &start);
        t_core_tick(&core, 1000);
        t_relay_confirm(&core);
    }
    for (guint i = 0; i < 300; i++) {
        t_core_tick(&core, 1000);
        t_relay_confirm(&core);
    }
    for (guint i = 0; i < 50 && !used; i++) {
        struct ct_relay_start start;

        t_relay_call_with_prefix(&core, 1, T_RESUME_PATH, 1 + i);
        start = t_relay_started(&core);
        used = strcmp(start.upstream.text, leaving.upstream.text) == 0;
        t_relay_sent(&core, start.attempt);
        complete(&core, &start);
    }
    g_assert_true(used);
    t_core_free(&core);
}

/* If all upstreams leave there is none; nothing has run. */
static void
test_all_leave(void)
{
    const struct ct_upstream_notice notice = {.leaving = true};
    struct t_core core;

    t_relay_setup(&core, 1);
    learn_leaving(&core, &notice);
    t_relay_call(&core, 1, T_RESUME_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_NO_UPSTREAM, CT_NOT_RUN);
    t_core_free(&core);
}

/* The upstream of the call refuses it and wants nothing for pause_ms. */
static struct ct_relay_start
refuse_with_pause(struct t_core *core, ct_ms pause_ms)
{
    const struct ct_upstream_notice notice = {.pause_ms = pause_ms};

    return call_with_notice(core, &notice);
}

/* An upstream that wants nothing for 4 s gets nothing, then calls again. */
static void
test_pause(void)
{
    struct ct_relay_start paused;
    struct t_core core;
    ct_ms end_ms;
    bool used = false;

    t_relay_setup(&core, 3);
    paused = refuse_with_pause(&core, 4000);
    end_ms = core.now_ms + 4000;
    t_relay_done(&core, paused.attempt, CT_OUTCOME_DECLINED, 503);
    for (guint i = 0; core.now_ms < end_ms + 2000; i++) {
        struct ct_relay_start start;

        t_relay_call_with_prefix(&core, 1, T_RESUME_PATH, 1 + i);
        start = t_relay_started(&core);
        if (strcmp(start.upstream.text, paused.upstream.text) == 0) {
            g_assert_cmpint(core.now_ms, >=, end_ms);
            used = true;
        }
        t_relay_sent(&core, start.attempt);
        complete(&core, &start);
        t_core_tick(&core, 100);
        t_relay_confirm(&core);
    }
    g_assert_true(used);
    t_core_free(&core);
}

/*
 * If all upstreams want nothing, calls are refused until the first end; a
 * pause of a year is cut to the longest one and logged.
 */
static void
test_all_pause(void)
{
    struct ct_relay_start start;
    struct t_core core;
    guint bad = 0;

    t_relay_setup(&core, 2);
    start = refuse_with_pause(&core, CT_MS_NEVER / 1000);
    for (guint i = 0; t_core_effect(&core, CT_EFFECT_LOG_EVENT, i); i++) {
        bad += t_core_effect(&core, CT_EFFECT_LOG_EVENT, i)->u.log.event ==
               CT_LOG_UPSTREAM_NOTICE_BAD;
    }
    g_assert_cmpuint(bad, ==, 1);
    t_relay_done(&core, start.attempt, CT_OUTCOME_DECLINED, 503);
    start = t_relay_started(&core);
    t_relay_sent(&core, start.attempt);
    complete(&core, &start);
    start = refuse_with_pause(&core, 7000);
    t_relay_done(&core, start.attempt, CT_OUTCOME_DECLINED, 503);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_LIMITED, CT_NOT_RUN);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)
                        ->u.refuse.retry_after_ms,
                    ==, 7000);
    for (guint i = 0; i < 300; i++) {
        t_core_tick(&core, 1000);
        t_relay_confirm(&core);
    }
    /* Both get calls again: the second is tried when the first refuses. */
    start = refuse_with_pause(&core, 1);
    t_relay_done(&core, start.attempt, CT_OUTCOME_DECLINED, 503);
    t_relay_started(&core);
    t_core_free(&core);
}

/* Values that cannot be read are logged at a bounded rate, and change nothing.
 */
static void
test_invalid_notice(void)
{
    const struct ct_upstream_notice notice = {.invalid = true};
    struct t_core core;
    guint logged = 0;

    t_relay_setup(&core, 1);
    for (guint i = 0; i < 100; i++) {
        struct ct_relay_start start = call_with_notice(&core, &notice);

        for (guint j = 0; t_core_effect(&core, CT_EFFECT_LOG_EVENT, j); j++) {
            logged +=
                t_core_effect(&core, CT_EFFECT_LOG_EVENT, j)->u.log.event ==
                CT_LOG_UPSTREAM_NOTICE_BAD;
        }
        complete(&core, &start);
        t_core_tick(&core, 100);
        t_relay_confirm(&core);
    }
    g_assert_cmpuint(logged, ==, 1);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream-notices/wait-and-refusal",
                    test_wait_and_refusal);
    g_test_add_func("/upstream-notices/caller-leaves-while-waiting",
                    test_caller_leaves_while_waiting);
    g_test_add_func("/upstream-notices/less-urgent-calls-yield",
                    test_less_urgent_calls_yield);
    g_test_add_func("/upstream-notices/end-of-limit", test_end_of_limit);
    g_test_add_func("/upstream-notices/unreadable-limit-keeps-limit",
                    test_unreadable_limit_keeps_limit);
    g_test_add_func("/upstream-notices/restart-inherits-nothing",
                    test_restart_inherits_nothing);
    g_test_add_func("/upstream-notices/leaving", test_leaving);
    g_test_add_func("/upstream-notices/all-leave", test_all_leave);
    g_test_add_func("/upstream-notices/pause", test_pause);
    g_test_add_func("/upstream-notices/all-pause", test_all_pause);
    g_test_add_func("/upstream-notices/invalid-notice", test_invalid_notice);
    return g_test_run();
}
