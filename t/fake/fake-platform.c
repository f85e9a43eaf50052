/* Fake platform: log, upstream orders, usage, hosts, weights. */
#include "fake-http.h"

#include <stdlib.h>
#include <string.h>

#define READ_MAX 256

enum outage {
    OUTAGE_NONE,
    /* Connections are closed without a response; requests have no effect. */
    OUTAGE_CLOSED,
    /* Requests are read, never get a response, and have no effect. */
    OUTAGE_SILENT,
};

struct upstream {
    char name[FAKE_ID_MAX];
    char pool[FAKE_ID_MAX];
    char zone[FAKE_ID_MAX];
    char address[FAKE_ID_MAX];
    bool cheap;
    ct_ms started_ms;
    /* 0 unless it is leaving. */
    ct_ms leaving_ms;
};

struct platform {
    struct fake_server server;
    /* Base64 texts; entry i has the offset first_offset + i. */
    GPtrArray *log;
    int64_t first_offset;
    JsonNode *hosts;
    /* struct upstream */
    struct ct_table upstreams;
    GPtrArray *spare_addresses;
    int64_t n_started;
    /* Order id -> first response. */
    GHashTable *orders;
    /* Pool -> newest term. */
    GHashTable *terms;
    /* Window start -> accepted usage figures. */
    GHashTable *windows;
    ct_ms weights_at_ms;

    int64_t outage;
    int64_t delay_ms;
    int64_t lose_answers;
    int64_t retention;
    int64_t checks_fencing;
    int64_t start_ms;
    int64_t stop_ms;
    int64_t weights_interval_ms;
    int64_t weights_wait_ms;
};

static int64_t
head_offset(const struct platform *p)
{
    return p->first_offset + (int64_t)p->log->len - 1;
}

/* Replies to a call that took effect, unless lose_answers drops the reply. */
static void
reply_unless_lost(struct platform *p, struct fake_request *request,
                  JsonObject *body)
{
    if (p->lose_answers > 0) {
        p->lose_answers--;
        json_object_unref(body);
        fake_abort(request);
        return;
    }
    fake_reply(request, MHD_HTTP_OK, body, p->delay_ms);
}

static void
reply_entries(struct platform *p, struct fake_request *request, int64_t from)
{
    int64_t max = CLAMP(fake_query_int(request, "max", READ_MAX), 1, READ_MAX);
    JsonObject *body = json_object_new();
    JsonArray *rows = json_array_new();

    for (int64_t o = from; o <= head_offset(p) && o < from + max; o++) {
        JsonObject *row = json_object_new();

        json_object_set_int_member(row, "offset", o);
        json_object_set_string_member(
            row, "data",
            g_ptr_array_index(p->log, (guint)(o - p->first_offset)));
        json_array_add_object_element(rows, row);
    }
    json_object_set_int_member(body, "first", p->first_offset);
    json_object_set_int_member(body, "head", head_offset(p));
    json_object_set_array_member(body, "entries", rows);
    request->wait_offset = 0;
    fake_reply(request, MHD_HTTP_OK, body, p->delay_ms);
}

static void
on_read_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    struct fake_request *request = timer->data;

    (void)loop;
    (void)events;
    reply_entries((struct platform *)request->server, request,
                  request->wait_offset);
}

static void
handle_read(struct platform *p, struct fake_request *request)
{
    int64_t from = MAX(fake_query_int(request, "from", 1), 1);
    int64_t wait_ms = fake_query_int(request, "wait_ms", 0);

    if (from < p->first_offset) {
        JsonObject *body = json_object_new();

        json_object_set_int_member(body, "first", p->first_offset);
        json_object_set_int_member(body, "head", head_offset(p));
        fake_reply(request, MHD_HTTP_GONE, body, p->delay_ms);
        return;
    }
    if (from <= head_offset(p) || wait_ms <= 0) {
        reply_entries(p, request, from);
        return;
    }
    request->wait_offset = from;
    ev_timer_init(&request->delay, on_read_timeout, (double)wait_ms / 1000, 0);
    request->delay.data = request;
    ev_timer_start(p->server.loop, &request->delay);
}

/* Replies to the reads whose awaited entry has been appended. */
static void
wake_readers(struct platform *p)
{
    struct fake_request *request;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((request = ct_table_next(&p->server.requests, &cursor, &handle))) {
        if (request->wait_offset > 0 &&
            request->wait_offset <= head_offset(p)) {
            ev_timer_stop(p->server.loop, &request->delay);
            reply_entries(p, request, request->wait_offset);
        }
    }
}

static void
apply_retention(struct platform *p)
{
    while (p->retention > 0 && (int64_t)p->log->len > p->retention) {
        g_ptr_array_remove_index(p->log, 0);
        p->first_offset++;
    }
}

