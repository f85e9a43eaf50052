/*
 * Tests of evacuation.h: which upstreams get calls while availability zones
 * are evacuated, and what happens to the calls that are there already.
 */
#include <string.h>

#include "evacuation.h"
#include "lib-relay.h"
#include "state-view.h"

/* Upstreams with an even number are in zone-a, the others in zone-b. */
#define UPSTREAMS 6
#define CALLS 24
#define OUTAGE_MS 60000
#define SHORT_PROMPT_TOKENS 100

static char
zone_of(const struct ct_relay_start *start)
{
    const char *number = strrchr(start->upstream.text, '-');

    return g_ascii_strtoll(number + 1, NULL, 10) % 2 ? 'b' : 'a';
}

/*
 * Performs one step: A, B, C evacuate a zone, a, b, c restore it, T reports
 * that the history was trimmed, E ends a full read, L loses the store.
 */
static void
perform_step(struct t_core *core, char step)
{
    char zone[] = "zone-x";

    switch (step) {
    case 'T':
        t_relay_read(core, CT_TOPIC_CONFIG, CT_ERR_LOG_TRUNCATED, 0, 0, 0);
        return;
    case 'E':
        t_relay_read(core, CT_TOPIC_CONFIG, CT_OK, 0, 0, 0);
        return;
    case 'L':
        t_relay_read(core, CT_TOPIC_CONFIG, CT_ERR_TIMEOUT, 0, 0, 0);
        t_core_tick(core, OUTAGE_MS);
        return;
    default:
        zone[5] = g_ascii_tolower(step);
        t_relay_post_evacuation(core, zone, g_ascii_islower(step));
    }
}

static void
perform_steps(struct t_core *core, const char *steps)
{
    for (const char *step = steps; *step != '\0'; step++) {
        perform_step(core, *step);
    }
}

static void
assert_refused(const struct t_core *core)
{
    g_assert_null(t_core_effect(core, CT_EFFECT_RELAY_START_ATTEMPT, 0));
    t_core_assert_refused(core, CT_REFUSAL_ZONE_EVACUATED, CT_NOT_RUN);
    g_assert_cmpint(t_core_effect(core, CT_EFFECT_REFUSE_REQUEST, 0)
                        ->u.refuse.retry_after_ms,
                    >=, 1000);
}

