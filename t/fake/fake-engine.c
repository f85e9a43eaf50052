/*
 * Stand-in of a model engine: batches continuously, serves its queue by
 * priority, resumes and cancels streams, reports its load with a lag and its
 * cache events late and with gaps. The answer is a function of the request
 * id, so that a resumed stream continues what another engine began.
 */
#include "fake-http.h"

#include <stdlib.h>
#include <string.h>

/* Each further request in the batch slows a token by this part of 100. */
#define BATCH_SLOWDOWN_PERCENT 2
#define LOAD_SAMPLES 64
#define LOAD_SAMPLE_S 0.05
#define PRIORITY_LOWEST 3
/* Every so many cache events one is left out. */
#define CACHE_GAP 5

struct job {
    struct ct_handle handle;
    struct ct_handle request;
    char request_id[FAKE_ID_MAX];
    bool stream;
    bool running;
    int64_t priority;
    uint64_t order;
    int64_t tokens;
    /* Tokens of which all bytes were written. */
    int64_t written;
    /* Bytes still to skip: the caller of a resumed stream has them. */
    int64_t skip;
    int64_t prompt_tokens;
    struct ev_timer timer;
    struct engine *engine;
};

struct load_sample {
    ct_ms at_ms;
    int64_t running;
    int64_t waiting;
};

struct engine {
    struct fake_server server;
    int64_t token_ms;
    int64_t first_token_ms;
    int64_t tokens;
    int64_t slots;
    int64_t silent_after_tokens;
    int64_t break_after_tokens;
    int64_t stall_ms;
    int64_t decline;
    int64_t wrong_id;
    int64_t load_age_ms;
    int64_t close_after_read;
    int64_t checks_fencing;
    struct ct_table jobs;
    int64_t running;
    int64_t waiting;
    uint64_t next_order;
    int64_t newest_term;
    int64_t cache_seq;
    GPtrArray *cache;
    struct load_sample samples[LOAD_SAMPLES];
    uint32_t next_sample;
    struct ev_timer sampler;
};

static void start_waiting(struct engine *engine);

static enum MHD_Result
add_header(void *cls, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
    (void)kind;
    json_object_set_string_member(cls, name, value ? value : "");
    return MHD_YES;
}

static void
log_job(struct engine *engine, const struct job *job, const char *what,
        const struct fake_request *request)
{
    JsonObject *entry = fake_entry(what);

    json_object_set_string_member(entry, "request_id", job->request_id);
    json_object_set_int_member(entry, "tokens", job->written);
    if (request) {
        JsonObject *headers = json_object_new();

        MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
                                  add_header, headers);
        json_object_set_object_member(entry, "headers", headers);
        json_object_set_int_member(entry, "resume_from", job->skip);
        json_object_set_int_member(entry, "priority", job->priority);
        json_object_set_string_member(entry, "body", request->body->str);
    }
    fake_log(&engine->server, entry);
}

static void
note_cache(struct engine *engine, const char *request_id)
{
    JsonObject *event;

    if (++engine->cache_seq % CACHE_GAP == 0) {
        return;
    }
    event = json_object_new();
    json_object_set_int_member(event, "seq", engine->cache_seq);
    json_object_set_string_member(event, "prefix", request_id);
    json_object_set_string_member(event, "kind", "stored");
    g_ptr_array_add(engine->cache, event);
}

/* The bytes of one event of the stream; the last one ends it. */
static char *
event_text(const struct job *job, int64_t n)
{
    if (n < job->tokens) {
        return g_strdup_printf(
            "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":"
            "{\"content\":\"w%u-%" G_GINT64_FORMAT " \"}%s}]}\n\n",
            job->request_id, g_str_hash(job->request_id) % 10000, n,
            n == job->tokens - 1 ? ",\"finish_reason\":\"stop\"" : "");
    }
    return g_strdup_printf(
        "data: {\"id\":\"%s\",\"choices\":[],\"usage\":{\"prompt_tokens\":"
        "%" G_GINT64_FORMAT ",\"completion_tokens\":%" G_GINT64_FORMAT
        "}}\n\ndata: [DONE]\n\n",
        job->request_id, job->prompt_tokens, job->tokens);
}

static void
write_event(struct fake_request *request, struct job *job, int64_t n)
{
    char *text = event_text(job, n);
    int64_t length = (int64_t)strlen(text);

    if (job->skip < length) {
        fake_stream_write(request, text + job->skip,
                          (size_t)(length - job->skip));
        job->skip = 0;
    }
    else {
        job->skip -= length;
    }
    g_free(text);
}

static void
reply_whole(struct fake_request *request, const struct job *job)
{
    GString *content = g_string_new(NULL);
    char *text;

    for (int64_t n = 0; n < job->tokens; n++) {
        g_string_append_printf(content, "w%u-%" G_GINT64_FORMAT " ",
                               g_str_hash(job->request_id) % 10000, n);
    }
    text = g_strdup_printf(
        "{\"id\":\"%s\",\"choices\":[{\"index\":0,\"message\":{\"role\":"
        "\"assistant\",\"content\":\"%s\"},\"finish_reason\":\"stop\"}],"
        "\"usage\":{\"prompt_tokens\":%" G_GINT64_FORMAT
        ",\"completion_tokens\":%" G_GINT64_FORMAT "}}",
        job->request_id, content->str, job->prompt_tokens, job->tokens);
    fake_reply_text(request, MHD_HTTP_OK, text, 0);
    g_free(text);
    g_string_free(content, TRUE);
}

