/*
 * Tests of store-sync.h: which reads are sent, how old the data counts, and
 * which entries are missing.
 */
#include <string.h>

#include "lib-relay.h"

static const struct ct_store_read_effect *
sent_read(const struct t_core *core, enum ct_topic topic)
{
    for (uint32_t i = 0;; i++) {
        const struct ct_effect *effect =
            t_core_effect(core, CT_EFFECT_STORE_READ, i);

        if (effect == NULL || effect->u.store_read.topic == topic) {
            return effect ? &effect->u.store_read : NULL;
        }
    }
}

/*
 * First the newest record of each key is read, then long polls continue from
 * where that ended.
 */
static void
test_start(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_core_tick(&core, 200);
    g_assert_true(sent_read(&core, CT_TOPIC_CONFIG)->newest);
    g_assert_true(sent_read(&core, CT_TOPIC_UPSTREAMS)->newest);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 10, 0);
    g_assert_false(sent_read(&core, CT_TOPIC_CONFIG)->newest);
    g_assert_cmpint(sent_read(&core, CT_TOPIC_CONFIG)->wait_ms, >, 1000);
    t_core_free(&core);
}

/*
 * Many entries arrive in pages: a failed page is requested again, and only
 * after the last page are missing entries known. Records are then read from
 * the end offset of the first page.
 */
static void
test_pages(void)
{
    struct ct_event page = {.type = CT_EVENT_STORE_READ_DONE};
    struct ct_store_upstream first = t_upstream("desk", 0);
    struct ct_store_upstream second = t_upstream("desk", 1);
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_LOG_TRUNCATED, 0, 0, 0);
    t_relay_post_upstream(&core, &first);
    page.u.store_read.topic = CT_TOPIC_UPSTREAMS;
    page.u.store_read.newest = true;
    page.u.store_read.more = true;
    page.u.store_read.next = 70;
    CT_TEXT_SET(page.u.store_read.after, "desk-0");
    t_core_post(&core, &page);
    g_assert_cmpstr(sent_read(&core, CT_TOPIC_UPSTREAMS)->after.text, ==,
                    "desk-0");
    /* Not yet missing: a page is outstanding. */
    t_relay_assert_state(&core, "desk-1", true, CT_UPSTREAM_RUNNING);
    page.u.store_read.result = CT_ERR_OVERLOADED;
    t_core_post(&core, &page);
    while (sent_read(&core, CT_TOPIC_UPSTREAMS) == NULL) {
        t_core_tick(&core, 10);
    }
    g_assert_cmpstr(sent_read(&core, CT_TOPIC_UPSTREAMS)->after.text, ==,
                    "desk-0");
    t_relay_post_upstream(&core, &second);
    page.u.store_read.result = CT_OK;
    page.u.store_read.more = false;
    page.u.store_read.next = 90;
    t_core_post(&core, &page);
    g_assert_false(sent_read(&core, CT_TOPIC_UPSTREAMS)->newest);
    g_assert_cmpint(sent_read(&core, CT_TOPIC_UPSTREAMS)->from, ==, 70);
    t_relay_assert_state(&core, "desk-1", true, CT_UPSTREAM_RUNNING);
    t_core_tick(&core, 2500);
    t_relay_assert_state(&core, "engines-0", false, 0);
    t_core_free(&core);
}

/* An older configuration version that arrives late is ignored. */
static void
test_never_reverts(void)
{
    GArray *rows = t_relay_rows();
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 9, 1);
    t_relay_post_config(&core, 8, rows);
    g_assert_cmpint(core.state->store.config_version, ==, 9);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_LOG_EVENT, 0)->u.log.event,
                    ==, CT_LOG_CONFIG_OLD);
    t_relay_post_config(&core, 10, rows);
    g_assert_cmpint(core.state->store.config_version, ==, 10);
    t_core_free(&core);
    g_array_free(rows, TRUE);
}

