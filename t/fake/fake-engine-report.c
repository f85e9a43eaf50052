/* Delayed reports of the fake engine on its load and its cache. */
#include "fake-engine.h"

#define CACHE_ENTRIES 32
/* Cache events whose number is a multiple of this are not published. */
#define CACHE_GAP_EVERY 7

void
engine_init_reports(struct engine *e)
{
    e->cache_events = g_array_new(FALSE, FALSE, sizeof(struct cache_event));
    e->cached_prefixes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    e->load_samples = g_array_new(FALSE, FALSE, sizeof(struct load_sample));
    engine_sample_load(e);
}

void
engine_sample_load(struct engine *e)
{
    struct load_sample sample = {fake_now_ms(), e->running, e->waiting};

    g_array_append_val(e->load_samples, sample);
}

static void
publish_cache(struct engine *e, uint64_t prefix, bool stored)
{
    struct cache_event event = {prefix, stored, fake_now_ms()};

    g_array_append_val(e->cache_events, event);
}

bool
engine_use_cache(struct engine *e, uint64_t prefix)
{
    for (guint i = 0; i < e->cached_prefixes->len; i++) {
        if (g_array_index(e->cached_prefixes, uint64_t, i) == prefix) {
            return true;
        }
    }
    if (e->cached_prefixes->len == CACHE_ENTRIES) {
        publish_cache(e, g_array_index(e->cached_prefixes, uint64_t, 0),
                      false);
        g_array_remove_index(e->cached_prefixes, 0);
    }
    g_array_append_val(e->cached_prefixes, prefix);
    publish_cache(e, prefix, true);
    return false;
}

void
engine_reply_load(struct engine *e, struct fake_request *request)
{
    ct_ms then_ms = fake_now_ms() - e->load_age_ms;
    struct load_sample *samples =
        (struct load_sample *)(void *)e->load_samples->data;
    JsonObject *body = json_object_new();
    guint i = 0;

    while (i + 1 < e->load_samples->len && samples[i + 1].at_ms <= then_ms) {
        i++;
    }
    json_object_set_int_member(body, "running", samples[i].running);
    json_object_set_int_member(body, "waiting", samples[i].waiting);
    json_object_set_int_member(body, "age_ms", e->load_age_ms);
    /* Samples before the current one are not needed again. */
    g_array_remove_range(e->load_samples, 0, i);
    fake_reply(request, MHD_HTTP_OK, body, 0);
}

void
engine_reply_cache(struct engine *e, struct fake_request *request)
{
    int64_t from = MAX(fake_query_int(request, "from", 1), 1);
    JsonObject *body = json_object_new();
    JsonArray *rows = json_array_new();

    for (int64_t seq = from; seq <= (int64_t)e->cache_events->len; seq++) {
        struct cache_event *event =
            &g_array_index(e->cache_events, struct cache_event, seq - 1);
        char prefix[FAKE_ID_MAX];
        JsonObject *row;

        if (event->at_ms > fake_now_ms() - e->cache_lag_ms) {
            break;
        }
        if (seq % CACHE_GAP_EVERY == 0) {
            continue;
        }
        row = json_object_new();
        g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x",
                   event->prefix);
        json_object_set_int_member(row, "seq", seq);
        json_object_set_string_member(row, "prefix", prefix);
        json_object_set_string_member(row, "kind",
                                      event->stored ? "stored" : "evicted");
        json_array_add_object_element(rows, row);
    }
    json_object_set_array_member(body, "events", rows);
    fake_reply(request, MHD_HTTP_OK, body, 0);
}
