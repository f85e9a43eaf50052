#include "lib-relay.h"

#include <string.h>

/* Size of a long prompt. */
#define PROMPT_TOKENS 20000

void
t_relay_init(struct t_core *core)
{
    t_relay_init_named(core, "h1");
}

void
t_relay_init_named(struct t_core *core, const char *host)
{
    t_relay_init_seeded(core, host, 1);
}

static void
init_host(struct t_core *core, const char *host, uint64_t seed,
          bool share_load)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_HOST_STARTED};
    g_autofree char *writer = g_strconcat(host, "-1", NULL);

    t_core_init_named(core, host, writer);
    core->state->random = seed;
    core->state->self.share_load = share_load;
    CT_TEXT_SET(event.u.relay_address, "10.0.0.1:80");
    core->state->self.bounds = (struct ct_bounds){
        .revoke_ms = 5000,
        .drain_ms = 2000,
        .config_ms = 2000,
        .steady_ms = 3000,
        .repeat_permille = 200,
        .repeat_burst = 20,
        .repeat_window_ms = 10000,
        .lease_ms = 3000,
        .member_ttl_min_ms = 1000,
        .usage_window_ms = 5000,
        .usage_late_ms = 10000,
        .address_ttl_ms = 2000,
        .grace_ms = 8000,
        .upstream_pause_max_ms = 300000,
        .body_idle_ms = 10000,
        .body_wait_ms = 5000,
        .unread_bytes = 16 * 1024 * 1024,
        .memory_mb = 128,
    };
    t_core_post(core, &event);
}

void
t_relay_init_seeded(struct t_core *core, const char *host, uint64_t seed)
{
    init_host(core, host, seed, false);
}

void
t_relay_init_sharing(struct t_core *core, const char *host, uint64_t seed)
{
    init_host(core, host, seed, true);
}

static void
add_route(GArray *rows, const char *prefix, const char *pool,
          enum ct_repeat repeat, bool stream)
{
    struct ct_prefix_route *route =
        &ct_config_rows_add(rows, CT_CONFIG_PREFIX_ROUTE)->u.prefix_route;
    struct ct_pool_share *share;

    CT_TEXT_SET(route->name, prefix);
    CT_TEXT_SET(route->authority, T_HOST);
    CT_TEXT_SET(route->prefix, prefix);
    route->repeat = repeat;
    route->stream = stream;
    route->sticky = stream;
    route->rank = 2;
    route->attempts = 2;
    route->timeout_ms = T_RELAY_TIMEOUT_MS;
    route->open_to_all = strcmp(prefix, "/open/") == 0;
    share = &ct_config_rows_add(rows, CT_CONFIG_POOL_SHARE)->u.pool_share;
    CT_TEXT_SET(share->route, prefix);
    CT_TEXT_SET(share->pool, pool);
    share->weight = 1;
}

static void
add_key(GArray *rows, uint8_t key, const char *organisation)
{
    struct ct_config_key *row =
        &ct_config_rows_add(rows, CT_CONFIG_KEY)->u.key;

    row->digest = t_digest(key);
    CT_TEXT_SET(row->organisation, organisation);
}

GArray *
t_relay_rows(void)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_organisation *organisation;

    CT_TEXT_SET(ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool.name,
                "engines");
    CT_TEXT_SET(ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool.name, "desk");
    CT_TEXT_SET(
        ct_config_rows_add(rows, CT_CONFIG_ORGANISATION)->u.organisation.name,
        "acme");
    organisation =
        &ct_config_rows_add(rows, CT_CONFIG_ORGANISATION)->u.organisation;
    CT_TEXT_SET(organisation->name, "zeta");
    organisation->has_rank = true;
    organisation->rank = 7;
    add_key(rows, 1, "acme");
    add_key(rows, 2, "acme");
    add_key(rows, 3, "zeta");
    add_route(rows, "/any/", "desk", CT_REPEAT_ANY, false);
    add_route(rows, "/once/", "desk", CT_REPEAT_NEVER, false);
    add_route(rows, "/resume/", "engines", CT_REPEAT_RESUME, true);
    add_route(rows, "/stream/", "engines", CT_REPEAT_NEVER, true);
    add_route(rows, "/open/", "desk", CT_REPEAT_ANY, false);
    return rows;
}

void
t_relay_post_config(struct t_core *core, int64_t version, GArray *rows)
{
    struct ct_event event = {.type = CT_EVENT_STORE_CONFIG};

    event.u.store_config.version = version;
    event.u.store_config.keys_required = true;
    event.rows =
        CT_ROWS((struct ct_config_row *)(void *)rows->data, rows->len);
    t_core_post(core, &event);
}