/* A configuration that cannot be applied leaves the previous one in force. */
static void
test_invalid_config(void)
{
    GArray *rows = t_relay_rows();
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 9, 1);
    /* The route refers to a pool that is not declared. */
    for (guint i = 0; i < rows->len; i++) {
        struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == CT_CONFIG_POOL_SHARE) {
            CT_TEXT_SET(row->u.pool_share.pool, "nowhere");
        }
    }
    t_relay_post_config(&core, 10, rows);
    g_assert_cmpint(core.state->store.config_version, ==, 9);
    t_relay_call(&core, 1, T_ANY_PATH);
    t_relay_started(&core);
    t_core_free(&core);
    g_array_free(rows, TRUE);
}

/* Ticks until a read of the topic is sent, and returns it. */
static const struct ct_store_read_effect *
await_read(struct t_core *core, enum ct_topic topic)
{
    ct_ms end_ms = core->now_ms + 10000;

    while (sent_read(core, topic) == NULL) {
        g_assert_cmpint(core->now_ms, <, end_ms);
        t_core_tick(core, 10);
    }
    return sent_read(core, topic);
}

/*
 * A response without records shows the state at the end of its long poll, one
 * with records only the state when the read was sent.
 */
static void
test_age(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    core.now_ms += 2000;
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 2000, 1900);
    g_assert_cmpint(ct_store_age_ms(core.state, CT_TOPIC_CONFIG), ==, 100);
    core.now_ms += 2000;
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 1, 2000, 2750);
    g_assert_cmpint(ct_store_age_ms(core.state, CT_TOPIC_CONFIG), ==, 2000);
    /* The next read must refresh the data before it is outdated. */
    g_assert_cmpint(await_read(&core, CT_TOPIC_CONFIG)->wait_ms, <=,
                    2750 - ct_store_age_ms(core.state, CT_TOPIC_CONFIG));
    t_core_free(&core);
}

/* Failed reads are repeated, with backoff and without a long poll. */
static void
test_failures(void)
{
    struct t_core core;
    ct_ms before_ms;
    guint reads = 0;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    core.now_ms += 3000;
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_TIMEOUT, 0, 3000, 0);
    g_assert_null(sent_read(&core, CT_TOPIC_CONFIG));
    for (before_ms = core.now_ms; core.now_ms < before_ms + 10000;) {
        t_core_tick(&core, 10);
        if (sent_read(&core, CT_TOPIC_CONFIG)) {
            g_assert_cmpint(sent_read(&core, CT_TOPIC_CONFIG)->wait_ms, ==, 0);
            t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_IO, 0, 0, 0);
            reads++;
        }
    }
    g_assert_cmpuint(reads, >=, 8);
    g_assert_cmpuint(reads, <=, 25);
    t_core_free(&core);
}

/*
 * A read whose response is lost times out and is repeated before the host
 * counts as undisturbed (steady_ms), but no earlier than that requires.
 */
static void
test_read_timeout(void)
{
    static const enum ct_topic topics[] = {CT_TOPIC_CONFIG,
                                           CT_TOPIC_UPSTREAMS};
    struct t_core core;

    for (guint i = 0; i < G_N_ELEMENTS(topics); i++) {
        for (ct_ms steady_ms = 3000; steady_ms <= 4000; steady_ms += 1000) {
            const struct ct_store_read_effect *read;

            t_relay_init(&core);
            core.state->self.bounds.steady_ms = steady_ms;
            t_relay_configure(&core, 1, 1);
            t_relay_read(&core, topics[i], CT_OK, 0, 0, 0);
            read = sent_read(&core, topics[i]);
            g_assert_cmpint(read->timeout_ms, <, steady_ms - 400);
            g_assert_cmpint(read->timeout_ms, >=, steady_ms - 600);
            t_core_free(&core);
        }
    }
}

/*
 * The store may refuse one host as overloaded and serve the others, and 3 s
 * later the host must have the same data as they do: it backs off, but still
 * reads often enough.
 */
static void
test_overloaded(void)
{
    struct t_core core;
    ct_ms last_ms;
    ct_ms gap_ms = 0;
    guint reads = 0;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_OVERLOADED, 0, 0, 0);
    last_ms = core.now_ms;
    while (core.now_ms < 40000) {
        t_core_tick(&core, 10);
        if (sent_read(&core, CT_TOPIC_CONFIG)) {
            t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_OVERLOADED, 0, 0, 0);
            gap_ms = MAX(gap_ms, core.now_ms - last_ms);
            last_ms = core.now_ms;
            reads++;
        }
    }
    g_assert_cmpint(gap_ms, <, 3000 - 700);
    g_assert_cmpuint(reads, <, 45);
    t_core_free(&core);
}