static void
handle_append(struct platform *p, struct fake_request *request)
{
    const char *data = fake_json_text(request->json, "data");
    JsonObject *entry;
    JsonObject *body;

    if (!*data) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "data");
        return;
    }
    g_ptr_array_add(p->log, g_strdup(data));
    apply_retention(p);
    entry = fake_new_entry("append");
    json_object_set_int_member(entry, "offset", head_offset(p));
    json_object_set_int_member(entry, "bytes", (int64_t)strlen(data));
    fake_log_entry(&p->server, entry);
    body = json_object_new();
    json_object_set_int_member(body, "offset", head_offset(p));
    reply_unless_lost(p, request, body);
    wake_readers(p);
}

static void
handle_hosts(struct platform *p, struct fake_request *request)
{
    char *text = json_to_string(p->hosts, FALSE);

    fake_reply_text(request, MHD_HTTP_OK, text, p->delay_ms);
    g_free(text);
}

static struct upstream *
add_upstream(struct platform *p, JsonObject *from, const char *name,
             const char *address)
{
    struct ct_handle handle;
    struct upstream *u;

    ct_table_add(&p->upstreams, &handle);
    u = ct_table_get(&p->upstreams, handle);
    g_strlcpy(u->name, name, sizeof(u->name));
    g_strlcpy(u->address, address, sizeof(u->address));
    g_strlcpy(u->pool, fake_json_text(from, "pool"), sizeof(u->pool));
    g_strlcpy(u->zone, fake_json_text(from, "zone"), sizeof(u->zone));
    u->cheap = fake_json_int(from, "cheap", 0) != 0;
    u->started_ms = fake_now_ms();
    return u;
}

static struct upstream *
start_upstream(struct platform *p, JsonObject *order)
{
    struct upstream *u;
    const char *address = "";
    char name[FAKE_ID_MAX];

    g_snprintf(name, sizeof(name), "%s-o%" G_GINT64_FORMAT,
               fake_json_text(order, "pool"), ++p->n_started);
    if (p->spare_addresses->len > 0) {
        address = g_ptr_array_index(p->spare_addresses, 0);
    }
    u = add_upstream(p, order, name, address);
    if (p->spare_addresses->len > 0) {
        g_ptr_array_remove_index(p->spare_addresses, 0);
    }
    return u;
}

static struct upstream *
find_upstream(struct platform *p, const char *name)
{
    struct ct_handle handle;
    struct upstream *u;
    uint32_t cursor = 0;

    while ((u = ct_table_next(&p->upstreams, &cursor, &handle))) {
        if (strcmp(u->name, name) == 0) {
            return u;
        }
    }
    return NULL;
}

static JsonObject *
execute_order(struct platform *p, JsonObject *order)
{
    const char *kind = fake_json_text(order, "kind");
    JsonObject *response = json_object_new();
    struct upstream *u;

    if (strcmp(kind, "start") == 0) {
        u = start_upstream(p, order);
    }
    else {
        u = find_upstream(p, fake_json_text(order, "upstream"));
    }
    if (u && strcmp(kind, "stop") == 0 && u->leaving_ms == 0) {
        u->leaving_ms = fake_now_ms();
    }
    json_object_set_string_member(response, "upstream", u ? u->name : "");
    json_object_set_string_member(response, "address", u ? u->address : "");
    return response;
}

static bool
is_stale_term(struct platform *p, const char *pool, int64_t term)
{
    int64_t *newest = g_hash_table_lookup(p->terms, pool);

    if (!newest) {
        newest = g_new0(int64_t, 1);
        g_hash_table_insert(p->terms, g_strdup(pool), newest);
    }
    if (term < *newest) {
        return true;
    }
    *newest = term;
    return false;
}

static void
log_order(struct platform *p, struct fake_request *request, bool refused,
          bool repeated)
{
    static const char *const members[] = {"kind", "pool", "zone", "upstream"};
    JsonObject *order = request->json;
    JsonObject *entry = fake_new_entry("order");

    json_object_set_int_member(entry, "order_id",
                               fake_json_int(order, "order_id", 0));
    json_object_set_int_member(entry, "term", fake_json_int(order, "term", 0));
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        json_object_set_string_member(entry, members[i],
                                      fake_json_text(order, members[i]));
    }
    json_object_set_int_member(entry, "connected_ms", request->connected_ms);
    json_object_set_boolean_member(entry, "refused", refused);
    json_object_set_boolean_member(entry, "repeated", repeated);
    fake_log_entry(&p->server, entry);
}

