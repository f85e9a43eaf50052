#ifndef CT_DISPATCH_H
#define CT_DISPATCH_H

#include "queue-policy.h"
#include "request.h"

/*
 * Moves requests from the queue to an upstream: assigns slots, appends the
 * claim of a request that may run only once, chooses upstreams and starts
 * attempts.
 */

struct ct_state;

/*
 * Passes a request to the queue of its pool, which starts, queues or refuses
 * it.
 */
void ct_dispatch_enqueue(struct ct_state *state, struct ct_handle handle);

/* Starts the next attempt of a request that holds a slot. */
void ct_dispatch_start_attempt(struct ct_state *state,
                               struct ct_handle handle);

/*
 * Releases the slot of a request and serves the queue of its pool. The
 * response was complete if complete is set.
 */
void ct_dispatch_release_slot(struct ct_state *state, struct ct_handle handle,
                              bool complete);

/* Removes a request from the queue. */
void ct_dispatch_dequeue(struct ct_state *state, struct ct_handle handle);

/*
 * Starts queued requests while slots are free, and refuses those that have
 * waited too long.
 */
void ct_dispatch_serve_pool(struct ct_state *state, struct ct_handle pool);

/*
 * Pass the configured classes and organisations, and the slots in use, to the
 * queue policy.
 */
void ct_dispatch_configure(struct ct_state *state);
void ct_dispatch_update_slots(struct ct_state *state, struct ct_handle pool);

/* CT_TIMER_QUEUE, CT_TIMER_CLAIM, CT_TIMER_RETRY */
void ct_dispatch_on_queue_timer(struct ct_state *state,
                                struct ct_handle handle);
void ct_dispatch_on_claim_timer(struct ct_state *state,
                                struct ct_handle handle);
void ct_dispatch_on_retry_timer(struct ct_state *state,
                                struct ct_handle handle);

/*
 * Handles the result of an append. If it failed, the request whose claim was
 * in it is refused.
 */
void ct_dispatch_on_append_done(struct ct_state *state,
                                const struct ct_append_done *done);

/* CT_TIMER_HEDGE */
void ct_dispatch_on_hedge_timer(struct ct_state *state,
                                struct ct_handle request);

/* Events of attempts that may end the request or start a further attempt. */
void ct_dispatch_on_attempt_data(struct ct_state *state,
                                 const struct ct_attempt_event *event);
void ct_dispatch_on_attempt_done(struct ct_state *state,
                                 const struct ct_attempt_event *event);

/*
 * CT_TIMER_SLOT_RECOUNT: recounts the slots, because upstreams are ejected and
 * readmitted over time.
 */
void ct_dispatch_on_slot_recount_timer(struct ct_state *state);

/* Handles a peer's request for slots, or its grant. */
void ct_dispatch_on_slot_message(struct ct_state *state,
                                 const struct ct_peer_message *message);
/* CT_TIMER_SLOT_SHARING */
void ct_dispatch_on_slot_sharing_timer(struct ct_state *state);

/* Appends the result of a claimed request. */
void ct_dispatch_append_claim_done(struct ct_state *state,
                                   const struct ct_claim *claim,
                                   int32_t status);

#endif
