/* Tests of relay.h: who is let in, what is refused, logged and counted. */
#include <string.h>

#include "lib-relay.h"
#include "outcome.h"

/* CT_REFUSAL_COUNT: it was sent to an upstream. */
static void
expect(const struct t_core *core, enum ct_refusal reason)
{
    if (reason == CT_REFUSAL_COUNT) {
        t_relay_started(core);
        return;
    }
    t_core_assert_refused(core, reason, CT_NOT_RUN);
}

static void
test_admission(void)
{
    static const struct {
        uint8_t key;
        const char *path;
        enum ct_refusal reason;
    } cases[] = {
        {0, T_OPEN_PATH, CT_REFUSAL_COUNT},
        {9, T_OPEN_PATH, CT_REFUSAL_COUNT},
        {1, T_ANY_PATH, CT_REFUSAL_COUNT},
        {0, T_ANY_PATH, CT_REFUSAL_NO_KEY},
        {9, T_ANY_PATH, CT_REFUSAL_UNKNOWN_KEY},
        {1, "/none/x", CT_REFUSAL_ROUTE_UNKNOWN},
        {1, "/any", CT_REFUSAL_ROUTE_UNKNOWN},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct t_core core;

        t_relay_setup(&core, 2);
        t_relay_call(&core, cases[i].key, cases[i].path);
        expect(&core, cases[i].reason);
        t_core_free(&core);
    }
}

/* Nothing is said about keys and routes before something is known of them. */
static void
test_unknown_yet(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_NOT_READY, CT_NOT_RUN);
    t_core_free(&core);
}

/*
 * A key may have been taken away that this host has not heard of: with old
 * knowledge nothing runs by a key, and no key or route is called unknown.
 */
static void
test_old_knowledge(void)
{
    static const struct {
        ct_ms age_ms;
        uint8_t key;
        const char *path;
        enum ct_refusal reason;
    } cases[] = {
        {4400, 1, T_ANY_PATH, CT_REFUSAL_COUNT},
        {4500, 1, T_ANY_PATH, CT_REFUSAL_NOT_CURRENT},
        {4500, 9, T_ANY_PATH, CT_REFUSAL_NOT_CURRENT},
        {4500, 1, "/none/x", CT_REFUSAL_NOT_CURRENT},
        {60000, 0, T_OPEN_PATH, CT_REFUSAL_COUNT},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct t_core core;

        t_relay_setup(&core, 2);
        core.now_ms += cases[i].age_ms;
        core.wall_ms += cases[i].age_ms;
        t_relay_call(&core, cases[i].key, cases[i].path);
        expect(&core, cases[i].reason);
        t_core_free(&core);
    }
}

/* A key that a newer configuration lacks, and one that it names again. */
static void
test_key_taken_away(void)
{
    GArray *rows = t_relay_rows();
    struct t_core core;

    t_relay_setup(&core, 2);
    for (guint i = 0; i < rows->len; i++) {
        struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == CT_CONFIG_KEY &&
            row->u.key.digest.bytes[0] == t_digest(1).bytes[0]) {
            row->u.key.digest = t_digest(4);
        }
    }
    t_relay_post_config(&core, 6, rows);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_UNKNOWN_KEY, CT_NOT_RUN);
    t_relay_call(&core, 4, T_ANY_PATH);
    t_relay_started(&core);
    t_relay_configure(&core, 7, 0);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_relay_started(&core);
    t_core_free(&core);
    g_array_free(rows, TRUE);
}

/* What the upstream is told: organisation, rank, and the time that is left. */
static void
test_start(void)
{
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 2);
    t_relay_call(&core, 1, T_STREAM_PATH);
    start = t_relay_started(&core);
    g_assert_cmpstr(start.organisation.text, ==, "acme");
    g_assert_cmpuint(start.rank, ==, 2);
    g_assert_cmpint(start.deadline_ms, ==, core.now_ms + 10000);
    t_relay_call(&core, 3, T_STREAM_PATH);
    g_assert_cmpuint(t_relay_started(&core).rank, ==, 7);
    t_relay_call(&core, 1, T_OPEN_PATH);
    g_assert_cmpstr(t_relay_started(&core).organisation.text, ==, "");
    t_core_free(&core);
}

