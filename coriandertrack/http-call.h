#ifndef CT_HTTP_CALL_H
#define CT_HTTP_CALL_H

#include <glib.h>
#include <stdbool.h>

#include "clock.h"

/* Blocking HTTP requests. */

struct ct_http_response {
    long status;
    GString *body;
    /* The request may have been sent; the server may have processed it. */
    bool sent;
};

/*
 * Sends a GET, or a POST if body is not NULL, to "IP:port" and path. The
 * caller frees the response with ct_http_response_free(), also on failure.
 * Errors: CT_ERR_IO if no complete response arrived.
 */
int ct_http_call(const char *address, const char *path, const GString *body,
                 ct_ms timeout_ms, struct ct_http_response *response);
void ct_http_response_free(struct ct_http_response *response);

#endif
