/*
 * The path of a call through separate processes: calls are served or refused,
 * and callers' keys and headers do not reach upstreams.
 */
#include <json-glib/json-glib.h>
#include <string.h>

#include "lib-deployment.h"

static struct deployment d;

static void
test_chat(void)
{
    struct caller_call call = {.key = d.alpha, .path = CHAT_PATH};
    const char *const bodies[] = {CHAT_STREAM, CHAT_NOT_STREAMED};
    const char *const suffixes[] = {"data: [DONE]\n\n", "}"};

    for (int i = 0; i < 2; i++) {
        struct http_reply reply;
        char *id;

        call.body = bodies[i];
        deployment_call(&d, i, NULL, &call, &reply);
        g_assert_cmpint(reply.error, ==, 0);
        g_assert_cmpint(reply.status, ==, 200);
        g_assert_true(g_str_has_suffix(reply.body->str, suffixes[i]));
        g_assert_nonnull(strstr(reply.body->str, "-7 "));
        id = http_reply_header(&reply, "X-Request-Id");
        g_assert_nonnull(id);
        g_assert_nonnull(strstr(reply.body->str, id));
        g_free(id);
        http_reply_free(&reply);
    }
}

static void
test_plain(void)
{
    char idempotency_key[40];
    struct caller_call call = {.key = d.beta,
                               .path = "/v1/book",
                               .body = "{\"hall\":\"B\"}",
                               .idempotency_key = idempotency_key};
    struct http_reply reply;

    deployment_idempotency_key(idempotency_key);
    deployment_call(&d, 0, NULL, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    g_assert_nonnull(strstr(reply.body->str, "\"ran\":1"));
    http_reply_free(&reply);
    g_assert_cmpint(
        HTTP_COUNT_SEEN(d.plains[0].port, "\"ran\"", idempotency_key), ==, 1);
}

static void
test_refusals(void)
{
    static const struct {
        const char *path;
        const char *body;
        const char *key;
        long status;
        const char *type;
    } cases[] = {
        {CHAT_PATH, CHAT_NOT_STREAMED, NULL, 401, "no-key"},
        {CHAT_PATH, CHAT_NOT_STREAMED, "no such key", 401, "unknown-key"},
        {CHAT_PATH, CHAT_NOT_STREAMED, d.gamma, 403, "route-forbidden"},
        {"/v1/nothing", "{}", d.alpha, 404, "route-unknown"},
        {CHAT_PATH, "{", d.alpha, 400, "bad-request"},
        {"/v1/book", "{}", d.alpha, 400, "idempotency-key-required"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct caller_call call = {
            .key = cases[i].key, .path = cases[i].path, .body = cases[i].body};
        struct http_reply reply;

        deployment_call(&d, 0, NULL, &call, &reply);
        deployment_assert_refused(&reply, cases[i].status, cases[i].type,
                                  "not-run");
        http_reply_free(&reply);
    }
}

static bool
is_listed(int queried, int host)
{
    char *text = http_get(d.hosts[queried].caller_port, "/v1/addresses");
    char *address =
        g_strdup_printf("\"127.0.0.1:%u\"", d.hosts[host].caller_port);
    bool found = strstr(text, address) && strstr(text, "\"lifetime_ms\":");

    g_free(address);
    g_free(text);
    return found;
}

static void
test_addresses(void)
{
    for (int i = 0; i < d.n_hosts; i++) {
        for (int j = 0; j < d.n_hosts; j++) {
            AWAIT(is_listed(i, j), AWAIT_TIMEOUT_MS);
        }
    }
}

/* Fails if a header that reached an upstream is not in the allowed list. */
static void
check_allowed_headers(JsonObject *headers)
{
    static const char *const allowed[] = {
        "Host",         "Accept",         "Authorization",
        "X-Request-Id", "X-Priority",     "X-Resume-From",
        "Content-Type", "Content-Length", "Idempotency-Key",
        "User-Agent",   "Accept-Encoding"};
    JsonObjectIter iter;
    const char *name;

    json_object_iter_init(&iter, headers);
    while (json_object_iter_next(&iter, &name, NULL)) {
        bool found = false;

        for (size_t i = 0; i < G_N_ELEMENTS(allowed); i++) {
            found |= g_ascii_strcasecmp(allowed[i], name) == 0;
        }
        if (!found) {
            g_error("header %s reached an upstream", name);
        }
    }
}

static void
check_upstream_requests(uint16_t port, const char *credential,
                        const char *secret)
{
    char *requests = http_get(port, "/fake/seen");
    JsonNode *root = json_from_string(requests, NULL);
    JsonArray *rows =
        json_object_get_array_member(json_node_get_object(root), "seen");

    g_assert_nonnull(strstr(requests, credential));
    g_assert_null(strstr(requests, d.alpha));
    g_assert_null(strstr(requests, d.beta));
    g_assert_null(strstr(requests, secret));
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);

        if (json_object_has_member(row, "headers")) {
            check_allowed_headers(
                json_object_get_object_member(row, "headers"));
        }
    }
    json_node_free(root);
    g_free(requests);
}

/* Of the headers that a caller sends, only the allowed ones are forwarded. */
static void
test_caller_headers_removed(void)
{
    char *key = g_strdup_printf("Authorization: Bearer %s", d.alpha);
    char *key_copy = g_strdup_printf("X-Api-Key: %s", d.alpha);
    const char *headers[] = {key, key_copy, "Cookie: secret-cookie",
                             "X-Request-Id: chosen-by-caller", NULL};
    struct http_call call = {.body = CHAT_STREAM, .headers = headers};
    struct http_reply reply;

    http_call(d.hosts[0].caller_port, CHAT_PATH, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    http_reply_free(&reply);
    for (int i = 0; i < d.n_engines; i++) {
        check_upstream_requests(d.engines[i].port, "", "secret-cookie");
    }
    check_upstream_requests(d.plains[0].port, "Bearer plain-credential",
                            "secret-cookie");
    g_assert_cmpint(
        HTTP_COUNT_SEEN(d.engines[0].port, "Bearer engine-credential") +
            HTTP_COUNT_SEEN(d.engines[1].port, "Bearer engine-credential"),
        >=, 3);
    g_free(key_copy);
    g_free(key);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    deployment_start(&d, 2, 2, 1);
    g_test_add_func("/request-path/chat", test_chat);
    g_test_add_func("/request-path/plain", test_plain);
    g_test_add_func("/request-path/refusals", test_refusals);
    g_test_add_func("/request-path/addresses", test_addresses);
    g_test_add_func("/request-path/caller-headers-removed",
                    test_caller_headers_removed);
    code = g_test_run();
    deployment_stop(&d);
    return code;
}
