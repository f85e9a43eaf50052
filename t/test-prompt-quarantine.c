/*
 * Tests of prompt-quarantine.h: prompt parts that crash upstreams are refused,
 * other parts of the same prompts are not.
 */
#include <string.h>

#include "error.h"
#include "lib-relay.h"

#define PART_SHARED UINT64_C(0x51)
#define PART_CRASHING UINT64_C(0xdead)
#define PART_SOUND UINT64_C(0x50)
/* Time between two crashes, longer than that in which a rack is lost. */
#define STEP_MS 300

static const uint64_t crashing_parts[] = {PART_SHARED, PART_CRASHING, 0};
static const uint64_t sound_parts[] = {PART_SHARED, PART_SOUND, 0};

/* A host and the number of upstreams that were ever listed in its pool. */
struct world {
    struct t_core core;
    uint32_t listed;
    /* Calls with the crashing part that reached an upstream. */
    uint32_t sent;
    /* The last part of each call is its own; crashes are apart in time. */
    bool has_own;
};

static void
setup(struct world *world, uint32_t upstreams)
{
    memset(world, 0, sizeof(*world));
    t_relay_setup(&world->core, upstreams);
    world->listed = upstreams;
}

/* The upstream ends; another one takes its place. */
static void
replace_upstream(struct world *world, const struct ct_name *name)
{
    struct ct_store_upstream entry = t_upstream("engines", world->listed++);

    t_relay_post_upstream(&world->core, &entry);
    memset(&entry, 0, sizeof(entry));
    entry.upstream.name = *name;
    entry.removed = true;
    t_relay_post_upstream(&world->core, &entry);
    t_relay_confirm(&world->core);
}

static bool
is_started(const struct t_core *core)
{
    return t_core_count(core, CT_EFFECT_RELAY_START_ATTEMPT) > 0;
}

/*
 * Sends a call, all of whose attempts crash their upstreams with this status;
 * returns the number of attempts.
 */
static uint32_t
crash_by_call(struct world *world, const uint64_t *parts, uint32_t status)
{
    uint32_t attempts = 0;

    if (world->has_own) {
        t_relay_call_with_own_part(&world->core, 1, T_RESUME_PATH, parts);
    }
    else {
        t_relay_call_with_parts(&world->core, 1, T_RESUME_PATH, parts);
    }
    while (is_started(&world->core)) {
        struct ct_relay_start start = t_relay_started(&world->core);

        if (world->has_own) {
            world->core.now_ms += STEP_MS;
        }
        t_relay_finish(&world->core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                       status);
        attempts++;
        if (!is_started(&world->core)) {
            replace_upstream(world, &start.upstream);
        }
    }
    return attempts;
}

/* Sends a call that is answered; returns whether an upstream got it. */
static bool
answer_call(struct t_core *core, const uint64_t *parts)
{
    struct ct_relay_start start;

    t_relay_call_with_parts(core, 1, T_RESUME_PATH, parts);
    if (!is_started(core)) {
        return false;
    }
    start = t_relay_started(core);
    t_relay_sent(core, start.attempt);
    t_relay_data(core, start.attempt, 1);
    t_relay_done(core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    return true;
}

static void
step(struct t_core *core)
{
    t_core_tick(core, STEP_MS);
    t_relay_confirm(core);
}

/* Five calls with the crashing part; the shared one is answered if told so. */
static void
crash_by_crashing_calls(struct world *world, bool answer_shared)
{
    for (guint i = 0; i < 5; i++) {
        crash_by_call(world, crashing_parts, 200);
        step(&world->core);
        if (answer_shared) {
            g_assert_true(answer_call(&world->core, sound_parts));
        }
    }
}

/* Guards against calls that crash one upstream after the other. */
static void
test_crashing_part_stops_reaching_upstreams(void)
{
    struct world world;

    setup(&world, 12);
    crash_by_crashing_calls(&world, true);
    for (guint i = 0; i < 20; i++) {
        world.sent += crash_by_call(&world, crashing_parts, 200);
        step(&world.core);
        g_assert_true(answer_call(&world.core, sound_parts));
    }
    g_assert_cmpuint(world.sent, ==, 0);
    t_core_free(&world.core);
}

/* Sends a call with the shared part and one of its own, which is answered. */
static bool
answer_other_request(struct world *world, uint64_t own)
{
    const uint64_t parts[] = {PART_SHARED, own, 0};

    return answer_call(&world->core, parts);
}

/*
 * Guards against a request that crashes each upstream it reaches, and is sent
 * again and again, beside sound calls that share its document: three upstreams
 * end, then its repeats are refused, and no other call is.
 */
static void
test_repeats_of_one_request(gconstpointer arg)
{
    bool answered_between = GPOINTER_TO_INT(arg) != 0;
    struct world world;

    setup(&world, 12);
    world.has_own = true;
    for (guint i = 0; i < 10; i++) {
        world.sent += crash_by_call(&world, crashing_parts, 200);
        step(&world.core);
        if (answered_between) {
            g_assert_true(answer_other_request(&world, PART_SOUND + 1 + i));
        }
    }
    g_assert_cmpuint(world.sent, ==, 3);
    for (guint i = 0; i < 10; i++) {
        g_assert_true(answer_other_request(&world, PART_SOUND + 20 + i));
    }
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 200), ==, 0);
    t_core_free(&world.core);
}

