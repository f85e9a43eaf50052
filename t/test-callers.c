/* Tests of callers.h: good and bad requests over real sockets. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "callers.h"
#include "lib-client.h"
#include "lib-script.h"

#define HEAD_BYTES 4096
#define BODY_BYTES 8192
#define CHAT "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
#define KEYED CHAT "Authorization: Bearer key\r\n"
#define BODY                                                                  \
    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
#define WHOLE KEYED "Content-Length: 56\r\n\r\n" BODY
#define LOOKUP "GET /stock?item=3 HTTP/1.1\r\nHost: h\r\n"
#define IDLE_CONNECTIONS 1000

static const struct ct_handle request = {5, 1};

struct fixture {
    struct script *script;
    struct ct_answers *answers;
    struct ct_callers *callers;
};

static void
add_write(struct ct_effects *effects, enum ct_effect_type type,
          const struct ct_event *event, uint32_t bytes, bool stream,
          bool whole)
{
    struct ct_write_effect *write = &ct_effects_add(effects, type)->u.write;

    write->caller = event->u.call.caller;
    write->request = request;
    write->request_id = event->u.call.request_id;
    write->status = 200;
    write->stream = stream;
    write->bytes = bytes;
    write->whole = whole;
    write->reason = CT_REFUSAL_UPSTREAM_SILENT;
}

static void
add_refusal(struct ct_effects *effects, uint64_t caller,
            enum ct_refusal reason)
{
    struct ct_effect *effect = ct_effects_add(effects, CT_EFFECT_REFUSE);

    effect->u.refuse.caller = caller;
    effect->u.refuse.reason = reason;
    effect->u.refuse.run_state = CT_NOT_RUN;
    effect->u.refuse.retry_after_ms = 1500;
}

/* Refuses what the front end rejected or what has no key; else waits. */
static void
react(struct script *script, const struct ct_event *event,
      struct ct_effects *effects)
{
    struct ct_effect *effect;

    (void)script;
    switch (event->type) {
    case CT_EVENT_CALL_REJECTED:
        add_refusal(effects, event->u.rejected.caller,
                    event->u.rejected.reason);
        break;
    case CT_EVENT_CALL_ARRIVED:
        if (!event->u.call.has_key) {
            add_refusal(effects, event->u.call.caller, CT_REFUSAL_NO_KEY);
        }
        break;
    case CT_EVENT_ANSWER_ASKED:
        effect = ct_effects_add(effects, CT_EFFECT_REDIRECT);
        effect->u.redirect.caller = event->u.answer_ask.caller;
        effect->u.redirect.offset = event->u.answer_ask.offset;
        effect->u.redirect.request_id = event->u.answer_ask.request_id;
        CT_TEXT_SET(effect->u.redirect.address, "127.0.0.2:80");
        break;
    case CT_EVENT_ADDRESSES_ASKED:
        effect = ct_effects_add(effects, CT_EFFECT_REPLY_ADDRESSES);
        effect->u.addresses.caller = event->u.caller;
        effect->u.addresses.lifetime_ms = 9000;
        break;
    default:
        break;
    }
}

/* Answers each call at once with the stored four bytes. */
static void
react_whole(struct script *script, const struct ct_event *event,
            struct ct_effects *effects)
{
    (void)script;
    if (event->type == CT_EVENT_CALL_ARRIVED) {
        add_write(effects, CT_EFFECT_WRITE_HEAD, event, 0, false, true);
        add_write(effects, CT_EFFECT_WRITE_DATA, event, 4, false, true);
        add_write(effects, CT_EFFECT_WRITE_END, event, 0, false, true);
    }
}

static void
react_stream(struct script *script, const struct ct_event *event,
             struct ct_effects *effects)
{
    (void)script;
    if (event->type == CT_EVENT_CALL_ARRIVED) {
        add_write(effects, CT_EFFECT_WRITE_HEAD, event, 0, true, true);
        add_write(effects, CT_EFFECT_WRITE_DATA, event, 4, true, true);
    }
}

