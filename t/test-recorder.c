/* Tests of recorder.h: replaying a recorded run gives the same effects. */
#include <glib/gstdio.h>
#include <unistd.h>

#include "lib-core.h"
#include "recorder.h"

#define STEPS 3000
#define SEED 20

struct run {
    struct t_core core;
    GRand *random;
    /* Dump of all effects, which is what the test compares. */
    GByteArray *dump;
    /* struct ct_handle of the running attempts. */
    GArray *attempts;
    /* struct ct_record that were appended and not yet read back. */
    GArray *appended;
};

/*
 * Dumps the effects of the last event, and adds the attempts and appends that
 * they start.
 */
static void
collect_effects(struct run *run)
{
    const struct ct_effects *effects = &run->core.effects;

    for (uint32_t i = 0; i < effects->n; i++) {
        const struct ct_effect *effect = &effects->items[i];

        ct_effect_dump(effect, run->dump);
        if (effect->type == CT_EFFECT_START_ATTEMPT) {
            g_array_append_val(run->attempts, effect->u.attempt.attempt);
        }
        if (effect->type == CT_EFFECT_APPEND_LOG && effect->rows.n == 0) {
            g_array_append_val(run->appended, effect->u.log_append.record);
        }
    }
}

static void
post_attempt_event(struct run *run)
{
    static const enum ct_outcome outcomes[] = {
        CT_OUTCOME_COMPLETE,    CT_OUTCOME_COMPLETE,
        CT_OUTCOME_NOT_SENT,    CT_OUTCOME_CONNECTION_LOST,
        CT_OUTCOME_GAP_TIMEOUT, CT_OUTCOME_DECLINED,
    };
    guint i =
        (guint)g_rand_int_range(run->random, 0, (gint32)run->attempts->len);
    struct ct_attempt_event attempt = {
        .attempt = g_array_index(run->attempts, struct ct_handle, i),
        .status = 200,
        .tokens = 1,
        .bytes = 0,
    };
    enum ct_event_type type = (enum ct_event_type)(
        CT_EVENT_ATTEMPT_SENT + g_rand_int_range(run->random, 0, 4));

    if (type == CT_EVENT_ATTEMPT_DONE) {
        attempt.outcome =
            outcomes[g_rand_int_range(run->random, 0, G_N_ELEMENTS(outcomes))];
        g_array_remove_index_fast(run->attempts, i);
    }
    t_core_attempt(&run->core, type, attempt);
}

static void
run_step(struct run *run)
{
    struct ct_event event = {.type = CT_EVENT_CALLER_DISCONNECTED};

    switch (g_rand_int_range(run->random, 0, 6)) {
    case 0:
        t_core_call(&run->core, (uint8_t)g_rand_int_range(run->random, 0, 4),
                    g_rand_boolean(run->random) ? T_CHAT_PATH : T_PLAIN_PATH);
        break;
    case 1:
        event.u.caller = (uint64_t)g_rand_int_range(
            run->random, 1, (gint32)run->core.next_caller + 1);
        t_core_post(&run->core, &event);
        break;
    case 2:
        if (run->appended->len > 0) {
            struct ct_record record =
                g_array_index(run->appended, struct ct_record, 0);

            g_array_remove_index(run->appended, 0);
            t_core_entry(&run->core, &record);
            break;
        }
        /* fall through */
    case 3:
        t_core_tick(&run->core, g_rand_int_range(run->random, 0, 200));
        break;
    default:
        if (run->attempts->len > 0) {
            post_attempt_event(run);
        }
        else {
            t_core_tick(&run->core, 1);
        }
        break;
    }
    collect_effects(run);
}

/*
 * Records a run of calls with all kinds of outcomes to the file; returns the
 * dump of the effects.
 */
static GByteArray *
record_run(const char *path)
{
    struct run run = {.random = g_rand_new_with_seed(SEED)};

    run.dump = g_byte_array_new();
    run.attempts = g_array_new(FALSE, FALSE, sizeof(struct ct_handle));
    run.appended = g_array_new(FALSE, FALSE, sizeof(struct ct_record));
    t_core_init(&run.core);
    g_assert_cmpint(ct_recorder_new(path, &run.core.state->self,
                                    ct_state_reducer_new(run.core.state),
                                    &run.core.reducer),
                    ==, CT_OK);
    t_core_configure(&run.core, 2, 3);
    collect_effects(&run);
    for (int i = 0; i < STEPS; i++) {
        run_step(&run);
    }
    run.core.reducer->ops->free(run.core.reducer);
    t_core_free(&run.core);
    g_rand_free(run.random);
    g_array_unref(run.attempts);
    g_array_unref(run.appended);
    return run.dump;
}

