#ifndef CT_LIMITED_LOG_H
#define CT_LIMITED_LOG_H

#include "effect.h"

/*
 * Log events that outside clients can cause at any rate. A kind is logged at
 * most once in ten seconds, with the number of its occurrences since the line
 * before.
 */

#define CT_LIMITED_LOG_FIRST CT_LOG_BODIES_SHED
#define CT_LIMITED_LOG_LAST CT_LOG_CALLS_REJECTED
#define CT_LIMITED_LOGS (CT_LIMITED_LOG_LAST - CT_LIMITED_LOG_FIRST + 1)

struct ct_limited_logs {
    struct {
        /* 0 if it never was. */
        ct_ms logged_ms;
        int64_t occurrences;
    } kinds[CT_LIMITED_LOGS];
};

struct ct_state;

/*
 * Whether an event is logged now of which the last line was at *logged_ms, 0
 * for never: at most once in ten seconds. If so, sets *logged_ms.
 */
bool ct_log_is_due(ct_ms now_ms, ct_ms *logged_ms);

/*
 * Counts an occurrence of an event from CT_LIMITED_LOG_FIRST to
 * CT_LIMITED_LOG_LAST; reason may be NULL.
 */
void ct_limited_log(struct ct_state *state, enum ct_log_event event,
                    const char *reason);

#endif