static void
set_up(struct fixture *f, ct_ms idle_timeout_ms)
{
    const struct ct_caller_limits limits = {
        .max_connections = IDLE_CONNECTIONS + 10,
        .head_bytes = HEAD_BYTES,
        .body_bytes = BODY_BYTES,
        .idle_timeout_ms = idle_timeout_ms,
    };
    struct ct_handle attempt = {1, 1};

    f->script = script_new();
    f->script->react = react;
    f->answers = ct_answers_new();
    ct_loop_add(f->script->loop, ct_answers_executor(f->answers));
    g_assert_cmpint(ct_callers_new(f->script->loop, f->answers, "127.0.0.1:0",
                                   &limits, &f->callers),
                    ==, 0);
    ct_loop_add(f->script->loop, ct_callers_executor(f->callers));
    ct_answers_body(f->answers, request, 0);
    ct_answers_begin(f->answers, request, attempt, 0);
    ct_answers_append(f->answers, request, attempt, "abcd", 4);
}

static void
tear_down(struct fixture *f)
{
    ct_loop_free(f->script->loop);
    script_free(f->script);
}

static const struct refusal_case {
    const char *what;
    const char *text;
    /* Filler after the text: count of bytes. */
    guint filler;
    const char *end;
    int status;
    const char *type;
} refusal_cases[] = {
    {"no key", CHAT "Content-Length: 56\r\n\r\n" BODY, 0, "", 401, "no-key"},
    {"key of another scheme",
     CHAT "Authorization: Basic key\r\nContent-Length: 56\r\n\r\n" BODY, 0, "",
     401, "no-key"},
    {"broken JSON", KEYED "Content-Length: 9\r\n\r\n{\"model\":", 0, "", 400,
     "bad-request"},
    {"unknown method", "BREW /stock HTTP/1.1\r\nHost: h\r\n\r\n", 0, "", 400,
     "bad-request"},
    {"no body", KEYED "\r\n", 0, "", 400, "bad-request"},
    {"idempotency key of no known form",
     KEYED "Idempotency-Key: 1\r\nContent-Length: 56\r\n\r\n" BODY, 0, "", 400,
     "bad-request"},
    {"oversize head", KEYED "X: ", HEAD_BYTES, "\r\n\r\n", 413, "too-large"},
    {"oversize body", KEYED "Content-Length: 8193\r\n\r\n", 0, "", 413,
     "too-large"},
    {"oversize chunked body",
     KEYED "Transfer-Encoding: chunked\r\n\r\n2001\r\n", BODY_BYTES + 1,
     "\r\n0\r\n\r\n", 413, "too-large"},
    {"overlong path", "GET /", CT_PATH_MAX, " HTTP/1.1\r\nHost: h\r\n\r\n",
     404, "route-unknown"},
    {"bad offset", "GET /v1/answers/1?offset=-1 HTTP/1.1\r\nHost: h\r\n\r\n",
     0, "", 400, "bad-request"},
    {"overlong request id", "GET /v1/answers/", CT_REQUEST_ID_MAX,
     " HTTP/1.1\r\nHost: h\r\n\r\n", 400, "bad-request"},
    {"half a head", CHAT "Authoriz", 0, "", 408, "request-timeout"},
    {"half a request line", "POST /v1/ch", 0, "", 408, "request-timeout"},
    {"half a body", KEYED "Content-Length: 56\r\n\r\n{", 0, "", 408,
     "request-timeout"},
};

