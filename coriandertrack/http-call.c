#include "http-call.h"

#include <curl/curl.h>

#include "error.h"

#define CONNECT_TIMEOUT_MS 2000

static int
on_connected(void *arg, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
    struct ct_http_response *response = arg;

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    response->sent = true;
    return CURL_PREREQFUNC_OK;
}

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
    struct ct_http_response *response = arg;

    g_string_append_len(response->body, data, (gssize)(size * n));
    return size * n;
}

static void
set_options(CURL *easy, const char *url, const GString *body, ct_ms timeout_ms,
            struct ct_http_response *response)
{
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_connected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, response);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
    if (body) {
        /* On a fresh connection libcurl never sends a request twice. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)body->len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->str);
    }
}

int
ct_http_call(const char *address, const char *path, const GString *body,
             ct_ms timeout_ms, struct ct_http_response *response)
{
    struct curl_slist *headers = NULL;
    char *url = g_strconcat("http://", address, path, NULL);
    CURL *easy = curl_easy_init();
    int err = CT_ERR_IO;

    *response = (struct ct_http_response){0, g_string_new(NULL), false};
    if (!easy) {
        goto out;
    }
    headers = curl_slist_append(headers, "Expect:");
    if (body) {
        headers = curl_slist_append(headers, "Content-Type: application/json");
    }
    set_options(easy, url, body, timeout_ms, response);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
        err = CT_OK;
    }
out:
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    g_free(url);
    return err;
}

void
ct_http_response_free(struct ct_http_response *response)
{
    g_string_free(response->body, TRUE);
    response->body = NULL;
}
