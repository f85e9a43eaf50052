/* Fake plain service: counts how often it ran each request. */
#include "fake-http.h"

#include <string.h>

struct plain {
    struct fake_server server;
    int64_t close_after_read;
    int64_t silent;
    int64_t decline;
    int64_t delay_ms;
    /* Request id -> number of runs. */
    GHashTable *runs;
    int64_t total_runs;
};

static void
log_call(struct plain *plain, const struct fake_request *request,
         const char *what, int64_t n_runs)
{
    static const char *const headers[] = {"Idempotency-Key", "Authorization"};
    JsonObject *entry = fake_new_entry(what);

    json_object_set_string_member(entry, "request_id", request->request_id);
    json_object_set_string_member(entry, "path", request->path);
    json_object_set_string_member(entry, "body", request->body->str);
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        const char *value = fake_request_header(request, headers[i]);

        json_object_set_string_member(entry, headers[i], value ? value : "");
    }
    json_object_set_int_member(entry, "ran", n_runs);
    fake_log_entry(&plain->server, entry);
}

static int64_t
count_run(struct plain *plain, const char *request_id)
{
    int64_t *n_runs = g_hash_table_lookup(plain->runs, request_id);

    if (!n_runs) {
        n_runs = g_new0(int64_t, 1);
        g_hash_table_insert(plain->runs, g_strdup(request_id), n_runs);
    }
    plain->total_runs++;
    return ++*n_runs;
}

static void
handle_request(struct fake_server *server, struct fake_request *request)
{
    struct plain *plain = (struct plain *)server;
    JsonObject *body;
    int64_t n_runs;

    fake_add_header(request, "X-Request-Id", request->request_id);
    if (plain->decline) {
        log_call(plain, request, "declined", 0);
        fake_add_header(request, "X-Run-State", "not-run");
        fake_add_header(request, "Retry-After", "1");
        fake_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "declined");
        return;
    }
    n_runs = count_run(plain, request->request_id);
    log_call(plain, request, "ran", n_runs);
    if (plain->close_after_read) {
        fake_abort(request);
        return;
    }
    if (plain->silent) {
        return;
    }
    body = json_object_new();
    json_object_set_string_member(body, "request_id", request->request_id);
    json_object_set_int_member(body, "ran", n_runs);
    fake_reply(request, MHD_HTTP_OK, body, plain->delay_ms);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle_request};
    static struct plain plain;
    const struct fake_setting settings[] = {
        {"close_after_read", &plain.close_after_read},
        {"silent", &plain.silent},
        {"decline", &plain.decline},
        {"delay_ms", &plain.delay_ms},
        {NULL, NULL}};

    plain.server.ops = &ops;
    plain.server.settings = settings;
    plain.runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return fake_main(&plain.server, argc, (const char **)argv, NULL);
}