static const struct ct_log_effect *
logged(const struct t_core *core, enum ct_log_event event)
{
    const struct ct_effect *effect;

    for (uint32_t n = 0;
         (effect = t_core_effect(core, CT_EFFECT_LOG_EVENT, n)); n++) {
        if (effect->u.log.event == event) {
            return &effect->u.log;
        }
    }
    g_assert_not_reached();
}

/* What is logged of a call's end: what it rested on, and how it went. */
static void
test_logged(void)
{
    const struct ct_log_effect *log;
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 3);
    t_relay_call(&core, 1, T_ANY_PATH);
    start = t_relay_started(&core);
    core.now_ms += 70;
    core.wall_ms += 70;
    t_relay_finish(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    log = logged(&core, CT_LOG_RELAY_ENDED);
    g_assert_cmpstr(log->request_id.text, ==, start.request_id.text);
    g_assert_cmpstr(log->name.text, ==, "acme");
    g_assert_cmpstr(log->other.text, ==, "/any/");
    g_assert_cmpstr(log->upstream.text, ==, start.upstream.text);
    g_assert_cmpstr(log->outcome.text, ==,
                    ct_outcome_text(CT_OUTCOME_COMPLETE));
    g_assert_cmpint(log->config_version, ==, 5);
    g_assert_cmpint(log->elapsed_ms, ==, 70);
    g_assert_cmpuint(log->attempts, ==, 1);
    g_assert_cmpuint(log->status, ==, 200);
    t_relay_call(&core, 0, T_ANY_PATH);
    log = logged(&core, CT_LOG_RELAY_REFUSED);
    g_assert_cmpstr(log->reason.text, ==, ct_refusal_text(CT_REFUSAL_NO_KEY));
    g_assert_cmpstr(log->name.text, ==, "");
    g_assert_cmpstr(log->outcome.text, ==, "");
    t_core_free(&core);
}

/* The caller's patience bounds a call where it ends before the route's. */
static void
test_deadline(void)
{
    static const struct {
        ct_ms deadline_ms;
        ct_ms until_ms;
    } cases[] = {{0, 10000}, {700, 700}, {60000, 10000}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_relay_start start;
        struct t_core core;

        t_relay_setup(&core, 2);
        t_relay_call_within(&core, 1, T_ANY_PATH, cases[i].deadline_ms);
        start = t_relay_started(&core);
        g_assert_cmpint(start.deadline_ms - core.now_ms, ==,
                        cases[i].until_ms);
        t_core_free(&core);
    }
}

/* A route whose pools all have no share has nowhere to send a call. */
static void
test_no_pool(void)
{
    GArray *rows = t_relay_rows();
    struct t_core core;

    t_relay_setup(&core, 2);
    for (guint i = 0; i < rows->len; i++) {
        if (g_array_index(rows, struct ct_config_row, i).kind ==
            CT_CONFIG_POOL_SHARE) {
            g_array_remove_index(rows, i--);
        }
    }
    t_relay_post_config(&core, 6, rows);
    t_relay_confirm(&core);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_NO_UPSTREAM, CT_NOT_RUN);
    g_array_free(rows, TRUE);
    t_core_free(&core);
}

/* A caller may close its connection when the answer has ended. */
static void
test_gone_after_end(void)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_CALLER_DISCONNECTED};
    struct t_core core;

    t_relay_setup(&core, 2);
    event.u.caller = t_relay_call(&core, 1, T_ANY_PATH);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_COMPLETE,
                   200);
    t_core_post(&core, &event);
    g_assert_cmpuint(
        core.state->counters.values[CT_COUNTER_CALLERS_DISCONNECTED], ==, 0);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT), ==,
                     0);
    t_core_free(&core);
}

