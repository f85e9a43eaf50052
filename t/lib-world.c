#include <string.h>

#include "lib-world-parts.h"

struct pending_append {
    uint32_t host;
    uint32_t incarnation;
    struct ct_record record;
};

uint32_t
world_pick(struct world *w, uint32_t n)
{
    return w->choices->next(w->choices, n);
}

struct call *
world_find_call(struct world *w, uint32_t host, uint64_t caller)
{
    for (guint i = 0; i < w->calls->len; i++) {
        struct call *call = &g_array_index(w->calls, struct call, i);

        if (call->host == host && call->caller == caller) {
            return call;
        }
    }
    return NULL;
}

uint32_t
world_runs_of(const struct world *w, const struct ct_request_id *id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(w->runs_of_request, id->text));
}

static void
on_refuse_request(struct world *w, uint32_t host,
                  const struct ct_refuse_effect *e)
{
    struct call *call = world_find_call(w, host, e->caller);

    g_assert_nonnull(call);
    g_assert_false(call->ended);
    call->ended = true;
    g_assert_cmpuint(call->received_bytes, ==, 0);
    if (e->run_state == CT_NOT_RUN) {
        /* A refusal that says "not run" is true. */
        g_assert_cmpuint(world_runs_of(w, &call->id), ==, 0);
        w->stats->refused_not_run++;
        return;
    }
    w->stats->refused_may_have_run++;
}

static void
on_write_effect(struct world *w, uint32_t host, const struct ct_effect *effect)
{
    const struct ct_write_effect *e = &effect->u.write;
    struct call *call = world_find_call(w, host, e->caller);

    g_assert_nonnull(call);
    g_assert_false(call->ended);
    if (effect->type == CT_EFFECT_WRITE_DATA) {
        /* A caller gets no data once its host knows its key is withdrawn. */
        g_assert_false(w->withdrawn[host][call->key]);
        g_assert_cmpuint(e->offset, ==, call->received_bytes);
        call->received_bytes += e->bytes;
    }
    if (effect->type == CT_EFFECT_WRITE_END) {
        call->ended = true;
        if (e->complete) {
            g_assert_cmpuint(call->received_bytes, ==,
                             RESPONSE_PARTS * PART_BYTES);
            w->stats->complete++;
        }
        else {
            w->stats->truncated++;
        }
    }
}

static void
on_start_attempt(struct world *w, uint32_t host,
                 const struct ct_attempt_effect *e)
{
    struct run run = {
        .host = host, .incarnation = w->incarnation[host], .effect = *e};
    const struct call *call = world_find_call(w, host, e->caller);

    g_assert_nonnull(call);
    /* No attempt starts for a key that the host knows is withdrawn. */
    g_assert_false(w->withdrawn[host][call->key]);
    run.offset = e->resume_offset;
    g_array_append_val(w->runs, run);
}

static void
on_cancel_attempt(struct world *w, uint32_t host,
                  const struct ct_attempt_effect *e)
{
    for (guint i = 0; i < w->runs->len; i++) {
        struct run *run = &g_array_index(w->runs, struct run, i);

        if (run->host == host && run->incarnation == w->incarnation[host] &&
            ct_handle_eq(run->effect.attempt, e->attempt)) {
            run->cancelled = true;
        }
    }
}

static void
apply_effects(struct world *w, uint32_t host)
{
    const struct ct_effects *effects = &w->hosts[host].effects;

    for (uint32_t i = 0; i < effects->n; i++) {
        const struct ct_effect *effect = &effects->items[i];
        struct pending_append pending_append = {
            .host = host, .incarnation = w->incarnation[host]};

        switch (effect->type) {
        case CT_EFFECT_REFUSE_REQUEST:
            on_refuse_request(w, host, &effect->u.refuse);
            break;
        case CT_EFFECT_WRITE_DATA:
        case CT_EFFECT_WRITE_END:
            on_write_effect(w, host, effect);
            break;
        case CT_EFFECT_START_ATTEMPT:
            on_start_attempt(w, host, &effect->u.attempt);
            break;
        case CT_EFFECT_CANCEL_ATTEMPT:
            on_cancel_attempt(w, host, &effect->u.attempt);
            break;
        case CT_EFFECT_APPEND_LOG:
            pending_append.record = effect->u.log_append.record;
            if (pending_append.record.type == CT_RECORD_CLAIM ||
                pending_append.record.type == CT_RECORD_CLAIM_DONE) {
                g_array_append_val(w->in_flight, pending_append);
            }
            break;
        default:
            break;
        }
    }
}

void
world_post(struct world *w, uint32_t host, struct ct_event *event)
{
    t_core_post(&w->hosts[host], event);
    apply_effects(w, host);
}

