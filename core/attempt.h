#ifndef CT_ATTEMPT_H
#define CT_ATTEMPT_H

#include "request-table.h"

/*
 * Attempts at upstreams: progress of the response, failures, retries, resumed
 * streams and hedges. Events that arrive after their attempt has ended are
 * counted and dropped.
 */

struct ct_state;

/* What must follow an event of an attempt. */
enum ct_attempt_step {
    CT_ATTEMPT_STEP_NONE,
    /* Response bytes arrived that the caller may get. */
    CT_ATTEMPT_STEP_WRITE,
    /* A further attempt is to be started now. */
    CT_ATTEMPT_STEP_RETRY,
    /* The request ends, with an error or with a complete response. */
    CT_ATTEMPT_STEP_FAIL,
    CT_ATTEMPT_STEP_COMPLETE,
};

struct ct_attempt_result {
    enum ct_attempt_step step;
    struct ct_handle request;
    /*
     * The attempt failed: the pool whose slots are to be recomputed before the
     * step, because its upstream may be ejected. Otherwise CT_NO_HANDLE.
     */
    struct ct_handle pool;
    /* The reason, for CT_ATTEMPT_STEP_FAIL. */
    enum ct_refusal reason;
};

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
struct ct_attempt_result
ct_attempt_on_data(struct ct_state *state,
                   const struct ct_attempt_event *event);
struct ct_attempt_result
ct_attempt_on_done(struct ct_state *state,
                   const struct ct_attempt_event *event);

/*
 * Whether the request still waits for the first data of its first attempt. If
 * so, the upstream of that attempt counts as tried.
 */
bool ct_attempt_awaits_hedge(struct ct_state *state, struct ct_handle request);
/* Starts a hedge at the upstream if the budget for hedges allows it. */
void ct_attempt_start_hedge(struct ct_state *state, struct ct_handle request,
                            struct ct_handle upstream);

#endif