static void
test_refusal(gconstpointer arg)
{
    const struct refusal_case *c = arg;
    struct fixture f;
    struct client client;
    char *filler = g_strnfill(c->filler, 'x');
    char *line = g_strdup_printf("HTTP/1.1 %d ", c->status);
    char *header = g_strdup_printf("X-Refusal: %s\r\n", c->type);
    char *body = g_strdup_printf(
        "{\"error\":{\"type\":\"%s\",\"run_state\":\"not-run\"", c->type);

    set_up(&f, c->status == 408 ? 100 : 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, c->text);
    client_send(&client, filler);
    client_send(&client, c->end);
    client_await(f.script, &client, "}}");
    g_assert_true(g_str_has_prefix(client.in->str, line));
    g_assert_nonnull(strstr(client.in->str, header));
    g_assert_nonnull(strstr(client.in->str, "X-Run-State: not-run\r\n"));
    g_assert_nonnull(strstr(client.in->str, "X-Request-Id: "));
    g_assert_nonnull(strstr(client.in->str, body));
    client_close(&client);
    tear_down(&f);
    g_free(filler);
    g_free(line);
    g_free(header);
    g_free(body);
}

/* What libmicrohttpd refuses by itself: closed, and nothing is begun. */
static void
test_no_http(void)
{
    static const char *const texts[] = {
        "hello\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        KEYED "Content-Length: x\r\n\r\n",
        "\x16\x03\x01\x02\x03\r\n\r\n",
    };
    struct client client;
    struct fixture f;

    set_up(&f, 200);
    for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
        client_open(ct_callers_port(f.callers), &client);
        client_send(&client, texts[i]);
        client_await(f.script, &client, NULL);
        client_close(&client);
    }
    client_open(ct_callers_port(f.callers), &client);
    for (guint i = 0; i < 1000; i++) {
        (void)!send(client.fd, "X: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 34,
                    MSG_NOSIGNAL);
    }
    client_await(f.script, &client, NULL);
    client_close(&client);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_ARRIVED), ==, 0);
    tear_down(&f);
}

static void
test_event(void)
{
    static const char key_digest[] = "2c70e12b7a0646f92279f427c7b38e73"
                                     "34d8e5389cff167a1dc30e73f826b683";
    struct fixture f;
    struct client client;
    const struct ct_call *call;
    struct ct_stored_call *stored;
    GString *hex = g_string_new(NULL);

    set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, LOOKUP
                "Authorization: bearer key\r\nCookie: secret\r\n"
                "Idempotency-Key: 01234567-89ab-7fff-bfff-ffffffffffff\r\n"
                "\r\n");
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 1);
    call = &script_last(f.script, CT_EVENT_CALL_ARRIVED)->u.call;
    g_assert_cmpint(call->kind, ==, CT_CALL_PLAIN);
    g_assert_cmpstr(call->path.text, ==, "/stock");
    g_assert_true(call->has_key && call->has_idempotency_key);
    g_assert_cmpint(call->idempotency_wall_ms, ==, INT64_C(0x0123456789ab));
    for (int i = 0; i < CT_DIGEST_BYTES; i++) {
        g_string_append_printf(hex, "%02x", call->key.bytes[i]);
    }
    g_assert_cmpstr(hex->str, ==, key_digest);
    stored = ct_answers_body(f.answers, request, call->caller);
    g_assert_cmpstr(stored->method, ==, "GET");
    g_assert_cmpstr(stored->query, ==, "item=3");
    g_string_free(hex, TRUE);
    client_close(&client);
    tear_down(&f);
}

static void
test_whole_answers_pipelined(void)
{
    struct fixture f;
    struct client client;
    const char *first;

    set_up(&f, 30000);
    f.script->react = react_whole;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE WHOLE LOOKUP "Authorization: Bearer key\r\n"
                                            "Connection: close\r\n\r\n");
    client_await(f.script, &client, NULL);
    first = strstr(client.in->str, "\r\n\r\nabcdHTTP/1.1 200 OK");
    g_assert_nonnull(first);
    g_assert_nonnull(strstr(first + 1, "\r\n\r\nabcdHTTP/1.1 200 OK"));
    g_assert_true(g_str_has_suffix(client.in->str, "\r\n\r\nabcd"));
    g_assert_cmpuint(ct_callers_requests(f.callers), ==, 0);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_GONE), ==, 0);
    client_close(&client);
    tear_down(&f);
}

