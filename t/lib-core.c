#include "lib-core.h"

#include <string.h>

#define WALL_MS ((ct_ms)1700000000000)

void
t_core_init(struct t_core *core)
{
    struct ct_event event = {.type = CT_EVENT_LOG_HEAD};

    t_core_init_named(core, "h1", "h1-1");
    event.u.head.first = 1;
    t_core_post(core, &event);
}

void
t_core_init_named(struct t_core *core, const char *host, const char *writer)
{
    struct ct_host_identity self;

    memset(core, 0, sizeof(*core));
    memset(&self, 0, sizeof(self));
    CT_TEXT_SET(self.host, host);
    CT_TEXT_SET(self.zone, "zone-a");
    CT_TEXT_SET(self.writer, writer);
    self.seed = 1;
    core->state = ct_state_new(&self);
    g_assert_nonnull(core->state);
    ct_effects_init(&core->effects);
    core->now_ms = 1000;
    core->wall_ms = WALL_MS;
    core->next_offset = 1;
    core->next_caller = 1;
}

void
t_core_free(struct t_core *core)
{
    ct_state_free(core->state);
    ct_effects_free(&core->effects);
}

void
t_core_post(struct t_core *core, struct ct_event *event)
{
    int err;

    event->now_ms = core->now_ms;
    event->wall_ms = core->wall_ms;
    ct_effects_clear(&core->effects);
    if (core->reducer) {
        err = core->reducer->ops->reduce(core->reducer, event, &core->effects);
    }
    else {
        err = ct_reduce(core->state, event, &core->effects);
    }
    g_assert_cmpint(err, ==, CT_OK);
}

void
t_core_tick(struct t_core *core, ct_ms by_ms)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_TICK;
    core->now_ms += by_ms;
    core->wall_ms += by_ms;
    t_core_post(core, &event);
}

void
t_core_entry(struct t_core *core, const struct ct_record *record)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_LOG_ENTRY;
    event.u.entry.offset = core->next_offset++;
    event.u.entry.record = *record;
    event.u.entry.record.wall_ms = core->wall_ms;
    t_core_post(core, &event);
}

struct ct_digest
t_digest(uint8_t n)
{
    struct ct_digest digest;

    memset(digest.bytes, n, sizeof(digest.bytes));
    return digest;
}

static void
add_organisation(GArray *rows, const char *name)
{
    struct ct_organisation *organisation =
        &ct_config_rows_add(rows, CT_CONFIG_ORGANISATION)->u.organisation;

    CT_TEXT_SET(organisation->name, name);
    organisation->weight = 1;
}

static void
add_class(GArray *rows, const char *name, uint32_t tier, bool cheap)
{
    struct ct_class *klass =
        &ct_config_rows_add(rows, CT_CONFIG_CLASS)->u.klass;

    CT_TEXT_SET(klass->name, name);
    klass->tier = tier;
    klass->first_token_target_ms = 1000;
    klass->token_gap_target_ms = 100;
    klass->gap_timeout_ms = 3000;
    klass->queue_limit_ms = 2000;
    klass->retry_budget_percent = 100;
    klass->cheap_allowed = cheap;
}

static void
add_pool(GArray *rows, const char *name, enum ct_pool_kind kind,
         uint32_t n_upstreams, uint32_t slots)
{
    struct ct_pool *pool = &ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool;
    uint32_t i;

    CT_TEXT_SET(pool->name, name);
    pool->kind = kind;
    for (i = 0; i < n_upstreams; i++) {
        struct ct_upstream *upstream =
            &ct_config_rows_add(rows, CT_CONFIG_UPSTREAM)->u.upstream;

        g_snprintf(upstream->name.text, sizeof(upstream->name.text), "%s-%u",
                   name, i);
        g_snprintf(upstream->address.text, sizeof(upstream->address.text),
                   "127.0.0.1:%u", 9000 + i);
        CT_TEXT_SET(upstream->pool, name);
        CT_TEXT_SET(upstream->zone, "zone-a");
        upstream->slots = slots;
    }
}

static void
add_route(GArray *rows, const char *path, const char *klass, const char *pool,
          bool open, bool idempotent)
{
    struct ct_route *route =
        &ct_config_rows_add(rows, CT_CONFIG_ROUTE)->u.route;

    CT_TEXT_SET(route->path, path);
    CT_TEXT_SET(route->class_name, klass);
    CT_TEXT_SET(route->pool, pool);
    route->open_to_all = open;
    route->idempotent = idempotent;
}

static void
add_host(GArray *rows, const char *name)
{
    struct ct_host *host = &ct_config_rows_add(rows, CT_CONFIG_HOST)->u.host;

    CT_TEXT_SET(host->name, name);
    CT_TEXT_SET(host->zone, "zone-a");
    CT_TEXT_SET(host->caller_address, "127.0.0.1:1");
}

static void
post_key_grant(struct t_core *core, uint8_t n, const char *organisation)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_KEY_GRANT;
    record.u.key.digest = t_digest(n);
    CT_TEXT_SET(record.u.key.organisation, organisation);
    t_core_entry(core, &record);
}

