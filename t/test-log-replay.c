/* Tests of log-replay.h and snapshot.h: entry order, races, retention. */
#include <string.h>

#include "lib-core.h"
#include "snapshot.h"

static void
post_head(struct t_core *core, int64_t first, int64_t head)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_HEAD;
    event.u.head.first = first;
    event.u.head.head = head;
    t_core_post(core, &event);
}

/* Of two configurations with the same base, the first in the log wins. */
static void
test_config_race(void)
{
    struct t_core core;
    struct ct_record record;
    int64_t previous;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    previous = core.state->config.offset;
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CONFIG;
    record.base_offset = previous;
    CT_TEXT_SET(record.writer, "operator-a");
    t_core_entry(&core, &record);
    g_assert_cmpint(core.state->config.offset, ==, core.next_offset - 1);
    previous = core.state->config.offset;
    CT_TEXT_SET(record.writer, "operator-b");
    t_core_entry(&core, &record);
    g_assert_cmpint(core.state->config.offset, ==, previous);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_LOG_REJECTED], ==,
                     1);
    t_core_free(&core);
}

/* An invalid configuration is rejected and the current one stays in use. */
static void
test_config_invalid(void)
{
    struct t_core core;
    struct ct_config_row row;
    struct ct_record record;
    int64_t previous;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    previous = core.state->config.offset;
    memset(&row, 0, sizeof(row));
    row.kind = CT_CONFIG_ROUTE;
    CT_TEXT_SET(row.u.route.class_name, "nowhere");
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CONFIG;
    record.base_offset = previous;
    record.rows = CT_ROWS(&row, 1);
    t_core_entry(&core, &record);
    g_assert_cmpint(core.state->config.offset, ==, previous);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_nonnull(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    t_core_free(&core);
}

/*
 * Entries are applied in offset order only: after a gap the missing entries
 * are read, and an entry that was already applied is ignored.
 */
static void
test_gap(void)
{
    struct t_core core;
    struct ct_event event;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_ENTRY;
    event.u.entry.offset = core.next_offset + 3;
    event.u.entry.record.type = CT_RECORD_KEY_WITHDRAW;
    event.u.entry.record.u.key.digest = t_digest(1);
    t_core_post(&core, &event);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_READ_LOG, 0)->u.offset, ==,
                    core.next_offset);
    g_assert_cmpint(core.state->log.applied, ==, core.next_offset - 1);
    event.u.entry.offset = 1;
    t_core_post(&core, &event);
    g_assert_true(ct_keys_usable(
        &core.state->keys,
        ct_keys_find(&core.state->keys, &event.u.entry.record.u.key.digest)));
    t_core_free(&core);
}

/* A starting host refuses requests until it has read the log to its head. */
static void
test_not_ready(void)
{
    struct t_core core;

    t_core_init(&core);
    core.state->log.ready = false;
    post_head(&core, 1, 100);
    t_core_configure(&core, 1, 1);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_cmpint(
        t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse.reason, ==,
        CT_REFUSAL_NOT_READY);
    t_core_free(&core);
}

/*
 * If the log no longer holds the oldest entries, a starting host takes its
 * state from the newest snapshot.
 */
static void
test_snapshot_start(void)
{
    struct t_core source;
    struct t_core core;
    struct ct_record record;
    struct ct_event event;
    struct ct_snapshot_row *rows;
    uint32_t n;

    t_core_init(&source);
    t_core_configure(&source, 2, 2);
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_KEY_WITHDRAW;
    record.u.key.digest = t_digest(2);
    t_core_entry(&source, &record);
    rows = ct_snapshot_export(source.state, &n);

    t_core_init(&core);
    core.state->log.ready = false;
    post_head(&core, 3, 10);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_READ_LOG, 0)->u.offset, ==,
                    3);
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_ENTRY;
    event.u.entry.offset = 8;
    event.u.entry.record.type = CT_RECORD_SNAPSHOT;
    event.u.entry.record.base_offset = 7;
    event.u.entry.record.rows = CT_ROWS(rows, n);
    t_core_post(&core, &event);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_READ_LOG, 0)->u.offset, ==,
                    8);
    g_assert_false(core.state->log.ready);
    core.next_offset = 8;
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CLAIM_DONE;
    while (core.next_offset <= 10) {
        t_core_entry(&core, &record);
    }
    g_assert_true(core.state->log.ready);
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_nonnull(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    t_core_call(&core, 2, T_CHAT_PATH);
    g_assert_cmpint(
        t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse.reason, ==,
        CT_REFUSAL_KEY_WITHDRAWN);
    g_free(rows);
    t_core_free(&core);
    t_core_free(&source);
}

/* Importing a snapshot and exporting it again gives the same rows. */
static void
test_snapshot_round_trip(void)
{
    struct t_core a;
    struct t_core b;
    struct ct_snapshot_row *first;
    struct ct_snapshot_row *second;
    uint32_t n;
    uint32_t m;

    t_core_init(&a);
    t_core_configure(&a, 3, 2);
    first = ct_snapshot_export(a.state, &n);
    t_core_init(&b);
    g_assert_cmpint(ct_snapshot_import(b.state, 3, CT_ROWS(first, n)), ==,
                    CT_OK);
    second = ct_snapshot_export(b.state, &m);
    g_assert_cmpmem(first, n * sizeof(*first), second, m * sizeof(*second));
    g_free(first);
    g_free(second);
    t_core_free(&a);
    t_core_free(&b);
}

/* A snapshot is appended well before the log drops the entries it replaces. */
static void
test_snapshot_due(void)
{
    struct t_core core;
    struct ct_record record;
    const struct ct_effect *append = NULL;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CLAIM_DONE;
    for (int i = 0; i < 20; i++) {
        t_core_entry(&core, &record);
    }
    t_core_tick(&core, 10000);
    g_assert_null(t_core_append(&core, CT_RECORD_SNAPSHOT));
    /* The log retains only 20 entries, so a snapshot is due. */
    post_head(&core, core.next_offset - 20, core.next_offset - 1);
    t_core_tick(&core, 10000);
    append = t_core_append(&core, CT_RECORD_SNAPSHOT);
    g_assert_nonnull(append);
    g_assert_cmpint(append->u.log_append.record.base_offset, ==,
                    core.next_offset - 1);
    g_assert_cmpuint(append->rows.n, >, 0);
    record = append->u.log_append.record;
    t_core_entry(&core, &record);
    t_core_tick(&core, 10000);
    g_assert_null(t_core_append(&core, CT_RECORD_SNAPSHOT));
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log-replay/config-race", test_config_race);
    g_test_add_func("/log-replay/config-invalid", test_config_invalid);
    g_test_add_func("/log-replay/gap", test_gap);
    g_test_add_func("/log-replay/not-ready", test_not_ready);
    g_test_add_func("/log-replay/snapshot-start", test_snapshot_start);
    g_test_add_func("/log-replay/snapshot-round-trip",
                    test_snapshot_round_trip);
    g_test_add_func("/log-replay/snapshot-due", test_snapshot_due);
    return g_test_run();
}
