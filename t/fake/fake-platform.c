/*
 * Stand-in of the platform: log with limited retention, ordering of
 * upstreams, usage reports, lagging lists, weight store. Each can be down,
 * slow, or take effect and lose the answer.
 */
#include "fake-http.h"

#include <stdlib.h>
#include <string.h>

#define READ_MAX 500
#define WEIGHTS_WINDOW_MS 1000

struct platform {
    struct fake_server server;
    int64_t outage;
    int64_t delay_ms;
    /* Calls still to come that take effect and lose their answer. */
    int64_t lose_answers;
    /* Entries kept; 0 for all. */
    int64_t retention;
    int64_t checks_fencing;
    /* Weight fetches a second; 0 for no limit. */
    int64_t weights_per_s;
    /* Entries as base64 texts; the first one has the offset first. */
    GPtrArray *entries;
    int64_t first;
    /* Reads that wait: struct ct_handle of their requests. */
    GArray *waiting;
    /* Newest term seen in orders, and answers by order id. */
    int64_t newest_term;
    GHashTable *orders;
    /* Accepted figures by window, as JSON text. */
    GHashTable *usage;
    JsonNode *hosts;
    JsonNode *upstreams;
    ct_ms weights_from_ms;
    int64_t weights_taken;
};

static int64_t
head_of(const struct platform *platform)
{
    return platform->first + (int64_t)platform->entries->len - 1;
}

static void
reply(struct platform *platform, struct fake_request *request,
      unsigned int status, JsonObject *object)
{
    fake_reply(request, status, object, platform->delay_ms);
}

/* Replies to a call that took effect, or loses the answer. */
static void
reply_effect(struct platform *platform, struct fake_request *request,
             unsigned int status, JsonObject *object)
{
    if (platform->lose_answers > 0) {
        platform->lose_answers--;
        if (object) {
            json_object_unref(object);
        }
        fake_break(request);
        return;
    }
    reply(platform, request, status, object);
}

static JsonObject *
bounds(const struct platform *platform)
{
    JsonObject *object = json_object_new();

    json_object_set_int_member(object, "first", platform->first);
    json_object_set_int_member(object, "head", head_of(platform));
    return object;
}

static void
reply_entries(struct platform *platform, struct fake_request *request)
{
    int64_t from = fake_query(request, "from", 1);
    int64_t max = MIN(fake_query(request, "max", READ_MAX), READ_MAX);
    JsonObject *object = bounds(platform);
    JsonArray *entries;

    if (from < platform->first) {
        reply(platform, request, MHD_HTTP_GONE, object);
        return;
    }
    entries = json_array_new();
    for (int64_t at = from; at <= head_of(platform) && at < from + max; at++) {
        JsonObject *entry = json_object_new();

        json_object_set_int_member(entry, "offset", at);
        json_object_set_string_member(
            entry, "data",
            g_ptr_array_index(platform->entries, at - platform->first));
        json_array_add_object_element(entries, entry);
    }
    json_object_set_array_member(object, "entries", entries);
    reply(platform, request, MHD_HTTP_OK, object);
}

static void
on_wait_over(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct fake_request *request = timer->data;

    (void)loop;
    (void)events;
    request->wait = 0;
    reply_entries((struct platform *)request->server, request);
}

static void
on_read(struct platform *platform, struct fake_request *request)
{
    int64_t from = fake_query(request, "from", 1);
    int64_t wait_ms = fake_query(request, "wait_ms", 0);

    if (from <= head_of(platform) || wait_ms <= 0) {
        reply_entries(platform, request);
        return;
    }
    request->wait = from;
    g_array_append_val(platform->waiting, request->handle);
    ev_timer_init(&request->delay, on_wait_over, (double)wait_ms / 1000, 0);
    request->delay.data = request;
    ev_timer_start(platform->server.loop, &request->delay);
}

static void
wake_readers(struct platform *platform)
{
    for (guint i = 0; i < platform->waiting->len; i++) {
        struct fake_request *request =
            fake_get(&platform->server,
                     g_array_index(platform->waiting, struct ct_handle, i));

        if (request && request->wait) {
            request->wait = 0;
            ev_timer_stop(platform->server.loop, &request->delay);
            reply_entries(platform, request);
        }
    }
    g_array_set_size(platform->waiting, 0);
}

