/*
 * Fake model engine: continuous batching, waiting requests served by priority.
 * Tokens depend only on the request id and their position, so that a stream
 * can be resumed at another engine.
 */
#include "fake-engine.h"


#include <string.h>

#include "name.h"

/* Each other call in the batch slows down a token by this much. */
#define BATCH_SLOWDOWN_PERCENT 5
#define TOKENS_DEFAULT 8
#define SLOTS_DEFAULT 8
#define QUEUE_MAX 1000
#define CACHE_LAG_DEFAULT_MS 500
#define PREFIX_BYTES 256
#define NO_FAULT (-1)
#define BYTES_PER_TOKEN 4

static void
log_call(struct engine *e, const struct call *call, const char *what)
{
    JsonObject *entry = fake_new_entry(what);

    json_object_set_string_member(entry, "request_id", call->id);
    json_object_set_int_member(entry, "sent", call->sent_tokens);
    json_object_set_int_member(entry, "priority", call->priority);
    json_object_set_int_member(entry, "resume_from", call->resume_offset);
    fake_log_entry(&e->server, entry);
}

static enum MHD_Result
add_header(void *cls, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
    (void)kind;
    json_object_set_string_member(cls, name, value ? value : "");
    return MHD_YES;
}

/* Logs all parts of a received request, so that a test can search them. */
static void
log_received(struct engine *e, struct fake_request *request)
{
    JsonObject *entry = fake_new_entry("received");
    JsonObject *headers = json_object_new();

    MHD_get_connection_values(request->connection, MHD_HEADER_KIND, add_header,
                              headers);
    json_object_set_string_member(entry, "request_id", request->request_id);
    json_object_set_string_member(entry, "path", request->path);
    json_object_set_string_member(entry, "body", request->body->str);
    json_object_set_object_member(entry, "headers", headers);
    fake_log_entry(&e->server, entry);
}

/* Frees a call; the next run_batch() reuses its slot. */
static void
end_call(struct engine *e, struct ct_handle handle, const char *what)
{
    struct call *call = ct_table_get(&e->calls, handle);

    log_call(e, call, what);
    if (call->state == CALL_WAITING) {
        e->waiting--;
    }
    else {
        e->running--;
    }
    ct_table_unref(&e->calls, handle);
    engine_sample_load(e);
}

static void
append_token(const struct engine *e, const struct call *call, GString *out)
{
    const char *id = e->wrong_id ? "another-request" : call->id;
    uint64_t hash =
        ct_hash_bytes(CT_HASH_SEED, call->id, (uint32_t)strlen(call->id));
    char word[FAKE_ID_MAX];

    g_snprintf(word, sizeof(word), "w%08x-%" G_GINT64_FORMAT " ",
               (uint32_t)hash, call->next_token);
    if (!call->stream) {
        g_string_append(out, word);
        return;
    }
    g_string_append_printf(out,
                           "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,"
                           "\"delta\":{\"content\":\"%s\"}",
                           id, word);
    if (call->next_token + 1 < call->tokens) {
        g_string_append(out, "}]}\n\n");
        return;
    }
    g_string_append_printf(out,
                           ",\"finish_reason\":\"stop\"}],\"usage\":{"
                           "\"prompt_tokens\":%" G_GINT64_FORMAT
                           ",\"completion_tokens\":%" G_GINT64_FORMAT
                           "}}\n\ndata: [DONE]\n\n",
                           call->prompt_tokens, call->tokens);
}

/* The part of a text at call->position after call->resume_offset. */
static const char *
unsent_part(struct call *call, const GString *text, size_t *n)
{
    int64_t resume_offset =
        CLAMP(call->resume_offset - call->position, 0, (int64_t)text->len);

    call->position += (int64_t)text->len;
    *n = text->len - (size_t)resume_offset;
    return text->str + resume_offset;
}

