#ifndef CT_COUNTER_H
#define CT_COUNTER_H

#include <stdint.h>

#include "latency.h"
#include "refusal.h"

/* Counters of the reducer, besides one per refusal reason. X(name, text) */
#define CT_COUNTERS(X)                                                        \
    X(CALLS, "calls_total")                                                   \
    X(RESPONSES_COMPLETE, "answers_whole_total")                              \
    X(RESPONSES_ABORTED, "answers_broken_total")                              \
    X(CALLERS_DISCONNECTED, "callers_gone_total")                             \
    X(RESPONSES_OVER_MEMORY, "answers_over_memory_total")                     \
    X(BODIES_WAITED, "bodies_waited_total")                                   \
    X(BODIES_SHED, "bodies_shed_total")                                       \
    X(RESPONSES_UNREAD, "answers_unread_total")                               \
    X(CONNECTIONS_REFUSED, "connections_refused_total")                       \
    X(ATTEMPTS, "attempts_total")                                             \
    X(RETRY_NOT_SENT, "retries_not_sent_total")                               \
    X(RETRY_DECLINED, "retries_declined_total")                               \
    X(RETRY_FAILED, "retries_failed_total")                                   \
    X(RETRY_CONNECTION_LOST, "retries_broken_total")                          \
    X(RETRY_GAP_TIMEOUT, "retries_silent_total")                              \
    X(RETRY_MISMATCH, "retries_mismatch_total")                               \
    X(RETRY_EXPIRED, "retries_expired_total")                                 \
    X(RETRY_OVER_BUDGET, "retries_over_budget_total")                         \
    X(RESUMES, "resumes_total")                                               \
    X(PROMPT_CRASHES, "prompt_crashes_total")                                 \
    X(PARTS_QUARANTINED, "prompt_parts_quarantined_total")                    \
    X(NOTICES_LIMIT, "upstream_notices_limit_total")                          \
    X(NOTICES_PAUSE, "upstream_notices_pause_total")                          \
    X(NOTICES_LEAVING, "upstream_notices_leaving_total")                      \
    X(COLD_UPSTREAMS, "upstreams_cold_total")                                 \
    X(COLD_ATTEMPTS, "attempts_cold_total")                                   \
    X(ATTEMPTS_REROUTED, "attempts_rerouted_total")                           \
    X(ZONES_UNREACHABLE, "zones_unreachable_total")                           \
    X(LOAD_REPORTS, "load_reports_total")                                     \
    X(LOAD_IGNORED, "load_reports_ignored_total")                             \
    X(LOAD_EXPIRED, "load_reports_expired_total")                             \
    X(HEDGES, "hedges_total")                                                 \
    X(HEDGES_WASTED, "hedges_wasted_total")                                   \
    X(LATE_EVENTS, "late_attempt_events_total")                               \
    X(TIER_INVERSIONS, "tier_inversions_total")                               \
    X(TOKENS_IN, "tokens_in_total")                                           \
    X(TOKENS_OUT, "tokens_out_total")                                         \
    X(TOKENS_WASTED, "tokens_wasted_total")                                   \
    X(LOG_ENTRIES, "log_entries_total")                                       \
    X(LOG_REJECTED, "log_entries_rejected_total")                             \
    X(PEER_MESSAGES, "peer_messages_total")                                   \
    X(ORDERS, "orders_total")                                                 \
    X(ORDERS_EXPIRED, "orders_expired_total")                                 \
    X(REPORTS, "reports_total")

enum ct_counter {
#define X(name, text) CT_COUNTER_##name,
    CT_COUNTERS(X)
#undef X
        CT_COUNTER_COUNT
};

struct ct_counters {
    uint64_t values[CT_COUNTER_COUNT];
    uint64_t refusals[CT_REFUSAL_COUNT];
    struct ct_latency latencies[CT_LATENCY_KINDS];
};

const char *ct_counter_text(enum ct_counter counter);

#endif
