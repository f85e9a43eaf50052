#ifndef CT_CANCEL_REQUEST_H
#define CT_CANCEL_REQUEST_H

#include "effect.h"
#include "http.h"

/*
 * Requests to engines to stop the work of cancelled attempts; internal to the
 * executor of upstreams.
 */

struct ct_cancel_requests;

/* Borrows the HTTP client, which must outlive the requests. */
struct ct_cancel_requests *ct_cancel_requests_new(struct ct_http *http);
/* Ends the requests in progress. */
void ct_cancel_requests_free(struct ct_cancel_requests *requests);

/*
 * Requests that the engine of the attempt stops. The response is ignored: if
 * the request fails, only work of the engine is wasted. authorization is the
 * value of the header; NULL for none.
 */
void ct_cancel_requests_send(struct ct_cancel_requests *requests,
                             const struct ct_attempt_effect *effect,
                             const char *authorization);

#endif
