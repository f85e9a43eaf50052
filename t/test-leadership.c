/* Tests of leadership.h: when a host is the leader, and until when. */
#include "lib-relay.h"

static void
post_joined(struct t_core *core, int32_t result, int64_t generation,
            bool holds_slot, ct_ms join_ms)
{
    struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

    event.u.store_join = (struct ct_store_join_done){
        .result = result,
        .sent_ms = core->now_ms - join_ms,
        .generation = generation,
        .holds_leader_slot = holds_slot,
    };
    t_core_post(core, &event);
}

static bool
is_leading(const struct t_core *core)
{
    core->state->now_ms = core->now_ms;
    return ct_leadership_is_held(core->state);
}

/* Holds the leader slot for some seconds, with one join per second. */
static void
hold_slot(struct t_core *core, int64_t generation, guint seconds)
{
    for (guint i = 0; i < seconds; i++) {
        post_joined(core, CT_OK, generation, true, 10);
        core->now_ms += 1000;
    }
}

static void
set_up(struct t_core *core)
{
    t_relay_init(core);
    t_relay_configure(core, 1, 1);
}

/*
 * A host leads only some time after it received the slot, so that two hosts do
 * not alternate within the lease time.
 */
static void
test_start_delay(void)
{
    struct t_core core;

    set_up(&core);
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_false(is_leading(&core));
    core.now_ms += 2000;
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_false(is_leading(&core));
    core.now_ms += 200;
    g_assert_true(is_leading(&core));
    t_core_free(&core);
}

/*
 * The store may reassign the slot twice in a row without notice: the first
 * holder leads up to its next join, one second later, and leads again after
 * the second holder has led once. At least the lease time must pass between
 * its two periods as the leader.
 */
static void
test_alternation(void)
{
    struct t_core core;
    ct_ms wait_ms = 0;

    set_up(&core);
    post_joined(&core, CT_OK, 4, true, 0);
    while (!is_leading(&core)) {
        core.now_ms += 50;
        wait_ms += 50;
        post_joined(&core, CT_OK, 4, true, 0);
    }
    g_assert_cmpint(2 * wait_ms - 1000, >=, core.state->self.bounds.lease_ms);
    t_core_free(&core);
}

/* Leadership expires before the store may assign the slot to another host. */
static void
test_expiry(void)
{
    struct t_core core;

    set_up(&core);
    hold_slot(&core, 4, 3);
    g_assert_true(is_leading(&core));
    /* The validity counts from when the join was sent. */
    core.now_ms += 500;
    post_joined(&core, CT_OK, 4, true, 800);
    core.now_ms += 1800;
    g_assert_true(is_leading(&core));
    core.now_ms += 200;
    g_assert_false(is_leading(&core));
    t_core_free(&core);
}

/*
 * After its slot lapsed and the generation changed, a host waits again:
 * another host may have led in between.
 */
static void
test_lapsed(void)
{
    struct t_core core;

    set_up(&core);
    hold_slot(&core, 4, 3);
    core.now_ms += 5000;
    g_assert_false(is_leading(&core));
    post_joined(&core, CT_OK, 5, true, 10);
    g_assert_false(is_leading(&core));
    core.now_ms += 2200;
    post_joined(&core, CT_OK, 5, true, 10);
    g_assert_true(is_leading(&core));
    t_core_free(&core);
}

/*
 * If the generation is the same after an outage of the store, no other host
 * can have led, and the holder leads again at once.
 */
static void
test_same_generation(void)
{
    struct t_core core;

    set_up(&core);
    hold_slot(&core, 4, 3);
    core.now_ms += 5000;
    g_assert_false(is_leading(&core));
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_true(is_leading(&core));
    post_joined(&core, CT_OK, 5, false, 10);
    post_joined(&core, CT_OK, 6, true, 10);
    g_assert_false(is_leading(&core));
    t_core_free(&core);
}

static void
test_slot_lost(void)
{
    struct t_core core;

    set_up(&core);
    hold_slot(&core, 4, 3);
    post_joined(&core, CT_OK, 5, false, 10);
    g_assert_false(is_leading(&core));
    t_core_free(&core);
}

/* After its fencing token was refused, a host leads only with a higher one. */
static void
test_token_refused(void)
{
    struct t_core core;

    set_up(&core);
    hold_slot(&core, 4, 3);
    ct_effects_clear(&core.effects);
    core.state->out = &core.effects;
    ct_leadership_on_fenced(core.state, 4);
    core.state->out = NULL;
    g_assert_false(is_leading(&core));
    post_joined(&core, CT_OK, 4, true, 10);
    g_assert_false(is_leading(&core));
    post_joined(&core, CT_OK, 6, true, 10);
    g_assert_true(is_leading(&core));
    t_core_free(&core);
}

/* A failed join is repeated; a draining host no longer joins. */
static void
test_joins(void)
{
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    struct t_core core;
    guint joins = 0;

    set_up(&core);
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
    g_test_add_func("/leadership/start-delay", test_start_delay);
    g_test_add_func("/leadership/alternation", test_alternation);
    g_test_add_func("/leadership/expiry", test_expiry);
    g_test_add_func("/leadership/lapsed", test_lapsed);
    g_test_add_func("/leadership/same-generation", test_same_generation);
    g_test_add_func("/leadership/slot-lost", test_slot_lost);
    g_test_add_func("/leadership/token-refused", test_token_refused);
    g_test_add_func("/leadership/joins", test_joins);
    return g_test_run();
}