static void
run_write(struct fixture *f, bool stream, bool whole)
{
    struct ct_executor *executor = ct_callers_executor(f->callers);
    struct ct_effects effects;

    ct_effects_init(&effects);
    add_write(&effects, CT_EFFECT_WRITE_END,
              script_last(f->script, CT_EVENT_CALL_ARRIVED), 0, stream, whole);
    executor->ops->run(executor, &effects.items[0]);
    ct_effects_free(&effects);
}

static void
test_stream_end(gconstpointer arg)
{
    bool whole = arg != NULL;
    struct ct_effect drop = {.type = CT_EFFECT_DROP_ANSWER};
    struct ct_executor *store;
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    f.script->react = react_stream;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    run_write(&f, true, whole);
    /* The reducer may forget the answer before all of it was written. */
    drop.u.request = request;
    store = ct_answers_executor(f.answers);
    store->ops->run(store, &drop);
    if (whole) {
        client_await(f.script, &client, "\r\n0\r\n\r\n");
        g_assert_null(strstr(client.in->str, "error"));
    }
    else {
        client_await(f.script, &client, NULL);
        g_assert_nonnull(strstr(client.in->str,
                                "\n\nevent: error\ndata: "
                                "{\"error\":{\"type\":\"upstream-silent\","
                                "\"run_state\":\"may-have-run\""));
        g_assert_null(strstr(client.in->str, "\r\n0\r\n"));
    }
    client_close(&client);
    tear_down(&f);
}

/* An answer that is not streamed is a refusal where it is not whole. */
static void
test_broken_answer(void)
{
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 1);
    run_write(&f, false, false);
    client_await(f.script, &client, "}}");
    g_assert_true(g_str_has_prefix(client.in->str, "HTTP/1.1 504 "));
    g_assert_nonnull(strstr(client.in->str, "X-Run-State: may-have-run\r\n"));
    client_close(&client);
    tear_down(&f);
}

static void
test_gone_waiting(void)
{
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 1);
    client_close(&client);
    script_wait(f.script, CT_EVENT_CALL_GONE, 1);
    /* With another request behind the one that waits. */
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE WHOLE);
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 2);
    client_close(&client);
    script_wait(f.script, CT_EVENT_CALL_GONE, 2);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_ARRIVED), ==, 2);
    tear_down(&f);
}

static void
test_gone_in_stream(void)
{
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    f.script->react = react_stream;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    client_close(&client);
    script_wait(f.script, CT_EVENT_CALL_GONE, 1);
    /* Effects for a caller who is gone do nothing. */
    run_write(&f, true, true);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_GONE), ==, 1);
    tear_down(&f);
}

static void
test_replies(void)
{
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, "GET /v1/addresses HTTP/1.1\r\nHost: h\r\n\r\n");
    client_await(f.script, &client, "{\"lifetime_ms\":9000,\"addresses\":[]}");
    client_send(&client, "GET /v1/answers/some-id?offset=12 HTTP/1.1\r\n"
                         "Host: h\r\n\r\n");
    client_await(
        f.script, &client,
        "Location: http://127.0.0.2:80/v1/answers/some-id?offset=12\r\n");
    g_assert_nonnull(strstr(client.in->str, "HTTP/1.1 307 "));
    client_close(&client);
    tear_down(&f);
}

static bool
all_connected(void *arg)
{
    return ct_callers_connections(arg) == IDLE_CONNECTIONS;
}

