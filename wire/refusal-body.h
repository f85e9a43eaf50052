#ifndef CT_REFUSAL_BODY_H
#define CT_REFUSAL_BODY_H

#include <glib.h>

#include "refusal.h"

/* Refusals as they are sent to callers. */

/* Returns the value of Retry-After in seconds, rounded up. */
int64_t ct_retry_after_s(ct_ms retry_after_ms);

/* Appends the JSON body. */
void ct_refusal_body(enum ct_refusal reason, enum ct_run_state run_state,
                     const struct ct_request_id *request_id,
                     ct_ms retry_after_ms, GString *out);

/* Appends the error event that ends an aborted event stream. */
void ct_refusal_stream_event(enum ct_refusal reason,
                             enum ct_run_state run_state,
                             const struct ct_request_id *request_id,
                             ct_ms retry_after_ms, GString *out);

#endif