/* Takes a job out of the batch or the queue. */
static void
end_job(struct engine *engine, struct job *job, const char *how)
{
    log_job(engine, job, how, NULL);
    ev_timer_stop(engine->server.loop, &job->timer);
    if (job->running) {
        engine->running--;
    }
    else {
        engine->waiting--;
    }
    ct_table_unref(&engine->jobs, job->handle);
    start_waiting(engine);
}

static double
token_s(const struct engine *engine)
{
    int64_t percent = 100 + (engine->running - 1) * BATCH_SLOWDOWN_PERCENT;

    return (double)(engine->token_ms * percent / 100 + engine->stall_ms) /
           1000;
}

static void
finish(struct engine *engine, struct job *job, struct fake_request *request)
{
    if (job->stream) {
        write_event(request, job, job->tokens);
        fake_stream_end(request);
    }
    else {
        reply_whole(request, job);
    }
    note_cache(engine, job->request_id);
    end_job(engine, job, "end");
}

static void
on_token(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct job *job = timer->data;
    struct engine *engine = job->engine;
    struct fake_request *request = fake_get(&engine->server, job->request);

    (void)events;
    if (!request) {
        end_job(engine, job, "gone");
        return;
    }
    if (engine->silent_after_tokens &&
        job->written >= engine->silent_after_tokens) {
        ev_timer_stop(loop, timer);
        log_job(engine, job, "silent", NULL);
        return;
    }
    if (engine->break_after_tokens &&
        job->written >= engine->break_after_tokens) {
        fake_break(request);
        end_job(engine, job, "broken");
        return;
    }
    if (job->stream && job->written == 0 && !request->stream) {
        fake_stream_begin(request);
    }
    if (job->stream) {
        write_event(request, job, job->written);
    }
    job->written++;
    if (job->written >= job->tokens) {
        finish(engine, job, request);
        return;
    }
    timer->repeat = token_s(engine);
    ev_timer_again(loop, timer);
}

static struct job *
next_waiting(struct engine *engine)
{
    struct job *best = NULL;
    struct job *job;
    uint32_t cursor = 0;

    while ((job = ct_table_next(&engine->jobs, &cursor, NULL))) {
        if (job->running) {
            continue;
        }
        if (!best || job->priority < best->priority ||
            (job->priority == best->priority && job->order < best->order)) {
            best = job;
        }
    }
    return best;
}

static void
start_waiting(struct engine *engine)
{
    struct job *job;

    while (engine->running < engine->slots &&
           (job = next_waiting(engine)) != NULL) {
        job->running = true;
        engine->running++;
        engine->waiting--;
        ev_timer_init(&job->timer, on_token,
                      (double)engine->first_token_ms / 1000, 0);
        job->timer.data = job;
        ev_timer_start(engine->server.loop, &job->timer);
    }
}

static bool
declines(struct engine *engine, struct fake_request *request)
{
    if (!engine->decline) {
        return false;
    }
    fake_header(request, "X-Run-State", "not-run");
    fake_header(request, "Retry-After", "1");
    fake_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE, "declined");
    return true;
}

static int64_t
header_int(const struct fake_request *request, const char *name,
           int64_t missing)
{
    const char *text = fake_request_header(request, name);

    return text ? g_ascii_strtoll(text, NULL, 10) : missing;
}

static struct job *
add_job(struct engine *engine, struct fake_request *request)
{
    int64_t max = fake_json_int(request->json, "max_tokens", 0);
    struct ct_handle handle;
    struct job *job;

    ct_table_add(&engine->jobs, &handle);
    job = ct_table_get(&engine->jobs, handle);
    job->handle = handle;
    job->engine = engine;
    job->request = request->handle;
    g_strlcpy(job->request_id, request->request_id, sizeof(job->request_id));
    job->stream = fake_json_int(request->json, "stream", 0) != 0;
    job->tokens = max > 0 ? MIN(max, engine->tokens) : engine->tokens;
    job->priority = header_int(request, "X-Priority", PRIORITY_LOWEST);
    job->skip = header_int(request, "X-Resume-From", 0);
    job->prompt_tokens = (int64_t)request->body->len / 4;
    job->order = engine->next_order++;
    engine->waiting++;
    return job;
}

static void
on_chat(struct engine *engine, struct fake_request *request)
{
    struct job *job;

    if (!request->json) {
        fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "json");
        return;
    }
    fake_header(request, "X-Request-Id",
                engine->wrong_id ? "another-request" : request->request_id);
    if (declines(engine, request)) {
        return;
    }
    job = add_job(engine, request);
    request->row = job->handle;
    log_job(engine, job, "start", request);
    if (engine->close_after_read) {
        fake_break(request);
        end_job(engine, job, "closed");
        return;
    }
    start_waiting(engine);
}