static void
on_append(struct platform *platform, struct fake_request *request)
{
    const char *data =
        request->json ? fake_json_text(request->json, "data") : NULL;
    JsonObject *object;
    JsonObject *entry;

    if (!data) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "no-data");
        return;
    }
    g_ptr_array_add(platform->entries, g_strdup(data));
    while (platform->retention > 0 &&
           (int64_t)platform->entries->len > platform->retention) {
        g_ptr_array_remove_index(platform->entries, 0);
        platform->first++;
    }
    entry = fake_entry("append");
    json_object_set_int_member(entry, "offset", head_of(platform));
    fake_log(&platform->server, entry);
    object = json_object_new();
    json_object_set_int_member(object, "offset", head_of(platform));
    reply_effect(platform, request, MHD_HTTP_OK, object);
    wake_readers(platform);
}

static void
log_order(struct platform *platform, const struct fake_request *request,
          const char *what)
{
    JsonObject *entry = fake_entry(what);

    json_object_set_int_member(entry, "order_id",
                               fake_json_int(request->json, "order_id", 0));
    json_object_set_int_member(entry, "term",
                               fake_json_int(request->json, "term", 0));
    json_object_set_int_member(entry, "connected_ms", request->connected_ms);
    json_object_set_object_member(entry, "order",
                                  json_object_ref(request->json));
    fake_log(&platform->server, entry);
}

static void
on_order(struct platform *platform, struct fake_request *request)
{
    int64_t term;
    gchar *key;
    JsonObject *answer;

    if (!request->json) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "no-order");
        return;
    }
    term = fake_json_int(request->json, "term", 0);
    if (platform->checks_fencing && term < platform->newest_term) {
        log_order(platform, request, "order-refused");
        fake_reply_error(request, MHD_HTTP_CONFLICT, "old-term");
        return;
    }
    platform->newest_term = MAX(platform->newest_term, term);
    key = g_strdup_printf("%" G_GINT64_FORMAT,
                          fake_json_int(request->json, "order_id", 0));
    answer = g_hash_table_lookup(platform->orders, key);
    if (answer) {
        g_free(key);
        log_order(platform, request, "order-repeated");
    }
    else {
        const char *upstream = fake_json_text(request->json, "upstream");

        answer = json_object_new();
        json_object_set_string_member(answer, "upstream",
                                      upstream && *upstream ? upstream : key);
        json_object_set_string_member(answer, "address", "");
        g_hash_table_insert(platform->orders, key, answer);
        log_order(platform, request, "order");
    }
    reply_effect(platform, request, MHD_HTTP_OK, json_object_ref(answer));
}

static void
on_usage(struct platform *platform, struct fake_request *request)
{
    JsonObject *entry;
    const char *before;
    gchar *figures;
    gchar *window;
    JsonNode *rows;
    bool differs;
    bool repeated;

    if (!request->json || !json_object_has_member(request->json, "rows")) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "no-rows");
        return;
    }
    window =
        g_strdup_printf("%" G_GINT64_FORMAT,
                        fake_json_int(request->json, "window_start_ms", 0));
    rows = json_object_get_member(request->json, "rows");
    figures = json_to_string(rows, FALSE);
    before = g_hash_table_lookup(platform->usage, window);
    differs = before && strcmp(before, figures) != 0;
    repeated = before && !differs;
    entry = fake_entry(differs ? "usage-differs"
                               : (repeated ? "usage-repeated" : "usage"));
    json_object_set_object_member(entry, "report",
                                  json_object_ref(request->json));
    fake_log(&platform->server, entry);
    if (differs) {
        g_free(window);
        g_free(figures);
        fake_reply_error(request, MHD_HTTP_CONFLICT, "differs");
        return;
    }
    if (repeated) {
        g_free(window);
        g_free(figures);
    }
    else {
        g_hash_table_insert(platform->usage, window, figures);
    }
    reply_effect(platform, request, MHD_HTTP_OK, NULL);
}

