#include "cancel-request.h"

#include <glib.h>
#include <string.h>

#include "error.h"

struct ct_cancel_requests {
    struct ct_http *http;
    /* Set of struct cancel_request in progress. */
    GHashTable *in_progress;
};

struct cancel_request {
    struct ct_transfer transfer;
    struct ct_cancel_requests *requests;
    char *body;
};

static int
ignore_data(struct ct_transfer *transfer, const char *data, size_t n)
{
    (void)transfer;
    (void)data;
    (void)n;
    return CT_OK;
}

static void
free_cancel(struct cancel_request *cancel)
{
    ct_transfer_clear(&cancel->transfer);
    g_free(cancel->body);
    g_free(cancel);
}

static void
on_cancel_done(struct ct_transfer *transfer, CURLcode result)
{
    struct cancel_request *cancel = (struct cancel_request *)transfer;

    (void)result;
    g_hash_table_remove(cancel->requests->in_progress, cancel);
}

void
ct_cancel_requests_send(struct ct_cancel_requests *requests,
                        const struct ct_attempt_effect *effect,
                        const char *authorization)
{
    static const struct ct_transfer_ops ops = {
        .data = ignore_data,
        .done = on_cancel_done,
    };
    struct cancel_request *cancel = g_new0(struct cancel_request, 1);

    cancel->requests = requests;
    if (ct_transfer_init(&cancel->transfer, requests->http, &ops,
                         effect->address.text, "/cancel") < 0) {
        free_cancel(cancel);
        return;
    }
    cancel->body =
        g_strdup_printf("{\"request_id\":\"%s\"}", effect->request_id.text);
    ct_transfer_set_body(&cancel->transfer, cancel->body,
                         strlen(cancel->body));
    ct_transfer_add_header(&cancel->transfer, "Content-Type",
                           "application/json");
    if (authorization != NULL) {
        ct_transfer_add_header(&cancel->transfer, "Authorization",
                               authorization);
    }
    g_hash_table_add(requests->in_progress, cancel);
    if (ct_http_start(requests->http, &cancel->transfer) < 0) {
        g_hash_table_remove(requests->in_progress, cancel);
    }
}

struct ct_cancel_requests *
ct_cancel_requests_new(struct ct_http *http)
{
    struct ct_cancel_requests *requests = g_new0(struct ct_cancel_requests, 1);

    requests->http = http;
    requests->in_progress =
        g_hash_table_new_full(NULL, NULL, (GDestroyNotify)free_cancel, NULL);
    return requests;
}

void
ct_cancel_requests_free(struct ct_cancel_requests *requests)
{
    g_hash_table_destroy(requests->in_progress);
    g_free(requests);
}