/* Requests with own parts that crash by a part they share: it is refused. */
static void
test_shared_part_of_many_requests(void)
{
    struct world world;

    setup(&world, 12);
    world.has_own = true;
    for (guint i = 0; i < 10; i++) {
        const uint64_t parts[] = {PART_CRASHING, PART_SOUND + 1 + i, 0};

        world.sent += crash_by_call(&world, parts, 200);
        step(&world.core);
    }
    g_assert_cmpuint(world.sent, <=, 4);
    t_core_free(&world.core);
}

/* Own parts of answered calls take no rows. */
static void
test_own_parts_take_no_rows(void)
{
    struct world world;

    setup(&world, 12);
    for (guint i = 0; i < 100; i++) {
        const uint64_t parts[] = {PART_SHARED, PART_SOUND + 1 + i, 0};
        struct ct_relay_start start;

        t_relay_call_with_own_part(&world.core, 1, T_RESUME_PATH, parts);
        start = t_relay_started(&world.core);
        t_relay_sent(&world.core, start.attempt);
        t_relay_data(&world.core, start.attempt, 1);
        t_relay_done(&world.core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    }
    g_assert_cmpuint(world.core.state->prompt_quarantine.rows.live, ==, 1);
    t_core_free(&world.core);
}

/* Parts that each come with the crashing part once are not refused. */
static void
test_other_parts_of_crashing_calls_stay_allowed(void)
{
    struct world world;

    setup(&world, 12);
    for (guint i = 0; i < 5; i++) {
        const uint64_t parts[] = {PART_SHARED + 1 + i, PART_CRASHING, 0};

        crash_by_call(&world, parts, 200);
        step(&world.core);
    }
    for (guint i = 0; i < 5; i++) {
        const uint64_t parts[] = {PART_SHARED + 1 + i, PART_SOUND, 0};

        g_assert_true(answer_call(&world.core, parts));
    }
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 200), ==, 0);
    t_core_free(&world.core);
}

/*
 * No host has seen an answer to the shared part yet: a sound call is let
 * through to tell it from the crashing one.
 */
static void
test_unanswered_shared_part_released_by_probe(void)
{
    struct world world;

    setup(&world, 12);
    crash_by_crashing_calls(&world, false);
    g_assert_true(answer_call(&world.core, sound_parts));
    g_assert_cmpint(
        t_core_effect(&world.core, CT_EFFECT_LOG_EVENT, 0)->u.log.event, !=,
        CT_LOG_PART_QUARANTINED);
    g_assert_true(answer_call(&world.core, sound_parts));
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 200), ==, 0);
    t_core_free(&world.core);
}

