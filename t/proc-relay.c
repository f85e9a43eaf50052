/*
 * Runs the relay daemon as a process between a fake store and fake upstreams
 * that use the wire format of the users' platform. Checks what callers and
 * upstreams receive, also under faults.
 */
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <unistd.h>
#include <string.h>

#include "lib-relay-process.h"

#define RUNNERS RELAY_PROCESS_RUNNERS
#define AWAIT_TIMEOUT_MS RELAY_PROCESS_TIMEOUT_MS
#define HOST_HEADER PLATFORM_HOST_HEADER
#define KEY_HEADER RELAY_PROCESS_KEY

static struct relay_process f;

#define CALL(path, body, reply, id, ...)                                      \
    relay_process_call(&f, (path), (body),                                    \
                       (const char *const[]){__VA_ARGS__, NULL}, (reply),     \
                       (id))

/*
 * Admission depends on key and route; the response body and the headers with
 * the request id and the proof arrive unchanged.
 */
static void
test_admission(void)
{
    static const struct {
        const char *path, *key;
        long status;
    } cases[] = {
        {"/any/x", "Key: k1", 200},     {"/any/x?q=1", "Key: k2", 200},
        {"/open/x", "X-None: 1", 200},  {"/any/x", "X-None: 1", 401},
        {"/any/x", "Key: nobody", 401}, {"/none/x", "Key: k1", 404},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct http_reply reply;
        char id[24];
        char *value;

        CALL(cases[i].path, "some body", &reply, id, cases[i].key);
        g_assert_cmpint(reply.status, ==, cases[i].status);
        g_assert_cmpint(relay_process_count_runs(&f, id), ==,
                        cases[i].status == 200);
        if (cases[i].status == 200) {
            g_assert_cmpstr(reply.body->str, ==, "some body");
            value = http_reply_header(&reply, "Request-Id");
            g_assert_cmpstr(value, ==, id);
            g_free(value);
            value = http_reply_header(&reply, "Runner-Signature");
            g_assert_true(g_str_has_prefix(value, "run-"));
            g_free(value);
        }
        http_reply_free(&reply);
    }
}

/* The upstream receives the caller's organisation, never its key. */
static void
test_headers(void)
{
    struct http_reply reply;
    char id[24];
    int n_custom = 0;

    CALL("/any/x", "b", &reply, id, KEY_HEADER, "Tenant: forged",
         "X-Custom: kept", "Deadline-Ms: 5000");
    g_assert_cmpint(reply.status, ==, 200);
    http_reply_free(&reply);
    for (int i = 0; i < RUNNERS; i++) {
        g_assert_cmpint(HTTP_COUNT_SEEN(f.runners[i].port, "\"k1\""), ==, 0);
        g_assert_cmpint(HTTP_COUNT_SEEN(f.runners[i].port, "forged"), ==, 0);
        n_custom += HTTP_COUNT_SEEN(f.runners[i].port, "kept", id,
                                    "\"Tenant\":\"acme\"");
    }
    g_assert_cmpint(n_custom, ==, 1);
}

