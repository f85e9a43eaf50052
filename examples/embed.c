/*
 * Embeds the reducer of coriandertrack without its programs. The embedder
 * passes events to the reducer and carries out the effects that it returns;
 * this example only prints them. To build it outside the tree, run
 *
 *     cc embed.c $(pkg-config --cflags --libs coriandertrack)
 */
#include <stdio.h>
#include <string.h>

#include "coriandertrack.h"

#define CHAT_PATH "/v1/chat/completions"
#define N_ROWS 6

struct embedder {
    struct ct_state *state;
    struct ct_effects effects;
    int64_t next_offset;
    ct_ms now_ms;
};

/* Applies an event and prints the names of the effects. */
static int
apply_event(struct embedder *e, struct ct_event *event)
{
    int err;

    event->now_ms = e->now_ms++;
    event->wall_ms = 1700000000000 + event->now_ms;
    ct_effects_clear(&e->effects);
    err = ct_reduce(e->state, event, &e->effects);
    printf("%s:", ct_event_name(event->type));
    for (uint32_t i = 0; i < e->effects.n; i++) {
        printf(" %s", ct_effect_name(e->effects.items[i].type));
    }
    printf("%s%s\n", err < 0 ? " failed: " : "",
           err < 0 ? ct_err_name(err) : "");
    return err;
}

static const struct ct_effect *
find_effect(const struct embedder *e, enum ct_effect_type type)
{
    for (uint32_t i = 0; i < e->effects.n; i++) {
        if (e->effects.items[i].type == type) {
            return &e->effects.items[i];
        }
    }
    return NULL;
}

/*
 * Passes a record to the reducer as if it were read back from a log. Offsets
 * are assigned here, because this program is the only writer.
 */
static int
append_record(struct embedder *e, const struct ct_record *record)
{
    struct ct_event event = {.type = CT_EVENT_LOG_ENTRY};

    event.u.entry.offset = e->next_offset++;
    event.u.entry.record = *record;
    return apply_event(e, &event);
}

static void
fill_rows(struct ct_config_row rows[N_ROWS])
{
    struct ct_class *klass = &rows[2].u.klass;
    struct ct_upstream *upstream = &rows[4].u.upstream;
    struct ct_route *route = &rows[5].u.route;

    memset(rows, 0, N_ROWS * sizeof(rows[0]));
    rows[0].kind = CT_CONFIG_ORGANISATION;
    CT_TEXT_SET(rows[0].u.organisation.name, "weavers");
    rows[0].u.organisation.weight = 1;
    rows[1].kind = CT_CONFIG_HOST;
    CT_TEXT_SET(rows[1].u.host.name, "embedder");
    rows[2].kind = CT_CONFIG_CLASS;
    CT_TEXT_SET(klass->name, "chat");
    klass->first_token_target_ms = 1000;
    klass->gap_timeout_ms = 3000;
    klass->queue_limit_ms = 2000;
    rows[3].kind = CT_CONFIG_POOL;
    CT_TEXT_SET(rows[3].u.pool.name, "engines");
    rows[3].u.pool.kind = CT_POOL_ENGINE;
    rows[4].kind = CT_CONFIG_UPSTREAM;
    CT_TEXT_SET(upstream->name, "engine-1");
    CT_TEXT_SET(upstream->pool, "engines");
    CT_TEXT_SET(upstream->address, "127.0.0.2:9000");
    upstream->slots = 4;
    rows[5].kind = CT_CONFIG_ROUTE;
    CT_TEXT_SET(route->path, CHAT_PATH);
    CT_TEXT_SET(route->class_name, "chat");
    CT_TEXT_SET(route->pool, "engines");
    route->open_to_all = true;
    route->idempotent = true;
}

/* Appends a configuration and a granted key whose digest bytes are all 1. */
static int
append_config_and_key(struct embedder *e)
{
    struct ct_event head = {.type = CT_EVENT_LOG_HEAD};
    struct ct_record record = {.type = CT_RECORD_CONFIG};
    struct ct_config_row rows[N_ROWS];
    int err;

    head.u.head = (struct ct_log_head){.head = 2, .first = 1};
    err = apply_event(e, &head);
    if (err < 0) {
        return err;
    }
    fill_rows(rows);
    record.rows = CT_ROWS(rows, N_ROWS);
    err = append_record(e, &record);
    if (err < 0) {
        return err;
    }
    record = (struct ct_record){.type = CT_RECORD_KEY_GRANT};
    memset(record.u.key.digest.bytes, 1, CT_DIGEST_BYTES);
    CT_TEXT_SET(record.u.key.organisation, "weavers");
    return append_record(e, &record);
}

static int
submit_call(struct embedder *e, uint64_t caller, uint8_t key)
{
    struct ct_event event = {.type = CT_EVENT_CALL_ARRIVED};

    event.u.call.caller = caller;
    event.u.call.kind = CT_CALL_CHAT;
    snprintf(event.u.call.request_id.text, CT_REQUEST_ID_MAX, "request-%d",
             (int)caller);
    event.u.call.has_key = true;
    memset(event.u.call.key.bytes, key, CT_DIGEST_BYTES);
    CT_TEXT_SET(event.u.call.path, CHAT_PATH);
    return apply_event(e, &event);
}

static int
run_calls(struct embedder *e)
{
    const struct ct_effect *effect;
    int err = append_config_and_key(e);

    if (err < 0) {
        return err;
    }
    /* The call with the granted key is sent upstream, the other is refused. */
    err = submit_call(e, 1, 1);
    effect = find_effect(e, CT_EFFECT_START_ATTEMPT);
    if (err < 0 || !effect) {
        return CT_ERR_INVALID;
    }
    printf("  to %s\n", effect->u.attempt.address.text);
    err = submit_call(e, 2, 2);
    effect = find_effect(e, CT_EFFECT_REFUSE_REQUEST);
    if (err < 0 || !effect) {
        return CT_ERR_INVALID;
    }
    printf("  because of %s\n", ct_refusal_text(effect->u.refuse.reason));
    printf("%s\n", ct_health_text(ct_state_health(e->state, e->now_ms)));
    return CT_OK;
}

int
main(void)
{
    struct embedder e = {.next_offset = 1, .now_ms = 1};
    struct ct_host_identity self = {.seed = 1};
    int err = CT_ERR_NO_MEMORY;

    CT_TEXT_SET(self.host, "embedder");
    CT_TEXT_SET(self.writer, "embedder-1");
    ct_effects_init(&e.effects);
    e.state = ct_state_new(&self);
    if (e.state) {
        err = run_calls(&e);
    }
    ct_state_free(e.state);
    ct_effects_free(&e.effects);
    return err < 0 ? 1 : 0;
}
