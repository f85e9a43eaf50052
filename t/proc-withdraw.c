/* A withdrawn key is refused by every host, also on a reused connection. */
#include <string.h>

#include "lib-deployment.h"

/* Limit from the end of the command until every host refuses the key. */
#define WITHDRAWAL_LIMIT_MS 10000

static struct deployment d;

static long
call_with_key(struct http_client *client, int host, const char *key,
              struct http_reply *reply)
{
    struct caller_call call = {
        .key = key, .path = CHAT_PATH, .body = CHAT_NOT_STREAMED};

    deployment_call(&d, host, client, &call, reply);
    return reply->status;
}

/*
 * Returns whether a call is refused because its key is withdrawn. A call that
 * runs when the withdrawal arrives ends as may-have-run; the next must not
 * run.
 */
static bool
is_refused(struct http_client *client, int host, const char *key)
{
    struct http_reply reply;
    bool refused = call_with_key(client, host, key, &reply) == 401;

    if (refused && strstr(reply.body->str, "may-have-run")) {
        http_reply_free(&reply);
        call_with_key(client, host, key, &reply);
    }
    if (refused) {
        deployment_assert_refused(&reply, 401, "key-withdrawn", "not-run");
    }
    http_reply_free(&reply);
    return refused;
}

static void
open_connections(struct http_client **clients, const char *key)
{
    for (int i = 0; i < d.n_hosts; i++) {
        struct http_reply reply;
        int64_t until_ms = process_now_ms() + AWAIT_TIMEOUT_MS;

        clients[i] = http_client_new();
        /* This host may not have read the grant yet. */
        while (call_with_key(clients[i], i, key, &reply) != 200) {
            g_assert_cmpint(process_now_ms(), <, until_ms);
            http_reply_free(&reply);
            ct_wait_ms(PROCESS_POLL_INTERVAL_MS);
        }
        http_reply_free(&reply);
    }
}

static void
close_connections(struct http_client **clients)
{
    for (int i = 0; i < d.n_hosts; i++) {
        http_client_free(clients[i]);
    }
}

static void
test_log_available(void)
{
    struct http_client *clients[HOSTS_MAX] = {NULL};
    char key[KEY_BYTES];
    char *output;
    int code;

    g_assert_cmpint(deployment_grant(&d, "alpha", "up", key), ==, 0);
    open_connections(clients, key);
    code = DEPLOYMENT_COMMAND(&d, &output, "key", "withdraw", "up", NULL);
    g_assert_cmpint(code, ==, 0);
    g_free(output);
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(is_refused(clients[i], i, key), WITHDRAWAL_LIMIT_MS);
    }
    close_connections(clients);
}

/*
 * While the log is unavailable, the withdrawal is sent to one host, which
 * passes it on to the others.
 */
static void
test_log_outage(void)
{
    struct http_client *clients[HOSTS_MAX] = {NULL};
    char key[KEY_BYTES];
    char *digest;
    char *digest_option;
    char *host = deployment_host_option(&d, 0);
    char *output;
    int code;

    g_assert_cmpint(deployment_grant(&d, "alpha", "down", key), ==, 0);
    open_connections(clients, key);
    digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    digest_option = g_strdup_printf("--digest=%s", digest);
    deployment_set_platform(&d, "{\"outage\":1}");
    code = DEPLOYMENT_COMMAND(&d, &output, "key", "withdraw", digest_option,
                              host, "--timeout=3000", NULL);
    g_test_message("%d: %s", code, output);
    g_assert_cmpint(code, ==, 7);
    g_assert_nonnull(strstr(output, "h1"));
    for (int i = 0; i < d.n_hosts; i++) {
        AWAIT(is_refused(clients[i], i, key), WITHDRAWAL_LIMIT_MS);
    }
    /* The key stays withdrawn when the log is available again. */
    deployment_set_platform(&d, "{\"outage\":0}");
    deployment_await_ready(&d);
    for (int i = 0; i < d.n_hosts; i++) {
        g_assert_true(is_refused(clients[i], i, key));
    }
    close_connections(clients);
    g_free(output);
    g_free(host);
    g_free(digest_option);
    g_free(digest);
}

struct stream {
    const char *key;
    struct http_reply reply;
};

static gpointer
read_stream(gpointer arg)
{
    struct stream *stream = arg;
    struct caller_call call = {
        .key = stream->key, .path = CHAT_PATH, .body = CHAT_STREAM};

    deployment_call(&d, 0, NULL, &call, &stream->reply);
    return NULL;
}

static int
count_started(void)
{
    return HTTP_COUNT_SEEN(d.engines[0].port, "\"start\",\"at_ms\"");
}

/* If a key is withdrawn, a stream that runs with it ends with an error. */
static void
test_running_stream(void)
{
    struct stream stream = {0};
    char key[KEY_BYTES];
    GThread *thread;
    int before;

    g_assert_cmpint(deployment_grant(&d, "alpha", "stream", key), ==, 0);
    AWAIT(!is_refused(NULL, 0, key), AWAIT_TIMEOUT_MS);
    deployment_set_engines(&d, "{\"tokens\":100000,\"token_ms\":20}");
    stream.key = key;
    before = count_started();
    thread = g_thread_new("stream", read_stream, &stream);
    AWAIT(count_started() > before, AWAIT_TIMEOUT_MS);
    g_assert_cmpint(
        DEPLOYMENT_COMMAND(&d, NULL, "key", "withdraw", "stream", NULL), ==,
        0);
    g_thread_join(thread);
    g_assert_null(strstr(stream.reply.body->str, "[DONE]"));
    g_assert_nonnull(strstr(stream.reply.body->str, "event: error"));
    g_assert_nonnull(strstr(stream.reply.body->str, "key-withdrawn"));
    http_reply_free(&stream.reply);
    deployment_set_engines(&d, "{\"tokens\":8,\"token_ms\":0}");
}

/* The key stays withdrawn after all hosts are replaced. */
static void
test_all_replaced(void)
{
    char key[KEY_BYTES];

    g_assert_cmpint(deployment_grant(&d, "alpha", "replaced", key), ==, 0);
    g_assert_cmpint(
        DEPLOYMENT_COMMAND(&d, NULL, "key", "withdraw", "replaced", NULL), ==,
        0);
    deployment_replace_hosts(&d);
    for (int i = 0; i < d.n_hosts; i++) {
        g_assert_true(is_refused(NULL, i, key));
        g_assert_false(is_refused(NULL, i, d.alpha));
    }
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 3, 1, 1);
    g_test_add_func("/withdraw/log-available", test_log_available);
    g_test_add_func("/withdraw/running-stream", test_running_stream);
    g_test_add_func("/withdraw/all-replaced", test_all_replaced);
    g_test_add_func("/withdraw/log-outage", test_log_outage);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
