#include "host-call.h"

#include <stdio.h>

#include "error.h"

int
ct_host_call(const char *address, const char *path, const char *body,
             ct_ms timeout_ms, struct ct_host_response *response)
{
    GString *request_body = body ? g_string_new(body) : NULL;
    struct ct_http_response http;
    int err = ct_http_call(address, path, request_body, timeout_ms, &http);

    *response = (struct ct_host_response){.status = http.status};
    if (err < 0) {
        fprintf(stderr, "%s: no response\n", address);
    }
    else if (ct_json_parse(&response->json, http.body->str, http.body->len) ==
             CT_OK) {
        response->object = ct_json_object(&response->json);
    }
    ct_http_response_free(&http);
    if (request_body) {
        g_string_free(request_body, TRUE);
    }
    return err;
}

void
ct_host_response_free(struct ct_host_response *response)
{
    ct_json_free(&response->json);
    response->object = NULL;
}