struct ct_store_upstream
t_upstream(const char *pool, uint32_t i)
{
    struct ct_store_upstream entry;
    char text[32];

    memset(&entry, 0, sizeof(entry));
    g_snprintf(text, sizeof(text), "%s-%u", pool, i);
    CT_TEXT_SET(entry.upstream.name, text);
    CT_TEXT_SET(entry.upstream.pool, pool);
    CT_TEXT_SET(entry.upstream.zone, i % 2 ? "zone-b" : "zone-a");
    g_snprintf(text, sizeof(text), "10.1.0.%u:80", i);
    CT_TEXT_SET(entry.upstream.address, text);
    entry.upstream.slots = 8;
    entry.started_ms = 1;
    return entry;
}

void
t_relay_post_upstream(struct t_core *core,
                      const struct ct_store_upstream *entry)
{
    struct ct_event event = {.type = CT_EVENT_STORE_UPSTREAM};

    event.u.store_upstream = *entry;
    t_core_post(core, &event);
}

void
t_relay_post_evacuation(struct t_core *core, const char *zone, bool ends)
{
    struct ct_event event = {.type = CT_EVENT_STORE_EVACUATION};

    CT_TEXT_SET(event.u.store_evacuation.zone, zone);
    event.u.store_evacuation.ends = ends;
    t_core_post(core, &event);
}

void
t_relay_post_members(struct t_core *core, int32_t result, uint32_t n)
{
    struct ct_event event = {.type = CT_EVENT_STORE_MEMBERS_READ};
    struct ct_member *members = g_new0(struct ct_member, n);

    for (uint32_t i = 0; i < n; i++) {
        g_snprintf(members[i].host.text, sizeof(members[i].host.text), "h%u",
                   i + 1);
        g_snprintf(members[i].address.text, sizeof(members[i].address.text),
                   "10.0.0.%u:80", i + 1);
    }
    event.u.members.result = result;
    event.rows = CT_ROWS(members, n);
    t_core_post(core, &event);
    g_free(members);
}

void
t_relay_read(struct t_core *core, enum ct_topic topic, int32_t result,
             uint32_t entries, ct_ms took_ms, ct_ms idle_ms)
{
    struct ct_event event = {.type = CT_EVENT_STORE_READ_DONE};
    const struct ct_topic_sync *sync = &core->state->store.topics[topic];

    event.u.store_read = (struct ct_store_read_done){
        .topic = topic,
        .newest = !sync->full_read_done,
        .result = result,
        .sent_ms = core->now_ms - took_ms,
        .idle_ms = idle_ms,
        .from = sync->next,
        .next = sync->next + entries,
        .entries = entries,
    };
    t_core_post(core, &event);
}

void
t_relay_confirm(struct t_core *core)
{
    t_relay_read(core, CT_TOPIC_CONFIG, CT_OK, 0, 0, 0);
    t_relay_read(core, CT_TOPIC_UPSTREAMS, CT_OK, 0, 0, 0);
}

void
t_relay_configure(struct t_core *core, int64_t version, uint32_t n)
{
    GArray *rows = t_relay_rows();

    t_relay_post_config(core, version, rows);
    g_array_free(rows, TRUE);
    for (uint32_t i = 0; i < n; i++) {
        struct ct_store_upstream entry = t_upstream("engines", i);

        t_relay_post_upstream(core, &entry);
        entry = t_upstream("desk", i);
        t_relay_post_upstream(core, &entry);
    }
    t_relay_confirm(core);
}

void
t_relay_setup(struct t_core *core, uint32_t n)
{
    t_relay_init(core);
    t_relay_configure(core, 5, n);
}

void
t_relay_setup_backups(struct t_core *core)
{
    GArray *rows = t_relay_rows();

    t_relay_setup(core, 3);
    for (guint i = 0; i < rows->len; i++) {
        struct ct_config_row *row =
            &g_array_index(rows, struct ct_config_row, i);

        if (row->kind == CT_CONFIG_POOL) {
            row->u.pool.backs_up = true;
        }
    }
    t_relay_post_config(core, 6, rows);
    t_relay_confirm(core);
    g_array_free(rows, TRUE);
}

/* Posts the call with the members that the caller has not set. */
static uint64_t
post_call(struct t_core *core, uint8_t key, const char *path,
          struct ct_event *event)
{
    struct ct_relay_call *call = &event->u.relay;

    event->type = CT_EVENT_RELAY_CALL_ARRIVED;
    call->caller = core->next_caller++;
    g_snprintf(call->request_id.text, sizeof(call->request_id.text),
               "call-%" G_GUINT64_FORMAT, call->caller);
    CT_TEXT_SET(call->authority, T_HOST);
    CT_TEXT_SET(call->path, path);
    call->has_key = key != 0;
    call->key = t_digest(key);
    if (call->prefix_hash == 0) {
        call->prefix_hash = 7;
    }
    if (call->prompt_tokens == 0) {
        call->prompt_tokens = PROMPT_TOKENS;
    }
    t_core_post(core, event);
    return call->caller;
}

