#ifndef CT_RELAY_END_H
#define CT_RELAY_END_H

#include "relay.h"

/*
 * Ends of relayed calls and of their attempts, and what both need: the rows,
 * the retry budgets and the log events.
 */

/* Counts and logs a refusal and sends it to the caller; keeps the row. */
void ct_relay_refuse(struct ct_state *state, const struct ct_relay *relay,
                     enum ct_refusal reason);

/* Frees the call's attempt; later events of the attempt are ignored. */
void ct_relay_end_attempt(struct ct_state *state, struct ct_relay *relay,
                          enum ct_outcome outcome);
/* Cancels the call's attempt if it has one. */
void ct_relay_cancel(struct ct_state *state, struct ct_relay *relay);

/* Frees the call's row. */
void ct_relay_remove(struct ct_state *state, struct ct_handle handle,
                     struct ct_relay *relay);

/* Returns the retry budget of a pool, or NULL if out of memory. */
struct ct_retry_window *ct_relay_retry_window(struct ct_state *state,
                                              struct ct_handle pool);

/*
 * Refuses the call, or aborts its response if that has started. Frees the
 * row.
 */
void ct_relay_fail(struct ct_state *state, struct ct_handle handle,
                   enum ct_refusal reason);
/* Ends a call whose complete response was forwarded. Frees the row. */
void ct_relay_complete(struct ct_state *state, struct ct_handle handle,
                       uint32_t status);

/* Adds a log event about the call. */
struct ct_log_effect *ct_relay_log(struct ct_state *state,
                                   const struct ct_relay *relay,
                                   enum ct_log_event event);

#endif