/* In a large group few calls are let through to find out. */
static void
test_few_probes_in_a_group(void)
{
    uint32_t passed = 0;
    struct world world;

    setup(&world, 12);
    t_relay_post_members(&world.core, CT_OK, 50);
    crash_by_crashing_calls(&world, false);
    for (guint i = 0; i < 50; i++) {
        t_relay_call_with_parts(&world.core, 1, T_RESUME_PATH, sound_parts);
        passed += is_started(&world.core);
    }
    g_assert_cmpuint(passed, <=, 5);
    t_core_free(&world.core);
}

/* Without heads it takes twice as many crashes to quarantine a part. */
static void
test_crashes_without_a_head(void)
{
    struct world world;

    setup(&world, 20);
    for (guint i = 0; i < 6; i++) {
        crash_by_call(&world, crashing_parts, 0);
        step(&world.core);
        g_assert_true(answer_call(&world.core, sound_parts));
    }
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 0), ==, 0);
    t_core_free(&world.core);
}

/*
 * Calls that wait at an upstream when it ends are mostly not its cause: the
 * other hosts, which all read each record, learn of a part from its second
 * crash on.
 */
static void
test_waiting_calls_are_not_shared(void)
{
    struct ct_relay_start start;
    struct world world;

    setup(&world, 12);
    for (guint i = 0; i < 3; i++) {
        t_relay_call_with_parts(&world.core, 1, T_STREAM_PATH, sound_parts);
        start = t_relay_started(&world.core);
        t_relay_finish(&world.core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                       0);
        g_assert_cmpuint(
            t_core_count(&world.core, CT_EFFECT_STORE_APPEND_PARTS), ==,
            i > 0);
        replace_upstream(&world, &start.upstream);
        step(&world.core);
    }
    t_relay_call_with_parts(&world.core, 1, T_STREAM_PATH, crashing_parts);
    start = t_relay_started(&world.core);
    t_relay_finish(&world.core, start.attempt, CT_OUTCOME_CONNECTION_LOST,
                   200);
    g_assert_cmpuint(t_core_count(&world.core, CT_EFFECT_STORE_APPEND_PARTS),
                     ==, 1);
    t_core_free(&world.core);
}

/* Upstreams that are lost together, with their zone, count once. */
static void
test_lost_zone_quarantines_no_part(void)
{
    struct ct_relay_start starts[8];
    struct world world;

    setup(&world, 12);
    for (guint i = 0; i < G_N_ELEMENTS(starts); i++) {
        t_relay_call_with_parts(&world.core, 1, T_RESUME_PATH, sound_parts);
        starts[i] = t_relay_started(&world.core);
        t_relay_sent(&world.core, starts[i].attempt);
    }
    for (guint i = 0; i < G_N_ELEMENTS(starts); i++) {
        t_relay_done(&world.core, starts[i].attempt,
                     CT_OUTCOME_CONNECTION_LOST, 200);
    }
    step(&world.core);
    g_assert_true(answer_call(&world.core, sound_parts));
    t_core_free(&world.core);
}

/* An upstream that keeps failing without a restart counts once. */
static void
test_one_faulty_upstream_quarantines_no_part(void)
{
    struct t_core core;

    t_relay_setup(&core, 1);
    for (guint i = 0; i < 10; i++) {
        t_relay_call_with_parts(&core, 1, T_RESUME_PATH, sound_parts);
        t_relay_finish(&core, t_relay_started(&core).attempt,
                       CT_OUTCOME_CONNECTION_LOST, 200);
        step(&core);
    }
    g_assert_true(answer_call(&core, sound_parts));
    t_core_free(&core);
}

/* The refusal is true and says when the quarantine ends. */
static void
test_refusal(void)
{
    const struct ct_refuse_effect *refuse;
    struct world world;

    setup(&world, 12);
    crash_by_crashing_calls(&world, false);
    t_relay_call_with_parts(&world.core, 1, T_RESUME_PATH, crashing_parts);
    t_core_assert_refused(&world.core, CT_REFUSAL_PROMPT_QUARANTINED,
                          CT_NOT_RUN);
    refuse =
        &t_core_effect(&world.core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse;
    g_assert_cmpint(refuse->retry_after_ms, >, 500000);
    g_assert_cmpint(refuse->retry_after_ms, <=, 600000);
    t_core_free(&world.core);
}

/* After the quarantine calls pass again, until the next crash. */
static void
test_end_of_quarantine(void)
{
    struct world world;

    setup(&world, 12);
    crash_by_crashing_calls(&world, true);
    t_core_tick(&world.core, 601000);
    t_relay_confirm(&world.core);
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 200), ==, 1);
    step(&world.core);
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 200), ==, 0);
    t_core_free(&world.core);
}