/* Counts the reads of a topic until end_ms, each with this result. */
static guint
count_reads(struct t_core *core, enum ct_topic topic, int32_t result,
            uint32_t entries, ct_ms end_ms)
{
    guint reads = 0;

    while (core->now_ms < end_ms) {
        if (sent_read(core, topic)) {
            t_relay_read(core, topic, result, entries, 0, 0);
            reads++;
            core->now_ms++;
        }
        else {
            t_core_tick(core, 10);
        }
    }
    return reads;
}

/*
 * Configurations that follow each other every 300 ms are gathered, and the
 * last one is read well within the bound on a new configuration. The hosts of
 * a large group gather for longer.
 */
static void
test_config_burst(void)
{
    static const struct {
        uint32_t hosts;
        ct_ms config_ms;
        ct_ms evacuate_ms;
        guint reads_max;
    } cases[] = {{8, 2000, 0, 12},
                 {95, 4000, 0, 5},
                 {95, 2000, 0, 10},
                 /* An evacuation in the topic may have to be known sooner. */
                 {360, 60000, 5000, 4},
                 {95, 2000, 5000, 10}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct t_core core;
        ct_ms last_ms;

        t_relay_init(&core);
        core.state->self.bounds.config_ms = cases[i].config_ms;
        core.state->self.bounds.evacuate_ms = cases[i].evacuate_ms;
        t_relay_configure(&core, 1, 1);
        t_relay_post_members(&core, CT_OK, cases[i].hosts);
        t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
        g_assert_cmpuint(
            count_reads(&core, CT_TOPIC_CONFIG, CT_OK, 1, core.now_ms + 4000),
            <=, cases[i].reads_max);
        last_ms = core.now_ms;
        await_read(&core, CT_TOPIC_CONFIG);
        g_assert_cmpint(core.now_ms - last_ms, <=, cases[i].config_ms / 4);
        g_assert_true(cases[i].evacuate_ms == 0 ||
                      core.now_ms - last_ms <= cases[i].evacuate_ms / 4);
        t_core_free(&core);
    }
}

/*
 * A read waits no longer for a record than the bound on evacuations allows,
 * even if all other bounds are longer: a read that is lost must be repeated in
 * time.
 */
static void
test_evacuation_wait(void)
{
    static const ct_ms bounds_ms[] = {0, 5000};

    for (guint i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
        struct t_core core;

        t_relay_init(&core);
        core.state->self.bounds.steady_ms = 60000;
        core.state->self.bounds.revoke_ms = 60000;
        core.state->self.bounds.evacuate_ms = bounds_ms[i];
        t_core_tick(&core, 200);
        t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, 10, 0);
        g_assert_cmpint(sent_read(&core, CT_TOPIC_CONFIG)->wait_ms > 3000, ==,
                        bounds_ms[i] == 0);
        t_core_free(&core);
    }
}

/* A host that does not know the group yet gathers entries for long. */
static void
test_unknown_group(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    t_core_tick(&core, 600);
    g_assert_null(sent_read(&core, CT_TOPIC_UPSTREAMS));
    t_core_free(&core);
}

/*
 * While the reads of both topics fail, each is repeated less often than one
 * that fails alone; the first that succeeds repeats the other one at once.
 */