/* A configuration that names no organisations asks for no keys. */
static void
test_no_organisations(void)
{
    GArray *rows = t_relay_rows();
    struct t_core core;
    guint i = 0;

    t_relay_setup(&core, 2);
    while (i < rows->len) {
        enum ct_config_kind kind =
            g_array_index(rows, struct ct_config_row, i).kind;

        if (kind == CT_CONFIG_KEY || kind == CT_CONFIG_ORGANISATION) {
            g_array_remove_index(rows, i);
        }
        else {
            i++;
        }
    }
    t_relay_post_config(&core, 6, rows);
    t_relay_confirm(&core);
    t_relay_call(&core, 0, T_ANY_PATH);
    t_relay_started(&core);
    g_array_free(rows, TRUE);
    t_core_free(&core);
}

/* Work for a caller who left is stopped, but what may have run once only. */
static void
test_gone(void)
{
    static const struct {
        const char *path;
        bool sent, cancelled;
    } cases[] = {
        {T_ANY_PATH, true, true},     {T_STREAM_PATH, true, true},
        {T_RESUME_PATH, false, true}, {T_ONCE_PATH, false, true},
        {T_ONCE_PATH, true, false},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_event event = {.type = CT_EVENT_RELAY_CALLER_DISCONNECTED};
        struct ct_relay_start start;
        struct t_core core;

        t_relay_setup(&core, 2);
        event.u.caller = t_relay_call(&core, 1, cases[i].path);
        start = t_relay_started(&core);
        if (cases[i].sent) {
            t_relay_sent(&core, start.attempt);
        }
        t_core_post(&core, &event);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT),
                         ==, cases[i].cancelled);
        if (!cases[i].cancelled) {
            t_relay_done(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
            g_assert_cmpuint(
                t_core_count(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE), ==, 0);
        }
        g_assert_cmpuint(core.state->relays.rows.live, ==, 0);
        g_assert_cmpuint(core.state->relays.attempts.live, ==, 0);
        t_core_free(&core);
    }
}

/* At the end of its time a call gets a last word that is true. */
static void
test_time_is_up(void)
{
    struct t_core core;

    t_relay_setup(&core, 2);
    t_relay_call(&core, 1, T_ONCE_PATH);
    t_relay_sent(&core, t_relay_started(&core).attempt);
    t_core_tick(&core, 10000);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), ==, 0);
    t_core_tick(&core, 200);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_SILENT, CT_MAY_HAVE_RUN);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT), ==,
                     1);
    t_core_free(&core);
}

/* Requests of an organisation count once, when their first answer comes. */
static void
test_counted_once(void)
{
    struct ct_relay_start start;
    struct t_core core;
    const struct ct_tally_count *count;

    t_relay_setup(&core, 3);
    t_relay_call(&core, 1, T_RESUME_PATH);
    start = t_relay_started(&core);
    t_relay_sent(&core, start.attempt);
    g_assert_cmpuint(core.state->tallies.counts->len, ==, 0);
    t_relay_data(&core, start.attempt, 1);
    t_relay_data(&core, start.attempt, 2);
    t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST, 200);
    t_relay_finish(&core, t_relay_started(&core).attempt, CT_OUTCOME_COMPLETE,
                   200);
    g_assert_cmpuint(core.state->tallies.counts->len, ==, 1);
    count =
        &g_array_index(core.state->tallies.counts, struct ct_tally_count, 0);
    g_assert_cmpuint(count->row.requests, ==, 1);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay/admission", test_admission);
    g_test_add_func("/relay/unknown-yet", test_unknown_yet);
    g_test_add_func("/relay/old-knowledge", test_old_knowledge);
    g_test_add_func("/relay/key-taken-away", test_key_taken_away);
    g_test_add_func("/relay/start", test_start);
    g_test_add_func("/relay/logged", test_logged);
    g_test_add_func("/relay/deadline", test_deadline);
    g_test_add_func("/relay/no-pool", test_no_pool);
    g_test_add_func("/relay/gone-after-end", test_gone_after_end);
    g_test_add_func("/relay/no-organisations", test_no_organisations);
    g_test_add_func("/relay/gone", test_gone);
    g_test_add_func("/relay/time-is-up", test_time_is_up);
    g_test_add_func("/relay/counted-once", test_counted_once);
    return g_test_run();
}
