#include <string.h>

#include "world-parts.h"

/* Tokens per data event of an attempt. */
#define CHUNK_TOKENS 8
/* Load of other hosts as a fraction of the capacity; mean request size. */
#define BACKGROUND_LOAD 0.08
#define BACKGROUND_TOKENS 300
#define STRAGGLER_PERCENT 500

static void
post_attempt(struct world *w, guint type, const struct sequence *s,
             enum ct_outcome outcome, guint tokens)
{
    struct ct_event event = {.type = type};
    gboolean plain = world_engine(w, s->engine)->plain;

    if (ct_handle_is_none(s->attempt)) {
        return;
    }
    event.u.attempt.attempt = s->attempt;
    event.u.attempt.status = 200;
    event.u.attempt.outcome = outcome;
    event.u.attempt.offset =
        (guint64)(s->resume_tokens + s->generated - tokens) * BYTES_PER_TOKEN;
    event.u.attempt.bytes = plain ? 64 : tokens * BYTES_PER_TOKEN;
    event.u.attempt.tokens = tokens;
    if (outcome == CT_OUTCOME_COMPLETE) {
        event.u.attempt.prompt_tokens = s->prompt_tokens;
        event.u.attempt.total_tokens = s->tokens;
    }
    world_post(w, &event);
}

static guint
sequence_new(struct world *w)
{
    struct sequence s = {0};
    guint i;

    if (w->free_sequences->len > 0) {
        i = g_array_index(w->free_sequences, guint,
                          w->free_sequences->len - 1);
        g_array_set_size(w->free_sequences, w->free_sequences->len - 1);
        *world_sequence(w, i) = s;
        return i;
    }
    g_array_append_val(w->sequences, s);
    return w->sequences->len - 1;
}

static void
enter_batch(struct world *w, guint i)
{
    struct sequence *s = world_sequence(w, i);
    struct engine *engine = world_engine(w, s->engine);

    engine->running++;
    s->in_batch = TRUE;
    event_queue_add(&w->event_queue, w->now_us + engine_prefill_us(engine, s),
                    KIND_STARTED, i, s->attempt.generation);
}

static void
add_to_engine(struct world *w, guint i)
{
    struct sequence *s = world_sequence(w, i);
    struct engine *engine = world_engine(w, s->engine);

    if (engine->running < engine->max_batch) {
        enter_batch(w, i);
        return;
    }
    g_queue_push_tail(&engine->waiting[s->priority], GUINT_TO_POINTER(i));
}

/* Frees a sequence; waiting sequences of the engine enter the batch. */
static void
free_sequence(struct world *w, guint i)
{
    struct sequence *s = world_sequence(w, i);
    struct engine *engine = world_engine(w, s->engine);

    if (!s->in_batch) {
        g_queue_remove(&engine->waiting[s->priority], GUINT_TO_POINTER(i));
    }
    engine->running -= s->in_batch;
    s->used = FALSE;
    if (!ct_handle_is_none(s->attempt)) {
        g_array_index(w->sequences_by_attempt, guint, s->attempt.index) =
            G_MAXUINT;
    }
    g_array_append_val(w->free_sequences, i);
    for (guint p = 0; p < G_N_ELEMENTS(engine->waiting) && !engine->down;
         p++) {
        if (engine->running < engine->max_batch &&
            engine->waiting[p].length > 0) {
            enter_batch(
                w, GPOINTER_TO_UINT(g_queue_pop_head(&engine->waiting[p])));
        }
    }
}

/* Whether the sequence of the entry was freed or reused. */
gboolean
world_is_stale_entry(struct world *w, const struct event_queue_entry *entry)
{
    const struct sequence *s = world_sequence(w, entry->a);

    return !s->used || s->attempt.generation != entry->b;
}

void
world_end_sequence(struct world *w, guint i, enum ct_outcome outcome)
{
    struct sequence s = *world_sequence(w, i);

    free_sequence(w, i);
    post_attempt(w, CT_EVENT_ATTEMPT_DONE, &s, outcome, 0);
}

static void
generate_tokens(struct world *w, guint i, guint tokens)
{
    struct sequence *s = world_sequence(w, i);
    struct engine *engine = world_engine(w, s->engine);
    guint left = s->tokens - s->resume_tokens - s->generated;
    struct sequence copy;
    guint next;

    tokens = MIN(tokens, left);
    s->generated += tokens;
    if (!ct_handle_is_none(s->attempt)) {
        struct request *r = world_request(w, s->request);

        r->generated += tokens;
        r->generated_cheap += engine->cheap ? tokens : 0;
    }
    copy = *s;
    post_attempt(w, CT_EVENT_ATTEMPT_DATA, &copy, 0, tokens);
    s = world_sequence(w, i);
    if (!s->used) {
        return;
    }
    left = s->tokens - s->resume_tokens - s->generated;
    if (left == 0) {
        world_end_sequence(w, i, CT_OUTCOME_COMPLETE);
        return;
    }
    next = MIN(CHUNK_TOKENS, left);
    event_queue_add(&w->event_queue, w->now_us + next * engine_gap_us(engine),
                    KIND_CHUNK, i, s->attempt.generation);
}

