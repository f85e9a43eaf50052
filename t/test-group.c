/* Tests of group.h: which host addresses are given to callers. */
#include <string.h>

#include "lib-relay.h"

static uint32_t
request_addresses(struct t_core *core)
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
set_up(struct t_core *core)
{
    t_relay_init(core);
    t_relay_configure(core, 1, 1);
    t_relay_post_members(core, CT_OK, 3);
}

/* Callers get the members of the group, and this host once it is ready. */
static void
test_listed(void)
{
    struct t_core core;

    t_relay_init(&core);
    g_assert_cmpuint(request_addresses(&core), ==, 0);
    t_relay_post_members(&core, CT_OK, 3);
    /* This host is in the list but not ready. */
    g_assert_cmpuint(request_addresses(&core), ==, 2);
    t_relay_configure(&core, 1, 1);
    g_assert_cmpuint(request_addresses(&core), ==, 3);
    t_core_free(&core);
}

/*
 * A host missing from one member list is not given to callers; one missing
 * from two lists in a row is dropped from the group.
 */
static void
test_missing(void)
{
    struct t_core core;

    set_up(&core);
    t_relay_post_members(&core, CT_OK, 2);
    g_assert_cmpuint(request_addresses(&core), ==, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 3);
    t_relay_post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 2);
    t_relay_post_members(&core, CT_OK, 3);
    g_assert_cmpuint(request_addresses(&core), ==, 3);
    t_core_free(&core);
}

/*
 * Neither a failed read nor the empty group after an outage of the store
 * removes known hosts.
 */
static void
test_outage(void)
{
    struct t_core core;

    set_up(&core);
    for (guint i = 0; i < 4; i++) {
        t_relay_post_members(&core, CT_ERR_TIMEOUT, 0);
        t_relay_post_members(&core, CT_OK, 0);
    }
    g_assert_cmpuint(request_addresses(&core), ==, 3);
    t_core_free(&core);
}

/* A host that drains or has outdated state does not list itself. */
static void
test_own_address(void)
{
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    struct t_core core;

    set_up(&core);
    core.now_ms += 4200;
    g_assert_cmpuint(request_addresses(&core), ==, 2);
    t_relay_confirm(&core);
    g_assert_cmpuint(request_addresses(&core), ==, 3);
    t_core_post(&core, &drain);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_STORE_LEAVE), ==, 1);
    g_assert_cmpuint(request_addresses(&core), ==, 2);
    t_core_free(&core);
}

/* Counts the reads of the members within 10 s and responds to each. */
static guint
count_reads_in_10_s(struct t_core *core, guint n)
{
    guint reads = 0;

    for (guint i = 0; i < 100; i++) {
        t_core_tick(core, 100);
        if (t_core_count(core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            reads++;
            t_relay_post_members(core, CT_OK, n);
        }
    }
    return reads;
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

/*
 * While joins fail the host sees no generation, so it reads the members
 * often.
 */
static void
test_reads_without_generation(void)
{
    struct t_core core;

    set_up(&core);
    g_assert_cmpuint(count_reads_in_10_s(&core, 3), >=, 3);
    post_joined(&core, CT_OK, 7);
    count_reads_in_10_s(&core, 3);
    while (t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS) == 0) {
        t_core_tick(&core, 100);
    }
    t_relay_post_members(&core, CT_OK, 3);
    post_joined(&core, CT_ERR_TIMEOUT, 0);
    g_assert_cmpuint(count_reads_in_10_s(&core, 3), >=, 4);
    t_core_free(&core);
}

/* While the generation is unchanged, the members are read rarely. */
static void
test_reads_unchanged(void)
{
    struct t_core core;

    set_up(&core);
    post_joined(&core, CT_OK, 7);
    count_reads_in_10_s(&core, 3);
    g_assert_cmpuint(count_reads_in_10_s(&core, 3), <=, 1);
    g_assert_cmpuint(
        count_reads_in_10_s(&core, 3) + count_reads_in_10_s(&core, 3), >=, 1);
    t_core_free(&core);
}

/* Members are read soon after a change, and again while one is missing. */
static void
test_reads_after_change(void)
{
    struct t_core core;
    guint reads = 0;

    set_up(&core);
    post_joined(&core, CT_OK, 7);
    count_reads_in_10_s(&core, 3);
    count_reads_in_10_s(&core, 3);
    post_joined(&core, CT_OK, 8);
    for (guint i = 0; i < 26 && reads == 0; i++) {
        t_core_tick(&core, 100);
        reads += t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS);
    }
    g_assert_cmpuint(reads, ==, 1);
    t_relay_post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 3);
    for (guint i = 0; i < 26 && reads == 1; i++) {
        t_core_tick(&core, 100);
        reads += t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS);
    }
    g_assert_cmpuint(reads, ==, 2);
    t_relay_post_members(&core, CT_OK, 2);
    g_assert_cmpuint(ct_group_size(core.state), ==, 2);
    t_core_free(&core);
}