static void
test_idle_connections(void)
{
    static struct client idle[IDLE_CONNECTIONS];
    struct client *last = &idle[IDLE_CONNECTIONS - 1];
    struct rlimit files;
    struct fixture f;

    g_assert_no_errno(getrlimit(RLIMIT_NOFILE, &files));
    files.rlim_cur = files.rlim_max;
    g_assert_no_errno(setrlimit(RLIMIT_NOFILE, &files));
    set_up(&f, 600000);
    f.script->react = react_whole;
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        client_open(ct_callers_port(f.callers), &idle[i]);
    }
    script_wait_for(f.script, all_connected, f.callers);
    client_send(last, WHOLE);
    client_await(f.script, last, "\r\n\r\nabcd");
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        client_close(&idle[i]);
    }
    tear_down(&f);
}

/* A connection on which nothing was begun ends without a refusal. */
static void
test_idle_end(void)
{
    struct fixture f;
    struct client client;

    set_up(&f, 100);
    client_open(ct_callers_port(f.callers), &client);
    client_await(f.script, &client, NULL);
    g_assert_cmpstr(client.in->str, ==, "");
    client_close(&client);
    f.script->react = react_whole;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, NULL);
    g_assert_true(g_str_has_suffix(client.in->str, "\r\n\r\nabcd"));
    client_close(&client);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_REJECTED), ==, 0);
    tear_down(&f);
}

static void
on_finished(void *arg)
{
    *(bool *)arg = true;
}

static bool
is_set(void *arg)
{
    return *(bool *)arg;
}

static bool
two_requests(void *arg)
{
    return ct_callers_requests(arg) == 2;
}

/* The end of a drain waits for what is still being written. */
static void
test_finish(void)
{
    bool finished = false;
    struct fixture f;
    struct client client;
    struct client half;

    set_up(&f, 30000);
    f.script->react = react_stream;
    client_open(ct_callers_port(f.callers), &half);
    client_send(&half, KEYED "Content-Length: 56\r\n\r\n{");
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    script_wait_for(f.script, two_requests, f.callers);
    f.script->react = react;
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_await(f.script, &half, "X-Refusal: draining\r\n");
    client_close(&half);
    run_write(&f, true, true);
    script_wait_for(f.script, is_set, &finished);
    client_await(f.script, &client, "\r\n0\r\n\r\n");
    client_close(&client);
    tear_down(&f);
}

/* What the kernel took before the end of a drain is read and answered. */
static void
test_finish_taken(void)
{
    bool finished = false;
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, CHAT "Content-Length: 56\r\n\r\n" BODY);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_await(f.script, &client, "X-Refusal: no-key\r\n");
    client_close(&client);
    script_wait_for(f.script, is_set, &finished);
    tear_down(&f);
}

/* A connection on which nothing comes does not hold up the end. */
static void
test_finish_silent(void)
{
    bool finished = false;
    struct fixture f;
    struct client client;

    set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    script_wait_for(f.script, is_set, &finished);
    client_close(&client);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    g_assert_cmpuint(strlen(BODY), ==, 56);
    for (guint i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
        char *path =
            g_strdup_printf("/callers/refusal/%s", refusal_cases[i].what);

        g_test_add_data_func(path, &refusal_cases[i], test_refusal);
        g_free(path);
    }
    g_test_add_func("/callers/no-http", test_no_http);
    g_test_add_func("/callers/event", test_event);
    g_test_add_func("/callers/pipelined", test_whole_answers_pipelined);
    g_test_add_data_func("/callers/stream-whole", "whole", test_stream_end);
    g_test_add_data_func("/callers/stream-broken", NULL, test_stream_end);
    g_test_add_func("/callers/broken-answer", test_broken_answer);
    g_test_add_func("/callers/gone-waiting", test_gone_waiting);
    g_test_add_func("/callers/gone-in-stream", test_gone_in_stream);
    g_test_add_func("/callers/replies", test_replies);
    g_test_add_func("/callers/idle-connections", test_idle_connections);
    g_test_add_func("/callers/idle-end", test_idle_end);
    g_test_add_func("/callers/finish", test_finish);
    g_test_add_func("/callers/finish-taken", test_finish_taken);
    g_test_add_func("/callers/finish-silent", test_finish_silent);
    return g_test_run();
}