/* Makes calls, which only upstreams in these zones may get. */
static void
assert_zones(struct t_core *core, const char *zones)
{
    bool used[2] = {false, false};

    for (int i = 0; i < CALLS; i++) {
        struct ct_relay_start start;

        t_relay_call_with_prefix(core, 0, T_OPEN_PATH, 1000 + (uint64_t)i);
        if (zones[0] == '\0') {
            assert_refused(core);
            continue;
        }
        start = t_relay_started(core);
        g_assert_nonnull(strchr(zones, zone_of(&start)));
        used[zone_of(&start) == 'b'] = true;
        t_relay_finish(core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    }
    g_assert_cmpint(used[0], ==, strchr(zones, 'a') != NULL);
    g_assert_cmpint(used[1], ==, strchr(zones, 'b') != NULL);
}

static void
test_zones(void)
{
    static const struct {
        const char *steps;
        /* Zones whose upstreams get calls. */
        const char *zones;
        uint32_t evacuated;
    } cases[] = {
        {"", "ab", 0},
        {"A", "b", 1},
        {"AB", "", 2},
        {"Aa", "ab", 0},
        {"AAa", "ab", 0},
        {"ABa", "a", 1},
        /* A zone without upstreams, and one that is not evacuated. */
        {"C", "ab", 1},
        {"c", "ab", 0},
        /* The last known state stays in force without the store. */
        {"AL", "b", 1},
        {"ALE", "b", 1},
        /* A full read in progress, with the record, and without it. */
        {"AT", "b", 1},
        {"ATAE", "b", 1},
        {"ATE", "ab", 0},
        {"ABTBE", "a", 1},
        /* The record is deleted during or after the full read. */
        {"ATAEa", "ab", 0},
        {"ATAaE", "ab", 0},
        /* A record that is new in a full read is in force at once. */
        {"TA", "b", 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_state_summary summary;
        struct t_core core;

        g_test_message("steps %s", cases[i].steps);
        t_relay_setup(&core, UPSTREAMS);
        perform_steps(&core, cases[i].steps);
        assert_zones(&core, cases[i].zones);
        ct_state_summarise(core.state, core.now_ms, &summary);
        g_assert_cmpuint(summary.zones_evacuated, ==, cases[i].evacuated);
        t_core_free(&core);
    }
}

/*
 * A host that starts during an evacuation must not send a call before it has
 * read all of the topic, of which the configuration may be on the first page.
 */
static void
test_start(void)
{
    struct t_core core;

    t_relay_setup(&core, UPSTREAMS);
    core.state->store.topics[CT_TOPIC_CONFIG].covered_until_ms = 0;
    t_relay_call(&core, 0, T_OPEN_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_NOT_READY, CT_NOT_RUN);
    perform_steps(&core, "AE");
    assert_zones(&core, "b");
    t_core_free(&core);
}

/* Starts a call whose attempt is at an upstream in zone-a. */
static struct ct_relay_start
start_in_zone_a(struct t_core *core, const char *path, uint32_t tokens)
{
    struct ct_relay_start start;

    do {
        t_relay_call_of_size(core, 1, path, tokens);
        start = t_relay_started(core);
    } while (zone_of(&start) != 'a' && core->next_caller < CALLS);
    g_assert_cmpint(zone_of(&start), ==, 'a');
    return start;
}

/*
 * Attempts that were sent run to their end; only then is their call retried or
 * resumed, in another zone, or fails if there is none.
 */
static void
test_in_flight(void)
{
    static const struct {
        const char *path;
        enum ct_outcome outcome;
        uint64_t last_event;
        const char *zones;
        /* The call is sent again; else it fails, if not complete. */
        bool again;
    } cases[] = {
        {T_ANY_PATH, CT_OUTCOME_COMPLETE, 0, "A", false},
        {T_ANY_PATH, CT_OUTCOME_CONNECTION_LOST, 0, "A", true},
        {T_ANY_PATH, CT_OUTCOME_DECLINED, 0, "A", true},
        {T_ANY_PATH, CT_OUTCOME_CONNECTION_LOST, 0, "AB", false},
        {T_ANY_PATH, CT_OUTCOME_DECLINED, 0, "AB", false},
        {T_RESUME_PATH, CT_OUTCOME_CONNECTION_LOST, 3, "A", true},
        {T_RESUME_PATH, CT_OUTCOME_CONNECTION_LOST, 3, "AB", false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        bool declined = cases[i].outcome == CT_OUTCOME_DECLINED;
        struct ct_relay_start start;
        struct t_core core;

        t_relay_setup(&core, UPSTREAMS);
        start = start_in_zone_a(&core, cases[i].path, 20000);
        t_relay_sent(&core, start.attempt);
        if (cases[i].last_event > 0) {
            t_relay_data(&core, start.attempt, cases[i].last_event);
        }
        perform_steps(&core, cases[i].zones);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT),
                         ==, 0);
        t_relay_done(&core, start.attempt, cases[i].outcome,
                     declined ? 503 : 200);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT),
                         ==, cases[i].again);
        if (cases[i].again) {
            start = t_relay_started(&core);
            g_assert_cmpint(zone_of(&start), ==, 'b');
            g_assert_cmpuint(start.after_event, ==, cases[i].last_event);
        }
        else if (declined) {
            assert_refused(&core);
        }
        else if (cases[i].last_event == 0 &&
                 cases[i].outcome != CT_OUTCOME_COMPLETE) {
            t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_FAILED,
                                  CT_MAY_HAVE_RUN);
        }
        t_core_free(&core);
    }
}

/*
 * An attempt that still waits for its connection would be sent late: it is
 * taken back, and its call goes to another zone or is refused as not run.
 */
static void
test_unsent(void)
{
    static const char *const paths[] = {T_ANY_PATH, T_ONCE_PATH,
                                        T_RESUME_PATH};

    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        struct ct_relay_start start;
        struct ct_relay_start next;
        struct t_core core;

        t_relay_setup(&core, UPSTREAMS);
        start = start_in_zone_a(&core, paths[i], 20000);
        perform_steps(&core, "A");
        g_assert_true(ct_handle_eq(
            t_core_effect(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT, 0)
                ->u.relay.attempt,
            start.attempt));
        next = t_relay_started(&core);
        g_assert_cmpint(zone_of(&next), ==, 'b');
        /* Late events of the attempt that was taken back change nothing. */
        t_relay_finish(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
        g_assert_null(
            t_core_effect(&core, CT_EFFECT_RELAY_FORWARD_RESPONSE, 0));
        perform_steps(&core, "B");
        assert_refused(&core);
        t_core_free(&core);
    }
}

/* Returns the zone of the upstream at an address. */
static char
zone_at(const char *address)
{
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        struct ct_store_upstream entry = t_upstream("engines", i);

        if (strcmp(entry.upstream.address.text, address) == 0) {
            return i % 2 ? 'B' : 'A';
        }
    }
    g_assert_not_reached();
}

/*
 * A backup is not made in an evacuated zone, and one made before is not used:
 * neither when the run is to continue there nor while it connects.
 */
