/*
 * Measures the cost of a decision: posts all events of complete requests to
 * the reducer and prints nanoseconds per event, bytes per row and the heap of
 * the process.
 *
 * Usage: bench-core UPSTREAMS POOLS ORGANISATIONS REQUESTS
 *
 * Instructions per event, without the set-up: run
 *   valgrind --tool=callgrind --toggle-collect=ct_reduce bench-core ...
 * twice with different REQUESTS and divide the difference of the instructions
 * by the difference of the events.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "state.h"

#define WALL_MS ((ct_ms)1700000000000)
#define SLOTS 16
/* Requests that run at the same time, as a percentage of the slots. */
#define LOAD_PERCENT 70
#define DATA_EVENTS 8
#define EVENT_TYPES 64

struct running_attempt {
    struct ct_handle attempt;
    guint64 offset;
};

struct bench {
    struct ct_state *state;
    struct ct_effects effects;
    ct_ms now_ms;
    gint64 offset;
    guint upstreams;
    guint pools;
    guint organisations;
    guint64 next_caller;
    /* struct running_attempt; oldest first */
    GQueue *running;
    gint64 spent_ns[EVENT_TYPES];
    guint64 events[EVENT_TYPES];
    guint64 refused;
};

static gint64
cpu_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (gint64)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
post_event(struct bench *b, struct ct_event *event)
{
    gint64 before_ns;
    int err;

    event->now_ms = b->now_ms;
    event->wall_ms = WALL_MS + b->now_ms;
    ct_effects_clear(&b->effects);
    before_ns = cpu_ns();
    err = ct_reduce(b->state, event, &b->effects);
    b->spent_ns[event->type] += cpu_ns() - before_ns;
    b->events[event->type]++;
    g_assert_cmpint(err, ==, CT_OK);
    for (guint i = 0; i < b->effects.n; i++) {
        const struct ct_effect *effect = &b->effects.items[i];

        if (effect->type == CT_EFFECT_START_ATTEMPT) {
            struct running_attempt *r = g_new0(struct running_attempt, 1);

            r->attempt = effect->u.attempt.attempt;
            g_queue_push_tail(b->running, r);
        }
        b->refused += effect->type == CT_EFFECT_REFUSE_REQUEST;
    }
}

static void
post_record(struct bench *b, const struct ct_record *record)
{
    struct ct_event event = {.type = CT_EVENT_LOG_ENTRY};

    event.u.entry.offset = ++b->offset;
    event.u.entry.record = *record;
    post_event(b, &event);
}

static void
set_name(struct ct_name *name, const gchar *kind, guint number)
{
    g_snprintf(name->text, sizeof(name->text), "%s-%u", kind, number);
}

static void
add_class(GArray *rows, guint tier)
{
    struct ct_class *klass =
        &ct_config_rows_add(rows, CT_CONFIG_CLASS)->u.klass;

    set_name(&klass->name, "class", tier);
    klass->tier = tier;
    klass->first_token_target_ms = 1600;
    klass->token_gap_target_ms = 76;
    klass->gap_timeout_ms = 5000;
    klass->queue_limit_ms = 5000;
    klass->reserve_percent = 5;
    klass->retry_budget_percent = 10;
    klass->cheap_allowed = tier > 1;
}

static void
add_pool(GArray *rows, guint pool)
{
    struct ct_pool *p = &ct_config_rows_add(rows, CT_CONFIG_POOL)->u.pool;
    struct ct_route *route;

    set_name(&p->name, "pool", pool);
    p->kind = CT_POOL_ENGINE;
    route = &ct_config_rows_add(rows, CT_CONFIG_ROUTE)->u.route;
    CT_TEXT_SET(route->path, "/v1/chat/completions");
    set_name(&route->model, "model", pool);
    set_name(&route->class_name, "class", pool % CT_TIERS);
    set_name(&route->pool, "pool", pool);
    route->open_to_all = true;
    route->idempotent = true;
}

