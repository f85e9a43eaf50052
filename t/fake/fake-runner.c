/*
 * Stand-in of an upstream that calls are relayed to: a plain answer, or under
 * /s/ a stream of events, with the faults that its settings ask for.
 */
#include "fake-http.h"

#include <string.h>

#define STATUS_MISDIRECTED 421

struct runner {
    struct fake_server server;
    char *id;
    int64_t events;
    /* Ends the stream broken after this many events; 0 for never. */
    int64_t break_after;
    int64_t decline;
    int64_t status;
    /* Answers in the name of another request, or without a proof. */
    int64_t mismatch;
    int64_t no_proof;
    /* Closes the connection once the request was read. */
    int64_t close_after_read;
    int64_t silent;
    int64_t delay_ms;
};

static void
log_call(struct runner *runner, const struct fake_request *request)
{
    static const char *const headers[] = {"Tenant",        "Key",
                                          "Deadline-Ms",   "Request-Priority",
                                          "Last-Event-Id", "X-Custom"};
    JsonObject *entry = fake_entry("ran");

    json_object_set_string_member(entry, "path", request->path);
    json_object_set_string_member(entry, "body", request->body->str);
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        const char *value = fake_request_header(request, headers[i]);

        json_object_set_string_member(entry, headers[i], value ? value : "");
    }
    json_object_set_string_member(entry, "request",
                                  fake_request_header(request, "Request-Id"));
    fake_log(&runner->server, entry);
}

static void
stream(const struct runner *runner, struct fake_request *request)
{
    const char *last = fake_request_header(request, "Last-Event-Id");
    int64_t id = last ? g_ascii_strtoll(last, NULL, 10) : 0;
    int64_t written = 0;
    char event[64];

    fake_stream_begin(request);
    while (id < runner->events) {
        g_snprintf(event, sizeof(event),
                   "id: %" G_GINT64_FORMAT "\ndata: e%" G_GINT64_FORMAT "\n\n",
                   id + 1, id + 1);
        if (runner->break_after && written++ == runner->break_after) {
            /* In the middle of an event. */
            fake_stream_write(request, event, 7);
            fake_break(request);
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
handle(struct fake_server *server, struct fake_request *request)
{
    struct runner *runner = (struct runner *)server;
    const char *expected = fake_request_header(request, "Expect-Instance");
    const char *id = fake_request_header(request, "Request-Id");

    fake_header(request, "Request-Id",
                runner->mismatch || id == NULL ? "another" : id);
    if (expected != NULL && strcmp(expected, runner->id) != 0) {
        fake_header(request, "Instance-Id", runner->id);
        fake_reply(request, STATUS_MISDIRECTED, NULL, 0);
        return;
    }
    if (runner->decline) {
        fake_header(request, "Not-Executed", "1");
        fake_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, 0);
        return;
    }
    log_call(runner, request);
    if (!runner->no_proof) {
        fake_header(request, "Runner-Signature", runner->id);
    }
    if (runner->close_after_read) {
        fake_break(request);
        return;
    }
    if (g_str_has_prefix(request->path, "/s/")) {
        stream(runner, request);
        return;
    }
    if (!runner->silent) {
        fake_reply_text(request, (unsigned)runner->status, request->body->str,
                        runner->delay_ms);
    }
}

static void
gone(struct fake_server *server, struct fake_request *request)
{
    const char *id = fake_request_header(request, "Request-Id");
    JsonObject *entry = fake_entry("ended");

    json_object_set_string_member(entry, "request", id ? id : "");
    fake_log(server, entry);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle, .gone = gone};
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
        {NULL, NULL}};
    struct poptOption options[] = {
        {"id", 0, POPT_ARG_STRING, &runner.id, 0, "its id", "ID"},
        POPT_TABLEEND};

    runner.server.ops = &ops;
    runner.server.settings = settings;
    return fake_main(&runner.server, argc, (const char **)argv, options);
}
