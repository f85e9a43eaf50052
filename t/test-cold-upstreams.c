/*
 * Tests of cold-upstreams.h: all hosts together send a cold upstream no more
 * than it takes, whatever each of them knows of the group.
 */
#include <string.h>

#include "error.h"
#include "lib-cold-group.h"

/* Hosts that run at the start of most tests; the others join later. */
#define FIRST_HOSTS 90

/* In a calm group a cold upstream gets four requests a second or more. */
static void
test_calm(void)
{
    struct t_cold_group *group = t_cold_setup(1, FIRST_HOSTS, 1);

    t_cold_run(group, 10000);
    t_cold_run(group, 20000);
    t_cold_assert_within_bound(group, "calm");
    g_assert_cmpuint(t_cold_count_since(group, 10000 / T_COLD_STEP_MS), >=,
                     20 * 4);
    t_cold_teardown(group);
}

/*
 * Hosts that start one after the other see ever larger groups, and then ones
 * from which half of the hosts leave.
 */
static void
test_growing_and_shrinking(void)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        uint32_t first = 1 + seed % 10;
        struct t_cold_group *group = t_cold_setup(seed, first, 1 + seed % 2);

        t_cold_run(group, 10000);
        for (uint32_t i = first; i < T_COLD_HOSTS; i++) {
            t_cold_start(group, i);
            t_cold_run(group, i % (1 + seed / 4) ? 0 : T_COLD_STEP_MS);
        }
        t_cold_run(group, 5000);
        for (uint32_t i = 0; i < T_COLD_HOSTS; i += 2) {
            if (seed % 3) {
                t_cold_stop(group, i);
            }
            else {
                group->hosts[i].cut_until = group->step + 150;
            }
            t_cold_run(group, i % 4 ? 0 : T_COLD_STEP_MS);
        }
        t_cold_run(group, 8000);
        t_cold_assert_within_bound(group, "growing and shrinking");
        t_cold_teardown(group);
    }
}

/* Each host reads the upstream's entry within two seconds. */
static void
post_cold_entries(struct t_cold_group *group)
{
    struct ct_store_upstream entry = t_upstream("desk", 0);

    entry.cold_left_ms = T_COLD_MS;
    for (uint32_t i = 0; i < T_COLD_HOSTS; i++) {
        if (i % 20 == 0) {
            t_cold_run(group, 400);
        }
        if (group->hosts[i].cut_until < group->step) {
            t_relay_post_upstream(&group->hosts[i].core, &entry);
        }
    }
}

/*
 * An upstream becomes cold at its usual load, which its responses say first
 * and then its entry. Five hosts, cut off from the store, learn of it by
 * responses.
 */
static void
test_cold_again(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct t_cold_group *group = t_cold_setup(seed, T_COLD_HOSTS, 0);
        uint32_t step;

        /* Four calls a second go to each of the two upstreams. */
        group->calls_permille = 4;
        t_cold_run(group, 10000);
        for (uint32_t i = 0; i < 5; i++) {
            group->hosts[t_cold_random(group, T_COLD_HOSTS)].cut_until =
                T_COLD_STEPS_MAX;
        }
        step = group->step;
        group->says_cold = true;
        post_cold_entries(group);
        t_cold_run(group, 1000);
        group->calls_permille = 300;
        t_cold_run(group, 10000);
        t_cold_assert_within_bound(group, "cold again");
        g_assert_cmpuint(t_cold_count_since(group, step), >, 0);
        t_cold_teardown(group);
    }
}

/* One random fault, or a host that stops or starts. */
static void
disturb(struct t_cold_group *group)
{
    uint32_t i = t_cold_random(group, T_COLD_HOSTS);
    uint32_t steps = 10 + t_cold_random(group, 200);

    switch (t_cold_random(group, 4)) {
    case 0:
        group->hosts[i].frozen_until = group->step + steps;
        return;
    case 1:
        group->hosts[i].cut_until = group->step + steps;
        return;
    case 2:
        t_cold_stop(group, i);
        return;
    default:
        t_cold_stop(group, i);
        t_cold_start(group, i);
        return;
    }
}

/* Losses, restarts, freezes and partitions of single hosts, twice a second. */
static void
test_disturbed(void)
{
    for (uint32_t seed = 1; seed <= 6; seed++) {
        struct t_cold_group *group =
            t_cold_setup(seed, FIRST_HOSTS, seed % 3 ? 1 : 2);

        t_cold_run(group, 8000);
        for (uint32_t i = 0; i < 80; i++) {
            disturb(group);
            t_cold_run(group, 500);
        }
        t_cold_assert_within_bound(group, "disturbed");
        g_assert_cmpuint(t_cold_count_since(group, 0), >, 0);
        t_cold_teardown(group);
    }
}

enum fault { FREEZE, CUT, STOP };

