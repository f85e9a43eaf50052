#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "fake-http.h"

/*
 * The fake engine: fake-engine.c handles its calls, fake-engine-report.c its
 * reports.
 */

enum call_state {
    CALL_WAITING = 1,
    CALL_RUNNING,
    CALL_SILENT,
};

struct call {
    struct ct_handle request;
    char id[FAKE_ID_MAX];
    enum call_state state;
    int64_t priority;
    uint64_t arrival;
    bool stream;
    bool faulty;
    /* Number of bytes of the body that the caller already has. */
    int64_t resume_offset;
    int64_t position;
    int64_t tokens;
    int64_t next_token;
    int64_t sent_tokens;
    int64_t prompt_tokens;
    ct_ms due_ms;
};

struct cache_event {
    uint64_t prefix;
    bool stored;
    ct_ms at_ms;
};

struct load_sample {
    ct_ms at_ms;
    uint32_t running;
    uint32_t waiting;
};

struct engine {
    struct fake_server server;
    struct ev_timer tick;
    /* struct call */
    struct ct_table calls;
    uint64_t arrivals;
    uint32_t running;
    uint32_t waiting;
    ct_ms stalled_until_ms;
    GArray *cache_events;
    GArray *cached_prefixes;
    GArray *load_samples;
    int64_t newest_term;

    int64_t slots;
    int64_t token_ms;
    int64_t first_token_ms;
    int64_t tokens;
    int64_t silent_after_tokens;
    int64_t break_after_tokens;
    /* Number of further calls that the two faults above apply to; -1: all. */
    int64_t fault_calls;
    int64_t stall_ms;
    int64_t decline;
    int64_t wrong_id;
    int64_t load_age_ms;
    int64_t cache_lag_ms;
    int64_t close_after_read;
    int64_t checks_fencing;
};

void engine_init_reports(struct engine *e);

/* Records the current load for delayed reports. */
void engine_sample_load(struct engine *e);
void engine_reply_load(struct engine *e, struct fake_request *request);

/* Returns true if the prefix was cached, and caches it otherwise. */
bool engine_use_cache(struct engine *e, uint64_t prefix);
void engine_reply_cache(struct engine *e, struct fake_request *request);

#endif
