#include <string.h>

#include "world-parts.h"

#define MAX_QUEUED 400
#define MAX_REQUESTS 60000
/* Size of an engine's batch above the slots that the hosts use. */
#define BATCH_SPARE 4

static void
post_record(struct world *w, const struct ct_record *record)
{
    struct ct_event event = {.type = CT_EVENT_LOG_ENTRY};

    event.u.entry.offset = w->next_offset++;
    event.u.entry.record = *record;
    world_post(w, &event);
}

static void
publish_config(struct world *w)
{
    struct ct_record config = {.type = CT_RECORD_CONFIG};
    struct ct_event head = {.type = CT_EVENT_LOG_HEAD};

    head.u.head.head = w->load->n_organisations + 1;
    head.u.head.first = 1;
    world_post(w, &head);
    CT_TEXT_SET(config.writer, "operator");
    config.sequence = 1;
    config.rows = (struct ct_rows){w->load->rows->data, w->load->rows->len,
                                   sizeof(struct ct_config_row)};
    post_record(w, &config);
    for (guint i = 0; i < w->load->n_organisations; i++) {
        struct ct_record key = {.type = CT_RECORD_KEY_GRANT};

        key.writer = config.writer;
        key.sequence = i + 2;
        key.u.key.digest.bytes[0] = (uint8_t)(i + 1);
        key.u.key.organisation = w->load->organisations[i].name;
        post_record(w, &key);
    }
}

static void
add_engines(struct world *w)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < w->load->rows->len; i++) {
        const struct ct_config_row *row =
            &g_array_index(w->load->rows, struct ct_config_row, i);
        const struct ct_upstream *upstream = &row->u.upstream;
        struct engine engine = {.slow_percent = 100};

        if (row->kind != CT_CONFIG_UPSTREAM) {
            continue;
        }
        if (!g_hash_table_contains(zones, upstream->zone.text)) {
            g_hash_table_insert(
                zones, (gpointer)upstream->zone.text,
                GUINT_TO_POINTER(g_hash_table_size(zones) + 1));
        }
        engine.zone =
            GPOINTER_TO_UINT(g_hash_table_lookup(zones, upstream->zone.text));
        engine.plain = upstream->slots != 16;
        engine.cheap = upstream->cheap;
        engine.max_batch = upstream->slots + BATCH_SPARE;
        g_array_append_val(w->engines, engine);
        g_array_append_val(w->upstreams, *upstream);
    }
    g_hash_table_destroy(zones);
}

static void
schedule_first_entries(struct world *w)
{
    for (guint k = 0; k < w->load->n_classes; k++) {
        event_queue_add(&w->event_queue,
                        world_exponential_us(w, w->load->classes[k].per_s),
                        KIND_ARRIVAL, k, 0);
    }
    event_queue_add(&w->event_queue, 0, KIND_BACKGROUND, 0, 0);
    event_queue_add(&w->event_queue, 0, KIND_LOG_HEAD, 0, 0);
    for (guint i = 0; i < w->engines->len; i++) {
        event_queue_add(&w->event_queue,
                        g_rand_int_range(w->random, 0, REPORT_PERIOD_US),
                        KIND_REPORT, i, 0);
    }
    for (guint i = 0; i < DISTURBANCES_MAX; i++) {
        const struct disturbance *d = &w->scenario->disturbances[i];

        if (d->kind) {
            event_queue_add(&w->event_queue, d->from_ms * 1000, KIND_DISTURB,
                            0, 0);
            event_queue_add(&w->event_queue, d->to_ms * 1000, KIND_DISTURB, 0,
                            0);
        }
    }
}

static void
free_record(gpointer data)
{
    struct ct_record *record = data;

    g_free((gpointer)record->rows.data);
    g_free(record);
}

struct world *
world_new(const struct load *load, const struct scenario *scenario,
          const struct policy *policy, guint seed)
{
    struct world *w = g_new0(struct world, 1);
    struct ct_host_identity self = {.seed = seed};

    w->load = load;
    w->scenario = scenario;
    w->random = g_rand_new_with_seed(seed);
    w->next_offset = 1;
    w->engines = g_array_new(FALSE, TRUE, sizeof(struct engine));
    w->sequences = g_array_new(FALSE, TRUE, sizeof(struct sequence));
    w->free_sequences = g_array_new(FALSE, FALSE, sizeof(guint));
    w->requests = g_array_new(FALSE, TRUE, sizeof(struct request));
    w->upstreams = g_array_new(FALSE, TRUE, sizeof(struct ct_upstream));
    w->sequences_by_attempt = g_array_new(FALSE, FALSE, sizeof(guint));
    w->records = g_ptr_array_new_with_free_func(free_record);
    event_queue_init(&w->event_queue);
    ct_effects_init(&w->effects);
    CT_TEXT_SET(self.host, "host-1");
    CT_TEXT_SET(self.writer, "host-1.1");
    w->state = ct_state_new(&self);
    w->state->queue->ops->free(w->state->queue);
    w->state->balance->ops->free(w->state->balance);
    w->trace = trace_policy_new(policy->queue_new(MAX_QUEUED), MAX_QUEUED,
                                MAX_REQUESTS);
    w->state->queue = &w->trace->policy;
    w->state->balance = policy->balance_new();
    add_engines(w);
    publish_config(w);
    schedule_first_entries(w);
    return w;
}

void
world_free(struct world *w)
{
    for (guint i = 0; i < w->engines->len; i++) {
        for (guint p = 0; p < 4; p++) {
            g_queue_clear(&world_engine(w, i)->waiting[p]);
        }
    }
    ct_state_free(w->state);
    ct_effects_free(&w->effects);
    event_queue_free(&w->event_queue);
    g_rand_free(w->random);
    g_array_free(w->engines, TRUE);
    g_array_free(w->sequences, TRUE);
    g_array_free(w->free_sequences, TRUE);
    g_array_free(w->requests, TRUE);
    g_array_free(w->upstreams, TRUE);
    g_array_free(w->sequences_by_attempt, TRUE);
    g_ptr_array_free(w->records, TRUE);
    g_free(w);
}
