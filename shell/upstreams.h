#ifndef CT_UPSTREAMS_H
#define CT_UPSTREAMS_H

#include "response-store.h"
#include "http.h"
#include "loop.h"

/*
 * The executor of attempts: sends a stored request to an upstream and stores
 * its answer. The headers that an upstream sees are made here from an
 * allow-list; nothing else of the caller's head gets there.
 */

struct ct_upstreams;

/* Everything is borrowed; the client must outlive it. */
struct ct_upstreams *ct_upstreams_new(struct ct_loop *loop,
                                      struct ct_http *http,
                                      struct ct_response_store *answers);
struct ct_executor *ct_upstreams_executor(struct ct_upstreams *upstreams);

/* The system's own credential for the upstreams of a pool; copied. */
void ct_upstreams_set_credential(struct ct_upstreams *upstreams,
                                 const struct ct_name *pool,
                                 const char *secret);

/* Attempts that run now. */
uint32_t ct_upstreams_running(const struct ct_upstreams *upstreams);

#endif
