#ifndef CT_STATE_VIEW_H
#define CT_STATE_VIEW_H

#include <stdint.h>

#include "clock.h"
#include "config.h"
#include "counter.h"

/* Read-only views of a host's state, for the operators' port and embedders. */

struct ct_state;

enum ct_health {
    CT_HEALTH_STARTING = 1,
    CT_HEALTH_READY,
    /* May have missed a withdrawal or a configuration; refuses callers. */
    CT_HEALTH_NOT_CURRENT,
    CT_HEALTH_DRAINING,
};

struct ct_state_summary {
    enum ct_health health;
    int64_t log_applied;
    int64_t log_head;
    int64_t config_offset;
    uint32_t organisations;
    uint32_t keys;
    uint32_t claims;
    uint32_t requests_active;
    uint32_t requests_retained;
    uint32_t attempts;
    uint32_t refusals_pending;
    uint64_t refusals_dropped;
    uint32_t zones_evacuated;
};

struct ct_upstream_view {
    struct ct_upstream conf;
    enum ct_pool_kind kind;
    uint32_t in_flight;
    bool usable;
    bool leaving;
};

struct ct_pool_view {
    struct ct_name name;
    uint32_t slots_busy;
    uint32_t slots_held;
    uint32_t slots_total;
    uint32_t queued;
};

/*
 * now_ms is the monotonic time of the clock that the events are stamped with.
 */
enum ct_health ct_state_health(const struct ct_state *state, ct_ms now_ms);
const char *ct_health_text(enum ct_health health);

const struct ct_counters *ct_state_counters(const struct ct_state *state);

void ct_state_summarise(const struct ct_state *state, ct_ms now_ms,
                        struct ct_state_summary *summary);

/*
 * Iterate over the configured upstreams and pools; start with *cursor = 0.
 * Return false after the last one.
 */
bool ct_state_next_upstream(const struct ct_state *state, ct_ms now_ms,
                            uint32_t *cursor, struct ct_upstream_view *view);
bool ct_state_next_pool(const struct ct_state *state, uint32_t *cursor,
                        struct ct_pool_view *view);

#endif
