#ifndef CT_REFUSAL_H
#define CT_REFUSAL_H

#include "clock.h"
#include "name.h"

/*
 * Reasons for refusing a request: X(name, text, HTTP status). Each has a
 * counter.
 */
#define CT_REFUSALS(X)                                                        \
    X(BAD_REQUEST, "bad-request", 400)                                        \
    X(NO_KEY, "no-key", 401)                                                  \
    X(UNKNOWN_KEY, "unknown-key", 401)                                        \
    X(KEY_WITHDRAWN, "key-withdrawn", 401)                                    \
    X(ROUTE_FORBIDDEN, "route-forbidden", 403)                                \
    X(ROUTE_UNKNOWN, "route-unknown", 404)                                    \
    X(TOO_LARGE, "too-large", 413)                                            \
    X(REQUEST_TIMEOUT, "request-timeout", 408)                                \
    X(KEY_REQUIRED, "idempotency-key-required", 400)                          \
    X(KEY_TOO_OLD, "idempotency-key-too-old", 409)                            \
    X(DUPLICATE, "duplicate", 409)                                            \
    X(OVERLOAD, "overload", 429)                                              \
    X(OVER_SHARE, "over-fair-share", 429)                                     \
    X(TARGET_UNREACHABLE, "target-unreachable", 429)                          \
    X(QUEUE_TIMEOUT, "queue-timeout", 429)                                    \
    X(TABLE_FULL, "table-full", 503)                                          \
    X(NO_UPSTREAM, "no-upstream", 503)                                        \
    X(UPSTREAM_FAILED, "upstream-failed", 502)                                \
    X(UPSTREAM_SILENT, "upstream-silent", 504)                                \
    X(NOT_READY, "not-ready", 503)                                            \
    X(NOT_CURRENT, "not-current", 503)                                        \
    X(LOG_UNAVAILABLE, "log-unavailable", 503)                                \
    X(DRAINING, "draining", 503)                                              \
    X(RESPONSE_UNKNOWN, "answer-unknown", 404)                                \
    X(UPSTREAM_FULL, "upstream-full", 503)                                    \
    X(PROMPT_QUARANTINED, "prompt-quarantined", 503)                          \
    X(UPSTREAM_LIMITED, "upstream-limited", 503)                              \
    X(ZONE_EVACUATED, "zone-evacuated", 503)                                  \
    X(BODY_MEMORY, "body-memory", 503)                                        \
    X(PEER_LIMIT, "peer-limit", 429)                                          \
    X(RESPONSE_UNREAD, "answer-unread", 502)

enum ct_refusal {
#define X(name, text, status) CT_REFUSAL_##name,
    CT_REFUSALS(X)
#undef X
        CT_REFUSAL_COUNT
};

/* Whether a refused request may have run at an upstream. */
enum ct_run_state {
    CT_NOT_RUN = 1,
    CT_MAY_HAVE_RUN,
};

/* Record of a refusal, for later explanation. */
struct ct_refusal_row {
    struct ct_request_id request_id;
    struct ct_name organisation;
    struct ct_name class_name;
    struct ct_name host;
    struct ct_path path;
    ct_ms wall_ms;
    enum ct_refusal reason;
    enum ct_run_state run_state;
    /* State at the time of the refusal. */
    uint32_t tier;
    uint32_t queue_length;
    uint32_t slots_busy;
    uint32_t slots_total;
    ct_ms waited_ms;
    ct_ms expected_wait_ms;
    int64_t log_offset;
};

const char *ct_refusal_text(enum ct_refusal reason);
int ct_refusal_status(enum ct_refusal reason);
const char *ct_run_state_text(enum ct_run_state run_state);

#endif