void
world_on_started(struct world *w, guint i)
{
    struct sequence s = *world_sequence(w, i);

    post_attempt(w, CT_EVENT_ATTEMPT_SENT, &s, 0, 0);
    post_attempt(w, CT_EVENT_ATTEMPT_HEAD, &s, 0, 0);
    generate_tokens(w, i, 1);
}

void
world_on_chunk(struct world *w, guint i)
{
    generate_tokens(w, i, CHUNK_TOKENS);
}

static guint
find_engine(struct world *w, const struct ct_name *name)
{
    for (guint i = 0; i < w->upstreams->len; i++) {
        if (ct_name_eq(
                &g_array_index(w->upstreams, struct ct_upstream, i).name,
                name)) {
            return i;
        }
    }
    g_assert_not_reached();
}

void
world_start_attempt(struct world *w, const struct ct_attempt_effect *start)
{
    const struct request *r = world_request(w, (guint)start->caller - 1);
    guint i = sequence_new(w);
    struct sequence *s = world_sequence(w, i);
    guint none = G_MAXUINT;

    s->used = TRUE;
    s->engine = find_engine(w, &start->upstream);
    s->attempt = start->attempt;
    s->request = (guint)start->caller - 1;
    s->priority = start->priority;
    s->prompt_tokens = r->prompt_tokens;
    s->prefix = r->prefix;
    s->tokens = r->tokens;
    s->resume_tokens = (guint)(start->resume_offset / BYTES_PER_TOKEN);
    while (w->sequences_by_attempt->len <= start->attempt.index) {
        g_array_append_val(w->sequences_by_attempt, none);
    }
    g_array_index(w->sequences_by_attempt, guint, start->attempt.index) = i;
    if (world_engine(w, s->engine)->down) {
        event_queue_add(&w->event_queue, w->now_us + NETWORK_DELAY_US,
                        KIND_NOT_SENT, i, s->attempt.generation);
        return;
    }
    add_to_engine(w, i);
}

void
world_cancel_attempt(struct world *w, struct ct_handle attempt)
{
    guint i = g_array_index(w->sequences_by_attempt, guint, attempt.index);

    if (i != G_MAXUINT &&
        ct_handle_eq(world_sequence(w, i)->attempt, attempt)) {
        free_sequence(w, i);
    }
}

void
world_on_background(struct world *w)
{
    gdouble per_s =
        BACKGROUND_LOAD * w->load->capacity_tokens_per_s / BACKGROUND_TOKENS;
    guint i = sequence_new(w);
    struct sequence *s = world_sequence(w, i);

    do {
        s->engine =
            (guint)g_rand_int_range(w->random, 0, (gint)w->engines->len);
    } while (world_engine(w, s->engine)->plain);
    s->prompt_tokens = 500;
    s->tokens = BACKGROUND_TOKENS / 2 +
                (guint)g_rand_int_range(w->random, 0, BACKGROUND_TOKENS);
    s->priority = 1;
    if (world_engine(w, s->engine)->down) {
        g_array_append_val(w->free_sequences, i);
    }
    else {
        s->used = TRUE;
        add_to_engine(w, i);
    }
    if (w->now_us / 1000 < WARM_UP_MS + MEASURED_MS) {
        event_queue_add(&w->event_queue,
                        w->now_us + world_exponential_us(w, per_s),
                        KIND_BACKGROUND, 0, 0);
    }
}

static void
fail_engine(struct world *w, guint engine)
{
    world_engine(w, engine)->down = TRUE;
    for (guint i = 0; i < w->sequences->len; i++) {
        if (world_sequence(w, i)->used &&
            world_sequence(w, i)->engine == engine) {
            world_end_sequence(w, i, CT_OUTCOME_CONNECTION_LOST);
        }
    }
}

static void
set_engine_up(struct world *w, guint engine, gboolean up)
{
    if (!up && !world_engine(w, engine)->down) {
        fail_engine(w, engine);
    }
    world_engine(w, engine)->down = !up;
}

/* Whether the engine is cheap and in the zone of the first cheap engine. */
static gboolean
in_lost_zone(struct world *w, guint i)
{
    const struct engine *engine = world_engine(w, i);

    for (guint j = 0; j < w->engines->len; j++) {
        if (world_engine(w, j)->cheap) {
            return engine->cheap && engine->zone == world_engine(w, j)->zone;
        }
    }
    return FALSE;
}

void
world_apply_disturbances(struct world *w)
{
    ct_ms now_ms = w->now_us / 1000;
    guint n_firm = 0;

    for (guint i = 0; i < w->engines->len; i++) {
        struct engine *engine = world_engine(w, i);
        gboolean straggler;
        gboolean crashes;

        if (engine->plain) {
            continue;
        }
        n_firm += !engine->cheap;
        straggler = !engine->cheap && n_firm == 2;
        crashes = !engine->cheap && n_firm == 3;
        engine->slow_percent = 100;
        if (straggler &&
            scenario_has_disturbance(w->scenario, DISTURB_STRAGGLER, now_ms)) {
            engine->slow_percent = STRAGGLER_PERCENT;
        }
        set_engine_up(w, i,
                      !(crashes && scenario_has_disturbance(
                                       w->scenario, DISTURB_CRASH, now_ms)) &&
                          !(in_lost_zone(w, i) &&
                            scenario_has_disturbance(w->scenario, DISTURB_ZONE,
                                                     now_ms)));
    }
}