static void
handle_order(struct platform *p, struct fake_request *request)
{
    int64_t id = fake_json_int(request->json, "order_id", 0);
    int64_t term = fake_json_int(request->json, "term", 0);
    JsonObject *response;
    bool stale;

    if (!request->json) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "json");
        return;
    }
    response = g_hash_table_lookup(p->orders, &id);
    stale = is_stale_term(p, fake_json_text(request->json, "pool"), term) &&
            p->checks_fencing;
    log_order(p, request, stale, response != NULL);
    if (stale) {
        fake_reply_error(request, MHD_HTTP_CONFLICT, "old-term");
        return;
    }
    if (!response) {
        response = execute_order(p, request->json);
        g_hash_table_insert(p->orders, g_memdup2(&id, sizeof(id)), response);
    }
    reply_unless_lost(p, request, json_object_ref(response));
}

static void
handle_upstreams(struct platform *p, struct fake_request *request)
{
    JsonObject *body = json_object_new();
    JsonArray *rows = json_array_new();
    ct_ms now_ms = fake_now_ms();
    struct ct_handle handle;
    struct upstream *u;
    uint32_t cursor = 0;

    while ((u = ct_table_next(&p->upstreams, &cursor, &handle))) {
        JsonObject *row = json_object_new();
        const char *state = "running";

        if (u->leaving_ms > 0) {
            state = "leaving";
        }
        else if (now_ms < u->started_ms + p->start_ms) {
            state = "starting";
        }
        json_object_set_string_member(row, "name", u->name);
        json_object_set_string_member(row, "pool", u->pool);
        json_object_set_string_member(row, "zone", u->zone);
        json_object_set_string_member(row, "address", u->address);
        json_object_set_boolean_member(row, "cheap", u->cheap);
        json_object_set_string_member(row, "state", state);
        json_array_add_object_element(rows, row);
        if (u->leaving_ms > 0 && now_ms >= u->leaving_ms + p->stop_ms) {
            ct_table_unref(&p->upstreams, handle);
        }
    }
    json_object_set_array_member(body, "upstreams", rows);
    fake_reply(request, MHD_HTTP_OK, body, p->delay_ms);
}

static int
compare_text(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* The figures of a report as one text, independent of the order of rows. */
static char *
report_figures(JsonObject *report)
{
    JsonArray *rows = json_object_get_array_member(report, "rows");
    guint n = rows ? json_array_get_length(rows) : 0;
    char **lines = g_new0(char *, n + 1);
    char *text;

    for (guint i = 0; i < n; i++) {
        JsonObject *row = json_array_get_object_element(rows, i);

        lines[i] = g_strdup_printf("%s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                                   " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                                   fake_json_text(row, "organisation"),
                                   fake_json_int(row, "requests", 0),
                                   fake_json_int(row, "tokens_in", 0),
                                   fake_json_int(row, "tokens_out", 0),
                                   fake_json_int(row, "late_requests", 0));
    }
    qsort(lines, n, sizeof(char *), compare_text);
    text = g_strjoinv("\n", lines);
    g_strfreev(lines);
    return text;
}

static void
handle_usage(struct platform *p, struct fake_request *request)
{
    int64_t window = fake_json_int(request->json, "window_start_ms", 0);
    const char *accepted;
    JsonObject *entry;
    char *figures;
    bool differs;

    if (!request->json || !json_object_has_member(request->json, "rows")) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "rows");
        return;
    }
    figures = report_figures(request->json);
    accepted = g_hash_table_lookup(p->windows, &window);
    differs = accepted && strcmp(accepted, figures) != 0;
    entry = fake_new_entry("usage");
    json_object_set_int_member(entry, "window_start_ms", window);
    json_object_set_int_member(entry, "term",
                               fake_json_int(request->json, "term", 0));
    json_object_set_string_member(entry, "figures", figures);
    json_object_set_int_member(entry, "connected_ms", request->connected_ms);
    json_object_set_boolean_member(entry, "refused", differs);
    json_object_set_boolean_member(entry, "repeated", accepted != NULL);
    fake_log_entry(&p->server, entry);
    if (differs) {
        g_free(figures);
        fake_reply_error(request, MHD_HTTP_CONFLICT, "differs");
        return;
    }
    g_hash_table_insert(p->windows, g_memdup2(&window, sizeof(window)),
                        figures);
    reply_unless_lost(p, request, json_object_new());
}

static void
handle_weights(struct platform *p, struct fake_request *request)
{
    ct_ms now_ms = fake_now_ms();
    ct_ms remaining_ms = p->weights_at_ms + p->weights_interval_ms - now_ms;
    bool refused = p->weights_at_ms > 0 && remaining_ms > 0;
    JsonObject *entry = fake_new_entry("weights");
    JsonObject *body = json_object_new();

    json_object_set_string_member(entry, "model",
                                  fake_json_text(request->json, "model"));
    json_object_set_boolean_member(entry, "refused", refused);
    fake_log_entry(&p->server, entry);
    if (refused) {
        json_object_set_int_member(body, "retry_after_ms", remaining_ms);
        fake_reply(request, MHD_HTTP_TOO_MANY_REQUESTS, body, p->delay_ms);
        return;
    }
    p->weights_at_ms = now_ms;
    json_object_set_int_member(body, "wait_ms", p->weights_wait_ms);
    fake_reply(request, MHD_HTTP_OK, body, p->delay_ms);
}

