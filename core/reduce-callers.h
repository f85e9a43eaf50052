#ifndef CT_REDUCE_CALLERS_H
#define CT_REDUCE_CALLERS_H

#include "event.h"

/* The part of the reducer for the callers of relayed calls. */

struct ct_state;

/* Errors: CT_ERR_INVALID for an event that is not about them. */
int ct_reduce_caller_event(struct ct_state *state,
                           const struct ct_event *event);
/* CT_TIMER_BODIES */
void ct_reduce_bodies_timer(struct ct_state *state);

#endif
