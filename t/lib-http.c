#include "lib-http.h"

#include <string.h>

#include <curl/curl.h>

#define TIMEOUT_MS 30000

struct http_client {
    CURL *curl;
};

struct transfer {
    const struct http_call *call;
    struct http_reply *reply;
};

struct http_client *
http_client_new(void)
{
    struct http_client *client = g_new0(struct http_client, 1);

    client->curl = curl_easy_init();
    g_assert_nonnull(client->curl);
    return client;
}

void
http_client_free(struct http_client *client)
{
    curl_easy_cleanup(client->curl);
    g_free(client);
}

static size_t
on_header_data(char *data, size_t size, size_t n, void *arg)
{
    struct http_reply *reply = arg;

    g_string_append_len(reply->head, data, (gssize)(size * n));
    return size * n;
}

static size_t
on_body_data(char *data, size_t size, size_t n, void *arg)
{
    struct transfer *transfer = arg;
    const struct http_call *call = transfer->call;

    g_string_append_len(transfer->reply->body, data, (gssize)(size * n));
    if (call->on_data && !call->on_data(call->arg, transfer->reply->body)) {
        return 0;
    }
    return size * n;
}

void
http_client_call(struct http_client *client, uint16_t port, const char *path,
                 const struct http_call *call, struct http_reply *reply)
{
    struct transfer transfer = {call, reply};
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    CURL *curl = client->curl;
    char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);

    memset(reply, 0, sizeof(*reply));
    reply->head = g_string_new(NULL);
    reply->body = g_string_new(NULL);
    for (int i = 0; call->headers && call->headers[i]; i++) {
        headers = curl_slist_append(headers, call->headers[i]);
    }
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header_data);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, reply);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     (long)(call->timeout_ms ? call->timeout_ms : TIMEOUT_MS));
    if (call->body) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
    }
    reply->error = (int)curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
    curl_easy_getinfo(curl, CURLINFO_LOCAL_PORT, &reply->local_port);
    curl_slist_free_all(headers);
    g_free(url);
}

void
http_call(uint16_t port, const char *path, const struct http_call *call,
          struct http_reply *reply)
{
    struct http_client *client = http_client_new();

    http_client_call(client, port, path, call, reply);
    http_client_free(client);
}

void
http_reply_free(struct http_reply *reply)
{
    g_string_free(reply->head, TRUE);
    g_string_free(reply->body, TRUE);
}

char *
http_reply_header(const struct http_reply *reply, const char *name)
{
    char **lines = g_strsplit(reply->head->str, "\r\n", -1);
    size_t n = strlen(name);
    char *value = NULL;

    for (int i = 0; lines[i] && !value; i++) {
        if (g_ascii_strncasecmp(lines[i], name, n) == 0 &&
            lines[i][n] == ':') {
            value = g_strstrip(g_strdup(lines[i] + n + 1));
        }
    }
    g_strfreev(lines);
    return value;
}

void
http_set(uint16_t port, const char *path, const char *json)
{
    struct http_call call = {.body = json};
    struct http_reply reply;

    http_call(port, path, &call, &reply);
    if (reply.status / 100 != 2) {
        g_error("%s %s: %d, %ld %s", path, json, reply.error, reply.status,
                reply.body->str);
    }
    http_reply_free(&reply);
}

char *
http_get(uint16_t port, const char *path)
{
    struct http_call call = {.body = NULL};
    struct http_reply reply;

    http_call(port, path, &call, &reply);
    g_assert_cmpint(reply.status, ==, 200);
    g_string_free(reply.head, TRUE);
    return g_string_free(reply.body, FALSE);
}

static void
check_reply(const struct http_case *c, const struct http_reply *reply)
{
    if (reply->error != c->error || reply->status != c->status) {
        g_error("%s: error %d, status %ld: %s", c->name, reply->error,
                reply->status, reply->body->str);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(c->contains); i++) {
        if (c->contains[i] && !strstr(reply->body->str, c->contains[i]) &&
            !strstr(reply->head->str, c->contains[i])) {
            g_error("%s: no %s in %s%s", c->name, c->contains[i],
                    reply->head->str, reply->body->str);
        }
    }
    if (c->lacks && strstr(reply->body->str, c->lacks)) {
        g_error("%s: %s in %s", c->name, c->lacks, reply->body->str);
    }
}

void
http_run_cases(uint16_t port, const struct http_case *cases, int n)
{
    for (int i = 0; i < n; i++) {
        const struct http_case *c = &cases[i];
        struct http_call call = {.body = c->body,
                                 .headers = c->headers,
                                 .timeout_ms = c->timeout_ms};
        struct http_reply reply;

        if (c->set) {
            http_set(port, "/fake/set", c->set);
        }
        http_call(port, c->path, &call, &reply);
        check_reply(c, &reply);
        http_reply_free(&reply);
    }
}

static bool
contains_all(const char *text, const char *const *texts)
{
    for (int i = 0; texts[i]; i++) {
        if (!strstr(text, texts[i])) {
            return false;
        }
    }
    return true;
}

int
http_count_texts(uint16_t port, const char *const *texts)
{
    char *seen = http_get(port, "/fake/seen");
    char **entries = g_strsplit(seen, "{\"what\":", -1);
    int count = 0;

    for (int i = 1; entries[0] && entries[i]; i++) {
        count += contains_all(entries[i], texts);
    }
    g_strfreev(entries);
    g_free(seen);
    return count;
}
