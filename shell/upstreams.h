#ifndef CT_UPSTREAMS_H
#define CT_UPSTREAMS_H

#include "response-store.h"
#include "http.h"
#include "loop.h"

/*
 * The executor of attempts: sends a stored request to an upstream and stores
 * its response. The request headers are built here from an allow-list; nothing
 * else of the caller's head reaches an upstream.
 */

struct ct_upstreams;

/* Borrows its arguments; the HTTP client must outlive the executor. */
struct ct_upstreams *ct_upstreams_new(struct ct_loop *loop,
                                      struct ct_http *http,
                                      struct ct_response_store *responses);
struct ct_executor *ct_upstreams_executor(struct ct_upstreams *upstreams);

/* Sets the system's own credential for the upstreams of a pool; copied. */
void ct_upstreams_set_credential(struct ct_upstreams *upstreams,
                                 const struct ct_name *pool,
                                 const char *secret);

/* Number of attempts in progress. */
uint32_t ct_upstreams_attempt_count(const struct ct_upstreams *upstreams);

#endif
