#ifndef CT_STORED_RESPONSE_H
#define CT_STORED_RESPONSE_H

#include "event.h"

/*
 * Answers that a caller asks for again, by request id and offset: through the
 * host that has them, or by a redirect to that host.
 */

/* How long an answer is kept after its end. */
#define CT_RESPONSE_RETENTION_MS 60000

/* How long a host waits for peers to say that they have an answer. */
#define CT_RESPONSE_LOOKUP_TIMEOUT_MS 1000

/* A caller who waits for peers to say who keeps an answer. */
struct ct_response_lookup {
    struct ct_response_request ask;
    ct_ms deadline_ms;
};

struct ct_state;

void ct_stored_response_on_request(struct ct_state *state,
                                   const struct ct_response_request *ask);

/* A peer asks for, or says that it keeps, the answer of a request. */
void ct_stored_response_on_peer_lookup(struct ct_state *state,
                                       const struct ct_peer_message *message);
void ct_stored_response_on_peer_found(struct ct_state *state,
                                      const struct ct_peer_message *message);

/* CT_TIMER_RESPONSE_LOOKUP */
void ct_stored_response_on_lookup_timer(struct ct_state *state,
                                        struct ct_handle handle);

/* The caller of this number left while it waited. */
void ct_stored_response_on_caller_disconnected(struct ct_state *state,
                                               uint64_t caller);

/* CT_TIMER_RESPONSE_RETENTION */
void ct_stored_response_on_retention_timer(struct ct_state *state,
                                           struct ct_handle handle);

#endif
