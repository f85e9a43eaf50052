#ifndef T_LIB_WORLD_PARTS_H
#define T_LIB_WORLD_PARTS_H

#include "lib-core.h"
#include "lib-world.h"

/* Types and functions shared by the modules of lib-world.h. */

#define HOSTS 2
#define CALLS_MAX 4096
#define KEYS 4
#define RESPONSE_PARTS 3
#define PART_BYTES 10

/* One call as the caller sees it. */
struct call {
    uint32_t host;
    uint64_t caller;
    struct ct_request_id id;
    uint8_t key;
    /* 0 for an idempotent call. */
    uint8_t idempotency_key;
    bool ended;
    uint64_t received_bytes;
};

/* One attempt as the upstream sees it. */
struct run {
    uint32_t host;
    uint32_t incarnation;
    struct ct_attempt_effect effect;
    bool sent;
    bool cancelled;
    uint32_t parts;
    uint64_t offset;
};

struct world {
    struct t_world_choices *choices;
    struct t_world_stats *stats;
    struct t_core hosts[HOSTS];
    /* Number of restarts; effects of an earlier process are ignored. */
    uint32_t incarnation[HOSTS];
    /* The log, and the number of its entries that each host has read. */
    GArray *log;
    /* Appends that may still take effect. */
    GArray *in_flight;
    uint32_t read[HOSTS];
    GArray *calls;
    GArray *runs;
    /* Runs by idempotency key and by request id. */
    uint32_t runs_of_key[256];
    GHashTable *runs_of_request;
    bool withdrawn[HOSTS][KEYS + 1];
    struct ct_record config;
    uint32_t next_id;
    uint8_t next_key;
};

/* lib-world.c */
uint32_t world_pick(struct world *w, uint32_t n);
struct call *world_find_call(struct world *w, uint32_t host, uint64_t caller);
uint32_t world_runs_of(const struct world *w, const struct ct_request_id *id);
void world_post(struct world *w, uint32_t host, struct ct_event *event);

/*
 * lib-world-runs.c: performs the next action of an upstream for one attempt;
 * with no_faults, without failures.
 */
void world_step_run(struct world *w, bool no_faults);

#endif
