#include "world-parts.h"

#include <math.h>
#include <string.h>

#include "error.h"

#define WALL_MS ((ct_ms)1700000000000)

#define REPORT_LAG_US 700000
#define LOG_LAG_US 3000
#define LOG_HEAD_PERIOD_US 500000
#define PREFIXES 60

static void apply_effects(struct world *w);

void
world_post(struct world *w, struct ct_event *event)
{
    int err;

    event->now_ms = w->now_us / 1000;
    event->wall_ms = WALL_MS + w->now_us / 1000;
    ct_effects_clear(&w->effects);
    err = ct_reduce(w->state, event, &w->effects);
    g_assert_cmpint(err, ==, CT_OK);
    w->events++;
    apply_effects(w);
}

static void
append_record(struct world *w, const struct ct_effect *effect)
{
    struct ct_record *record =
        g_memdup2(&effect->u.log_append.record, sizeof(*record));
    gsize bytes = (gsize)effect->rows.n * effect->rows.row_size;

    record->rows = effect->rows;
    record->rows.data = bytes ? g_memdup2(effect->rows.data, bytes) : NULL;
    g_ptr_array_add(w->records, record);
    event_queue_add(&w->event_queue, w->now_us + LOG_LAG_US, KIND_LOG_ENTRY,
                    w->records->len - 1, 0);
}

static void
record_data_time(struct world *w, const struct ct_write_effect *write)
{
    struct request *r = world_request(w, (guint)write->caller - 1);

    if (r->first_us < 0) {
        r->first_us = w->now_us;
    }
    r->last_us = w->now_us;
}

static void
apply_effect(struct world *w, const struct ct_effect *effect)
{
    struct request *r;

    switch (effect->type) {
    case CT_EFFECT_SCHEDULE_TICK:
        event_queue_add(&w->event_queue,
                        MAX(effect->u.at_ms * 1000, w->now_us), KIND_TICK, 0,
                        0);
        break;
    case CT_EFFECT_START_ATTEMPT:
        world_start_attempt(w, &effect->u.attempt);
        break;
    case CT_EFFECT_CANCEL_ATTEMPT:
        world_cancel_attempt(w, effect->u.attempt.attempt);
        break;
    case CT_EFFECT_APPEND_LOG:
        append_record(w, effect);
        break;
    case CT_EFFECT_WRITE_DATA:
        record_data_time(w, &effect->u.write);
        break;
    case CT_EFFECT_WRITE_END:
        r = world_request(w, (guint)effect->u.write.caller - 1);
        r->ended = TRUE;
        r->complete = effect->u.write.complete;
        r->reason = effect->u.write.reason;
        break;
    case CT_EFFECT_REFUSE_REQUEST:
        r = world_request(w, (guint)effect->u.refuse.caller - 1);
        r->ended = TRUE;
        r->reason = effect->u.refuse.reason;
        break;
    default:
        break;
    }
}

static void
apply_effects(struct world *w)
{
    struct ct_effects effects_to_apply = w->effects;

    /* Applying an effect may post the next event, which needs w->effects. */
    ct_effects_init(&w->effects);
    for (guint i = 0; i < effects_to_apply.n; i++) {
        apply_effect(w, &effects_to_apply.items[i]);
    }
    if (w->effects.cap > 0) {
        ct_effects_free(&effects_to_apply);
        return;
    }
    ct_effects_clear(&effects_to_apply);
    w->effects = effects_to_apply;
}

gint64
world_exponential_us(struct world *w, gdouble per_s)
{
    return (gint64)(-log(1 - g_rand_double(w->random)) / per_s * 1e6) + 1;
}

static void
send_call(struct world *w, guint number)
{
    const struct request *r = world_request(w, number);
    const struct load_class *klass = &w->load->classes[r->klass];
    struct ct_event event = {.type = CT_EVENT_CALL_ARRIVED};
    struct ct_call *call = &event.u.call;

    call->caller = number + 1;
    call->kind = klass->plain ? CT_CALL_PLAIN : CT_CALL_CHAT;
    g_snprintf(call->request_id.text, sizeof(call->request_id.text), "%u",
               number);
    call->has_key = true;
    call->key.bytes[0] = (uint8_t)(r->organisation + 1);
    call->path = klass->route.path;
    call->model = klass->route.model;
    call->has_idempotency_key = !klass->route.idempotent;
    memcpy(call->idempotency_key.bytes, &number, sizeof(number));
    call->idempotency_wall_ms = WALL_MS + w->now_us / 1000;
    call->prefix_hash = r->prefix;
    call->prompt_tokens = r->prompt_tokens;
    call->stream = !klass->plain;
    world_post(w, &event);
}

