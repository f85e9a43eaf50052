/*
 * Guards against a host that sends an upstream its usual load although the
 * upstream's entry, or a response of it, says that it is cold.
 */
#include <string.h>

#include "lib-relay-process.h"

#define TIMEOUT_MS RELAY_PROCESS_TIMEOUT_MS
#define CALLS 100
/*
 * Requests a second that a cold upstream takes. A slow machine takes longer
 * for its calls, in which more are allowed.
 */
#define COLD_PER_S 1

static struct relay_process f;

/* Publishes that the upstreams are cold for ten minutes after their start. */
static void
put_config(void)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,"
        "\"idleTimeoutMs\":15000},\"services\":[{\"name\":\"app\","
        "\"coldStartS\":600,\"coldPerS\":%d}],\"tenants\":[],"
        "\"routes\":[{\"name\":\"open\",\"host\":\"svc.example\","
        "\"pathPrefix\":\"/cold/\",\"timeoutMs\":8000,\"service\":\"app\","
        "\"type\":\"safe\",\"public\":true}]}",
        ++f.version, COLD_PER_S);

    platform_put(f.store.port, PLATFORM_TOPIC_CONFIG, "config", text);
    g_free(text);
}

/* Writes the entry of an upstream that started long ago. */
static void
put_cold_entry(int i, int cold_left_ms)
{
    g_autofree char *key = g_strdup_printf("run-%d", i);
    g_autofree char *text = g_strdup_printf(
        "{\"service\":\"app\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"born\":%d,"
        "\"coldLeftMs\":%d}",
        f.runners[i].port, i + 1, cold_left_ms);

    platform_put(f.store.port, PLATFORM_TOPIC_UPSTREAMS, key, text);
}

/* Makes a call whose prompt differs from all others. */
static long
make_call(struct http_reply *reply)
{
    static int calls;
    int part = ++calls;
    g_autofree char *parts =
        g_strdup_printf("Prefix-Hash: %x:1000,%x:1000", part, -part);
    const char *const headers[] = {parts, NULL};
    char id[24];

    relay_process_call(&f, "/cold/x", "{}", headers, reply, id);
    return reply->error == 0 ? reply->status : 0;
}

static long
status_of_call(void)
{
    struct http_reply reply;
    long status = make_call(&reply);

    http_reply_free(&reply);
    return status;
}

static int
count_runs(int i)
{
    return HTTP_COUNT_SEEN(f.runners[i].port, "\"ran\"", "/cold/x");
}

/* The pool's calls go to the warm upstream. */
static void
test_entry(void)
{
    int64_t until_ms = process_now_ms() + TIMEOUT_MS;
    int64_t begun_ms;
    int before;
    int64_t allowed;

    put_config();
    AWAIT(status_of_call() == 200, TIMEOUT_MS);
    put_cold_entry(0, 600000);
    /* Until the host has read the entry, calls go to both upstreams. */
    do {
        g_assert_cmpint(process_now_ms(), <, until_ms);
        before = count_runs(0);
        for (int i = 0; i < CALLS; i++) {
            g_assert_cmpint(status_of_call(), ==, 200);
        }
    } while (count_runs(0) - before > CALLS / 4);
    begun_ms = process_now_ms();
    before = count_runs(0);
    for (int i = 0; i < CALLS; i++) {
        g_assert_cmpint(status_of_call(), ==, 200);
    }
    allowed = COLD_PER_S * (process_now_ms() - begun_ms) / 1000 + 1;
    g_assert_cmpint(count_runs(0) - before, <=, allowed);
    /* Once the host knows that it is the only one, it sends some. */
    before = count_runs(0);
    AWAIT(status_of_call() == 200 && count_runs(0) > before, TIMEOUT_MS);
}

/* Both upstreams are cold: other calls are refused as not run. */
static void
test_response(void)
{
    struct http_reply reply;
    long status = 200;

    http_set(f.runners[1].port, "/fake/set", "{\"cold_ms\":600000}");
    for (int64_t until_ms = process_now_ms() + TIMEOUT_MS; status == 200;) {
        g_assert_cmpint(process_now_ms(), <, until_ms);
        status = make_call(&reply);
        if (status != 200) {
            g_autofree char *value = http_reply_header(&reply, "Retry-After");

            g_assert_cmpint(status, ==, 503);
            g_assert_nonnull(value);
        }
        http_reply_free(&reply);
    }
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cold/entry", test_entry);
    g_test_add_func("/cold/response", test_response);
    relay_process_start(&f);
    result = g_test_run();
    process_kill(&f.host);
    relay_process_stop(&f);
    return result;
}
