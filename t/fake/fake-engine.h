#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "fake-http.h"

/* The engine: its calls in fake-engine.c, its reports in fake-engine-report.c
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
    /* Bytes of the body that the caller already has. */
    int64_t skip;
    int64_t place;
    int64_t tokens;
    int64_t token;
    int64_t sent;
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
    GArray *cached;
    GArray *load;
    int64_t newest_term;

    int64_t slots;
    int64_t token_ms;
    int64_t first_token_ms;
    int64_t tokens;
    int64_t silent_after_tokens;
    int64_t break_after_tokens;
    /* Calls still to be hit by the two above, -1 for all. */
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

/* Notes the load as it is now, for reports that lag. */
void engine_sample_load(struct engine *e);
void engine_reply_load(struct engine *e, struct fake_request *request);

/* Returns true when the prefix was cached; caches it otherwise. */
bool engine_use_cache(struct engine *e, uint64_t prefix);
void engine_reply_cache(struct engine *e, struct fake_request *request);

#endif