/* Not each of many changes in quick succession causes a read. */
static void
test_reads_frequent_changes(void)
{
    struct t_core core;
    guint reads = 0;

    set_up(&core);
    for (guint i = 0; i < 100; i++) {
        post_joined(&core, CT_OK, 7 + i);
        t_core_tick(&core, 100);
        if (t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            reads++;
            t_relay_post_members(&core, CT_OK, 3);
        }
    }
    g_assert_cmpuint(reads, >=, 3);
    g_assert_cmpuint(reads, <=, 5);
    t_core_free(&core);
}

/*
 * The member list is as old as the last join that shows the same group; after
 * a change of the group it ages until it is read again.
 */
static void
test_list_age(void)
{
    struct t_core core;

    t_relay_init(&core);
    g_assert_cmpint(ct_group_list_age_ms(core.state), ==, CT_MS_NEVER);
    t_relay_configure(&core, 1, 1);
    post_joined(&core, CT_OK, 7);
    t_relay_post_members(&core, CT_ERR_TIMEOUT, 0);
    g_assert_cmpint(ct_group_list_age_ms(core.state), ==, CT_MS_NEVER);
    t_relay_post_members(&core, CT_OK, 3);
    for (guint i = 0; i < 30; i++) {
        t_core_tick(&core, 100);
        if (t_core_count(&core, CT_EFFECT_STORE_READ_MEMBERS) > 0) {
            t_relay_post_members(&core, CT_OK, 3);
        }
    }
    g_assert_cmpint(ct_group_list_age_ms(core.state), <=, 3000);
    post_joined(&core, CT_OK, 7);
    g_assert_cmpint(ct_group_list_age_ms(core.state), ==, 0);
    t_core_tick(&core, 100);
    post_joined(&core, CT_ERR_TIMEOUT, 0);
    post_joined(&core, CT_OK, 8);
    g_assert_cmpint(ct_group_list_age_ms(core.state), >=, 100);
    t_core_free(&core);
}

/* Hosts with the same list agree on the first n, which differ by seed. */
static void
test_order(void)
{
    struct t_core hosts[8];
    uint32_t same = 0;

    for (guint i = 0; i < G_N_ELEMENTS(hosts); i++) {
        g_autofree char *name = g_strdup_printf("h%u", i + 1);

        t_relay_init_named(&hosts[i], name);
        g_assert_false(ct_group_lists_self(hosts[i].state));
        /* The last host is not in the list. */
        t_relay_post_members(&hosts[i], CT_OK, G_N_ELEMENTS(hosts) - 1);
    }
    for (uint64_t seed = 1; seed <= 20; seed++) {
        uint32_t first = 0;

        for (guint i = 0; i + 1 < G_N_ELEMENTS(hosts); i++) {
            g_assert_true(ct_group_lists_self(hosts[i].state));
            first += ct_group_is_among_first(hosts[i].state, seed, 3);
        }
        g_assert_cmpuint(first, ==, 3);
        same += ct_group_is_among_first(hosts[0].state, seed, 3);
    }
    g_assert_cmpuint(same, >, 0);
    g_assert_cmpuint(same, <, 20);
    g_assert_false(ct_group_lists_self(hosts[7].state));
    for (guint i = 0; i < G_N_ELEMENTS(hosts); i++) {
        t_core_free(&hosts[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group/listed", test_listed);
    g_test_add_func("/group/missing", test_missing);
    g_test_add_func("/group/outage", test_outage);
    g_test_add_func("/group/own-address", test_own_address);
    g_test_add_func("/group/reads-without-generation",
                    test_reads_without_generation);
    g_test_add_func("/group/reads-unchanged", test_reads_unchanged);
    g_test_add_func("/group/reads-after-change", test_reads_after_change);
    g_test_add_func("/group/reads-frequent-changes",
                    test_reads_frequent_changes);
    g_test_add_func("/group/list-age", test_list_age);
    g_test_add_func("/group/order", test_order);
    return g_test_run();
}