static void
write_token(struct engine *e, struct call *call, struct fake_request *request)
{
    GString *text = g_string_new(NULL);
    const char *bytes;
    size_t n;

    append_token(e, call, text);
    bytes = unsent_part(call, text, &n);
    if (n > 0) {
        fake_stream_write(request, bytes, n);
        call->sent_tokens++;
    }
    call->next_token++;
    g_string_free(text, TRUE);
}

/* Sends the complete response of a call that is not streamed. */
static void
write_complete_response(struct engine *e, struct call *call,
                        struct fake_request *request)
{
    GString *text = g_string_new(NULL);
    const char *bytes;
    size_t n;

    g_string_append_printf(text,
                           "{\"id\":\"%s\",\"choices\":[{\"index\":0,"
                           "\"message\":{\"role\":\"assistant\","
                           "\"content\":\"",
                           e->wrong_id ? "another-request" : call->id);
    for (call->next_token = 0; call->next_token < call->tokens;
         call->next_token++) {
        append_token(e, call, text);
    }
    g_string_append_printf(text,
                           "\"},\"finish_reason\":\"stop\"}],\"usage\":{"
                           "\"prompt_tokens\":%" G_GINT64_FORMAT
                           ",\"completion_tokens\":%" G_GINT64_FORMAT "}}",
                           call->prompt_tokens, call->tokens);
    bytes = unsent_part(call, text, &n);
    (void)n;
    call->sent_tokens = call->tokens;
    fake_reply_text(request, MHD_HTTP_OK, bytes, 0);
    g_string_free(text, TRUE);
}

static ct_ms
step_ms(const struct engine *e)
{
    int64_t other_calls = e->running > 0 ? e->running - 1 : 0;

    return e->token_ms * (100 + BATCH_SLOWDOWN_PERCENT * other_calls) / 100;
}

/* Applies a configured fault. Returns true if the call gets no token. */
static bool
apply_fault(struct engine *e, struct call *call, struct ct_handle handle,
            struct fake_request *request)
{
    int64_t tokens_done = call->stream ? call->sent_tokens : call->next_token;

    if (!call->faulty) {
        return false;
    }
    if (e->silent_after_tokens != NO_FAULT &&
        tokens_done >= e->silent_after_tokens) {
        call->state = CALL_SILENT;
        log_call(e, call, "silent");
        return true;
    }
    if (e->break_after_tokens != NO_FAULT &&
        tokens_done >= e->break_after_tokens) {
        end_call(e, handle, "broken");
        request->call = CT_NO_HANDLE;
        fake_abort(request);
        return true;
    }
    return false;
}

static void
advance_call(struct engine *e, struct call *call, struct ct_handle handle,
             ct_ms now_ms)
{
    struct fake_request *request =
        fake_find_request(&e->server, call->request);

    while (call->due_ms <= now_ms) {
        if (apply_fault(e, call, handle, request)) {
            return;
        }
        if (call->stream) {
            write_token(e, call, request);
        }
        else if (++call->next_token == call->tokens) {
            write_complete_response(e, call, request);
        }
        if (call->next_token >= call->tokens) {
            if (call->stream) {
                fake_stream_end(request);
            }
            request->call = CT_NO_HANDLE;
            end_call(e, handle, "end");
            return;
        }
        /* Skipped tokens were computed by another engine and take no time. */
        call->due_ms += call->position < call->resume_offset ? 0 : step_ms(e);
    }
}

static struct call *
next_waiting(struct engine *e)
{
    struct call *best = NULL;
    struct ct_handle handle;
    struct call *call;
    uint32_t cursor = 0;

    while ((call = ct_table_next(&e->calls, &cursor, &handle))) {
        if (call->state != CALL_WAITING) {
            continue;
        }
        if (!best || call->priority < best->priority ||
            (call->priority == best->priority &&
             call->arrival < best->arrival)) {
            best = call;
        }
    }
    return best;
}