uint64_t
t_relay_call(struct t_core *core, uint8_t key, const char *path)
{
    return t_relay_call_within(core, key, path, 0);
}

uint64_t
t_relay_call_within(struct t_core *core, uint8_t key, const char *path,
                    ct_ms deadline_ms)
{
    struct ct_event event = {.u.relay.timeout_ms = deadline_ms};

    return post_call(core, key, path, &event);
}

uint64_t
t_relay_call_of_size(struct t_core *core, uint8_t key, const char *path,
                     uint32_t prompt_tokens)
{
    struct ct_event event = {.u.relay.prompt_tokens = prompt_tokens};

    return post_call(core, key, path, &event);
}

uint64_t
t_relay_call_with_prefix(struct t_core *core, uint8_t key, const char *path,
                         uint64_t prefix_hash)
{
    struct ct_event event = {.u.relay.prefix_hash = prefix_hash};

    return post_call(core, key, path, &event);
}

static uint64_t
call_with_parts(struct t_core *core, uint8_t key, const char *path,
                const uint64_t *parts, bool has_own)
{
    struct ct_event event = {.type = 0};
    struct ct_prompt_parts *listed = &event.u.relay.parts;

    while (parts[listed->n] != 0) {
        listed->ids[listed->n] = parts[listed->n];
        listed->n++;
    }
    listed->has_own = has_own;
    return post_call(core, key, path, &event);
}

uint64_t
t_relay_call_with_parts(struct t_core *core, uint8_t key, const char *path,
                        const uint64_t *parts)
{
    return call_with_parts(core, key, path, parts, false);
}

uint64_t
t_relay_call_with_own_part(struct t_core *core, uint8_t key, const char *path,
                           const uint64_t *parts)
{
    return call_with_parts(core, key, path, parts, true);
}

struct ct_relay_start
t_relay_started(const struct t_core *core)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_RELAY_START_ATTEMPT, 0);

    g_assert_nonnull(effect);
    return effect->u.relay;
}

static void
post_progress(struct t_core *core, enum ct_event_type type,
              const struct ct_relay_progress *progress)
{
    struct ct_event event = {.type = type};

    event.u.progress = *progress;
    t_core_post(core, &event);
}

void
t_relay_sent(struct t_core *core, struct ct_handle attempt)
{
    const struct ct_relay_progress progress = {.attempt = attempt};

    post_progress(core, CT_EVENT_RELAY_ATTEMPT_SENT, &progress);
}

void
t_relay_head(struct t_core *core, struct ct_handle attempt,
             const struct ct_upstream_notice *notice)
{
    const struct ct_relay_progress progress = {
        .attempt = attempt,
        .status = 200,
        .notice = *notice,
    };

    post_progress(core, CT_EVENT_RELAY_ATTEMPT_HEAD, &progress);
}

void
t_relay_data(struct t_core *core, struct ct_handle attempt,
             uint64_t last_event)
{
    const struct ct_relay_progress progress = {
        .attempt = attempt,
        .events = 1,
        .bytes = 10,
        .last_event = last_event,
    };

    post_progress(core, CT_EVENT_RELAY_ATTEMPT_DATA, &progress);
}

void
t_relay_done(struct t_core *core, struct ct_handle attempt,
             enum ct_outcome outcome, uint32_t status)
{
    const struct ct_relay_progress progress = {
        .attempt = attempt,
        .outcome = outcome,
        .closed_early = outcome == CT_OUTCOME_CONNECTION_LOST,
        .status = status,
    };

    post_progress(core, CT_EVENT_RELAY_ATTEMPT_DONE, &progress);
}

void
t_relay_finish(struct t_core *core, struct ct_handle attempt,
               enum ct_outcome outcome, uint32_t status)
{
    t_relay_sent(core, attempt);
    t_relay_done(core, attempt, outcome, status);
}

static enum ct_upstream_state
upstream_state(const struct t_core *core, const char *name, bool *configured)
{
    const struct ct_config *config = &core->state->config;
    const struct ct_upstream_row *row;
    struct ct_name key;

    memset(&key, 0, sizeof(key));
    CT_TEXT_SET(key, name);
    row = ct_table_get(&config->upstreams, ct_config_upstream(config, &key));
    *configured = row != NULL && row->configured;
    return row ? row->state : CT_UPSTREAM_LEAVING;
}

void
t_relay_assert_state(const struct t_core *core, const char *name,
                     bool configured, enum ct_upstream_state state)
{
    bool is_configured;
    enum ct_upstream_state actual = upstream_state(core, name, &is_configured);

    g_assert_cmpint(is_configured, ==, configured);
    if (configured) {
        g_assert_cmpint(actual, ==, state);
    }
}