static void
publish_config(struct bench *b)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    struct ct_record record = {.type = CT_RECORD_CONFIG};

    for (guint i = 0; i < b->organisations; i++) {
        struct ct_organisation *o =
            &ct_config_rows_add(rows, CT_CONFIG_ORGANISATION)->u.organisation;

        set_name(&o->name, "organisation", i);
        o->weight = 1;
    }
    for (guint i = 0; i < CT_TIERS; i++) {
        add_class(rows, i);
    }
    for (guint i = 0; i < b->pools; i++) {
        add_pool(rows, i);
    }
    for (guint i = 0; i < b->upstreams; i++) {
        struct ct_upstream *u =
            &ct_config_rows_add(rows, CT_CONFIG_UPSTREAM)->u.upstream;

        set_name(&u->name, "upstream", i);
        set_name(&u->pool, "pool", i % b->pools);
        set_name(&u->zone, "zone", i % 7);
        u->slots = SLOTS;
    }
    CT_TEXT_SET(record.writer, "operator");
    record.sequence = 1;
    record.rows =
        (struct ct_rows){rows->data, rows->len, sizeof(struct ct_config_row)};
    post_record(b, &record);
    g_array_free(rows, TRUE);
}

static void
grant_keys(struct bench *b)
{
    for (guint i = 0; i < b->organisations; i++) {
        struct ct_record record = {.type = CT_RECORD_KEY_GRANT};

        CT_TEXT_SET(record.writer, "operator");
        record.sequence = i + 2;
        memcpy(record.u.key.digest.bytes, &i, sizeof(i));
        record.u.key.digest.bytes[8] = 1;
        set_name(&record.u.key.organisation, "organisation", i);
        post_record(b, &record);
    }
}

static void
post_arrival(struct bench *b)
{
    struct ct_event event = {.type = CT_EVENT_CALL_ARRIVED};
    struct ct_call *call = &event.u.call;
    guint organisation = (guint)(b->next_caller * 7 % b->organisations);
    guint64 prefix = b->next_caller % 1000;

    call->caller = ++b->next_caller;
    call->kind = CT_CALL_CHAT;
    g_snprintf(call->request_id.text, sizeof(call->request_id.text),
               "%" G_GUINT64_FORMAT, call->caller);
    call->has_key = true;
    memcpy(call->key.bytes, &organisation, sizeof(organisation));
    call->key.bytes[8] = 1;
    CT_TEXT_SET(call->path, "/v1/chat/completions");
    set_name(&call->model, "model", (guint)(b->next_caller % b->pools));
    call->prefix_hash = ct_hash_bytes(CT_HASH_SEED, &prefix, sizeof(prefix));
    call->prompt_tokens = 200;
    call->stream = true;
    post_event(b, &event);
}

/* Posts an event of an attempt and advances the attempt by its bytes. */
static void
post_attempt_event(struct bench *b, struct running_attempt *r, guint type,
                   guint tokens)
{
    struct ct_event event = {.type = type};

    event.u.attempt.attempt = r->attempt;
    event.u.attempt.status = 200;
    event.u.attempt.offset = r->offset;
    event.u.attempt.tokens = tokens;
    event.u.attempt.bytes = tokens * 4;
    event.u.attempt.outcome = CT_OUTCOME_COMPLETE;
    event.u.attempt.total_tokens = DATA_EVENTS;
    r->offset += (guint64)tokens * 4;
    post_event(b, &event);
}

static void
finish_oldest(struct bench *b)
{
    struct running_attempt *r = g_queue_pop_head(b->running);

    post_attempt_event(b, r, CT_EVENT_ATTEMPT_SENT, 0);
    post_attempt_event(b, r, CT_EVENT_ATTEMPT_HEAD, 0);
    for (guint i = 0; i < DATA_EVENTS; i++) {
        post_attempt_event(b, r, CT_EVENT_ATTEMPT_DATA, 1);
    }
    post_attempt_event(b, r, CT_EVENT_ATTEMPT_DONE, 0);
    g_free(r);
}

static void
post_load_report(struct bench *b, guint upstream)
{
    struct ct_event event = {.type = CT_EVENT_LOAD_REPORT};

    set_name(&event.u.load.upstream, "upstream", upstream);
    event.u.load.running = SLOTS / 2;
    event.u.load.age_ms = 500;
    post_event(b, &event);
}

