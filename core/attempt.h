#ifndef CT_ATTEMPT_H
#define CT_ATTEMPT_H

#include "request.h"

/*
 * Attempts at upstreams: progress of the response, failures, retries, resumed
 * streams and hedges. Events that arrive after their attempt has ended are
 * counted and dropped.
 */

struct ct_state;

/* Starts an attempt at the chosen upstream. */
struct ct_handle ct_attempt_start(struct ct_state *state,
                                  struct ct_handle request,
                                  struct ct_handle upstream);

/* Stops the running attempts of a request at their upstreams. */
void ct_attempts_cancel(struct ct_state *state, struct ct_handle request);

void ct_attempt_on_sent(struct ct_state *state,
                        const struct ct_attempt_event *event);
void ct_attempt_on_head(struct ct_state *state,
                        const struct ct_attempt_event *event);
void ct_attempt_on_data(struct ct_state *state,
                        const struct ct_attempt_event *event);
void ct_attempt_on_done(struct ct_state *state,
                        const struct ct_attempt_event *event);

/* CT_TIMER_HEDGE */
void ct_attempt_on_hedge_timer(struct ct_state *state,
                               struct ct_handle request);

#endif