static void
post_record(struct t_core *core, const struct ct_part_record *record)
{
    struct ct_event event = {.type = CT_EVENT_STORE_PARTS};

    event.u.part_record = *record;
    t_core_post(core, &event);
}

/* Passes the records that a host has just appended on to another one. */
static void
pass_records(const struct t_core *from, struct t_core *to)
{
    const struct ct_effect *effect;

    for (guint i = 0;
         (effect = t_core_effect(from, CT_EFFECT_STORE_APPEND_PARTS, i));
         i++) {
        post_record(to, &effect->u.part_record);
    }
}

/* Crashes that each host sees only some of count together. */
static void
test_hosts_share_crashes(void)
{
    struct t_core hosts[3];

    for (guint i = 0; i < G_N_ELEMENTS(hosts); i++) {
        t_relay_setup(&hosts[i], 12);
    }
    for (guint i = 0; i < G_N_ELEMENTS(hosts); i++) {
        struct ct_store_upstream entry = t_upstream("engines", 20 + i);
        struct ct_relay_start start;

        t_relay_call_with_parts(&hosts[i], 1, T_STREAM_PATH, crashing_parts);
        start = t_relay_started(&hosts[i]);
        /* Each host lost another upstream, or the same one restarted. */
        entry.upstream.name = start.upstream;
        entry.started_ms = 100 + i;
        t_relay_post_upstream(&hosts[i], &entry);
        t_relay_finish(&hosts[i], start.attempt, CT_OUTCOME_CONNECTION_LOST,
                       200);
        for (guint j = 0; j < G_N_ELEMENTS(hosts); j++) {
            if (j != i) {
                pass_records(&hosts[i], &hosts[j]);
                step(&hosts[j]);
            }
        }
        step(&hosts[i]);
    }
    for (guint i = 0; i < G_N_ELEMENTS(hosts); i++) {
        t_relay_call_with_parts(&hosts[i], 1, T_STREAM_PATH, crashing_parts);
        g_assert_false(is_started(&hosts[i]));
    }
    for (guint i = 0; i < G_N_ELEMENTS(hosts); i++) {
        t_core_free(&hosts[i]);
    }
}

static struct ct_part_record
record_of(enum ct_part_record_kind kind, ct_ms wall_ms)
{
    return (struct ct_part_record){
        .kind = kind,
        .parts = {.ids = {PART_CRASHING}, .n = 1},
        .wall_ms = wall_ms,
    };
}

/* A host that starts learns of quarantines, and of their early end. */
static void
test_quarantine_from_the_store(void)
{
    struct ct_part_record record;
    struct t_core core;

    t_relay_setup(&core, 3);
    record = record_of(CT_PART_QUARANTINED, core.wall_ms - 1);
    post_record(&core, &record);
    g_assert_true(answer_call(&core, crashing_parts));
    record = record_of(CT_PART_QUARANTINED, core.wall_ms + 100 * 3600 * 1000);
    post_record(&core, &record);
    t_relay_call_with_parts(&core, 1, T_RESUME_PATH, crashing_parts);
    g_assert_false(is_started(&core));
    /* What the store has is not written again. */
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_APPEND_PARTS), ==, 0);
    record = record_of(CT_PART_ANSWERED, 0);
    post_record(&core, &record);
    g_assert_true(answer_call(&core, crashing_parts));
    record = record_of(CT_PART_QUARANTINED, core.wall_ms + 100 * 3600 * 1000);
    post_record(&core, &record);
    t_core_tick(&core, 601000);
    t_relay_confirm(&core);
    g_assert_true(answer_call(&core, crashing_parts));
    t_core_free(&core);
}

