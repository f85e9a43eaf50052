/* Tests of group.h: who is named to callers. */
#include <string.h>

#include "lib-relay.h"

static void
post_members(struct t_core *core, int32_t result, guint n)
{
    struct ct_event event = {.type = CT_EVENT_STORE_MEMBERS_READ};
    struct ct_member members[8];

    memset(members, 0, sizeof(members));
    for (guint i = 0; i < n; i++) {
        g_snprintf(members[i].host.text, sizeof(members[i].host.text), "h%u",
                   i + 1);
        g_snprintf(members[i].address.text, sizeof(members[i].address.text),
                   "10.0.0.%u:80", i + 1);
    }
    event.u.members.result = result;
    event.rows = CT_ROWS(members, n);
    t_core_post(core, &event);
}

static uint32_t
ask(struct t_core *core)
{
    struct ct_event event = {.type = CT_EVENT_ADDRESSES_REQUESTED};
    const struct ct_effect *effect;

    event.u.caller = 1;
    t_core_post(core, &event);
    effect = t_core_effect(core, CT_EFFECT_REPLY_ADDRESSES, 0);
    g_assert_nonnull(effect);
    g_assert_cmpint(effect->u.addresses.lifetime_ms, ==, 2000);
    return effect->rows.n;
}

static void
setup(struct t_core *core)
{
    t_relay_init(core);
    t_relay_configure(core, 1, 1);
    post_members(core, CT_OK, 3);
}

/* The members, and this host as soon as it is ready. */
static void
test_named(void)
{
    struct t_core core;

    t_relay_init(&core);
    g_assert_cmpuint(ask(&core), ==, 0);
    post_members(&core, CT_OK, 3);
    /* Listed itself, but not ready. */
    g_assert_cmpuint(ask(&core), ==, 2);
    t_relay_configure(&core, 1, 1);
    g_assert_cmpuint(ask(&core), ==, 3);
    t_core_free(&core);
}

/* One that is missing is not named, and forgotten when it stays away. */
static void
test_missing(void)
{
    struct t_core core;

    setup(&core);
    post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ask(&core), ==, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 3);
    post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 2);
    post_members(&core, CT_OK, 3);
    g_assert_cmpuint(ask(&core), ==, 3);
    t_core_free(&core);
}

/* No answer, and a group that lapsed with the store, say nothing. */
static void
test_outage(void)
{
    struct t_core core;

    setup(&core);
    for (guint i = 0; i < 4; i++) {
        post_members(&core, CT_ERR_TIMEOUT, 0);
        post_members(&core, CT_OK, 0);
    }
    g_assert_cmpuint(ask(&core), ==, 3);
    t_core_free(&core);
}

/* A host that stops, or whose knowledge is old, does not name itself. */
static void
test_self(void)
{
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    struct t_core core;

    setup(&core);
    core.now_ms += 4200;
    g_assert_cmpuint(ask(&core), ==, 2);
    t_relay_confirm(&core);
    g_assert_cmpuint(ask(&core), ==, 3);
    t_core_post(&core, &drain);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_LEAVE), ==, 1);
    g_assert_cmpuint(ask(&core), ==, 2);
    t_core_free(&core);
}

/* How often the members are asked for within ten seconds, answers included. */
static guint
asked_in_10_s(struct t_core *core, guint n)
{
    guint asked = 0;

    for (guint i = 0; i < 100; i++) {
        t_core_tick(core, 100);
        if (t_core_count(core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            asked++;
            post_members(core, CT_OK, n);
        }
    }
    return asked;
}

static void
post_joined(struct t_core *core, int32_t result, int64_t generation)
{
    struct ct_event event = {.type = CT_EVENT_STORE_JOIN_DONE};

    event.u.store_join.result = result;
    event.u.store_join.generation = generation;
    event.u.store_join.sent_ms = core->now_ms;
    t_core_post(core, &event);
}

/* Without a place in the group nothing tells of a change. */
static void
test_asks_blind(void)
{
    struct t_core core;

    setup(&core);
    g_assert_cmpuint(asked_in_10_s(&core, 3), >=, 3);
    post_joined(&core, CT_OK, 7);
    asked_in_10_s(&core, 3);
    while (t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS) == 0) {
        t_core_tick(&core, 100);
    }
    post_members(&core, CT_OK, 3);
    post_joined(&core, CT_ERR_TIMEOUT, 0);
    g_assert_cmpuint(asked_in_10_s(&core, 3), >=, 4);
    t_core_free(&core);
}

/* As long as the group is the same its members are. */
static void
test_asks_calm(void)
{
    struct t_core core;

    setup(&core);
    post_joined(&core, CT_OK, 7);
    asked_in_10_s(&core, 3);
    g_assert_cmpuint(asked_in_10_s(&core, 3), <=, 1);
    g_assert_cmpuint(asked_in_10_s(&core, 3) + asked_in_10_s(&core, 3), >=, 1);
    t_core_free(&core);
}

/* Asked soon after a change, and again while one is missing. */
static void
test_asks_changed(void)
{
    struct t_core core;
    guint asked = 0;

    setup(&core);
    post_joined(&core, CT_OK, 7);
    asked_in_10_s(&core, 3);
    asked_in_10_s(&core, 3);
    post_joined(&core, CT_OK, 8);
    for (guint i = 0; i < 26 && asked == 0; i++) {
        t_core_tick(&core, 100);
        asked += t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS);
    }
    g_assert_cmpuint(asked, ==, 1);
    post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 3);
    for (guint i = 0; i < 26 && asked == 1; i++) {
        t_core_tick(&core, 100);
        asked += t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS);
    }
    g_assert_cmpuint(asked, ==, 2);
    post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 2);
    t_core_free(&core);
}

/* Changes that follow each other are not each asked for. */
static void
test_asks_storm(void)
{
    struct t_core core;
    guint asked = 0;

    setup(&core);
    for (guint i = 0; i < 100; i++) {
        post_joined(&core, CT_OK, 7 + i);
        t_core_tick(&core, 100);
        if (t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            asked++;
            post_members(&core, CT_OK, 3);
        }
    }
    g_assert_cmpuint(asked, >=, 3);
    g_assert_cmpuint(asked, <=, 5);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group/named", test_named);
    g_test_add_func("/group/missing", test_missing);
    g_test_add_func("/group/outage", test_outage);
    g_test_add_func("/group/self", test_self);
    g_test_add_func("/group/asks-blind", test_asks_blind);
    g_test_add_func("/group/asks-calm", test_asks_calm);
    g_test_add_func("/group/asks-changed", test_asks_changed);
    g_test_add_func("/group/asks-storm", test_asks_storm);
    return g_test_run();
}