static void
test_store_down(void)
{
    struct t_core core;
    guint alone;
    guint both = 0;
    ct_ms end_ms;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_IO, 0, 0, 0);
    alone =
        count_reads(&core, CT_TOPIC_CONFIG, CT_ERR_IO, 0, core.now_ms + 20000);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_IO, 0, 0, 0);
    for (end_ms = core.now_ms + 20000; core.now_ms < end_ms;) {
        bool sent[CT_TOPIC_UPSTREAMS + 1];

        t_core_tick(&core, 10);
        for (int topic = 0; topic <= CT_TOPIC_UPSTREAMS; topic++) {
            sent[topic] = sent_read(&core, (enum ct_topic)topic) != NULL;
        }
        for (int topic = 0; topic <= CT_TOPIC_UPSTREAMS; topic++) {
            if (sent[topic]) {
                t_relay_read(&core, (enum ct_topic)topic, CT_ERR_IO, 0, 0, 0);
                both++;
            }
        }
    }
    g_assert_cmpuint(both * 2, <=, alone * 3);
    /* The other topic waits for its next read, too, when one succeeds. */
    while (sent_read(&core, CT_TOPIC_UPSTREAMS) == NULL ||
           sent_read(&core, CT_TOPIC_CONFIG) != NULL) {
        enum ct_topic topic = sent_read(&core, CT_TOPIC_CONFIG)
                                  ? CT_TOPIC_CONFIG
                                  : CT_TOPIC_UPSTREAMS;

        if (sent_read(&core, topic)) {
            t_relay_read(&core, topic, CT_ERR_IO, 0, 0, 0);
        }
        t_core_tick(&core, 10);
    }
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
    end_ms = core.now_ms + 60;
    await_read(&core, CT_TOPIC_CONFIG);
    g_assert_cmpint(core.now_ms, <=, end_ms);
    t_core_free(&core);
}

/*
 * While the store does not respond, timeout and delay together leave time for
 * a read after its return, before the host counts as undisturbed again.
 */
static void
test_store_silent(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    core.now_ms += 3000;
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
    for (guint i = 0; i < 50; i++) {
        ct_ms failed_ms = core.now_ms;
        const struct ct_store_read_effect *read;

        t_relay_read(&core, CT_TOPIC_CONFIG, CT_ERR_TIMEOUT, 0, 0, 0);
        read = await_read(&core, CT_TOPIC_CONFIG);
        g_assert_cmpint(core.now_ms - failed_ms + read->timeout_ms, <,
                        core.state->self.bounds.steady_ms - 300);
    }
    t_core_free(&core);
}

/*
 * Posts a response that was truncated at its maximum size and whose records
 * were read.
 */
static void
post_truncated_read(struct t_core *core, enum ct_topic topic)
{
    struct ct_event read = {.type = CT_EVENT_STORE_READ_DONE};

    read.u.store_read.topic = topic;
    read.u.store_read.sent_ms = core->now_ms;
    read.u.store_read.entries = 200;
    read.u.store_read.more = true;
    read.u.store_read.next = 300;
    t_core_post(core, &read);
}

/*
 * Many records arrive in parts, read without a pause, and the data counts as
 * fresher only after the last part.
 */
static void
test_parts(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    core.now_ms += 1000;
    post_truncated_read(&core, CT_TOPIC_UPSTREAMS);
    g_assert_nonnull(sent_read(&core, CT_TOPIC_UPSTREAMS));
    g_assert_cmpint(sent_read(&core, CT_TOPIC_UPSTREAMS)->from, ==, 300);
    g_assert_cmpuint(sent_read(&core, CT_TOPIC_UPSTREAMS)->max_bytes, >, 0);
    g_assert_cmpuint(sent_read(&core, CT_TOPIC_UPSTREAMS)->max_bytes, <=,
                     128 * 1024);
    g_assert_cmpint(ct_store_age_ms(core.state, CT_TOPIC_UPSTREAMS), ==, 1000);
    post_truncated_read(&core, CT_TOPIC_CONFIG);
    g_assert_cmpint(ct_store_age_ms(core.state, CT_TOPIC_CONFIG), ==, 1000);
    t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 1, 0, 0);
    g_assert_cmpint(ct_store_age_ms(core.state, CT_TOPIC_CONFIG), ==, 0);
    t_core_free(&core);
}

