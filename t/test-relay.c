/* Tests of relay.h: admission, refusals, log events and usage counts. */
#include <string.h>

#include "lib-relay.h"
#include "outcome.h"

/*
 * Asserts the refusal, or for CT_REFUSAL_COUNT that the call was sent to an
 * upstream.
 */
static void
assert_result(const struct t_core *core, enum ct_refusal reason)
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
        assert_result(&core, cases[i].reason);
        t_core_free(&core);
    }
}

/*
 * Before the first configuration is read, calls are refused as not ready, not
 * for an unknown key or route.
 */
static void
test_no_config(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_NOT_READY, CT_NOT_RUN);
    t_core_free(&core);
}

/*
 * A key may have been withdrawn without this host having read it: with
 * outdated store data no call with a key runs, and no key or route is reported
 * as unknown.
 */
static void
test_outdated_data(void)
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
        assert_result(&core, cases[i].reason);
        t_core_free(&core);
    }
}

/*
 * A key that a newer configuration lacks is refused, and accepted again once a
 * later one names it.
 */
static void
test_key_removed(void)
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

/*
 * While items of the configuration could not be read, a key or route that it
 * does not name is refused as not current, not as unknown; the others hold.
 */
static void
test_partial_config(void)
{
    static const struct {
        uint8_t key;
        const char *path;
        enum ct_refusal reason;
    } cases[] = {
        {1, T_ANY_PATH, CT_REFUSAL_COUNT},
        {0, T_ANY_PATH, CT_REFUSAL_NO_KEY},
        {9, T_ANY_PATH, CT_REFUSAL_NOT_CURRENT},
        {1, "/none/x", CT_REFUSAL_NOT_CURRENT},
        {0, T_OPEN_PATH, CT_REFUSAL_COUNT},
    };
    GArray *rows = t_relay_rows();

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_event event = {.type = CT_EVENT_STORE_CONFIG};
        struct t_core core;

        t_relay_setup(&core, 2);
        event.u.store_config.version = 6;
        event.u.store_config.keys_required = true;
        event.u.store_config.n_left_out = 1;
        event.rows =
            CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);
        t_core_post(&core, &event);
        g_assert_null(t_core_effect(&core, CT_EFFECT_SET_CALLER_LIMITS, 0));
        t_relay_call(&core, cases[i].key, cases[i].path);
        assert_result(&core, cases[i].reason);
        t_core_free(&core);
    }
    g_array_free(rows, TRUE);
}

/* Adds a stream route of a rank to the configuration, at the path /RANK/. */
static void
add_ranked_route(GArray *rows, uint32_t rank)
{
    char *path = g_strdup_printf("/%u/", rank);
    struct ct_prefix_route route = {.stream = true};
    struct ct_pool_share *share;

    CT_TEXT_SET(route.name, path);
    CT_TEXT_SET(route.authority, T_HOST);
    CT_TEXT_SET(route.prefix, path);
    route.repeat = CT_REPEAT_NEVER;
    route.rank = rank;
    route.attempts = 1;
    route.timeout_ms = 10000;
    ct_config_rows_add(rows, CT_CONFIG_PREFIX_ROUTE)->u.prefix_route = route;
    share = &ct_config_rows_add(rows, CT_CONFIG_POOL_SHARE)->u.pool_share;
    CT_TEXT_SET(share->route, path);
    CT_TEXT_SET(share->pool, "engines");
    share->weight = 1;
    g_free(path);
}

/*
 * The rank of an organisation decides before that of the route, but does not
 * make its calls equal: of two calls of one organisation the one on the more
 * urgent route stays ahead.
 */
static void
test_ranks(void)
{
    static const struct {
        uint8_t key;
        const char *path;
    } order[] = {{1, "/0/x"}, {1, "/1/x"}, {1, "/2/x"},
                 {3, "/0/x"}, {3, "/1/x"}, {3, "/2/x"}};
    GArray *rows = t_relay_rows();
    struct t_core core;

    for (uint32_t rank = 0; rank < 3; rank++) {
        add_ranked_route(rows, rank);
    }
    t_relay_setup(&core, 2);
    t_relay_post_config(&core, 6, rows);
    for (guint i = 0; i < G_N_ELEMENTS(order); i++) {
        t_relay_call(&core, order[i].key, order[i].path);
        g_assert_cmpuint(t_relay_started(&core).rank, ==, i);
    }
    t_core_free(&core);
    g_array_free(rows, TRUE);
}

/*
 * The attempt carries the organisation, the rank and the deadline to the
 * upstream.
 */
static void
test_attempt_fields(void)
{
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 2);
    t_relay_call(&core, 1, T_STREAM_PATH);
    start = t_relay_started(&core);
    g_assert_cmpstr(start.organisation.text, ==, "acme");
    g_assert_cmpuint(start.rank, ==, 0);
    g_assert_cmpint(start.deadline_ms, ==, core.now_ms + 10000);
    t_relay_call(&core, 3, T_STREAM_PATH);
    g_assert_cmpuint(t_relay_started(&core).rank, ==, 1);
    t_relay_call(&core, 1, T_OPEN_PATH);
    g_assert_cmpstr(t_relay_started(&core).organisation.text, ==, "");
    t_core_free(&core);
}

static const struct ct_log_effect *
logged_event(const struct t_core *core, enum ct_log_event event)
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

/*
 * The log event at the end of a call contains the request, the configuration
 * version, the upstream and the outcome.
 */
