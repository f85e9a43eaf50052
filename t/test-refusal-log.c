/*
 * Tests of refusal-log.h: batches that are read back, that fail to append, and
 * that a snapshot skips.
 */
#include <string.h>

#include "lib-core.h"
#include "snapshot.h"

#define FLUSH_MS 600
#define RETRY_MS 6000

/*
 * Sets up a host that has refused one request: zeta may not call T_PLAIN_PATH.
 */
static void
refuse_one_request(struct t_core *core)
{
    t_core_init(core);
    t_core_configure(core, 1, 1);
    t_core_call(core, 2, T_PLAIN_PATH);
    g_assert_cmpuint(t_core_count(core, CT_EFFECT_REFUSE_REQUEST), ==, 1);
}

/* Advances the time and returns the batch that was appended, or NULL. */
static const struct ct_record *
next_batch(struct t_core *core, ct_ms by_ms)
{
    const struct ct_effect *effect;

    t_core_tick(core, by_ms);
    effect = t_core_append(core, CT_RECORD_REFUSALS);
    return effect ? &effect->u.log_append.record : NULL;
}

/* Posts the appended batch as read back from the log. */
static void
post_read_back(struct t_core *core)
{
    const struct ct_effect *effect = t_core_append(core, CT_RECORD_REFUSALS);
    struct ct_record record = effect->u.log_append.record;

    record.rows = effect->rows;
    record.rows.data =
        g_memdup2(effect->rows.data, effect->rows.n * effect->rows.row_size);
    t_core_entry(core, &record);
    g_free((void *)record.rows.data);
}

static void
test_read_back(void)
{
    struct t_core core;

    refuse_one_request(&core);
    g_assert_nonnull(next_batch(&core, FLUSH_MS));
    post_read_back(&core);
    g_assert_cmpuint(core.state->refusals.pending->len, ==, 0);
    g_assert_null(next_batch(&core, RETRY_MS));
    t_core_free(&core);
}

static void
test_append_failed(void)
{
    struct t_core core;
    struct ct_event event = {.type = CT_EVENT_LOG_APPEND_DONE};
    const struct ct_record *batch;

    refuse_one_request(&core);
    batch = next_batch(&core, FLUSH_MS);
    g_assert_nonnull(batch);
    event.u.log_append.sequence = batch->sequence;
    event.u.log_append.result = CT_ERR_TIMEOUT;
    t_core_post(&core, &event);
    g_assert_nonnull(next_batch(&core, RETRY_MS));
    t_core_free(&core);
}

/*
 * A peer's snapshot covers the batch, so this host never reads it back and
 * appends it again.
 */
static void
test_skipped_by_snapshot(void)
{
    struct t_core core;
    struct ct_snapshot_row *rows;
    uint32_t n;

    refuse_one_request(&core);
    g_assert_nonnull(next_batch(&core, FLUSH_MS));
    rows = ct_snapshot_export(core.state, &n);
    core.state->out = &core.effects;
    g_assert_cmpint(
        ct_snapshot_import(core.state, core.next_offset, CT_ROWS(rows, n)), ==,
        CT_OK);
    core.state->out = NULL;
    g_free(rows);
    g_assert_nonnull(next_batch(&core, RETRY_MS));
    post_read_back(&core);
    g_assert_cmpuint(core.state->refusals.pending->len, ==, 0);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/refusal-log/read-back", test_read_back);
    g_test_add_func("/refusal-log/append-failed", test_append_failed);
    g_test_add_func("/refusal-log/skipped-by-snapshot",
                    test_skipped_by_snapshot);
    return g_test_run();
}