static void
test_streams(void)
{
    static const struct {
        const char *path, *set;
        int error;
        const char *prefix, *suffix;
    } cases[] = {
        {"/s/res/x", "{}", 0, "id: 1\n", "id: 5\ndata: e5\n\n"},
        {"/s/str/x", "{}", 0, "id: 1\n", "id: 5\ndata: e5\n\n"},
        /* Resumed at another upstream after the last complete event. */
        {"/s/res/x", "{\"break_after\":3}", 0, "id: 1\n",
         "id: 5\ndata: e5\n\n"},
        /* Not resumable: the stream is aborted after a complete event. */
        {"/s/str/x", "{\"break_after\":3}", 18, "id: 1\n",
         "id: 3\ndata: e3\n\n"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct http_reply reply;
        char id[24];

        relay_process_set_runners(&f, cases[i].set);
        CALL(cases[i].path, "{}", &reply, id, KEY_HEADER);
        g_assert_cmpint(reply.error, ==, cases[i].error);
        g_assert_cmpint(reply.status, ==, 200);
        g_assert_true(g_str_has_prefix(reply.body->str, cases[i].prefix));
        g_assert_true(g_str_has_suffix(reply.body->str, cases[i].suffix));
        for (int k = 2; k <= 3; k++) {
            char event[32];
            const char *found;

            g_snprintf(event, sizeof(event), "id: %d\n", k);
            found = strstr(reply.body->str, event);
            g_assert_nonnull(found);
            g_assert_null(strstr(found + 1, event));
        }
        http_reply_free(&reply);
        relay_process_set_runners(&f, "{\"break_after\":0}");
    }
}

static int
count_seen(const char *id, const char *text)
{
    int n = 0;

    for (int i = 0; i < RUNNERS; i++) {
        n += HTTP_COUNT_SEEN(f.runners[i].port, id, text);
    }
    return n;
}

/*
 * A stream that may run once continues at the upstream that holds its backup,
 * and is aborted if that one has no copy. The caller cannot set the headers.
 */
static void
test_backups(void)
{
    static const struct {
        const char *set;
        int error;
        const char *suffix;
        int continued;
    } cases[] = {
        {"{\"break_after\":3}", 0, "id: 5\ndata: e5\n\n", 1},
        {"{\"break_after\":3,\"no_copy\":1}", 18, "id: 3\ndata: e3\n\n", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct http_reply reply;
        char *source;
        char id[24];

        relay_process_set_runners(&f, cases[i].set);
        CALL("/s/str/x", "{}", &reply, id, KEY_HEADER, PLATFORM_TOKENS_HEADER,
             "Kv-From: 10.9.9.9:1/forged", "Kv-Backup: 10.9.9.9:1");
        g_assert_cmpint(reply.error, ==, cases[i].error);
        g_assert_true(g_str_has_prefix(reply.body->str, "id: 1\n"));
        g_assert_true(g_str_has_suffix(reply.body->str, cases[i].suffix));
        for (int k = 1; k <= 3; k++) {
            char event[32];
            const char *found;

            g_snprintf(event, sizeof(event), "id: %d\n", k);
            found = strstr(reply.body->str, event);
            g_assert_null(strstr(found + 1, event));
        }
        source = g_strdup_printf("/%s\"", id);
        g_assert_cmpint(count_seen(id, "\"Kv-Backup\":\"127.0.0.1:"), >=, 1);
        g_assert_cmpint(count_seen(id, source), ==, cases[i].continued);
        g_assert_cmpint(count_seen(id, "10.9.9.9"), ==, 0);
        g_free(source);
        http_reply_free(&reply);
        relay_process_set_runners(&f, "{\"break_after\":0,\"no_copy\":0}");
    }
}

/*
 * For each fault of the upstreams: the status that the caller receives, and
 * how often the call ran.
 */
static void
test_faults(void)
{
    static const struct {
        const char *path, *set, *reset;
        long status;
        int runs;
    } cases[] = {
        {"/any/x", "{\"status\":500}", "{\"status\":200}", 500, 2},
        {"/once/x", "{\"status\":500}", "{\"status\":200}", 500, 1},
        {"/any/x", "{\"decline\":1}", "{\"decline\":0}", 503, 0},
        {"/once/x", "{\"decline\":1}", "{\"decline\":0}", 503, 0},
        {"/any/x", "{\"close_after_read\":1}", "{\"close_after_read\":0}", 502,
         2},
        {"/once/x", "{\"close_after_read\":1}", "{\"close_after_read\":0}",
         502, 1},
        {"/once/x", "{\"mismatch\":1}", "{\"mismatch\":0}", 502, 1},
        /* The refusal of another request says nothing about this one. */
        {"/once/x", "{\"mismatch\":1,\"decline\":1}",
         "{\"mismatch\":0,\"decline\":0}", 502, 0},
        {"/once/x", "{\"no_proof\":1}", "{\"no_proof\":0}", 502, 1},
        {"/s/str/x", "{\"no_proof\":1}", "{\"no_proof\":0}", 502, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct http_reply reply;
        char id[24];

        relay_process_set_runners(&f, cases[i].set);
        CALL(cases[i].path, "{}", &reply, id, KEY_HEADER);
        g_assert_cmpint(reply.status, ==, cases[i].status);
        g_assert_cmpint(relay_process_count_runs(&f, id), ==, cases[i].runs);
        if (cases[i].status == 503) {
            char *value = http_reply_header(&reply, "Retry-After");

            g_assert_nonnull(value);
            g_free(value);
        }
        http_reply_free(&reply);
        relay_process_set_runners(&f, cases[i].reset);
    }
}

/* A caller's deadline ends with status 504 if the upstream stays silent. */
static void
test_silent_upstream(void)
{
    struct http_reply reply;
    char id[24];

    relay_process_set_runners(&f, "{\"silent\":1}");
    CALL("/once/x", "{}", &reply, id, KEY_HEADER, "Deadline-Ms: 300");
    g_assert_cmpint(reply.status, ==, 504);
    http_reply_free(&reply);
    relay_process_set_runners(&f, "{\"silent\":0}");
}

static bool
abort_on_data(void *arg, const GString *body)
{
    (void)arg;
    (void)body;
    return false;
}

static int
count_ended(const char *id)
{
    int n = 0;

    for (int i = 0; i < RUNNERS; i++) {
        n += HTTP_COUNT_SEEN(f.runners[i].port, "\"ended\"", id);
    }
    return n;
}

/* If the caller of a stream disconnects, the upstream stops working on it. */
static void
test_caller_disconnects(void)
{
    const char *const headers[] = {HOST_HEADER, KEY_HEADER,
                                   "Request-Id: leaves", NULL};
    struct http_call call = {
        .body = "{}", .headers = headers, .on_data = abort_on_data};
    struct http_reply reply;

    relay_process_set_runners(&f, "{\"silent\":1}");
    http_call(f.host.port, "/s/str/x", &call, &reply);
    http_reply_free(&reply);
    AWAIT(count_ended("leaves") == 1, AWAIT_TIMEOUT_MS);
    relay_process_set_runners(&f, "{\"silent\":0}");
}

/* One connection carries several calls in turn, streamed and not streamed. */
static void
test_reused_connection(void)
{
    struct http_client *client = http_client_new();
    long port = 0;

    for (int i = 0; i < 4; i++) {
        const char *const headers[] = {HOST_HEADER, KEY_HEADER,
                                       "Request-Id: kept", NULL};
        struct http_call call = {.body = "{}", .headers = headers};
        struct http_reply reply;

        http_client_call(client, f.host.port, i % 2 ? "/any/x" : "/s/str/x",
                         &call, &reply);
        g_assert_cmpint(reply.status, ==, 200);
        g_assert_true(i == 0 || reply.local_port == port);
        port = reply.local_port;
        http_reply_free(&reply);
    }
    http_client_free(client);
}

/* A body above the size limit is refused with status 413 and does not run. */
static void
test_too_large(void)
{
    char *body = g_strnfill(70000, 'x');
    struct http_reply reply;
    char id[24];

    CALL("/any/x", body, &reply, id, KEY_HEADER);
    g_assert_cmpint(reply.status, ==, 413);
    g_assert_cmpint(relay_process_count_runs(&f, id), ==, 0);
    http_reply_free(&reply);
    g_free(body);
}

static bool
is_host_resolved(void)
{
    char *text = http_get(f.host.second_port,
                          "/v1/resolve?name=svc.example&region=r&zone=z");
    char *address = g_strdup_printf("\"127.0.0.1:%u\"", f.host.port);
    bool found = strstr(text, address) != NULL && strstr(text, "ttlS");

    g_free(address);
    g_free(text);
    return found;
}

static void
test_addresses(void)
{
    AWAIT(is_host_resolved(), AWAIT_TIMEOUT_MS);
}

static uint64_t
read_metric(const char *name)
{
    g_autofree char *text = http_get(f.host.fourth_port, "/metrics");
    g_autofree char *line = g_strdup_printf("\ncoriandertrack_%s ", name);
    const char *at = strstr(text, line);

    g_assert_nonnull(at);
    return g_ascii_strtoull(at + strlen(line), NULL, 10);
}

/* A response that this host rejects counts against no part, one that ends
 * early does.
 */
static void
test_only_early_ends_count(void)
{
    static const char parts[] = "Prefix-Hash: a1:10,b2:10";
    uint64_t before = read_metric("prompt_crashes_total");
    struct http_reply reply;
    char id[24];

    relay_process_set_runners(&f, "{\"no_proof\":1}");
    CALL("/once/x", "{}", &reply, id, KEY_HEADER, parts);
    g_assert_cmpint(reply.status, ==, 502);
    http_reply_free(&reply);
    g_assert_cmpuint(read_metric("prompt_crashes_total"), ==, before);
    relay_process_set_runners(&f, "{\"no_proof\":0,\"close_after_read\":1}");
    CALL("/once/x", "{}", &reply, id, KEY_HEADER, parts);
    g_assert_cmpint(reply.status, ==, 502);
    http_reply_free(&reply);
    g_assert_cmpuint(read_metric("prompt_crashes_total"), ==, before + 1);
    relay_process_set_runners(&f, "{\"close_after_read\":0}");
}

/* The metrics page counts the calls and the calls to the store. */
static void
test_metrics(void)
{
    char *text = http_get(f.host.fourth_port, "/metrics");

    g_assert_nonnull(strstr(text, "coriandertrack_calls_total"));
    g_assert_nonnull(strstr(text, "coriandertrack_store_calls_total"));
    g_free(text);
}

/*
 * After SIGTERM the host is no longer ready, but serves a call that still
 * arrives, and then exits.
 */
static void
test_drain_by_signal(void)
{
    struct http_reply reply;
    char id[24];

    relay_process_set_runners(&f, "{\"delay_ms\":400}");
    process_signal(&f.host, SIGTERM);
    AWAIT(!relay_process_is_ready(&f), AWAIT_TIMEOUT_MS);
    CALL("/once/x", "{}", &reply, id, KEY_HEADER);
    g_assert_cmpint(reply.status, ==, 200);
    http_reply_free(&reply);
    g_assert_cmpint(process_wait(&f.host, AWAIT_TIMEOUT_MS), ==, 0);
}

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    g_test_add_func("/relay/admission", test_admission);
    g_test_add_func("/relay/headers", test_headers);
    g_test_add_func("/relay/streams", test_streams);
    g_test_add_func("/relay/backups", test_backups);
    g_test_add_func("/relay/faults", test_faults);
    g_test_add_func("/relay/silent-upstream", test_silent_upstream);
    g_test_add_func("/relay/caller-disconnects", test_caller_disconnects);
    g_test_add_func("/relay/reused-connection", test_reused_connection);
    g_test_add_func("/relay/too-large", test_too_large);
    g_test_add_func("/relay/addresses", test_addresses);
    g_test_add_func("/relay/only-early-ends-count",
                    test_only_early_ends_count);
    g_test_add_func("/relay/metrics", test_metrics);
    g_test_add_func("/relay/drain-by-signal", test_drain_by_signal);
    rc = g_test_run();
    relay_process_stop(&f);
    return rc;
}
