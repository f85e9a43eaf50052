#ifndef CT_REFUSAL_BODY_H
#define CT_REFUSAL_BODY_H

#include <glib.h>

#include "refusal.h"

/* Texts of a refusal as callers get them. */

/* Value of Retry-After in whole seconds, rounded up. */
int64_t ct_retry_after_s(ct_ms retry_after_ms);

/* Appends the JSON body. */
void ct_refusal_body(enum ct_refusal reason, enum ct_run_state run_state,
                     const struct ct_request_id *request_id,
                     ct_ms retry_after_ms, GString *out);

/* Appends the event that ends a stream which cannot be completed. */
void ct_refusal_stream_event(enum ct_refusal reason,
                             enum ct_run_state run_state,
                             const struct ct_request_id *request_id,
                             ct_ms retry_after_ms, GString *out);

#endif