/* Posts the next unread log entry to a host; false if there is none. */
static bool
read_entry(struct world *w, uint32_t host)
{
    struct ct_event event;

    if (w->read[host] == w->log->len) {
        return false;
    }
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_ENTRY;
    event.u.entry.offset = w->read[host] + 1;
    event.u.entry.record =
        g_array_index(w->log, struct ct_record, w->read[host]++);
    if (event.u.entry.record.type == CT_RECORD_KEY_WITHDRAW) {
        w->withdrawn[host][event.u.entry.record.u.key.digest.bytes[0]] = true;
    }
    world_post(w, host, &event);
    return true;
}

static void
append_record(struct world *w, const struct ct_record *record)
{
    struct ct_record copy = *record;

    copy.wall_ms = w->hosts[0].wall_ms;
    g_array_append_val(w->log, copy);
}

/* An append in flight takes effect, is lost, or its result is unknown. */
static void
complete_append(struct world *w)
{
    struct ct_event event;
    struct pending_append *pending_append;
    guint i;

    if (w->in_flight->len == 0) {
        return;
    }
    i = world_pick(w, w->in_flight->len);
    pending_append = &g_array_index(w->in_flight, struct pending_append, i);
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_APPEND_DONE;
    event.u.log_append.sequence = pending_append->record.sequence;
    if (world_pick(w, 4) == 0) {
        /* The result is lost; the append may take effect later, or never. */
        event.u.log_append.result = CT_ERR_LOG_UNAVAILABLE;
        if (pending_append->incarnation ==
            w->incarnation[pending_append->host]) {
            world_post(w, pending_append->host, &event);
        }
        if (world_pick(w, 2) == 0) {
            g_array_remove_index(w->in_flight, i);
        }
        return;
    }
    append_record(w, &pending_append->record);
    /* The same append may take effect a second time. */
    if (world_pick(w, 8) != 0) {
        g_array_remove_index(w->in_flight, i);
    }
}

static void
add_call(struct world *w)
{
    uint32_t host = world_pick(w, HOSTS);
    bool keyed = world_pick(w, 2);
    uint8_t key = (uint8_t)(1 + world_pick(w, KEYS));
    struct ct_event event;
    struct call call;

    if (w->calls->len == CALLS_MAX) {
        return;
    }
    event = t_call(&w->hosts[host], key, keyed ? T_PLAIN_PATH : T_CHAT_PATH);
    g_snprintf(event.u.call.request_id.text,
               sizeof(event.u.call.request_id.text), "request-%u",
               w->next_id++);
    memset(&call, 0, sizeof(call));
    if (keyed) {
        /* Often reuses the key of an earlier call, as a retrying caller. */
        call.idempotency_key = world_pick(w, 3)
                                   ? (uint8_t)(1 + world_pick(w, w->next_key))
                                   : w->next_key;
        if (call.idempotency_key == w->next_key && w->next_key < 250) {
            w->next_key++;
        }
        event.u.call.idempotency_key = t_digest(call.idempotency_key);
        event.u.call.idempotency_wall_ms = 1700000000000;
    }
    call.host = host;
    call.caller = event.u.call.caller;
    call.id = event.u.call.request_id;
    call.key = key;
    g_array_append_val(w->calls, call);
    w->stats->calls++;
    world_post(w, host, &event);
}

static void
disconnect_caller(struct world *w)
{
    struct ct_event event;
    struct call *call;

    if (w->calls->len == 0) {
        return;
    }
    call = &g_array_index(w->calls, struct call, world_pick(w, w->calls->len));
    if (call->ended) {
        return;
    }
    call->ended = true;
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_CALLER_DISCONNECTED;
    event.u.caller = call->caller;
    world_post(w, call->host, &event);
}

/* The process is killed and loses its state; a new one reads the log. */
static void
restart_host(struct world *w)
{
    uint32_t host = world_pick(w, HOSTS);
    struct t_core *core = &w->hosts[host];
    uint64_t next_caller = core->next_caller;
    ct_ms now_ms = core->now_ms;
    ct_ms wall_ms = core->wall_ms;

    for (guint i = 0; i < w->calls->len; i++) {
        struct call *call = &g_array_index(w->calls, struct call, i);

        if (call->host == host) {
            call->ended = true;
        }
    }
    t_core_free(core);
    t_core_init(core);
    core->next_caller = next_caller;
    core->now_ms = now_ms;
    core->wall_ms = wall_ms;
    w->incarnation[host]++;
    w->stats->restarts++;
    g_snprintf(core->state->self.host.text, CT_NAME_MAX, "h%u", host);
    g_snprintf(core->state->self.writer.text, CT_NAME_MAX, "h%u-%u", host,
               w->incarnation[host]);
    memset(w->withdrawn[host], 0, sizeof(w->withdrawn[host]));
    w->read[host] = 0;
    /* The host serves no calls before it has read up to the head. */
    while (read_entry(w, host)) {
    }
}