static void
on_cancel(struct engine *engine, struct fake_request *request)
{
    const char *id = fake_json_text(request->json, "request_id");
    uint32_t cursor = 0;
    struct job *job;

    while ((job = ct_table_next(&engine->jobs, &cursor, NULL))) {
        if (strcmp(job->request_id, id) == 0) {
            struct fake_request *stream =
                fake_get(&engine->server, job->request);

            if (stream) {
                fake_break(stream);
            }
            end_job(engine, job, "cancelled");
        }
    }
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

/* The newest sample that is old enough. */
static void
on_load(struct engine *engine, struct fake_request *request)
{
    const struct load_sample *best = NULL;
    ct_ms now_ms = fake_now_ms();
    JsonObject *object = json_object_new();

    for (int i = 0; i < LOAD_SAMPLES; i++) {
        const struct load_sample *sample = &engine->samples[i];

        if (sample->at_ms && now_ms - sample->at_ms >= engine->load_age_ms &&
            (!best || sample->at_ms > best->at_ms)) {
            best = sample;
        }
    }
    json_object_set_int_member(object, "running", best ? best->running : 0);
    json_object_set_int_member(object, "waiting", best ? best->waiting : 0);
    json_object_set_int_member(object, "age_ms",
                               best ? now_ms - best->at_ms : 0);
    fake_reply(request, MHD_HTTP_OK, object, 0);
}

static void
on_sample(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct engine *engine = timer->data;

    (void)loop;
    (void)events;
    engine->samples[engine->next_sample] =
        (struct load_sample){fake_now_ms(), engine->running, engine->waiting};
    engine->next_sample = (engine->next_sample + 1) % LOAD_SAMPLES;
}

static void
on_cache_events(struct engine *engine, struct fake_request *request)
{
    int64_t from = fake_query(request, "from", 0);
    JsonObject *object = json_object_new();
    JsonArray *events = json_array_new();

    for (guint i = 0; i < engine->cache->len; i++) {
        JsonObject *event = g_ptr_array_index(engine->cache, i);

        if (fake_json_int(event, "seq", 0) >= from) {
            json_array_add_object_element(events, json_object_ref(event));
        }
    }
    json_object_set_array_member(object, "events", events);
    fake_reply(request, MHD_HTTP_OK, object, 0);
}

static void
on_order(struct engine *engine, struct fake_request *request)
{
    int64_t term = fake_json_int(request->json, "term", 0);
    JsonObject *entry;

    if (engine->checks_fencing && term < engine->newest_term) {
        fake_reply_error(request, MHD_HTTP_CONFLICT, "old-term");
        return;
    }
    engine->newest_term = MAX(engine->newest_term, term);
    entry = fake_entry("order");
    json_object_set_int_member(entry, "term", term);
    fake_log(&engine->server, entry);
    fake_reply(request, MHD_HTTP_OK, NULL, 0);
}

static void
handle(struct fake_server *server, struct fake_request *request)
{
    struct engine *engine = (struct engine *)server;

    if (strcmp(request->path, "/load") == 0) {
        on_load(engine, request);
    }
    else if (strcmp(request->path, "/cancel") == 0) {
        on_cancel(engine, request);
    }
    else if (strcmp(request->path, "/cache/events") == 0) {
        on_cache_events(engine, request);
    }
    else if (strcmp(request->path, "/orders") == 0) {
        on_order(engine, request);
    }
    else {
        on_chat(engine, request);
    }
}

static void
gone(struct fake_server *server, struct fake_request *request)
{
    struct engine *engine = (struct engine *)server;
    struct job *job = ct_table_get(&engine->jobs, request->row);

    if (job) {
        end_job(engine, job, "gone");
    }
}

/* Runs in the loop's first turn, when the server is up. */
static void
start_sampler(struct engine *engine)
{
    ev_timer_init(&engine->sampler, on_sample, 0, LOAD_SAMPLE_S);
    engine->sampler.data = engine;
    ev_timer_start(EV_DEFAULT, &engine->sampler);
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle, .gone = gone};
    static struct engine engine = {
        .token_ms = 10, .first_token_ms = 20, .tokens = 20, .slots = 8};
    const struct fake_setting settings[] = {
        {"token_ms", &engine.token_ms},
        {"first_token_ms", &engine.first_token_ms},
        {"tokens", &engine.tokens},
        {"slots", &engine.slots},
        {"silent_after_tokens", &engine.silent_after_tokens},
        {"break_after_tokens", &engine.break_after_tokens},
        {"stall_ms", &engine.stall_ms},
        {"decline", &engine.decline},
        {"wrong_id", &engine.wrong_id},
        {"load_age_ms", &engine.load_age_ms},
        {"close_after_read", &engine.close_after_read},
        {"checks_fencing", &engine.checks_fencing},
        {NULL, NULL}};

    engine.server.ops = &ops;
    engine.server.settings = settings;
    ct_table_init(&engine.jobs, sizeof(struct job), 0, NULL);
    engine.cache =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_object_unref);
    start_sampler(&engine);
    return fake_main(&engine.server, argc, (const char **)argv, NULL);
}
