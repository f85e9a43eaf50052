/* Tests of config.h: the tables of the current configuration. */
#include <string.h>

#include "lib-core.h"

static struct ct_name
make_name(const char *text)
{
    struct ct_name name;

    CT_TEXT_SET(name, text);
    return name;
}

static void
post_upstream_list(struct t_core *core, const char *name, bool leaving,
                   uint32_t n)
{
    struct ct_listed_upstream row;
    struct ct_event event;

    memset(&row, 0, sizeof(row));
    memset(&event, 0, sizeof(event));
    CT_TEXT_SET(row.upstream.name, name);
    CT_TEXT_SET(row.upstream.pool, "engines");
    row.upstream.slots = 4;
    row.leaving = leaving;
    event.type = CT_EVENT_UPSTREAM_LIST;
    event.rows = CT_ROWS(&row, n);
    t_core_post(core, &event);
}

static uint32_t
pool_slots(const struct t_core *core, const char *name)
{
    const struct ct_name pool = make_name(name);
    const struct ct_pool_row *row =
        ct_table_get(&core->state->config.pools,
                     ct_config_pool(&core->state->config, &pool));

    return row->slots_total;
}

/* An upstream that is leaving gets no new requests; it may return. */
static void
test_leaving_upstream(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    post_upstream_list(&core, "engines-0", true, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    post_upstream_list(&core, "engines-0", false, 1);
    /* It depends on the queue whether the first call waited or was refused. */
    if (t_core_count(&core, CT_EFFECT_START_ATTEMPT) == 0) {
        t_core_call(&core, 1, T_CHAT_PATH);
    }
    g_assert_nonnull(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    t_core_free(&core);
}

/* Of two upstreams, the one that is leaving is not chosen for any prefix. */
static void
test_one_of_two_leaving(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 2, 4);
    post_upstream_list(&core, "engines-0", true, 1);
    for (uint64_t i = 1; i <= 32; i++) {
        struct ct_event event = t_call(&core, 1, T_CHAT_PATH);
        const struct ct_effect *start;
        struct ct_handle attempt;

        event.u.call.prefix_hash = i * UINT64_C(0x9e3779b97f4a7c15);
        t_core_post(&core, &event);
        start = t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0);
        g_assert_nonnull(start);
        g_assert_cmpstr(start->u.attempt.upstream.text, ==, "engines-1");
        attempt = start->u.attempt.attempt;
        t_core_attempt(
            &core, CT_EVENT_ATTEMPT_HEAD,
            (struct ct_attempt_event){.attempt = attempt, .status = 200});
        t_core_attempt(
            &core, CT_EVENT_ATTEMPT_DONE,
            (struct ct_attempt_event){.attempt = attempt,
                                      .outcome = CT_OUTCOME_COMPLETE});
    }
    t_core_free(&core);
}

/* An ordered upstream is added and removed by the upstream list. */
static void
test_listed_upstream(void)
{
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    g_assert_cmpuint(pool_slots(&core, "engines"), ==, 1);
    post_upstream_list(&core, "engines-new", false, 1);
    g_assert_cmpuint(pool_slots(&core, "engines"), ==, 5);
    t_core_configure(&core, 1, 1);
    g_assert_cmpuint(pool_slots(&core, "engines"), ==, 5);
    post_upstream_list(&core, "engines-new", false, 0);
    g_assert_cmpuint(pool_slots(&core, "engines"), ==, 1);
    t_core_free(&core);
}

/* A removed row stays until the request that uses it has ended. */
static void
test_removed_while_used(void)
{
    struct t_core core;
    struct ct_record record;
    struct ct_handle attempt;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    attempt = t_core_started(&core);
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CONFIG;
    record.base_offset = core.state->config.offset;
    t_core_entry(&core, &record);
    g_assert_cmpuint(core.state->config.classes.live, ==, 1);
    t_core_attempt(
        &core, CT_EVENT_ATTEMPT_HEAD,
        (struct ct_attempt_event){.attempt = attempt, .status = 200});
    t_core_attempt(&core, CT_EVENT_ATTEMPT_DONE,
                   (struct ct_attempt_event){.attempt = attempt,
                                             .outcome = CT_OUTCOME_COMPLETE});
    g_assert_true(
        t_core_effect(&core, CT_EFFECT_WRITE_END, 0)->u.write.complete);
    t_core_tick(&core, 61000);
    g_assert_cmpuint(core.state->config.classes.live, ==, 0);
    g_assert_cmpuint(core.state->config.upstreams.live, ==, 0);
    t_core_free(&core);
}

/* An entry that a new configuration still has keeps its handle. */
static void
test_handles_unchanged(void)
{
    struct t_core core;
    struct ct_name acme = make_name("acme");
    struct ct_handle before;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    before = ct_config_organisation(&core.state->config, &acme);
    t_core_configure(&core, 2, 1);
    g_assert_true(ct_handle_eq(
        before, ct_config_organisation(&core.state->config, &acme)));
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/leaving-upstream", test_leaving_upstream);
    g_test_add_func("/config/one-of-two-leaving", test_one_of_two_leaving);
    g_test_add_func("/config/listed-upstream", test_listed_upstream);
    g_test_add_func("/config/removed-while-used", test_removed_while_used);
    g_test_add_func("/config/handles-unchanged", test_handles_unchanged);
    return g_test_run();
}