/* A third of the hosts, or all, have the same fault at the same time. */
static void
test_many_at_once(void)
{
    static const struct {
        enum fault fault;
        uint32_t every;
        uint32_t n_cold;
    } cases[] = {{FREEZE, 3, 1}, {FREEZE, 1, 2}, {CUT, 3, 1},  {CUT, 3, 2},
                 {CUT, 1, 1},    {CUT, 1, 2},    {STOP, 3, 1}, {STOP, 3, 2}};

    for (guint n = 0; n < G_N_ELEMENTS(cases); n++) {
        struct t_cold_group *group =
            t_cold_setup(n + 1, T_COLD_HOSTS, cases[n].n_cold);

        t_cold_run(group, 8000);
        for (uint32_t i = 0; i < T_COLD_HOSTS; i += cases[n].every) {
            if (cases[n].fault == FREEZE) {
                group->hosts[i].frozen_until = group->step + 120;
            }
            else if (cases[n].fault == CUT) {
                group->hosts[i].cut_until = group->step + 200;
            }
            else {
                t_cold_stop(group, i);
            }
        }
        t_cold_run(group, 15000);
        for (uint32_t i = 0; i < T_COLD_HOSTS; i++) {
            if (!group->hosts[i].runs) {
                t_cold_start(group, i);
            }
        }
        t_cold_run(group, 12000);
        t_cold_assert_within_bound(group, "many at once");
        /* The cold upstream is used again afterwards. */
        g_assert_cmpuint(
            t_cold_count_since(group, group->step - 3 * T_COLD_STEPS_PER_S), >,
            0);
        t_cold_teardown(group);
    }
}

/* Joins a group of this host alone, and lets the group settle. */
static void
settle(struct t_core *core)
{
    for (guint i = 0; i < 100; i++) {
        struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

        t_core_tick(core, 100);
        if (t_core_count(core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            t_relay_post_members(core, CT_OK, 1);
        }
        event.u.store_join.generation = 3;
        event.u.store_join.sent_ms = core->now_ms;
        t_core_post(core, &event);
        t_relay_confirm(core);
    }
}

/* A host alone with desk-0, which is cold, and desk-1. */
static void
setup_single(struct t_core *core, uint32_t n_cold)
{
    t_relay_init(core);
    t_cold_configure(core, T_COLD_MS, T_COLD_PERMILLE, n_cold);
}

/* Sends calls until one goes to the upstream; returns whether one did. */
static bool
reaches(struct t_core *core, const char *upstream, struct ct_handle *attempt)
{
    for (uint64_t i = 1; i <= 40; i++) {
        const struct ct_effect *effect;

        t_relay_call_with_prefix(core, T_COLD_NO_KEY, T_OPEN_PATH, i);
        effect = t_core_effect(core, CT_EFFECT_RELAY_START_ATTEMPT, 0);
        if (effect && strcmp(effect->u.relay.upstream.text, upstream) == 0) {
            *attempt = effect->u.relay.attempt;
            return true;
        }
        if (effect) {
            t_relay_finish(core, effect->u.relay.attempt, CT_OUTCOME_COMPLETE,
                           200);
        }
    }
    return false;
}

/*
 * A host that does not know the group sends a cold upstream nothing; one that
 * does, a request at a time. While one waits for its connection the next does
 * not become due.
 */
static void
test_single_host(void)
{
    struct ct_handle attempt;
    struct t_core core;

    setup_single(&core, 1);
    t_core_tick(&core, 2000);
    t_relay_confirm(&core);
    g_assert_false(reaches(&core, "desk-0", &attempt));
    settle(&core);
    g_assert_true(reaches(&core, "desk-0", &attempt));
    t_core_tick(&core, 3000);
    t_relay_confirm(&core);
    g_assert_false(reaches(&core, "desk-0", &attempt));
    t_relay_finish(&core, attempt, CT_OUTCOME_COMPLETE, 200);
    g_assert_false(reaches(&core, "desk-0", &attempt));
    settle(&core);
    g_assert_true(reaches(&core, "desk-0", &attempt));
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_COLD_ATTEMPTS], ==,
                     2);
    /* Without joins the member list is too old while desk-1 is warm. */
    t_relay_finish(&core, attempt, CT_OUTCOME_COMPLETE, 200);
    t_core_tick(&core, 4000);
    t_relay_confirm(&core);
    g_assert_false(reaches(&core, "desk-0", &attempt));
    t_core_free(&core);
}

/* Where all upstreams are cold, calls wait, or are refused as not run. */
static void
test_refusal(void)
{
    const struct ct_refuse_effect *refuse;
    struct t_core core;

    setup_single(&core, 2);
    t_core_tick(&core, 100);
    t_relay_call(&core, T_COLD_NO_KEY, T_OPEN_PATH);
    t_core_assert_refused(&core, CT_REFUSAL_UPSTREAM_LIMITED, CT_NOT_RUN);
    refuse = &t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse;
    g_assert_cmpint(refuse->retry_after_ms, ==, 1000);
    settle(&core);
    for (guint i = 0; i < 2; i++) {
        t_relay_call(&core, T_COLD_NO_KEY, T_OPEN_PATH);
        t_relay_finish(&core, t_relay_started(&core).attempt,
                       CT_OUTCOME_COMPLETE, 200);
    }
    t_relay_call(&core, T_COLD_NO_KEY, T_OPEN_PATH);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), ==, 0);
    for (guint i = 0;
         i < 40 && !t_core_count(&core, CT_EFFECT_RELAY_START_ATTEMPT); i++) {
        t_core_tick(&core, 10);
    }
    t_relay_started(&core);
    t_core_free(&core);
}