/* A refusal writes the quarantine for hosts that start later. */
static void
test_quarantine_written(void)
{
    const struct ct_effect *effect;
    struct world world;

    setup(&world, 12);
    crash_by_crashing_calls(&world, true);
    t_core_tick(&world.core, 1000);
    t_relay_confirm(&world.core);
    t_relay_call_with_parts(&world.core, 1, T_RESUME_PATH, crashing_parts);
    effect = t_core_effect(&world.core, CT_EFFECT_STORE_APPEND_PARTS, 0);
    g_assert_cmpint(effect->u.part_record.kind, ==, CT_PART_QUARANTINED);
    g_assert_cmphex(effect->u.part_record.parts.ids[0], ==, PART_CRASHING);
    t_relay_call_with_parts(&world.core, 1, T_RESUME_PATH, crashing_parts);
    g_assert_cmpuint(t_core_count(&world.core, CT_EFFECT_STORE_APPEND_PARTS),
                     ==, 0);
    t_core_free(&world.core);
}

/* More parts than the table holds do not displace a quarantined one. */
static void
test_many_parts(void)
{
    struct world world;

    setup(&world, 12);
    /* The responses count as memory: no caller says that it has them. */
    world.core.state->self.bounds.memory_mb = 1024;
    crash_by_crashing_calls(&world, true);
    for (guint i = 0; i < 5000; i++) {
        const uint64_t parts[] = {0x10000 + i, 0};

        g_assert_true(answer_call(&world.core, parts));
    }
    g_assert_cmpuint(crash_by_call(&world, crashing_parts, 200), ==, 0);
    t_core_free(&world.core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func(
        "/prompt-quarantine/crashing-part-stops-reaching-upstreams",
        test_crashing_part_stops_reaching_upstreams);
    g_test_add_func(
        "/prompt-quarantine/other-parts-of-crashing-calls-stay-allowed",
        test_other_parts_of_crashing_calls_stay_allowed);
    g_test_add_func(
        "/prompt-quarantine/unanswered-shared-part-released-by-probe",
        test_unanswered_shared_part_released_by_probe);
    g_test_add_func("/prompt-quarantine/few-probes-in-a-group",
                    test_few_probes_in_a_group);
    g_test_add_func("/prompt-quarantine/crashes-without-a-head",
                    test_crashes_without_a_head);
    g_test_add_func("/prompt-quarantine/waiting-calls-are-not-shared",
                    test_waiting_calls_are_not_shared);
    g_test_add_func("/prompt-quarantine/lost-zone-quarantines-no-part",
                    test_lost_zone_quarantines_no_part);
    g_test_add_func(
        "/prompt-quarantine/one-faulty-upstream-quarantines-no-part",
        test_one_faulty_upstream_quarantines_no_part);
    g_test_add_data_func("/prompt-quarantine/repeats-of-one-request",
                         GINT_TO_POINTER(0), test_repeats_of_one_request);
    g_test_add_data_func("/prompt-quarantine/repeats-beside-sound-calls",
                         GINT_TO_POINTER(1), test_repeats_of_one_request);
    g_test_add_func("/prompt-quarantine/shared-part-of-many-requests",
                    test_shared_part_of_many_requests);
    g_test_add_func("/prompt-quarantine/own-parts-take-no-rows",
                    test_own_parts_take_no_rows);
    g_test_add_func("/prompt-quarantine/refusal", test_refusal);
    g_test_add_func("/prompt-quarantine/end-of-quarantine",
                    test_end_of_quarantine);
    g_test_add_func("/prompt-quarantine/hosts-share-crashes",
                    test_hosts_share_crashes);
    g_test_add_func("/prompt-quarantine/quarantine-from-the-store",
                    test_quarantine_from_the_store);
    g_test_add_func("/prompt-quarantine/quarantine-written",
                    test_quarantine_written);
    g_test_add_func("/prompt-quarantine/many-parts", test_many_parts);
    return g_test_run();
}
