/* Tests of callers.h: valid and invalid requests over real sockets. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "lib-callers.h"

static const struct ct_handle stored_request = CALLERS_REQUEST;

static const struct refusal_case {
    const char *name;
    const char *text;
    /* Number of filler bytes between text and suffix. */
    guint filler;
    const char *suffix;
    int status;
    const char *type;
} refusal_cases[] = {
    {"no key", CHAT "Content-Length: 56\r\n\r\n" BODY, 0, "", 401, "no-key"},
    {"key of another scheme",
     CHAT "Authorization: Basic key\r\nContent-Length: 56\r\n\r\n" BODY, 0, "",
     401, "no-key"},
    {"incomplete JSON", KEYED "Content-Length: 9\r\n\r\n{\"model\":", 0, "",
     400, "bad-request"},
    {"unknown method", "BREW /stock HTTP/1.1\r\nHost: h\r\n\r\n", 0, "", 400,
     "bad-request"},
    {"no body", KEYED "\r\n", 0, "", 400, "bad-request"},
    {"malformed idempotency key",
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
    {"partial head", CHAT "Authoriz", 0, "", 408, "request-timeout"},
    {"partial request line", "POST /v1/ch", 0, "", 408, "request-timeout"},
    {"partial body", KEYED "Content-Length: 56\r\n\r\n{", 0, "", 408,
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
    client_send(&client, c->suffix);
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

/*
 * libmicrohttpd itself refuses these inputs and closes the connection; no call
 * reaches the reducer.
 */
static void
test_invalid_http(void)
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
test_call_event(void)
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
    script_wait_events(f.script, CT_EVENT_CALL_ARRIVED, 1);
    call = &script_last(f.script, CT_EVENT_CALL_ARRIVED)->u.call;
    g_assert_cmpint(call->kind, ==, CT_CALL_PLAIN);
    g_assert_cmpstr(call->path.text, ==, "/stock");
    g_assert_true(call->has_key && call->has_idempotency_key);
    g_assert_cmpint(call->idempotency_wall_ms, ==, INT64_C(0x0123456789ab));
    for (int i = 0; i < CT_DIGEST_BYTES; i++) {
        g_string_append_printf(hex, "%02x", call->key.bytes[i]);
    }
    g_assert_cmpstr(hex->str, ==, key_digest);
    stored =
        ct_response_store_bind_body(f.responses, stored_request, call->caller);
    g_assert_cmpstr(stored->method, ==, "GET");
    g_assert_cmpstr(stored->query, ==, "item=3");
    g_string_free(hex, TRUE);
    client_close(&client);
    callers_tear_down(&f);
}

static void
test_pipelined_requests(void)
{
    struct callers_fixture f;
    struct client client;
    const char *first_response;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_complete;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL COMPLETE_CALL LOOKUP
                "Authorization: Bearer key\r\n"
                "Connection: close\r\n\r\n");
    client_await(f.script, &client, NULL);
    first_response = strstr(client.in->str, "\r\n\r\nabcdHTTP/1.1 200 OK");
    g_assert_nonnull(first_response);
    g_assert_nonnull(
        strstr(first_response + 1, "\r\n\r\nabcdHTTP/1.1 200 OK"));
    g_assert_true(g_str_has_suffix(client.in->str, "\r\n\r\nabcd"));
    g_assert_cmpuint(ct_callers_request_count(f.callers), ==, 0);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALLER_DISCONNECTED), ==,
                     0);
    client_close(&client);
    callers_tear_down(&f);
}

static void
test_end_of_stream(gconstpointer arg)
{
    bool complete = arg != NULL;
    struct ct_effect free_response = {.type = CT_EFFECT_FREE_RESPONSE};
    struct ct_executor *store;
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_stream;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    callers_run_write(&f, true, complete);
    /* The reducer may free the response before all of it is written. */
    free_response.u.request = stored_request;
    store = ct_response_store_executor(f.responses);
    store->ops->run(store, &free_response);
    if (complete) {
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

/* If a response that is not streamed is truncated, a refusal replaces it. */
static void
test_truncated_response(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL);
    script_wait_events(f.script, CT_EVENT_CALL_ARRIVED, 1);
    callers_run_write(&f, false, false);
    client_await(f.script, &client, "}}");
    g_assert_true(g_str_has_prefix(client.in->str, "HTTP/1.1 504 "));
    g_assert_nonnull(strstr(client.in->str, "X-Run-State: may-have-run\r\n"));
    client_close(&client);
    callers_tear_down(&f);
}

static void
test_disconnect_while_waiting(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL);
    script_wait_events(f.script, CT_EVENT_CALL_ARRIVED, 1);
    client_close(&client);
    script_wait_events(f.script, CT_EVENT_CALLER_DISCONNECTED, 1);
    /* The same with another request pipelined behind the one that waits. */
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL COMPLETE_CALL);
    script_wait_events(f.script, CT_EVENT_CALL_ARRIVED, 2);
    client_close(&client);
    script_wait_events(f.script, CT_EVENT_CALLER_DISCONNECTED, 2);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALL_ARRIVED), ==, 2);
    callers_tear_down(&f);
}