static void
test_log_events(void)
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
    log = logged_event(&core, CT_LOG_RELAY_ENDED);
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
    log = logged_event(&core, CT_LOG_RELAY_REFUSED);
    g_assert_cmpstr(log->reason.text, ==, ct_refusal_text(CT_REFUSAL_NO_KEY));
    g_assert_cmpstr(log->name.text, ==, "");
    g_assert_cmpstr(log->outcome.text, ==, "");
    t_core_free(&core);
}

/*
 * The caller's deadline bounds a call if it ends before the route's timeout.
 */
static void
test_deadline(void)
{
    static const struct {
        ct_ms deadline_ms;
        ct_ms expected_ms;
    } cases[] = {{0, 10000}, {700, 700}, {60000, 10000}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_relay_start start;
        struct t_core core;

        t_relay_setup(&core, 2);
        t_relay_call_within(&core, 1, T_ANY_PATH, cases[i].deadline_ms);
        start = t_relay_started(&core);
        g_assert_cmpint(start.deadline_ms - core.now_ms, ==,
                        cases[i].expected_ms);
        t_core_free(&core);
    }
}

/* A call of a route without pool shares is refused for lack of an upstream. */
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

/*
 * A caller that closes its connection after the end of the response does not
 * count as disconnected.
 */
static void
test_disconnect_after_end(void)
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

static GArray *
rows_without_organisations(void)
{
    GArray *rows = t_relay_rows();
    guint i = 0;

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
    return rows;
}

/*
 * Guards against hosts that admit every key once the last organisation is
 * removed (review/3): an empty list admits none. Only a configuration without
 * a list needs no key, and there too a key is refused that no organisation
 * holds. On a running host and on one whose first configuration it is.
 */
static void
test_no_organisations(void)
{
    static const struct {
        bool keys_required;
        uint8_t key;
        const char *path;
        enum ct_refusal reason;
    } cases[] = {
        {true, 0, T_ANY_PATH, CT_REFUSAL_NO_KEY},
        {true, 1, T_ANY_PATH, CT_REFUSAL_UNKNOWN_KEY},
        {true, 9, T_ANY_PATH, CT_REFUSAL_UNKNOWN_KEY},
        {true, 0, T_OPEN_PATH, CT_REFUSAL_COUNT},
        {true, 9, T_OPEN_PATH, CT_REFUSAL_COUNT},
        {false, 0, T_ANY_PATH, CT_REFUSAL_COUNT},
        {false, 1, T_ANY_PATH, CT_REFUSAL_UNKNOWN_KEY},
        {false, 9, T_ANY_PATH, CT_REFUSAL_UNKNOWN_KEY},
        {false, 9, T_OPEN_PATH, CT_REFUSAL_COUNT},
    };

    for (guint i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
        guint c = i / 2;
        GArray *rows = rows_without_organisations();
        struct ct_event event = {.type = CT_EVENT_STORE_CONFIG};
        struct t_core core;

        t_relay_setup(&core, 2);
        if (i % 2) {
            /* As on a host that starts. */
            core.state->store.config_known = false;
            core.state->store.keys_required = false;
        }
        event.u.store_config.version = 6;
        event.u.store_config.keys_required = cases[c].keys_required;
        event.rows =
            CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);
        t_core_post(&core, &event);
        t_relay_confirm(&core);
        t_relay_call(&core, cases[c].key, cases[c].path);
        assert_result(&core, cases[c].reason);
        g_array_free(rows, TRUE);
        t_core_free(&core);
    }
}

/*
 * A call in flight keeps its organisation's row; the list is empty all the
 * same.
 */
static void
test_no_organisations_in_flight(void)
{
    GArray *rows = rows_without_organisations();
    struct t_core core;

    t_relay_setup(&core, 2);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_relay_started(&core);
    t_relay_post_config(&core, 6, rows);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_UNKNOWN_KEY, CT_NOT_RUN);
    g_array_free(rows, TRUE);
    t_core_free(&core);
}

/*
 * The attempt for a disconnected caller is cancelled, unless the call may run
 * only once and may have run already.
 */
static void
test_caller_disconnected(void)
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
        g_assert_cmpint(
            t_core_effect(&core, CT_EFFECT_LOG_EVENT, 0)->u.log.event, ==,
            CT_LOG_RELAY_GONE);
        g_assert_cmpstr(
            t_core_effect(&core, CT_EFFECT_LOG_EVENT, 0)->u.log.upstream.text,
            ==, start.upstream.text);
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

/*
 * When a call's time is up, its refusal states correctly that it may have run.
 */
static void
test_timeout(void)
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

/*
 * A request of an organisation is counted once, when the first part of its
 * response arrives.
 */
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
    g_test_add_func("/relay/no-config", test_no_config);
    g_test_add_func("/relay/outdated-data", test_outdated_data);
    g_test_add_func("/relay/key-removed", test_key_removed);
    g_test_add_func("/relay/partial-config", test_partial_config);
    g_test_add_func("/relay/ranks", test_ranks);
    g_test_add_func("/relay/attempt-fields", test_attempt_fields);
    g_test_add_func("/relay/log-events", test_log_events);
    g_test_add_func("/relay/deadline", test_deadline);
    g_test_add_func("/relay/no-pool", test_no_pool);
    g_test_add_func("/relay/disconnect-after-end", test_disconnect_after_end);
    g_test_add_func("/relay/no-organisations", test_no_organisations);
    g_test_add_func("/relay/no-organisations-in-flight",
                    test_no_organisations_in_flight);
    g_test_add_func("/relay/caller-disconnected", test_caller_disconnected);
    g_test_add_func("/relay/timeout", test_timeout);
    g_test_add_func("/relay/counted-once", test_counted_once);
    return g_test_run();
}