static void
set_hosts(struct platform *p, struct fake_request *request)
{
    if (!request->json) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "json");
        return;
    }
    json_node_free(p->hosts);
    p->hosts = json_node_copy(json_parser_get_root(request->parser));
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

/* {"upstreams":[{...,"state":".."}],"spares":["ip:port"]} */
static void
set_upstreams(struct platform *p, struct fake_request *request)
{
    JsonArray *rows = NULL;
    JsonArray *spares = NULL;
    struct ct_handle handle;
    uint32_t cursor = 0;

    if (request->json && json_object_has_member(request->json, "upstreams")) {
        rows = json_object_get_array_member(request->json, "upstreams");
        while (ct_table_next(&p->upstreams, &cursor, &handle)) {
            ct_table_unref(&p->upstreams, handle);
        }
    }
    for (guint i = 0; rows && i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        struct upstream *u = add_upstream(p, row, fake_json_text(row, "name"),
                                          fake_json_text(row, "address"));

        u->started_ms -= p->start_ms;
        if (strcmp(fake_json_text(row, "state"), "leaving") == 0) {
            u->leaving_ms = fake_now_ms();
        }
    }
    if (request->json && json_object_has_member(request->json, "spares")) {
        spares = json_object_get_array_member(request->json, "spares");
        g_ptr_array_set_size(p->spare_addresses, 0);
    }
    for (guint i = 0; spares && i < json_array_get_length(spares); i++) {
        g_ptr_array_add(p->spare_addresses,
                        g_strdup(json_array_get_string_element(spares, i)));
    }
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle_request(struct fake_server *server, struct fake_request *request)
{
    static const struct {
        const char *path;
        void (*call)(struct platform *p, struct fake_request *request);
        bool control;
    } routes[] = {
        {"/log/append", handle_append, false},
        {"/log/read", handle_read, false},
        {"/hosts", handle_hosts, false},
        {"/upstreams/order", handle_order, false},
        {"/upstreams", handle_upstreams, false},
        {"/usage", handle_usage, false},
        {"/weights/fetch", handle_weights, false},
        {"/fake/hosts", set_hosts, true},
        {"/fake/upstreams", set_upstreams, true},
    };
    struct platform *p = (struct platform *)server;

    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].path, request->path) != 0) {
            continue;
        }
        if (p->outage == OUTAGE_NONE || routes[i].control) {
            routes[i].call(p, request);
        }
        else if (p->outage == OUTAGE_CLOSED) {
            fake_abort(request);
        }
        return;
    }
    fake_reply_error(request, MHD_HTTP_NOT_FOUND, "path");
}

/* An outage also ends the reads that wait for entries. */
static void
on_settings_changed(struct fake_server *server)
{
    struct platform *p = (struct platform *)server;
    struct fake_request *request;
    struct ct_handle handle;
    uint32_t cursor = 0;

    apply_retention(p);
    if (p->outage == OUTAGE_NONE) {
        return;
    }
    while ((request = ct_table_next(&server->requests, &cursor, &handle))) {
        if (request->wait_offset == 0) {
            continue;
        }
        request->wait_offset = 0;
        ev_timer_stop(server->loop, &request->delay);
        if (p->outage == OUTAGE_CLOSED) {
            fake_abort(request);
        }
    }
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {handle_request, NULL,
                                        on_settings_changed};
    static struct platform p = {.first_offset = 1};
    const struct fake_setting settings[] = {
        {"outage", &p.outage},
        {"delay_ms", &p.delay_ms},
        {"lose_answers", &p.lose_answers},
        {"retention", &p.retention},
        {"checks_fencing", &p.checks_fencing},
        {"start_ms", &p.start_ms},
        {"stop_ms", &p.stop_ms},
        {"weights_interval_ms", &p.weights_interval_ms},
        {"weights_wait_ms", &p.weights_wait_ms},
        {NULL, NULL}};

    p.server.ops = &ops;
    p.server.settings = settings;
    p.log = g_ptr_array_new_with_free_func(g_free);
    p.spare_addresses = g_ptr_array_new_with_free_func(g_free);
    p.hosts = json_from_string("{\"hosts\":[]}", NULL);
    ct_table_init(&p.upstreams, sizeof(struct upstream), 0, NULL);
    p.orders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                     (GDestroyNotify)json_object_unref);
    p.terms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p.windows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return fake_main(&p.server, argc, (const char **)argv, NULL);
}
