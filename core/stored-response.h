#ifndef CT_STORED_RESPONSE_H
#define CT_STORED_RESPONSE_H

#include "event.h"

/*
 * Responses that a caller requests again by request id and offset: sent by the
 * host that retains them, or redirected to that host.
 */

/* How long a response is retained after its end. */
#define CT_RESPONSE_RETENTION_MS 60000

/* How long a host waits for a peer to report that it retains a response. */
#define CT_RESPONSE_LOOKUP_TIMEOUT_MS 1000

/* A caller that waits for a peer that retains its response. */
struct ct_response_lookup {
    struct ct_response_request query;
    ct_ms deadline_ms;
};

struct ct_state;

void ct_stored_response_on_request(struct ct_state *state,
                                   const struct ct_response_request *query);

/*
 * Handle a peer's lookup of a response, and a peer's report that it retains a
 * response.
 */
void ct_stored_response_on_peer_lookup(struct ct_state *state,
                                       const struct ct_peer_message *message);
void ct_stored_response_on_peer_found(struct ct_state *state,
                                      const struct ct_peer_message *message);

/* CT_TIMER_RESPONSE_LOOKUP */
void ct_stored_response_on_lookup_timer(struct ct_state *state,
                                        struct ct_handle handle);

/* Drops the lookups of a caller that disconnected. */
void ct_stored_response_on_caller_disconnected(struct ct_state *state,
                                               uint64_t caller);

/* CT_TIMER_RESPONSE_RETENTION */
void ct_stored_response_on_retention_timer(struct ct_state *state,
                                           struct ct_handle handle);

#endif