static void
test_backup(void)
{
    for (int connects = 0; connects < 2; connects++) {
        struct ct_relay_start start;
        struct t_core core;

        t_relay_setup_backups(&core);
        start = start_in_zone_a(&core, T_STREAM_PATH, SHORT_PROMPT_TOKENS);
        g_assert_cmpint(zone_at(start.cache_backup.text), ==, 'B');
        t_relay_sent(&core, start.attempt);
        t_relay_data(&core, start.attempt, 4);
        if (connects) {
            t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                         200);
            g_assert_true(t_relay_started(&core).from_backup);
            perform_steps(&core, "B");
        }
        else {
            perform_steps(&core, "B");
            t_relay_done(&core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                         200);
        }
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT),
                         ==, 0);
        g_assert_nonnull(
            t_core_effect(&core, CT_EFFECT_RELAY_ABORT_RESPONSE, 0));
        t_relay_call_of_size(&core, 1, T_STREAM_PATH, SHORT_PROMPT_TOKENS);
        start = t_relay_started(&core);
        g_assert_cmpint(zone_of(&start), ==, 'a');
        g_assert_cmpint(zone_at(start.cache_backup.text), ==, 'A');
        t_core_free(&core);
    }
}

/* A call that waits for a paused upstream chooses again after its wait. */
static void
test_waiting(void)
{
    static const struct ct_upstream_notice pause = {.pause_ms = 200};
    struct ct_relay_start start;
    struct t_core core;

    t_relay_setup(&core, 2);
    start = start_in_zone_a(&core, T_ANY_PATH, 20000);
    t_relay_sent(&core, start.attempt);
    t_relay_head(&core, start.attempt, &pause);
    perform_steps(&core, "B");
    t_relay_call(&core, 1, T_ANY_PATH);
    g_assert_null(t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0));
    g_assert_null(t_core_effect(&core, CT_EFFECT_RELAY_START_ATTEMPT, 0));
    perform_steps(&core, "A");
    /* The end of the pause is not worth a wait any more. */
    t_relay_call(&core, 1, T_ANY_PATH);
    assert_refused(&core);
    t_core_tick(&core, 250);
    assert_refused(&core);
    t_core_free(&core);
}

/* If the store lost the entries outside, they are used all the same. */
static void
test_unconfirmed(void)
{
    struct t_core core;

    t_relay_setup(&core, 2);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
    for (uint32_t i = 0; i < 2; i++) {
        struct ct_store_upstream entry = t_upstream("desk", i);

        entry.removed = i == 1;
        t_relay_post_upstream(&core, &entry);
    }
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_relay_assert_state(&core, "desk-1", true, CT_UPSTREAM_UNCONFIRMED);
    assert_zones(&core, "a");
    perform_steps(&core, "A");
    assert_zones(&core, "b");
    t_core_free(&core);
}

static uint32_t
count_logs(const struct t_core *core, enum ct_log_event event, int64_t *number)
{
    const struct ct_effect *effect;
    uint32_t n = 0;

    for (uint32_t i = 0;
         (effect = t_core_effect(core, CT_EFFECT_LOG_EVENT, i)) != NULL; i++) {
        if (effect->u.log.event == event) {
            n++;
            *number = effect->u.log.number;
        }
    }
    return n;
}

/* Counts the lines of the event within 5 s. */
static uint32_t
count_logs_later(struct t_core *core, enum ct_log_event event)
{
    int64_t number;
    uint32_t n = 0;

    for (int i = 0; i < 100; i++) {
        t_core_tick(core, 50);
        n += count_logs(core, event, &number);
    }
    return n;
}

/* Operators see begin, drain and end once each, and names that do not exist.
 */
static void
test_log(void)
{
    struct ct_relay_start start;
    int64_t number;
    struct t_core core;

    t_relay_setup(&core, UPSTREAMS);
    start = start_in_zone_a(&core, T_ANY_PATH, 20000);
    t_relay_sent(&core, start.attempt);
    perform_steps(&core, "A");
    g_assert_cmpuint(count_logs(&core, CT_LOG_ZONE_EVACUATED, &number), ==, 1);
    g_assert_cmpint(number, >=, 1);
    perform_steps(&core, "A");
    g_assert_cmpuint(count_logs(&core, CT_LOG_ZONE_EVACUATED, &number), ==, 0);
    g_assert_cmpuint(count_logs_later(&core, CT_LOG_ZONE_DRAINED), ==, 0);
    t_relay_done(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    g_assert_cmpuint(count_logs_later(&core, CT_LOG_ZONE_DRAINED), ==, 1);
    perform_steps(&core, "a");
    g_assert_cmpuint(count_logs(&core, CT_LOG_ZONE_RESTORED, &number), ==, 1);
    g_assert_cmpint(number, >=, 10000);
    perform_steps(&core, "C");
    g_assert_cmpuint(count_logs_later(&core, CT_LOG_EVACUATION_UNKNOWN_ZONE),
                     ==, 1);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuation/zones", test_zones);
    g_test_add_func("/evacuation/start", test_start);
    g_test_add_func("/evacuation/in-flight", test_in_flight);
    g_test_add_func("/evacuation/unsent", test_unsent);
    g_test_add_func("/evacuation/backup", test_backup);
    g_test_add_func("/evacuation/waiting", test_waiting);
    g_test_add_func("/evacuation/unconfirmed", test_unconfirmed);
    g_test_add_func("/evacuation/log", test_log);
    return g_test_run();
}