void
t_core_configure(struct t_core *core, uint32_t n_upstreams, uint32_t slots)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_record record;
    struct ct_access *access;

    add_organisation(rows, "acme");
    add_organisation(rows, "zeta");
    add_class(rows, "chat", 1, true);
    add_class(rows, "hold", 0, false);
    add_pool(rows, "engines", CT_POOL_ENGINE, n_upstreams, slots);
    add_pool(rows, "plain", CT_POOL_PLAIN, n_upstreams, slots);
    add_route(rows, T_CHAT_PATH, "chat", "engines", true, true);
    add_route(rows, T_PLAIN_PATH, "hold", "plain", false, false);
    access = &ct_config_rows_add(rows, CT_CONFIG_ACCESS)->u.access;
    CT_TEXT_SET(access->path, T_PLAIN_PATH);
    CT_TEXT_SET(access->organisation, "acme");
    add_host(rows, "h1");
    add_host(rows, "h2");
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CONFIG;
    record.base_offset = core->state->config.offset;
    record.rows =
        CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);
    t_core_entry(core, &record);
    g_array_free(rows, TRUE);
    post_key_grant(core, 1, "acme");
    post_key_grant(core, 2, "zeta");
}

struct ct_event
t_call(struct t_core *core, uint8_t key, const char *path)
{
    struct ct_event event;
    struct ct_call *call = &event.u.call;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_CALL_ARRIVED;
    call->caller = core->next_caller++;
    g_snprintf(call->request_id.text, sizeof(call->request_id.text),
               "request-%" G_GUINT64_FORMAT, call->caller);
    call->kind = strcmp(path, T_CHAT_PATH) ? CT_CALL_PLAIN : CT_CALL_CHAT;
    call->has_key = key != 0;
    call->key = t_digest(key);
    CT_TEXT_SET(call->path, path);
    call->stream = call->kind == CT_CALL_CHAT;
    call->prompt_tokens = 10;
    if (call->kind == CT_CALL_PLAIN) {
        call->has_idempotency_key = true;
        call->idempotency_key = t_digest((uint8_t)call->caller);
        call->idempotency_wall_ms = core->wall_ms;
    }
    return event;
}

uint64_t
t_core_call(struct t_core *core, uint8_t key, const char *path)
{
    struct ct_event event = t_call(core, key, path);

    t_core_post(core, &event);
    return event.u.call.caller;
}

const struct ct_effect *
t_core_effect(const struct t_core *core, enum ct_effect_type type,
              uint32_t nth)
{
    uint32_t i;

    for (i = 0; i < core->effects.n; i++) {
        if (core->effects.items[i].type == type && nth-- == 0) {
            return &core->effects.items[i];
        }
    }
    return NULL;
}

const struct ct_effect *
t_core_append(const struct t_core *core, enum ct_record_type type)
{
    const struct ct_effect *effect;
    uint32_t n = 0;

    while ((effect = t_core_effect(core, CT_EFFECT_APPEND_LOG, n++))) {
        if (effect->u.log_append.record.type == type) {
            return effect;
        }
    }
    return NULL;
}

uint32_t
t_core_count(const struct t_core *core, enum ct_effect_type type)
{
    uint32_t n = 0;

    while (t_core_effect(core, type, n)) {
        n++;
    }
    return n;
}

void
t_core_attempt(struct t_core *core, enum ct_event_type type,
               struct ct_attempt_event attempt)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = type;
    event.u.attempt = attempt;
    t_core_post(core, &event);
}

struct ct_handle
t_core_started(const struct t_core *core)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_START_ATTEMPT, 0);

    g_assert_nonnull(effect);
    return effect->u.attempt.attempt;
}

void
t_core_sent(struct t_core *core, struct ct_handle attempt)
{
    t_core_attempt(core, CT_EVENT_ATTEMPT_SENT,
                   (struct ct_attempt_event){.attempt = attempt});
}

void
t_core_head(struct t_core *core, struct ct_handle attempt, uint32_t status)
{
    t_core_attempt(
        core, CT_EVENT_ATTEMPT_HEAD,
        (struct ct_attempt_event){.attempt = attempt, .status = status});
}

void
t_core_data(struct t_core *core, struct ct_handle attempt, uint64_t offset,
            uint32_t bytes)
{
    t_core_attempt(core, CT_EVENT_ATTEMPT_DATA,
                   (struct ct_attempt_event){.attempt = attempt,
                                             .offset = offset,
                                             .bytes = bytes,
                                             .tokens = 1});
}

void
t_core_done(struct t_core *core, struct ct_handle attempt,
            enum ct_outcome outcome)
{
    t_core_attempt(
        core, CT_EVENT_ATTEMPT_DONE,
        (struct ct_attempt_event){.attempt = attempt, .outcome = outcome});
}

void
t_core_complete(struct t_core *core, struct ct_handle attempt)
{
    t_core_head(core, attempt, 200);
    t_core_done(core, attempt, CT_OUTCOME_COMPLETE);
}

void
t_core_caller_disconnected(struct t_core *core, uint64_t caller)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_CALLER_DISCONNECTED;
    event.u.caller = caller;
    t_core_post(core, &event);
}

void
t_core_peer_up(struct t_core *core, const char *peer)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_PEER_UP;
    CT_TEXT_SET(event.u.peer.peer, peer);
    t_core_post(core, &event);
}

void
t_core_assert_refused(const struct t_core *core, enum ct_refusal reason,
                      enum ct_run_state run_state)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_REFUSE_REQUEST, 0);

    g_assert_nonnull(effect);
    g_assert_cmpstr(ct_refusal_text(effect->u.refuse.reason), ==,
                    ct_refusal_text(reason));
    g_assert_cmpint(effect->u.refuse.run_state, ==, run_state);
    g_assert_cmpuint(core->state->counters.refusals[reason], >=, 1);
}
