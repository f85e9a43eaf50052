#ifndef CT_ADMISSION_H
#define CT_ADMISSION_H

#include "event.h"
#include "refusal.h"
#include "request.h"

/*
 * Checks a call before it requests a slot: whether this host may serve
 * callers, the caller's key, the route, and the idempotency key.
 */

struct ct_state;

/*
 * Returns false if this host's copy of the log may be too old. It may then
 * have missed the withdrawal of a key, and refuses all callers.
 */
bool ct_admission_may_serve(const struct ct_state *state, ct_ms now_ms);

/*
 * Fills in the request's organisation, key, route, class, pool and claim, up
 * to the first check that fails. Returns the reason to refuse the request, or
 * CT_REFUSAL_COUNT if it passed all checks.
 */
enum ct_refusal ct_admission_check_call(const struct ct_state *state,
                                        const struct ct_call *call,
                                        struct ct_request *request);

#endif
