/*
 * Fake upstream for relayed calls: echoes the body, or under /s/ streams
 * events, with the faults of its settings.
 */
#include "fake-http.h"

#include <string.h>

#define STATUS_MISDIRECTED 421

struct runner {
    struct fake_server server;
    char *id;
    int64_t events;
    /* Truncates the stream after this many events; 0: never. */
    int64_t break_after;
    int64_t decline;
    int64_t status;
    /* Replies with the id of another request, or without a proof. */
    int64_t mismatch;
    int64_t no_proof;
    /* Closes the connection after the request was read. */
    int64_t close_after_read;
    int64_t silent;
    int64_t delay_ms;
    /* Number of the kind of endless response, from 1 on; 0: none. */
    int64_t endless;
    /* Declines to continue a run: it has no copy of any. */
    int64_t no_copy;
    /*
     * What it says of itself in each response: that it leaves, how many
     * requests it takes in 1,000 s, for how many milliseconds it is cold, and
     * with a refusal, for how many it wants nothing; 0: nothing.
     */
    int64_t leaving;
    int64_t limit;
    int64_t cold_ms;
    int64_t pause_ms;
};

static void
log_call(struct runner *runner, const struct fake_request *request)
{
    static const char *const headers[] = {
        "Tenant",        "Key",      "Deadline-Ms", "Request-Priority",
        "Last-Event-Id", "X-Custom", "Kv-Backup",   "Kv-From"};
    /* A run that continues from a copy is no second run. */
    bool continued = fake_request_header(request, "Kv-From") != NULL;
    JsonObject *entry = fake_new_entry(continued ? "continued" : "ran");

    json_object_set_string_member(entry, "path", request->path);
    json_object_set_string_member(entry, "body", request->body->str);
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        const char *value = fake_request_header(request, headers[i]);

        json_object_set_string_member(entry, headers[i], value ? value : "");
    }
    json_object_set_string_member(entry, "request",
                                  fake_request_header(request, "Request-Id"));
    fake_log_entry(&runner->server, entry);
}

static void
write_stream(const struct runner *runner, struct fake_request *request)
{
    const char *last_event_id = fake_request_header(request, "Last-Event-Id");
    int64_t id = last_event_id ? g_ascii_strtoll(last_event_id, NULL, 10) : 0;
    int64_t written = 0;
    char event[64];

    fake_stream_begin(request);
    while (id < runner->events) {
        g_snprintf(event, sizeof(event),
                   "id: %" G_GINT64_FORMAT "\ndata: e%" G_GINT64_FORMAT "\n\n",
                   id + 1, id + 1);
        if (runner->break_after && written++ == runner->break_after) {
            /* Breaks off in the middle of an event. */
            fake_stream_write(request, event, 7);
            fake_abort(request);
            return;
        }
        fake_stream_write(request, event, strlen(event));
        id++;
    }
    if (!runner->silent) {
        fake_stream_end(request);
    }
}

static void
reply_endless(const struct runner *runner, struct fake_request *request)
{
    const char *id = fake_request_header(request, "Request-Id");
    char *fields =
        g_strdup_printf("Request-Id: %s\r\nRunner-Signature: %s\r\n",
                        id ? id : "", runner->id);

    fake_reply_endless(request, &fake_endless_kinds[runner->endless - 1],
                       fields);
    g_free(fields);
}

static void
add_notices(const struct runner *runner, struct fake_request *request)
{
    char value[32];

    if (runner->leaving) {
        fake_add_header(request, "Server-Leaving", "1");
    }
    if (runner->limit) {
        g_snprintf(value, sizeof(value), "%.3f", (double)runner->limit / 1000);
        fake_add_header(request, "Server-Limit", value);
    }
    if (runner->cold_ms) {
        g_snprintf(value, sizeof(value), "%d", (int)runner->cold_ms);
        fake_add_header(request, "Cold-Ms", value);
    }
    if (runner->decline && runner->pause_ms) {
        g_snprintf(value, sizeof(value), "%.3f",
                   (double)runner->pause_ms / 1000);
        fake_add_header(request, "Retry-After", value);
    }
}

static void
handle_request(struct fake_server *server, struct fake_request *request)
{
    struct runner *runner = (struct runner *)server;
    const char *expected = fake_request_header(request, "Expect-Instance");
    const char *id = fake_request_header(request, "Request-Id");

    fake_add_header(request, "Request-Id",
                    runner->mismatch || id == NULL ? "another" : id);
    add_notices(runner, request);
    if (expected != NULL && strcmp(expected, runner->id) != 0) {
        fake_add_header(request, "Instance-Id", runner->id);
        fake_reply(request, STATUS_MISDIRECTED, NULL, 0);
        return;
    }
    if (runner->decline ||
        (runner->no_copy && fake_request_header(request, "Kv-From"))) {
        fake_add_header(request, "Not-Executed", "1");
        fake_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, 0);
        return;
    }
    log_call(runner, request);
    if (runner->endless > 0 && runner->endless <= fake_endless_kinds_n) {
        reply_endless(runner, request);
        return;
    }
    if (!runner->no_proof) {
        fake_add_header(request, "Runner-Signature", runner->id);
    }
    if (runner->close_after_read) {
        fake_abort(request);
        return;
    }
    if (g_str_has_prefix(request->path, "/s/")) {
        write_stream(runner, request);
        return;
    }
    if (!runner->silent) {
        fake_reply_text(request, (unsigned)runner->status, request->body->str,
                        runner->delay_ms);
    }
}

static void
on_request_ended(struct fake_server *server, struct fake_request *request)
{
    const char *id = fake_request_header(request, "Request-Id");
    JsonObject *entry = fake_new_entry("ended");

    json_object_set_string_member(entry, "request", id ? id : "");
    fake_log_entry(server, entry);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle_request,
                                        .request_ended = on_request_ended};
    static struct runner runner = {.events = 5, .status = MHD_HTTP_OK};
    const struct fake_setting settings[] = {
        {"events", &runner.events},
        {"break_after", &runner.break_after},
        {"decline", &runner.decline},
        {"status", &runner.status},
        {"mismatch", &runner.mismatch},
        {"no_proof", &runner.no_proof},
        {"close_after_read", &runner.close_after_read},
        {"silent", &runner.silent},
        {"delay_ms", &runner.delay_ms},
        {"endless", &runner.endless},
        {"no_copy", &runner.no_copy},
        {"leaving", &runner.leaving},
        {"limit", &runner.limit},
        {"cold_ms", &runner.cold_ms},
        {"pause_ms", &runner.pause_ms},
        {NULL, NULL}};
    struct poptOption options[] = {
        {"id", 0, POPT_ARG_STRING, &runner.id, 0, "instance id", "ID"},
        POPT_TABLEEND};

    runner.server.ops = &ops;
    runner.server.settings = settings;
    return fake_main(&runner.server, argc, (const char **)argv, options);
}
