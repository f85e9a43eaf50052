#ifndef CT_HOST_CALL_H
#define CT_HOST_CALL_H

#include "http-call.h"
#include "json-text.h"

/* Requests to the operators' port of a host that answer with JSON. */

struct ct_host_response {
    long status;
    struct ct_json json;
    /* The answer's object, or NULL. */
    JsonObject *object;
};

/*
 * Sends a GET, or a POST where body is not NULL. The caller frees the answer
 * with ct_host_response_free(), also on failure. Errors: CT_ERR_IO; a message
 * was written to stderr.
 */
int ct_host_call(const char *address, const char *path, const char *body,
                 ct_ms timeout_ms, struct ct_host_response *answer);
void ct_host_response_free(struct ct_host_response *answer);

#endif
