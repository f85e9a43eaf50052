#ifndef CT_HTTP_CALL_H
#define CT_HTTP_CALL_H

#include <glib.h>
#include <stdbool.h>

#include "clock.h"

/* One HTTP request at a time, for a program that waits for its answer. */

struct ct_http_response {
    long status;
    GString *body;
    /* Bytes of the request may have left; the other side may have acted. */
    bool sent;
};

/*
 * Sends a GET, or a POST where body is not NULL, to "IP:port" and path. The
 * caller frees the answer with ct_http_response_free(), also on failure.
 * Errors: CT_ERR_IO where no whole answer came.
 */
int ct_http_call(const char *address, const char *path, const GString *body,
                 ct_ms timeout_ms, struct ct_http_response *answer);
void ct_http_response_free(struct ct_http_response *answer);

#endif
