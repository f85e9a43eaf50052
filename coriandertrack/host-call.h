#ifndef CT_HOST_CALL_H
#define CT_HOST_CALL_H

#include "http-call.h"
#include "json-text.h"

/* Requests to the operators' port of a host, with JSON responses. */

struct ct_host_response {
    long status;
    struct ct_json json;
    /* Root of the body; NULL if the body is not a JSON object. */
    JsonObject *object;
};

/*
 * Sends a GET, or a POST if body is not NULL. The caller frees the response
 * with ct_host_response_free(), also on failure. Errors: CT_ERR_IO, after a
 * message on stderr.
 */
int ct_host_call(const char *address, const char *path, const char *body,
                 ct_ms timeout_ms, struct ct_host_response *response);
void ct_host_response_free(struct ct_host_response *response);

#endif