static void
withdraw_key(struct world *w)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_KEY_WITHDRAW;
    record.u.key.digest = t_digest((uint8_t)(1 + world_pick(w, KEYS)));
    append_record(w, &record);
    w->stats->withdrawn++;
}

static void
grant_key(struct world *w, uint8_t n)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_KEY_GRANT;
    record.u.key.digest = t_digest(n);
    CT_TEXT_SET(record.u.key.organisation, "acme");
    append_record(w, &record);
}

static void
advance_time(struct world *w, ct_ms by_ms)
{
    struct ct_event event;

    for (uint32_t host = 0; host < HOSTS; host++) {
        memset(&event, 0, sizeof(event));
        event.type = CT_EVENT_LOG_HEAD;
        event.u.head.first = 1;
        world_post(w, host, &event);
        t_core_tick(&w->hosts[host], by_ms);
        apply_effects(w, host);
    }
}

static void
run_step(struct world *w)
{
    switch (world_pick(w, 32)) {
    case 0:
        advance_time(w, 1 + world_pick(w, 400));
        return;
    case 1:
        disconnect_caller(w);
        return;
    case 2:
        if (world_pick(w, 16) == 0) {
            restart_host(w);
        }
        return;
    case 3:
        if (world_pick(w, 64) == 0) {
            withdraw_key(w);
        }
        return;
    case 4:
    case 5:
    case 6:
    case 7:
        add_call(w);
        return;
    case 8:
    case 9:
    case 10:
    case 11:
        complete_append(w);
        return;
    case 12:
    case 13:
    case 14:
    case 15:
        read_entry(w, world_pick(w, HOSTS));
        return;
    default:
        world_step_run(w, false);
        return;
    }
}

/* Runs without faults: all calls must end and all rows must be freed. */
static void
finish_all_calls(struct world *w)
{
    for (int i = 0; i < 4000; i++) {
        world_step_run(w, true);
        for (uint32_t host = 0; host < HOSTS; host++) {
            read_entry(w, host);
        }
        if (w->in_flight->len) {
            append_record(
                w,
                &g_array_index(w->in_flight, struct pending_append, 0).record);
            g_array_remove_index(w->in_flight, 0);
        }
        advance_time(w, 20);
    }
    for (guint i = 0; i < w->calls->len; i++) {
        g_assert_true(g_array_index(w->calls, struct call, i).ended);
    }
    advance_time(w, 61000);
    for (uint32_t host = 0; host < HOSTS; host++) {
        const struct ct_state *state = w->hosts[host].state;

        g_assert_cmpuint(state->requests.rows.live, ==, 0);
        g_assert_cmpuint(state->requests.attempts.live, ==, 0);
        g_assert_cmpuint(state->requests.active, ==, 0);
    }
}

static void
start_hosts(struct world *w)
{
    for (uint32_t host = 0; host < HOSTS; host++) {
        struct t_core *core = &w->hosts[host];

        t_core_init(core);
        g_snprintf(core->state->self.host.text, CT_NAME_MAX, "h%u", host);
        g_snprintf(core->state->self.writer.text, CT_NAME_MAX, "h%u-0", host);
        while (read_entry(w, host)) {
        }
    }
}

void
t_world_run(struct t_world_choices *choices, uint32_t steps,
            struct t_world_stats *stats)
{
    struct ct_config_row *rows;
    struct t_core first;
    struct world w;
    uint32_t n;

    memset(&w, 0, sizeof(w));
    w.choices = choices;
    w.stats = stats;
    w.next_key = 1;
    w.log = g_array_new(FALSE, TRUE, sizeof(struct ct_record));
    w.in_flight = g_array_new(FALSE, TRUE, sizeof(struct pending_append));
    w.calls = g_array_new(FALSE, TRUE, sizeof(struct call));
    w.runs = g_array_new(FALSE, TRUE, sizeof(struct run));
    w.runs_of_request =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    t_core_init(&first);
    t_core_configure(&first, 3, 2);
    rows = ct_config_export(&first.state->config, &n);
    w.config.type = CT_RECORD_CONFIG;
    w.config.rows = CT_ROWS(rows, n);
    g_array_append_val(w.log, w.config);
    t_core_free(&first);
    for (uint8_t key = 1; key <= KEYS; key++) {
        grant_key(&w, key);
    }
    start_hosts(&w);
    while (steps-- > 0) {
        run_step(&w);
    }
    finish_all_calls(&w);
    for (uint32_t host = 0; host < HOSTS; host++) {
        t_core_free(&w.hosts[host]);
    }
    g_free(rows);
    g_hash_table_destroy(w.runs_of_request);
    g_array_free(w.log, TRUE);
    g_array_free(w.in_flight, TRUE);
    g_array_free(w.calls, TRUE);
    g_array_free(w.runs, TRUE);
}
