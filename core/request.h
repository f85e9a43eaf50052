#ifndef CT_REQUEST_H
#define CT_REQUEST_H

#include "claim.h"
#include "request-table.h"

/*
 * Requests of callers, from arrival to the end of their response. The core
 * holds only the lengths of request bodies and responses; the shell holds the
 * bytes.
 */

struct ct_state;

/* Events of caller connections. */
void ct_requests_on_arrived(struct ct_state *state,
                            const struct ct_call *call);
void ct_requests_on_rejected(struct ct_state *state,
                             const struct ct_call_rejected *rejected);
void ct_requests_on_caller_disconnected(struct ct_state *state,
                                        uint64_t caller);

/* Changes of configuration, keys and claims that affect requests. */
void ct_requests_on_config_changed(struct ct_state *state);
void ct_requests_on_key_withdrawn(struct ct_state *state,
                                  struct ct_handle key);
void ct_requests_on_claim_read(struct ct_state *state,
                               const struct ct_record *record,
                               enum ct_claim_result result);

/*
 * Ends a request with an error: refuses it if the response head was not
 * written yet, else ends the response as aborted.
 */
void ct_request_fail(struct ct_state *state, struct ct_handle handle,
                     enum ct_refusal reason, ct_ms retry_after_ms);

/*
 * Writes the response bytes received so far to a caller that requested
 * streaming.
 */
void ct_request_write_progress(struct ct_state *state,
                               struct ct_handle handle);

/* Ends a request whose response is complete. */
void ct_request_complete(struct ct_state *state, struct ct_handle handle);

/* Frees the rows of a request and its stored response. */
void ct_request_remove(struct ct_state *state, struct ct_handle handle);

/*
 * Attaches a caller to the request in place of the current one, and writes the
 * response to it from the byte at offset on.
 */
void ct_request_attach_caller(struct ct_state *state, struct ct_handle handle,
                              uint64_t caller, uint64_t offset);

#endif
