/* Stand-in of a plain service: counts what it ran, by request. */
#include "fake-http.h"

#include <string.h>

struct plain {
    struct fake_server server;
    int64_t close_after_read;
    int64_t silent;
    int64_t decline;
    int64_t delay_ms;
    /* Request id -> how often it ran. */
    GHashTable *ran;
    int64_t ran_total;
};

static void
log_call(struct plain *plain, const struct fake_request *request,
         const char *what, int64_t ran)
{
    static const char *const headers[] = {"Idempotency-Key", "Authorization"};
    JsonObject *entry = fake_entry(what);

    json_object_set_string_member(entry, "request_id", request->request_id);
    json_object_set_string_member(entry, "path", request->path);
    json_object_set_string_member(entry, "body", request->body->str);
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        const char *value = fake_request_header(request, headers[i]);

        json_object_set_string_member(entry, headers[i], value ? value : "");
    }
    json_object_set_int_member(entry, "ran", ran);
    fake_log(&plain->server, entry);
}

static int64_t
run(struct plain *plain, const char *request_id)
{
    int64_t *ran = g_hash_table_lookup(plain->ran, request_id);

    if (!ran) {
        ran = g_new0(int64_t, 1);
        g_hash_table_insert(plain->ran, g_strdup(request_id), ran);
    }
    plain->ran_total++;
    return ++*ran;
}

static void
handle(struct fake_server *server, struct fake_request *request)
{
    struct plain *plain = (struct plain *)server;
    JsonObject *body;
    int64_t ran;

    fake_header(request, "X-Request-Id", request->request_id);
    if (plain->decline) {
        log_call(plain, request, "declined", 0);
        fake_header(request, "X-Run-State", "not-run");
        fake_header(request, "Retry-After", "1");
        fake_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "declined");
        return;
    }
    ran = run(plain, request->request_id);
    log_call(plain, request, "ran", ran);
    if (plain->close_after_read) {
        fake_break(request);
        return;
    }
    if (plain->silent) {
        return;
    }
    body = json_object_new();
    json_object_set_string_member(body, "request_id", request->request_id);
    json_object_set_int_member(body, "ran", ran);
    fake_reply(request, MHD_HTTP_OK, body, plain->delay_ms);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle};
    static struct plain plain;
    const struct fake_setting settings[] = {
        {"close_after_read", &plain.close_after_read},
        {"silent", &plain.silent},
        {"decline", &plain.decline},
        {"delay_ms", &plain.delay_ms},
        {NULL, NULL}};

    plain.server.ops = &ops;
    plain.server.settings = settings;
    plain.ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return fake_main(&plain.server, argc, (const char **)argv, NULL);
}
