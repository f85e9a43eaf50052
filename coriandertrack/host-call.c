#include "host-call.h"

#include <stdio.h>

#include "error.h"

int
ct_host_call(const char *address, const char *path, const char *body,
             ct_ms timeout_ms, struct ct_host_response *answer)
{
    GString *sent = body ? g_string_new(body) : NULL;
    struct ct_http_response http;
    int err = ct_http_call(address, path, sent, timeout_ms, &http);

    *answer = (struct ct_host_response){.status = http.status};
    if (err < 0) {
        fprintf(stderr, "%s: no answer\n", address);
    }
    else if (ct_json_parse(&answer->json, http.body->str, http.body->len) ==
             CT_OK) {
        answer->object = ct_json_object(&answer->json);
    }
    ct_http_response_free(&http);
    if (sent) {
        g_string_free(sent, TRUE);
    }
    return err;
}

void
ct_host_response_free(struct ct_host_response *answer)
{
    ct_json_free(&answer->json);
    answer->object = NULL;
}