static void
start_calls(struct engine *e, ct_ms now_ms)
{
    while (e->waiting > 0 && e->running < e->slots) {
        struct call *call = next_waiting(e);
        struct fake_request *request =
            fake_find_request(&e->server, call->request);
        size_t n = MIN(request->body->len, PREFIX_BYTES);
        uint64_t prefix =
            ct_hash_bytes(CT_HASH_SEED, request->body->str, (uint32_t)n);
        bool cached = engine_use_cache(e, prefix);

        call->state = CALL_RUNNING;
        call->due_ms = now_ms + e->first_token_ms / (cached ? 2 : 1);
        e->waiting--;
        e->running++;
        log_call(e, call, "start");
        engine_sample_load(e);
        if (call->stream) {
            fake_stream_begin(request);
        }
    }
}

/* Writes the due tokens of all running calls, sets the timer for the next. */
static void
run_batch(struct engine *e)
{
    ct_ms now_ms = fake_now_ms();
    ct_ms next_ms = CT_MS_NEVER;
    struct ct_handle handle;
    struct call *call;
    uint32_t cursor = 0;

    start_calls(e, now_ms);
    if (now_ms < e->stalled_until_ms) {
        next_ms = e->stalled_until_ms;
    }
    else {
        while ((call = ct_table_next(&e->calls, &cursor, &handle))) {
            if (call->state == CALL_RUNNING) {
                advance_call(e, call, handle, now_ms);
            }
        }
        start_calls(e, now_ms);
        cursor = 0;
        while ((call = ct_table_next(&e->calls, &cursor, &handle))) {
            if (call->state == CALL_RUNNING) {
                next_ms = MIN(next_ms, call->due_ms);
            }
        }
    }
    ev_timer_stop(e->server.loop, &e->tick);
    if (next_ms != CT_MS_NEVER) {
        double wait_s = (double)MAX(next_ms - now_ms, 0) / 1000;

        ev_now_update(e->server.loop);
        ev_timer_set(&e->tick, wait_s, 0);
        ev_timer_start(e->server.loop, &e->tick);
    }
}

static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    run_batch(timer->data);
}

static void
decline_call(struct fake_request *request)
{
    fake_add_header(request, "X-Run-State", "not-run");
    fake_add_header(request, "Retry-After", "1");
    fake_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "declined");
}

static bool
take_fault(struct engine *e)
{
    if (e->silent_after_tokens == NO_FAULT &&
        e->break_after_tokens == NO_FAULT) {
        return false;
    }
    if (e->fault_calls > 0) {
        e->fault_calls--;
        return true;
    }
    return e->fault_calls == NO_FAULT;
}

static void
add_call(struct engine *e, struct fake_request *request)
{
    const char *priority = fake_request_header(request, "X-Priority");
    const char *resume_header = fake_request_header(request, "X-Resume-From");
    int64_t limit = fake_json_int(request->json, "max_tokens", 0);
    struct call *call;

    ct_table_add(&e->calls, &request->call);
    call = ct_table_get(&e->calls, request->call);
    call->request = request->handle;
    g_strlcpy(call->id, request->request_id, sizeof(call->id));
    call->state = CALL_WAITING;
    call->priority = priority ? g_ascii_strtoll(priority, NULL, 10) : 0;
    call->resume_offset =
        resume_header ? g_ascii_strtoll(resume_header, NULL, 10) : 0;
    call->arrival = e->arrivals++;
    call->stream = fake_json_int(request->json, "stream", 0) != 0;
    call->tokens = limit > 0 ? MIN(limit, e->tokens) : e->tokens;
    call->prompt_tokens = (int64_t)request->body->len / BYTES_PER_TOKEN;
    call->faulty = take_fault(e);
    e->waiting++;
    engine_sample_load(e);
}

static void
handle_completion(struct engine *e, struct fake_request *request)
{
    log_received(e, request);
    if (e->close_after_read) {
        fake_abort(request);
        return;
    }
    fake_add_header(request, "X-Request-Id",
                    e->wrong_id ? "another-request" : request->request_id);
    if (e->decline || e->waiting >= QUEUE_MAX) {
        decline_call(request);
        return;
    }
    if (!request->json) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "json");
        return;
    }
    add_call(e, request);
    run_batch(e);
}