static void
on_arrival(struct world *w, guint klass)
{
    const struct load_class *c = &w->load->classes[klass];
    ct_ms now_ms = w->now_us / 1000;
    guint prefix = (guint)g_rand_int_range(w->random, 0, PREFIXES);
    struct request r = {.klass = klass, .first_us = -1};

    r.arrived_us = w->now_us;
    r.organisation =
        load_organisation(w->load, w->scenario, klass, now_ms, w->random);
    r.tokens = load_tokens(w->load, klass, w->random);
    r.prompt_tokens = c->prompt_tokens;
    /* Some prefixes are far more common than others. */
    prefix = prefix * prefix / PREFIXES;
    r.prefix = ct_hash_bytes(CT_HASH_SEED + klass, &prefix, sizeof(prefix));
    g_array_append_val(w->requests, r);
    send_call(w, w->requests->len - 1);
    now_ms = w->now_us / 1000;
    if (now_ms < WARM_UP_MS + MEASURED_MS) {
        event_queue_add(
            &w->event_queue,
            w->now_us + world_exponential_us(
                            w, load_rate(w->load, w->scenario, klass, now_ms)),
            KIND_ARRIVAL, klass, 0);
    }
}

static void
on_report(struct world *w, const struct event_queue_entry *entry)
{
    const struct engine *engine = world_engine(w, entry->a);
    guint waiting = engine_waiting(engine);

    if (!engine->down) {
        event_queue_add(&w->event_queue, w->now_us + REPORT_LAG_US,
                        KIND_REPORT_RECEIVED, entry->a,
                        engine->running << 16 | waiting);
    }
    event_queue_add(&w->event_queue, w->now_us + REPORT_PERIOD_US, KIND_REPORT,
                    entry->a, 0);
}

static void
on_report_received(struct world *w, const struct event_queue_entry *entry)
{
    struct ct_event event = {.type = CT_EVENT_LOAD_REPORT};

    event.u.load.upstream =
        g_array_index(w->upstreams, struct ct_upstream, entry->a).name;
    event.u.load.running = entry->b >> 16;
    event.u.load.waiting = entry->b & 0xffff;
    event.u.load.age_ms = REPORT_LAG_US / 1000;
    world_post(w, &event);
}

static void
on_log_head(struct world *w)
{
    struct ct_event event = {.type = CT_EVENT_LOG_HEAD};

    event.u.head.head = w->next_offset - 1;
    event.u.head.first = 1;
    world_post(w, &event);
    event_queue_add(&w->event_queue, w->now_us + LOG_HEAD_PERIOD_US,
                    KIND_LOG_HEAD, 0, 0);
}

static void
on_log_entry(struct world *w, guint number)
{
    const struct ct_record *record = g_ptr_array_index(w->records, number);
    struct ct_event event = {.type = CT_EVENT_LOG_APPEND_DONE};

    if (scenario_has_disturbance(w->scenario, DISTURB_OUTAGE,
                                 w->now_us / 1000)) {
        event.u.log_append.sequence = record->sequence;
        event.u.log_append.result = CT_ERR_LOG_UNAVAILABLE;
        world_post(w, &event);
        return;
    }
    event.type = CT_EVENT_LOG_ENTRY;
    event.u.entry.offset = w->next_offset++;
    event.u.entry.record = *record;
    world_post(w, &event);
}

static void
handle_entry(struct world *w, const struct event_queue_entry *entry)
{
    struct ct_event tick = {.type = CT_EVENT_TICK};

    switch (entry->kind) {
    case KIND_ARRIVAL:
        on_arrival(w, entry->a);
        break;
    case KIND_BACKGROUND:
        world_on_background(w);
        break;
    case KIND_TICK:
        world_post(w, &tick);
        break;
    case KIND_STARTED:
        if (!world_is_stale_entry(w, entry)) {
            world_on_started(w, entry->a);
        }
        break;
    case KIND_CHUNK:
        if (!world_is_stale_entry(w, entry)) {
            world_on_chunk(w, entry->a);
        }
        break;
    case KIND_NOT_SENT:
        if (!world_is_stale_entry(w, entry)) {
            world_end_sequence(w, entry->a, CT_OUTCOME_NOT_SENT);
        }
        break;
    case KIND_REPORT:
        on_report(w, entry);
        break;
    case KIND_REPORT_RECEIVED:
        on_report_received(w, entry);
        break;
    case KIND_LOG_HEAD:
        on_log_head(w);
        break;
    case KIND_LOG_ENTRY:
        on_log_entry(w, entry->a);
        break;
    default:
        world_apply_disturbances(w);
        break;
    }
}

void
world_run(struct world *w)
{
    gint64 end_us = (gint64)(WARM_UP_MS + MEASURED_MS + DRAIN_MS) * 1000;
    struct event_queue_entry entry;

    while (event_queue_pop(&w->event_queue, &entry) && entry.at_us <= end_us) {
        w->now_us = entry.at_us;
        handle_entry(w, &entry);
    }
}
