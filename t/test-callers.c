/* Tests of callers.h: good and bad requests over real sockets. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "lib-callers.h"

static const struct ct_handle request = CALLERS_REQUEST;

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
    struct callers_fixture f;
    struct client client;
    char *filler = g_strnfill(c->filler, 'x');
    char *line = g_strdup_printf("HTTP/1.1 %d ", c->status);
    char *header = g_strdup_printf("X-Refusal: %s\r\n", c->type);
    char *body = g_strdup_printf(
        "{\"error\":{\"type\":\"%s\",\"run_state\":\"not-run\"", c->type);

    callers_set_up(&f, c->status == 408 ? 100 : 30000);
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
    callers_tear_down(&f);
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
    struct callers_fixture f;

    callers_set_up(&f, 200);
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
    callers_tear_down(&f);
}

static void
test_event(void)
{
    static const char key_digest[] = "2c70e12b7a0646f92279f427c7b38e73"
                                     "34d8e5389cff167a1dc30e73f826b683";
    struct callers_fixture f;
    struct client client;
    const struct ct_call *call;
    struct ct_stored_call *stored;
    GString *hex = g_string_new(NULL);

    callers_set_up(&f, 30000);
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
    stored = ct_response_store_bind_body(f.answers, request, call->caller);
    g_assert_cmpstr(stored->method, ==, "GET");
    g_assert_cmpstr(stored->query, ==, "item=3");
    g_string_free(hex, TRUE);
    client_close(&client);
    callers_tear_down(&f);
}

static void
test_whole_answers_pipelined(void)
{
    struct callers_fixture f;
    struct client client;
    const char *first;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_whole;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE WHOLE LOOKUP "Authorization: Bearer key\r\n"
                                            "Connection: close\r\n\r\n");
    client_await(f.script, &client, NULL);
    first = strstr(client.in->str, "\r\n\r\nabcdHTTP/1.1 200 OK");
    g_assert_nonnull(first);
    g_assert_nonnull(strstr(first + 1, "\r\n\r\nabcdHTTP/1.1 200 OK"));
    g_assert_true(g_str_has_suffix(client.in->str, "\r\n\r\nabcd"));
    g_assert_cmpuint(ct_callers_requests(f.callers), ==, 0);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALLER_DISCONNECTED), ==,
                     0);
    client_close(&client);
    callers_tear_down(&f);
}

static void
test_stream_end(gconstpointer arg)
{
    bool whole = arg != NULL;
    struct ct_effect drop = {.type = CT_EFFECT_FREE_RESPONSE};
    struct ct_executor *store;
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_stream;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    callers_run_write(&f, true, whole);
    /* The reducer may forget the answer before all of it was written. */
    drop.u.request = request;
    store = ct_response_store_executor(f.answers);
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
    callers_tear_down(&f);
}

/* An answer that is not streamed is a refusal where it is not whole. */
static void
test_broken_answer(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 1);
    callers_run_write(&f, false, false);
    client_await(f.script, &client, "}}");
    g_assert_true(g_str_has_prefix(client.in->str, "HTTP/1.1 504 "));
    g_assert_nonnull(strstr(client.in->str, "X-Run-State: may-have-run\r\n"));
    client_close(&client);
    callers_tear_down(&f);
}

static void
test_gone_waiting(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 1);
    client_close(&client);
    script_wait(f.script, CT_EVENT_CALLER_DISCONNECTED, 1);
    /* With another request behind the one that waits. */
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE WHOLE);
    script_wait(f.script, CT_EVENT_CALL_ARRIVED, 2);
    client_close(&client);
    script_wait(f.script, CT_EVENT_CALLER_DISCONNECTED, 2);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_ARRIVED), ==, 2);
    callers_tear_down(&f);
}

static void
test_gone_in_stream(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_stream;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    client_close(&client);
    script_wait(f.script, CT_EVENT_CALLER_DISCONNECTED, 1);
    /* Effects for a caller who is gone do nothing. */
    callers_run_write(&f, true, true);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALLER_DISCONNECTED), ==,
                     1);
    callers_tear_down(&f);
}

static void
test_replies(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
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
    callers_tear_down(&f);
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
    struct callers_fixture f;

    g_assert_no_errno(getrlimit(RLIMIT_NOFILE, &files));
    files.rlim_cur = files.rlim_max;
    g_assert_no_errno(setrlimit(RLIMIT_NOFILE, &files));
    callers_set_up(&f, 600000);
    f.script->react = callers_react_whole;
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        client_open(ct_callers_port(f.callers), &idle[i]);
    }
    script_wait_for(f.script, all_connected, f.callers);
    client_send(last, WHOLE);
    client_await(f.script, last, "\r\n\r\nabcd");
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        client_close(&idle[i]);
    }
    callers_tear_down(&f);
}

/* A connection on which nothing was begun ends without a refusal. */
static void
test_idle_end(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 100);
    client_open(ct_callers_port(f.callers), &client);
    client_await(f.script, &client, NULL);
    g_assert_cmpstr(client.in->str, ==, "");
    client_close(&client);
    f.script->react = callers_react_whole;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, NULL);
    g_assert_true(g_str_has_suffix(client.in->str, "\r\n\r\nabcd"));
    client_close(&client);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_REJECTED), ==, 0);
    callers_tear_down(&f);
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
    struct callers_fixture f;
    struct client client;
    struct client half;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_stream;
    client_open(ct_callers_port(f.callers), &half);
    client_send(&half, KEYED "Content-Length: 56\r\n\r\n{");
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, WHOLE);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    script_wait_for(f.script, two_requests, f.callers);
    f.script->react = callers_react;
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_await(f.script, &half, "X-Refusal: draining\r\n");
    client_close(&half);
    callers_run_write(&f, true, true);
    script_wait_for(f.script, is_set, &finished);
    client_await(f.script, &client, "\r\n0\r\n\r\n");
    client_close(&client);
    callers_tear_down(&f);
}

/* What the kernel took before the end of a drain is read and answered. */
static void
test_finish_taken(void)
{
    bool finished = false;
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, CHAT "Content-Length: 56\r\n\r\n" BODY);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_await(f.script, &client, "X-Refusal: no-key\r\n");
    client_close(&client);
    script_wait_for(f.script, is_set, &finished);
    callers_tear_down(&f);
}

static bool
is_connected(void *arg)
{
    return ct_callers_connections(arg) == 1;
}

/* A request that comes on a connection that was accepted is answered too. */
static void
test_finish_fresh(void)
{
    bool finished = false;
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    script_wait_for(f.script, is_connected, f.callers);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_send(&client, CHAT "Content-Length: 56\r\n\r\n" BODY);
    client_await(f.script, &client, "X-Refusal: no-key\r\n");
    client_close(&client);
    script_wait_for(f.script, is_set, &finished);
    callers_tear_down(&f);
}

/* A connection on which nothing comes does not hold up the end. */
static void
test_finish_silent(void)
{
    bool finished = false;
    struct callers_fixture f;
    struct client client;

    /* Longer than any wait of a test. */
    callers_set_up(&f, 600000);
    client_open(ct_callers_port(f.callers), &client);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    script_wait_for(f.script, is_set, &finished);
    client_close(&client);
    callers_tear_down(&f);
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
    g_test_add_func("/callers/finish-fresh", test_finish_fresh);
    g_test_add_func("/callers/finish-silent", test_finish_silent);
    return g_test_run();
}