static void
handle_cancel(struct engine *e, struct fake_request *request)
{
    const char *id = fake_json_text(request->json, "request_id");
    struct ct_handle handle;
    struct call *call;
    uint32_t cursor = 0;

    while ((call = ct_table_next(&e->calls, &cursor, &handle))) {
        if (strcmp(call->id, id) == 0) {
            struct fake_request *other_request =
                fake_find_request(&e->server, call->request);

            other_request->call = CT_NO_HANDLE;
            end_call(e, handle, "cancelled");
            fake_abort(other_request);
        }
    }
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
    run_batch(e);
}

static void
handle_order(struct engine *e, struct fake_request *request)
{
    int64_t term = fake_json_int(request->json, "term", 0);
    bool stale = e->checks_fencing && term < e->newest_term;
    JsonObject *entry = fake_new_entry("order");

    json_object_set_int_member(entry, "order_id",
                               fake_json_int(request->json, "order_id", 0));
    json_object_set_int_member(entry, "term", term);
    json_object_set_string_member(entry, "kind",
                                  fake_json_text(request->json, "kind"));
    json_object_set_int_member(entry, "connected_ms", request->connected_ms);
    json_object_set_boolean_member(entry, "refused", stale);
    fake_log_entry(&e->server, entry);
    e->newest_term = MAX(e->newest_term, term);
    if (stale) {
        fake_reply_error(request, MHD_HTTP_CONFLICT, "old-term");
        return;
    }
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle_request(struct fake_server *server, struct fake_request *request)
{
    static const struct {
        const char *path;
        void (*call)(struct engine *e, struct fake_request *request);
    } routes[] = {
        {"/v1/chat/completions", handle_completion},
        {"/cancel", handle_cancel},
        {"/load", engine_reply_load},
        {"/cache/events", engine_reply_cache},
        {"/orders", handle_order},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].path, request->path) == 0) {
            routes[i].call((struct engine *)server, request);
            return;
        }
    }
    fake_reply_error(request, MHD_HTTP_NOT_FOUND, "path");
}

static void
on_request_ended(struct fake_server *server, struct fake_request *request)
{
    struct engine *e = (struct engine *)server;

    if (ct_table_get(&e->calls, request->call)) {
        end_call(e, request->call, "left");
        run_batch(e);
    }
}

static void
on_settings_changed(struct fake_server *server)
{
    struct engine *e = (struct engine *)server;

    if (e->stall_ms > 0) {
        e->stalled_until_ms = fake_now_ms() + e->stall_ms;
        e->stall_ms = 0;
    }
    run_batch(e);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {handle_request, on_request_ended,
                                        on_settings_changed};
    static struct engine e = {.slots = SLOTS_DEFAULT,
                              .tokens = TOKENS_DEFAULT,
                              .cache_lag_ms = CACHE_LAG_DEFAULT_MS,
                              .silent_after_tokens = NO_FAULT,
                              .break_after_tokens = NO_FAULT,
                              .fault_calls = NO_FAULT};
    const struct fake_setting settings[] = {
        {"slots", &e.slots},
        {"token_ms", &e.token_ms},
        {"first_token_ms", &e.first_token_ms},
        {"tokens", &e.tokens},
        {"silent_after_tokens", &e.silent_after_tokens},
        {"break_after_tokens", &e.break_after_tokens},
        {"fault_calls", &e.fault_calls},
        {"stall_ms", &e.stall_ms},
        {"decline", &e.decline},
        {"wrong_id", &e.wrong_id},
        {"load_age_ms", &e.load_age_ms},
        {"cache_lag_ms", &e.cache_lag_ms},
        {"close_after_read", &e.close_after_read},
        {"checks_fencing", &e.checks_fencing},
        {NULL, NULL}};

    e.server.ops = &ops;
    e.server.settings = settings;
    ct_table_init(&e.calls, sizeof(struct call), 0, NULL);
    engine_init_reports(&e);
    ev_timer_init(&e.tick, on_tick, 0, 0);
    e.tick.data = &e;
    return fake_main(&e.server, argc, (const char **)argv, NULL);
}