static void
on_weights(struct platform *platform, struct fake_request *request)
{
    ct_ms now_ms = fake_now_ms();
    JsonObject *object = json_object_new();

    if (now_ms - platform->weights_from_ms >= WEIGHTS_WINDOW_MS) {
        platform->weights_from_ms = now_ms;
        platform->weights_taken = 0;
    }
    fake_log(&platform->server, fake_entry("weights"));
    if (platform->weights_per_s &&
        platform->weights_taken >= platform->weights_per_s) {
        json_object_set_int_member(object, "retry_after_ms",
                                   platform->weights_from_ms +
                                       WEIGHTS_WINDOW_MS - now_ms);
        reply(platform, request, MHD_HTTP_TOO_MANY_REQUESTS, object);
        return;
    }
    platform->weights_taken++;
    json_object_set_int_member(object, "wait_ms", 0);
    reply(platform, request, MHD_HTTP_OK, object);
}

/* Answers with a list that a test has set, or takes a new one. */
static void
on_list(struct platform *platform, struct fake_request *request,
        JsonNode **list, bool set, const char *name)
{
    JsonObject *object;

    if (!set) {
        object = json_object_new();
        json_object_set_member(
            object, name,
            *list ? json_node_copy(*list)
                  : json_node_init_array(json_node_alloc(), json_array_new()));
        reply(platform, request, MHD_HTTP_OK, object);
        return;
    }
    if (!request->json || !json_object_has_member(request->json, name)) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "no-list");
        return;
    }
    g_clear_pointer(list, json_node_unref);
    *list = json_object_dup_member(request->json, name);
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static bool
control(struct platform *platform, struct fake_request *request)
{
    if (strcmp(request->path, "/fake/hosts") == 0) {
        on_list(platform, request, &platform->hosts, true, "hosts");
        return true;
    }
    if (strcmp(request->path, "/fake/upstreams") == 0) {
        on_list(platform, request, &platform->upstreams, true, "upstreams");
        return true;
    }
    return false;
}

static void
handle(struct fake_server *server, struct fake_request *request)
{
    struct platform *platform = (struct platform *)server;
    const char *path = request->path;

    if (control(platform, request)) {
        return;
    }
    if (platform->outage) {
        fake_break(request);
    }
    else if (strcmp(path, "/log/append") == 0) {
        on_append(platform, request);
    }
    else if (strcmp(path, "/log/read") == 0) {
        on_read(platform, request);
    }
    else if (strcmp(path, "/upstreams/order") == 0) {
        on_order(platform, request);
    }
    else if (strcmp(path, "/usage") == 0) {
        on_usage(platform, request);
    }
    else if (strcmp(path, "/weights/fetch") == 0) {
        on_weights(platform, request);
    }
    else if (strcmp(path, "/hosts") == 0) {
        on_list(platform, request, &platform->hosts, false, "hosts");
    }
    else if (strcmp(path, "/upstreams") == 0) {
        on_list(platform, request, &platform->upstreams, false, "upstreams");
    }
    else {
        fake_reply_error(request, MHD_HTTP_NOT_FOUND, "unknown-path");
    }
}

/* A read that waited ended, by its answer or by its caller. */
static void
gone(struct fake_server *server, struct fake_request *request)
{
    ev_timer_stop(server->loop, &request->delay);
    request->wait = 0;
}

/* An outage begins for those who wait as well. */
static void
changed(struct fake_server *server)
{
    struct platform *platform = (struct platform *)server;

    if (!platform->outage) {
        return;
    }
    for (guint i = 0; i < platform->waiting->len; i++) {
        struct fake_request *request = fake_get(
            server, g_array_index(platform->waiting, struct ct_handle, i));

        if (request && request->wait) {
            request->wait = 0;
            ev_timer_stop(server->loop, &request->delay);
            fake_break(request);
        }
    }
    g_array_set_size(platform->waiting, 0);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {
        .handle = handle, .gone = gone, .changed = changed};
    static struct platform platform;
    const struct fake_setting settings[] = {
        {"outage", &platform.outage},
        {"delay_ms", &platform.delay_ms},
        {"lose_answers", &platform.lose_answers},
        {"retention", &platform.retention},
        {"checks_fencing", &platform.checks_fencing},
        {"weights_per_s", &platform.weights_per_s},
        {NULL, NULL}};

    platform.server.ops = &ops;
    platform.server.settings = settings;
    platform.first = 1;
    platform.entries = g_ptr_array_new_with_free_func(g_free);
    platform.waiting = g_array_new(FALSE, TRUE, sizeof(struct ct_handle));
    platform.orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)json_object_unref);
    platform.usage =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return fake_main(&platform.server, argc, (const char **)argv, NULL);
}
