/* A drain truncates no response, whether by signal or by operator command. */
#include <signal.h>
#include <string.h>

#include <curl/curl.h>

#include "lib-deployment.h"

#define STREAMS 8
#define ROLLING_CALLERS 4
#define STREAM_TOKENS 40
/* Streams that run longer than the 10 s limit of the flush at exit. */
#define LONG_STREAM_TOKENS 240

static struct deployment d;

struct stream {
    int host;
    int tokens;
    bool complete;
};

static gpointer
read_stream(gpointer arg)
{
    struct stream *stream = arg;
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_STREAM};
    char *last_token = g_strdup_printf("-%d \"", stream->tokens - 1);
    struct http_reply reply;

    deployment_call(&d, stream->host, NULL, &call, &reply);
    stream->complete = reply.error == 0 && reply.status == 200 &&
                       g_str_has_suffix(reply.body->str, "data: [DONE]\n\n") &&
                       strstr(reply.body->str, last_token);
    if (!stream->complete) {
        g_test_message("truncated: %d %ld %s", reply.error, reply.status,
                       reply.body->str);
    }
    http_reply_free(&reply);
    g_free(last_token);
    return NULL;
}

static int
count_started(void)
{
    int n = 0;

    for (int i = 0; i < d.n_engines; i++) {
        n += HTTP_COUNT_SEEN(d.engines[i].port, "\"start\",\"at_ms\"");
    }
    return n;
}

static bool
is_listed(int queried, int host)
{
    char *text = http_get(d.hosts[queried].caller_port, "/v1/addresses");
    char *address =
        g_strdup_printf("\"127.0.0.1:%u\"", d.hosts[host].caller_port);
    bool found = strstr(text, address) != NULL;

    g_free(address);
    g_free(text);
    return found;
}

/*
 * A draining host refuses a new request as not run, or accepts no connection.
 */
static void
check_new_request(int host)
{
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};
    struct http_reply reply;

    deployment_call(&d, host, NULL, &call, &reply);
    if (reply.error == 0) {
        deployment_assert_refused(&reply, 503, "draining", "not-run");
    }
    else {
        g_assert_cmpint(reply.status, ==, 0);
    }
    http_reply_free(&reply);
}

static void
drain_with_streams(int host, int tokens, bool by_signal)
{
    struct stream streams[STREAMS];
    GThread *threads[STREAMS];
    int before = count_started();
    char *settings = g_strdup_printf("{\"tokens\":%d}", tokens);

    deployment_set_engines(&d, settings);
    g_free(settings);
    for (int i = 0; i < STREAMS; i++) {
        streams[i] = (struct stream){host, tokens, false};
        threads[i] = g_thread_new("stream", read_stream, &streams[i]);
    }
    AWAIT(count_started() == before + STREAMS, AWAIT_TIMEOUT_MS);
    if (by_signal) {
        process_signal(&d.hosts[host].process, SIGTERM);
    }
    else {
        http_set(d.hosts[host].operator_port, "/drain", "{}");
    }
    AWAIT(!is_listed(1 - host, host), AWAIT_TIMEOUT_MS);
    check_new_request(host);
    for (int i = 0; i < STREAMS; i++) {
        g_thread_join(threads[i]);
        g_assert_true(streams[i].complete);
    }
    g_assert_cmpint(process_wait(&d.hosts[host].process, AWAIT_TIMEOUT_MS), ==,
                    0);
}

static void
test_drain_by_signal(void)
{
    AWAIT(is_listed(1, 0), AWAIT_TIMEOUT_MS);
    drain_with_streams(0, LONG_STREAM_TOKENS, true);
    deployment_start_host(&d, 0);
    deployment_await_ready(&d);
    AWAIT(is_listed(1, 0), AWAIT_TIMEOUT_MS);
}

static void
test_drain_by_command(void)
{
    AWAIT(is_listed(0, 1), AWAIT_TIMEOUT_MS);
    drain_with_streams(1, STREAM_TOKENS, false);
    deployment_start_host(&d, 1);
    deployment_await_ready(&d);
}

struct counters {
    gint stop;
    gint complete;
    /* Neither complete, nor refused as not run, nor without a connection. */
    gint truncated;
};

static bool
is_not_run(const struct http_reply *reply)
{
    char *state = http_reply_header(reply, "X-Run-State");
    bool not_run = g_strcmp0(state, "not-run") == 0;

    g_free(state);
    return not_run || reply->error == CURLE_COULDNT_CONNECT;
}

/* Calls the hosts in turn, on a new connection each time. */
static gpointer
call_hosts_in_turn(gpointer arg)
{
    struct counters *counters = arg;
    struct caller_call call = {
        .key = d.alpha, .path = CHAT_PATH, .body = CHAT_STREAM};

    for (int i = 0; !g_atomic_int_get(&counters->stop); i++) {
        struct http_reply reply;

        deployment_call(&d, i % d.n_hosts, NULL, &call, &reply);
        if (reply.error == 0 && reply.status == 200 &&
            g_str_has_suffix(reply.body->str, "data: [DONE]\n\n")) {
            g_atomic_int_inc(&counters->complete);
        }
        else if (!is_not_run(&reply)) {
            g_atomic_int_inc(&counters->truncated);
            g_test_message("truncated: %d %ld %s%s", reply.error, reply.status,
                           reply.head->str, reply.body->str);
        }
        http_reply_free(&reply);
    }
    return NULL;
}

/* All hosts are restarted in turn while callers call every one of them. */
static void
test_rolling_restart(void)
{
    GThread *threads[ROLLING_CALLERS];
    struct counters counters = {0};

    deployment_set_engines(&d, "{\"tokens\":10,\"token_ms\":20}");
    for (int i = 0; i < ROLLING_CALLERS; i++) {
        threads[i] = g_thread_new("caller", call_hosts_in_turn, &counters);
    }
    for (int i = 0; i < d.n_hosts; i++) {
        gint before = g_atomic_int_get(&counters.complete);

        process_signal(&d.hosts[i].process, SIGTERM);
        g_assert_cmpint(process_wait(&d.hosts[i].process, AWAIT_TIMEOUT_MS),
                        ==, 0);
        deployment_start_host(&d, i);
        AWAIT(deployment_is_ready(&d, i), AWAIT_TIMEOUT_MS);
        AWAIT(g_atomic_int_get(&counters.complete) > before, AWAIT_TIMEOUT_MS);
    }
    g_atomic_int_set(&counters.stop, 1);
    for (int i = 0; i < ROLLING_CALLERS; i++) {
        g_thread_join(threads[i]);
    }
    g_assert_cmpint(counters.truncated, ==, 0);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 2, 1);
    deployment_set_engines(&d, "{\"tokens\":40,\"token_ms\":50}");
    g_test_add_func("/drain/signal", test_drain_by_signal);
    g_test_add_func("/drain/command", test_drain_by_command);
    g_test_add_func("/drain/rolling-restart", test_rolling_restart);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