static void
post_tick(struct bench *b)
{
    struct ct_event event = {.type = CT_EVENT_TICK};
    struct ct_event head = {.type = CT_EVENT_LOG_HEAD};

    post_event(b, &event);
    head.u.head.head = b->offset;
    head.u.head.first = 1;
    post_event(b, &head);
}

/* The time that one measurement adds to each event. */
static gdouble
clock_cost_ns(void)
{
    const guint n = 100000;
    gint64 before_ns = cpu_ns();

    for (guint i = 0; i < n; i++) {
        cpu_ns();
    }
    return (gdouble)(cpu_ns() - before_ns) / n;
}

static void
print_times(const struct bench *b)
{
    gint64 sum_ns = 0;
    guint64 events = 0;

    printf("each event includes %.0f ns for reading the clock\n",
           clock_cost_ns());
    for (guint i = 0; i < EVENT_TYPES; i++) {
        if (b->events[i] == 0) {
            continue;
        }
        printf("%-16s %10" G_GUINT64_FORMAT " events %8.0f ns per event\n",
               ct_event_name(i), b->events[i],
               (gdouble)b->spent_ns[i] / b->events[i]);
        sum_ns += b->spent_ns[i];
        events += b->events[i];
    }
    printf("all %" G_GUINT64_FORMAT " events %.0f ns per event, %.0f ns per "
           "request, %" G_GUINT64_FORMAT " refused\n",
           events, (gdouble)sum_ns / events,
           (gdouble)sum_ns / MAX(1, b->next_caller), b->refused);
}

static void
print_table(const gchar *name, const struct ct_table *table)
{
    printf("table %-14s %6zu bytes per row %8u rows %10zu bytes\n", name,
           table->row_size + sizeof(struct ct_row_meta), table->live,
           ct_table_bytes(table));
}

static void
print_memory(const struct bench *b)
{
    const struct ct_state *s = b->state;
    struct mallinfo2 heap = mallinfo2();

    print_table("organisations", &s->config.organisations);
    print_table("classes", &s->config.classes);
    print_table("pools", &s->config.pools);
    print_table("routes", &s->config.routes);
    print_table("upstreams", &s->config.upstreams);
    print_table("keys", &s->keys.rows);
    print_table("requests", &s->requests.rows);
    print_table("attempts", &s->requests.attempts);
    print_table("claims", &s->claims.rows);
    printf("queue %zu bytes, balance %zu bytes, heap in use %zu bytes\n",
           s->queue->ops->bytes(s->queue), s->balance->ops->bytes(s->balance),
           heap.uordblks);
}

int
main(int argc, char **argv)
{
    struct bench b = {.offset = 0, .now_ms = 1000};
    struct ct_host_identity self = {.seed = 1};
    guint requests;
    guint max_running;

    if (argc != 5) {
        fprintf(stderr,
                "usage: bench-core UPSTREAMS POOLS ORGANISATIONS REQUESTS\n");
        return 2;
    }
    b.upstreams = (guint)atoi(argv[1]);
    b.pools = (guint)atoi(argv[2]);
    b.organisations = (guint)atoi(argv[3]);
    requests = (guint)atoi(argv[4]);
    CT_TEXT_SET(self.host, "host-1");
    CT_TEXT_SET(self.writer, "host-1.1");
    b.state = ct_state_new(&self);
    b.running = g_queue_new();
    ct_effects_init(&b.effects);
    b.offset = 0;
    publish_config(&b);
    grant_keys(&b);
    post_tick(&b);
    memset(b.spent_ns, 0, sizeof(b.spent_ns));
    memset(b.events, 0, sizeof(b.events));
    max_running = b.upstreams * SLOTS * LOAD_PERCENT / 100;
    for (guint i = 0; i < requests; i++) {
        /* 1000 requests per second. */
        b.now_ms++;
        post_arrival(&b);
        if (b.running->length > max_running) {
            finish_oldest(&b);
        }
        post_load_report(&b, i % b.upstreams);
        if (i % 100 == 0) {
            post_tick(&b);
        }
    }
    printf("%u upstreams, %u pools, %u organisations, %u requests\n",
           b.upstreams, b.pools, b.organisations, requests);
    print_times(&b);
    print_memory(&b);
    g_queue_free_full(b.running, g_free);
    ct_effects_free(&b.effects);
    ct_state_free(b.state);
    return 0;
}
