/* Tests of leadership.h: who may act for all, and until when. */
#include "lib-relay.h"

static void
post_joined(struct t_core *core, int32_t result, int64_t generation,
            bool holds, ct_ms took_ms)
{
    struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

    event.u.store_join = (struct ct_store_join_done){
        .result = result,
        .sent_ms = core->now_ms - took_ms,
        .generation = generation,
        .holds_leader_slot = holds,
    };
    t_core_post(core, &event);
}

static bool
acts(const struct t_core *core)
{
    core->state->now_ms = core->now_ms;
    return ct_leadership_is_held(core->state);
}

/* Holds the part for a while, joined each second. */
static void
hold(struct t_core *core, int64_t generation, guint seconds)
{
    for (guint i = 0; i < seconds; i++) {
        post_joined(core, CT_OK, generation, true, 10);
        core->now_ms += 1000;
    }
}

static void
setup(struct t_core *core)
{
    t_relay_init(core);
    t_relay_configure(core, 1, 1);
}

/* Not at once: two hosts must not take turns within the lease time. */
static void
test_settles(void)
{
    struct t_core core;

    setup(&core);
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_false(acts(&core));
    core.now_ms += 2000;
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_false(acts(&core));
    core.now_ms += 200;
    g_assert_true(acts(&core));
    t_core_free(&core);
}

/*
 * The store may deal anew without a word, twice in a row: the first holder
 * acts up to its next join, a second later, and again after the second one
 * has acted once. Between its two acts the lease time has gone by.
 */
static void
test_turns(void)
{
    struct t_core core;
    ct_ms wait_ms = 0;

    setup(&core);
    post_joined(&core, CT_OK, 4, true, 0);
    while (!acts(&core)) {
        core.now_ms += 50;
        wait_ms += 50;
        post_joined(&core, CT_OK, 4, true, 0);
    }
    g_assert_cmpint(2 * wait_ms - 1000, >=, core.state->self.bounds.lease_ms);
    t_core_free(&core);
}

/* Belief ends before the store may give the part to another. */
static void
test_ends_by_itself(void)
{
    struct t_core core;

    setup(&core);
    hold(&core, 4, 3);
    g_assert_true(acts(&core));
    /* Counted from when the answered call was sent. */
    core.now_ms += 500;
    post_joined(&core, CT_OK, 4, true, 800);
    core.now_ms += 1800;
    g_assert_true(acts(&core));
    core.now_ms += 200;
    g_assert_false(acts(&core));
    t_core_free(&core);
}

/* A holder that lapsed has to settle anew: another may have acted. */
static void
test_lapsed(void)
{
    struct t_core core;

    setup(&core);
    hold(&core, 4, 3);
    core.now_ms += 5000;
    g_assert_false(acts(&core));
    post_joined(&core, CT_OK, 5, true, 10);
    g_assert_false(acts(&core));
    core.now_ms += 2200;
    post_joined(&core, CT_OK, 5, true, 10);
    g_assert_true(acts(&core));
    t_core_free(&core);
}

/* The store was away and the group is the same: nobody can have acted. */
static void
test_same_group(void)
{
    struct t_core core;

    setup(&core);
    hold(&core, 4, 3);
    core.now_ms += 5000;
    g_assert_false(acts(&core));
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_true(acts(&core));
    post_joined(&core, CT_OK, 5, false, 10);
    post_joined(&core, CT_OK, 6, true, 10);
    g_assert_false(acts(&core));
    t_core_free(&core);
}

static void
test_taken_away(void)
{
    struct t_core core;

    setup(&core);
    hold(&core, 4, 3);
    post_joined(&core, CT_OK, 5, false, 10);
    g_assert_false(acts(&core));
    t_core_free(&core);
}

/* Refused with its number: it acts only with a higher one. */
static void
test_refused(void)
{
    struct t_core core;

    setup(&core);
    hold(&core, 4, 3);
    ct_effects_clear(&core.effects);
    core.state->out = &core.effects;
    ct_leadership_on_fenced(core.state, 4);
    core.state->out = NULL;
    g_assert_false(acts(&core));
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_false(acts(&core));
    post_joined(&core, CT_OK, 6, true, 10);
    g_assert_true(acts(&core));
    t_core_free(&core);
}

/* A join that is lost is made again; a host that stops joins no more. */
static void
test_joins(void)
{
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    struct t_core core;
    guint joins = 0;

    setup(&core);
    for (guint i = 0; i < 50; i++) {
        t_core_tick(&core, 100);
        if (t_core_count(&core, CT_EFFECT_STORE_JOIN) > 0) {
            joins++;
            post_joined(&core, CT_ERR_TIMEOUT, 0, false, 10);
        }
    }
    g_assert_cmpuint(joins, >=, 4);
    t_core_post(&core, &drain);
    for (guint i = 0; i < 20; i++) {
        t_core_tick(&core, 100);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_JOIN), ==, 0);
    }
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/leadership/settles", test_settles);
    g_test_add_func("/leadership/turns", test_turns);
    g_test_add_func("/leadership/ends-by-itself", test_ends_by_itself);
    g_test_add_func("/leadership/lapsed", test_lapsed);
    g_test_add_func("/leadership/same-group", test_same_group);
    g_test_add_func("/leadership/taken-away", test_taken_away);
    g_test_add_func("/leadership/refused", test_refused);
    g_test_add_func("/leadership/joins", test_joins);
    return g_test_run();
}
