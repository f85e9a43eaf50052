#ifndef CT_DISPATCH_H
#define CT_DISPATCH_H

#include "queue-policy.h"
#include "request.h"

/*
 * From the queue to an upstream: gives slots to requests, claims what may run
 * only once, chooses upstreams and starts attempts.
 */

struct ct_state;

/* Puts an accepted request into the queue of its pool, or refuses it. */
void ct_dispatch_enqueue(struct ct_state *state, struct ct_handle handle);

/* Starts the next attempt of a request that holds a slot. */
void ct_dispatch_start_attempt(struct ct_state *state,
                               struct ct_handle handle);

/* Gives back the slot of a request and serves the queue. */
void ct_dispatch_release_slot(struct ct_state *state, struct ct_handle handle,
                              bool whole);

/* Takes a request out of the queue. */
void ct_dispatch_dequeue(struct ct_state *state, struct ct_handle handle);

/* Starts what can be started in a pool and refuses what waited too long. */
void ct_dispatch_serve_pool(struct ct_state *state, struct ct_handle pool);

/* Tells the queue about classes, organisations and slots in force. */
void ct_dispatch_configure(struct ct_state *state);
void ct_dispatch_update_slots(struct ct_state *state, struct ct_handle pool);

/* CT_TIMER_QUEUE, CT_TIMER_CLAIM, CT_TIMER_RETRY */
void ct_dispatch_on_queue_timer(struct ct_state *state,
                                struct ct_handle handle);
void ct_dispatch_on_claim_timer(struct ct_state *state,
                                struct ct_handle handle);
void ct_dispatch_on_retry_timer(struct ct_state *state,
                                struct ct_handle handle);

/* The result of an append; refuses the request whose claim it was. */
void ct_dispatch_on_append_done(struct ct_state *state,
                                const struct ct_append_done *done);

/* An upstream for a second attempt beside a running one, or none. */
struct ct_handle ct_dispatch_choose_hedge(struct ct_state *state,
                                          struct ct_handle handle);

/* CT_TIMER_PROBE: slots of upstreams that were ejected or are back. */
void ct_dispatch_on_probe_timer(struct ct_state *state);

/* Appends that a claim is over. */
void ct_dispatch_append_claim_done(struct ct_state *state,
                                   const struct ct_claim *claim,
                                   int32_t status);

#endif