static GByteArray *
replay_run(const char *path, uint32_t *events, uint64_t *kinds)
{
    GByteArray *dump = g_byte_array_new();
    struct ct_recording *recording;
    struct ct_effects effects;
    struct ct_event event;
    struct t_core core;
    int status;

    t_core_init(&core);
    ct_effects_init(&effects);
    g_assert_cmpint(ct_recording_open(path, &recording), ==, CT_OK);
    g_assert_cmpstr(ct_recording_self(recording)->host.text, ==, "h1");
    while ((status = ct_recording_next(recording, &event)) == 1) {
        ct_effects_clear(&effects);
        g_assert_cmpint(ct_reduce(core.state, &event, &effects), ==, CT_OK);
        /*
         * The configuration consists of three events; the first dump lacks the
         * effects of the first two.
         */
        for (uint32_t i = 0; *events >= 2 && i < effects.n; i++) {
            ct_effect_dump(&effects.items[i], dump);
            *kinds |= UINT64_C(1) << effects.items[i].type;
        }
        ++*events;
    }
    g_assert_cmpint(status, ==, 0);
    ct_recording_close(recording);
    ct_effects_free(&effects);
    t_core_free(&core);
    return dump;
}

static void
test_replay(void)
{
    char *path = g_build_filename(g_get_tmp_dir(), "ct-replay-XXXXXX", NULL);
    GByteArray *recorded;
    GByteArray *replayed;
    uint32_t events = 0;
    uint64_t kinds = 0;

    close(g_mkstemp(path));
    recorded = record_run(path);
    replayed = replay_run(path, &events, &kinds);
    g_assert_cmpuint(events, ==, STEPS + 3);
    /* The run included responses, refusals, attempts and log appends. */
    g_assert_true(kinds & UINT64_C(1) << CT_EFFECT_WRITE_END);
    g_assert_true(kinds & UINT64_C(1) << CT_EFFECT_REFUSE_REQUEST);
    g_assert_true(kinds & UINT64_C(1) << CT_EFFECT_START_ATTEMPT);
    g_assert_true(kinds & UINT64_C(1) << CT_EFFECT_APPEND_LOG);
    g_assert_cmpmem(recorded->data, recorded->len, replayed->data,
                    replayed->len);
    g_byte_array_unref(recorded);
    g_byte_array_unref(replayed);
    g_unlink(path);
    g_free(path);
}

static void
test_invalid_files(void)
{
    char *path = g_build_filename(g_get_tmp_dir(), "ct-replay-XXXXXX", NULL);
    struct ct_recording *recording;
    struct ct_event event;
    char *text;
    gsize n;

    close(g_mkstemp(path));
    g_assert_cmpint(ct_recording_open(path, &recording), ==, CT_ERR_IO);
    g_byte_array_unref(record_run(path));
    g_assert_true(g_file_get_contents(path, &text, &n, NULL));
    g_assert_true(g_file_set_contents(path, text, (gssize)n - 1, NULL));
    g_assert_cmpint(ct_recording_open(path, &recording), ==, CT_OK);
    for (int i = 0; i < STEPS + 2; i++) {
        g_assert_cmpint(ct_recording_next(recording, &event), ==, 1);
    }
    g_assert_cmpint(ct_recording_next(recording, &event), ==, CT_ERR_DECODE);
    ct_recording_close(recording);
    text[0] ^= 1;
    g_assert_true(g_file_set_contents(path, text, (gssize)n, NULL));
    g_assert_cmpint(ct_recording_open(path, &recording), ==, CT_ERR_VERSION);
    g_free(text);
    g_unlink(path);
    g_free(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/recorder/same-effects", test_replay);
    g_test_add_func("/recorder/invalid-files", test_invalid_files);
    return g_test_run();
}
