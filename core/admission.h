#ifndef CT_ADMISSION_H
#define CT_ADMISSION_H

#include "event.h"
#include "refusal.h"
#include "request.h"

/*
 * What is checked of a call before it asks for a slot: whether this host may
 * serve, the caller's key, the route, and the idempotency key.
 */

struct ct_state;

/*
 * Whether this host can know that it is current. One that has heard nothing
 * for too long may have missed a withdrawal and refuses all callers.
 */
bool ct_admission_may_serve(const struct ct_state *state, ct_ms now_ms);

/*
 * Fills the request's organisation, key, route, class, pool and claim as far
 * as the checks come. Returns the reason to refuse it, or CT_REFUSAL_COUNT.
 */
enum ct_refusal ct_admission_check_call(const struct ct_state *state,
                                        const struct ct_call *call,
                                        struct ct_request *request);

#endif