/* A record larger than a part is read alone, after a pause. */
static void
test_oversize(void)
{
    struct ct_event read = {.type = CT_EVENT_STORE_READ_DONE};
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    read.u.store_read.topic = CT_TOPIC_UPSTREAMS;
    read.u.store_read.more = true;
    t_core_post(&core, &read);
    g_assert_null(sent_read(&core, CT_TOPIC_UPSTREAMS));
    while (sent_read(&core, CT_TOPIC_UPSTREAMS) == NULL) {
        t_core_tick(&core, 10);
    }
    g_assert_cmpuint(sent_read(&core, CT_TOPIC_UPSTREAMS)->max_bytes, ==, 0);
    post_truncated_read(&core, CT_TOPIC_UPSTREAMS);
    g_assert_cmpuint(sent_read(&core, CT_TOPIC_UPSTREAMS)->max_bytes, >, 0);
    t_core_free(&core);
}

/*
 * If the store is slow under the reads of all hosts, each read gets a longer
 * timeout.
 */
static void
test_slow_store(void)
{
    ct_ms timeout_ms[4];
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 1);
    core.now_ms += 3000;
    for (guint i = 0; i < G_N_ELEMENTS(timeout_ms); i++) {
        t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_TIMEOUT, 0, 0, 0);
        while (sent_read(&core, CT_TOPIC_UPSTREAMS) == NULL) {
            t_core_tick(&core, 10);
        }
        timeout_ms[i] = sent_read(&core, CT_TOPIC_UPSTREAMS)->timeout_ms;
    }
    /*
     * Together with the pause before it, within the time after a disturbance.
     */
    g_assert_cmpint(timeout_ms[3], <=, 3000 - 1200);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
    g_assert_cmpint(2 * (sent_read(&core, CT_TOPIC_UPSTREAMS)->timeout_ms -
                         sent_read(&core, CT_TOPIC_UPSTREAMS)->wait_ms),
                    <=, timeout_ms[0]);
    t_core_free(&core);
}

/*
 * If the records were truncated, the newest record of each key is read again.
 */
static void
test_truncated(void)
{
    struct t_core core;

    t_relay_init(&core);
    t_relay_configure(&core, 1, 2);
    t_relay_read(&core, CT_TOPIC_UPSTREAMS, CT_ERR_LOG_TRUNCATED, 0, 0, 0);
    g_assert_true(sent_read(&core, CT_TOPIC_UPSTREAMS)->newest);
    t_core_free(&core);
}

/*
 * Guards against data that looks newer than it is: a read without records
 * renews it up to the end of its wait only if it lasted that long.
 */
static void
test_early_read(void)
{
    static const struct {
        ct_ms took_ms, idle_ms, age_ms;
    } cases[] = {{1800, 1800, 0}, {1805, 1800, 5}, {1799, 1800, 1799},
                 {40, 1800, 40},  {0, 1800, 0},    {30, 0, 30}};

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct t_core core;

        t_relay_setup(&core, 1);
        core.now_ms += 10000;
        t_relay_read(&core, CT_TOPIC_CONFIG, CT_OK, 0, cases[i].took_ms,
                     cases[i].idle_ms);
        g_assert_cmpint(ct_store_age_ms(core.state, CT_TOPIC_CONFIG), ==,
                        cases[i].age_ms);
        t_core_free(&core);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-sync/start", test_start);
    g_test_add_func("/store-sync/pages", test_pages);
    g_test_add_func("/store-sync/never-reverts", test_never_reverts);
    g_test_add_func("/store-sync/invalid-config", test_invalid_config);
    g_test_add_func("/store-sync/age", test_age);
    g_test_add_func("/store-sync/failures", test_failures);
    g_test_add_func("/store-sync/read-timeout", test_read_timeout);
    g_test_add_func("/store-sync/overloaded", test_overloaded);
    g_test_add_func("/store-sync/config-burst", test_config_burst);
    g_test_add_func("/store-sync/evacuation-wait", test_evacuation_wait);
    g_test_add_func("/store-sync/unknown-group", test_unknown_group);
    g_test_add_func("/store-sync/store-down", test_store_down);
    g_test_add_func("/store-sync/store-silent", test_store_silent);
    g_test_add_func("/store-sync/parts", test_parts);
    g_test_add_func("/store-sync/oversize", test_oversize);
    g_test_add_func("/store-sync/slow-store", test_slow_store);
    g_test_add_func("/store-sync/truncated", test_truncated);
    g_test_add_func("/store-sync/early-read", test_early_read);
    return g_test_run();
}