/* An age that makes the start no time of day. */
#define NO_TIME_MS ((ct_ms)1600000000000)

/* What makes an upstream cold for a host, and for how long. */
static void
test_knowledge(void)
{
    static const struct {
        /* Start before the host's, 0 for unknown; listed after its start. */
        ct_ms age_ms;
        bool later;
        ct_ms left_ms;
        ct_ms head_ms;
        ct_ms cold_for_ms;
    } cases[] = {{0, false, 0, 0, 0},
                 {0, true, 0, 0, 10000},
                 {4000, false, 0, 0, 6000},
                 {4000, true, 0, 0, 6000},
                 {-60000, true, 0, 0, 10000},
                 {60000, true, 0, 0, 0},
                 {60000, false, 7000, 0, 7000},
                 {4000, false, 2000, 0, 6000},
                 {60000, false, 0, 5000, 5000},
                 {60000, false, 0, 1000000, 300000},
                 {NO_TIME_MS, true, 0, 0, 10000},
                 {NO_TIME_MS, false, 0, 0, 0}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_store_upstream entry = t_upstream("desk", 9);
        struct ct_handle handle, attempt;
        struct t_core core;

        g_test_message("case %u", i);
        t_relay_init(&core);
        if (cases[i].later) {
            t_cold_configure(&core, 10000, T_COLD_PERMILLE, 1);
        }
        entry.started_ms =
            cases[i].age_ms ? core.wall_ms - cases[i].age_ms : 0;
        entry.cold_left_ms = cases[i].left_ms;
        t_relay_post_upstream(&core, &entry);
        t_cold_configure(&core, 10000, T_COLD_PERMILLE, 1);
        t_core_tick(&core, 0);
        if (cases[i].head_ms) {
            const struct ct_upstream_notice notice = {.cold_ms =
                                                          cases[i].head_ms};

            g_assert_true(reaches(&core, "desk-9", &attempt));
            t_relay_head(&core, attempt, &notice);
        }
        handle = ct_config_upstream(&core.state->config, &entry.upstream.name);
        if (cases[i].cold_for_ms > 0) {
            t_core_tick(&core, cases[i].cold_for_ms - 1);
            g_assert_true(ct_cold_upstreams_bar(core.state, handle, 0));
            t_core_tick(&core, 1);
        }
        g_assert_false(ct_cold_upstreams_bar(core.state, handle, 0));
        t_core_free(&core);
    }
}

/*
 * Upstreams of a restored zone count as cold until their entries can say
 * whether they are, from the moment of the restoration on.
 */
static void
test_restored_zone(void)
{
    struct ct_handle attempt;
    struct t_core core;

    t_relay_init(&core);
    t_cold_configure(&core, T_COLD_MS, T_COLD_PERMILLE, 0);
    g_assert_true(reaches(&core, "desk-1", &attempt));
    t_relay_finish(&core, attempt, CT_OUTCOME_COMPLETE, 200);
    t_relay_post_evacuation(&core, "zone-b", false);
    t_core_tick(&core, 2000);
    t_relay_confirm(&core);
    t_relay_post_evacuation(&core, "zone-b", true);
    for (guint i = 0; i < 6; i++) {
        g_assert_false(reaches(&core, "desk-1", &attempt));
        t_core_tick(&core, 500);
        t_relay_confirm(&core);
    }
    /* The host notices the restoration within a second. */
    t_core_tick(&core, 1000);
    t_relay_confirm(&core);
    g_assert_true(reaches(&core, "desk-1", &attempt));
    t_core_free(&core);
}

/* Pools that specify only one of the two members have no cold upstreams. */
static void
test_not_configured(void)
{
    for (guint i = 0; i < 2; i++) {
        struct ct_handle attempt;
        struct t_core core;

        t_relay_init(&core);
        t_cold_configure(&core, i ? T_COLD_MS : 0, i ? 0 : T_COLD_PERMILLE, 1);
        for (guint j = 0; j < 5; j++) {
            g_assert_true(reaches(&core, "desk-0", &attempt));
            t_relay_finish(&core, attempt, CT_OUTCOME_COMPLETE, 200);
        }
        t_core_free(&core);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cold-upstreams/calm", test_calm);
    g_test_add_func("/cold-upstreams/growing-and-shrinking",
                    test_growing_and_shrinking);
    g_test_add_func("/cold-upstreams/cold-again", test_cold_again);
    g_test_add_func("/cold-upstreams/disturbed", test_disturbed);
    g_test_add_func("/cold-upstreams/many-at-once", test_many_at_once);
    g_test_add_func("/cold-upstreams/single-host", test_single_host);
    g_test_add_func("/cold-upstreams/refusal", test_refusal);
    g_test_add_func("/cold-upstreams/knowledge", test_knowledge);
    g_test_add_func("/cold-upstreams/restored-zone", test_restored_zone);
    g_test_add_func("/cold-upstreams/not-configured", test_not_configured);
    return g_test_run();
}