static void
test_disconnect_in_stream(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_stream;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    client_close(&client);
    script_wait_events(f.script, CT_EVENT_CALLER_DISCONNECTED, 1);
    /* Effects for a caller that disconnected do nothing. */
    callers_run_write(&f, true, true);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_CALLER_DISCONNECTED), ==,
                     1);
    callers_tear_down(&f);
}

static void
test_own_responses(void)
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
are_all_connected(void *arg)
{
    return ct_callers_connection_count(arg) == IDLE_CONNECTIONS;
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
    f.script->react = callers_react_complete;
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        client_open(ct_callers_port(f.callers), &idle[i]);
    }
    script_wait_until(f.script, are_all_connected, f.callers);
    client_send(last, COMPLETE_CALL);
    client_await(f.script, last, "\r\n\r\nabcd");
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        client_close(&idle[i]);
    }
    callers_tear_down(&f);
}

/* An idle connection without a partial request is closed without a refusal. */
static void
test_idle_timeout(void)
{
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 100);
    client_open(ct_callers_port(f.callers), &client);
    client_await(f.script, &client, NULL);
    g_assert_cmpstr(client.in->str, ==, "");
    client_close(&client);
    f.script->react = callers_react_complete;
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL);
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
has_two_requests(void *arg)
{
    return ct_callers_request_count(arg) == 2;
}

/* The end of a drain waits for responses that are still being written. */
static void
test_finish(void)
{
    bool finished = false;
    struct callers_fixture f;
    struct client client;
    struct client partial;

    callers_set_up(&f, 30000);
    f.script->react = callers_react_stream;
    client_open(ct_callers_port(f.callers), &partial);
    client_send(&partial, KEYED "Content-Length: 56\r\n\r\n{");
    client_open(ct_callers_port(f.callers), &client);
    client_send(&client, COMPLETE_CALL);
    client_await(f.script, &client, "4\r\nabcd\r\n");
    script_wait_until(f.script, has_two_requests, f.callers);
    f.script->react = callers_react;
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_await(f.script, &partial, "X-Refusal: draining\r\n");
    client_close(&partial);
    callers_run_write(&f, true, true);
    script_wait_until(f.script, is_set, &finished);
    client_await(f.script, &client, "\r\n0\r\n\r\n");
    client_close(&client);
    callers_tear_down(&f);
}

/*
 * A request that the kernel received before the end of a drain is read and
 * gets a response.
 */
static void
test_finish_received(void)
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
    script_wait_until(f.script, is_set, &finished);
    callers_tear_down(&f);
}

static bool
is_connected(void *arg)
{
    return ct_callers_connection_count(arg) == 1;
}

/*
 * A request gets a response also if its connection was accepted before the end
 * of a drain, and the request arrives later.
 */
static void
test_finish_accepted(void)
{
    bool finished = false;
    struct callers_fixture f;
    struct client client;

    callers_set_up(&f, 30000);
    client_open(ct_callers_port(f.callers), &client);
    script_wait_until(f.script, is_connected, f.callers);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    client_send(&client, CHAT "Content-Length: 56\r\n\r\n" BODY);
    client_await(f.script, &client, "X-Refusal: no-key\r\n");
    client_close(&client);
    script_wait_until(f.script, is_set, &finished);
    callers_tear_down(&f);
}

/* A connection without a request does not delay the end of a drain. */
static void
test_finish_idle(void)
{
    bool finished = false;
    struct callers_fixture f;
    struct client client;

    /* The idle timeout is longer than any wait of a test. */
    callers_set_up(&f, 600000);
    client_open(ct_callers_port(f.callers), &client);
    ct_callers_finish(f.callers, on_finished, &finished);
    g_assert_false(finished);
    script_wait_until(f.script, is_set, &finished);
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
            g_strdup_printf("/callers/refusal/%s", refusal_cases[i].name);

        g_test_add_data_func(path, &refusal_cases[i], test_refusal);
        g_free(path);
    }
    g_test_add_func("/callers/invalid-http", test_invalid_http);
    g_test_add_func("/callers/call-event", test_call_event);
    g_test_add_func("/callers/pipelined-requests", test_pipelined_requests);
    g_test_add_data_func("/callers/stream-complete", "complete",
                         test_end_of_stream);
    g_test_add_data_func("/callers/stream-truncated", NULL,
                         test_end_of_stream);
    g_test_add_func("/callers/truncated-response", test_truncated_response);
    g_test_add_func("/callers/disconnect-while-waiting",
                    test_disconnect_while_waiting);
    g_test_add_func("/callers/disconnect-in-stream",
                    test_disconnect_in_stream);
    g_test_add_func("/callers/own-responses", test_own_responses);
    g_test_add_func("/callers/idle-connections", test_idle_connections);
    g_test_add_func("/callers/idle-timeout", test_idle_timeout);
    g_test_add_func("/callers/finish", test_finish);
    g_test_add_func("/callers/finish-received", test_finish_received);
    g_test_add_func("/callers/finish-accepted", test_finish_accepted);
    g_test_add_func("/callers/finish-idle", test_finish_idle);
    return g_test_run();
}
