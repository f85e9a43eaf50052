#ifndef SOAK_RELAY_H
#define SOAK_RELAY_H

#include <glib.h>

#include "fault.h"
#include "lib-http.h"
#include "lib-process.h"

/*
 * Runs relaying hosts against fake servers of the users' platform (a store and
 * upstreams called runners) while random faults occur. A loopback proxy
 * between each host and the store, and one in front of each runner, injects
 * network faults. Callers check each response; at the end their records are
 * compared with what the fake servers received. Each guarantee that does not
 * hold is printed as one violation.
 */

#define RELAY_HOSTS_MAX 80
#define RELAY_RUNNERS 4
#define RELAY_KEYS_MAX 64
#define RELAY_DRAINS_MAX 256
/* Runners from this one on are in a zone that is evacuated now and then. */
#define RELAY_EVACUATED_FROM 2
#define RELAY_EVACUATED_ZONE "y"

/* Time limits; all but RELAY_RECOVER_MS stand in the hosts' settings. */
#define RELAY_REVOKE_MS 3000
#define RELAY_DRAIN_MS 2000
#define RELAY_STEADY_MS 3000
#define RELAY_RECOVER_MS 12000
#define RELAY_GRACE_S 8

enum relay_kind {
    /* Not idempotent: runs at most once. */
    RELAY_ONCE,
    RELAY_IDEMPOTENT,
    /* A stream that may resume at another upstream. */
    RELAY_RESUMABLE_STREAM,
    /* A stream that may not resume. */
    RELAY_STREAM,
    RELAY_KINDS,
};

enum relay_outcome {
    RELAY_COMPLETE,
    /* 408, 421, 429 or 503: the request did not run and will not run. */
    RELAY_NOT_RUN,
    /* Another failure, or a truncated stream. */
    RELAY_FAILED,
    /* 401 */
    RELAY_UNKNOWN_KEY,
    RELAY_CONNECT_FAILED,
    /* The connection ended or timed out without a complete response. */
    RELAY_DISCONNECTED,
    RELAY_OUTCOMES,
};

/* The outcome of one call at its caller. */
struct relay_record {
    enum relay_kind kind;
    enum relay_outcome outcome;
    int host;
    int key;
    int64_t started_ms;
    char id[24];
};

/* Key N; organisation "org-N" owns it and no other. */
struct relay_key {
    char text[24];
    /*
     * 0 while the key is valid, 1 while the configuration without it is being
     * published, 2 once the store has that configuration.
     */
    gint withdrawn;
    int64_t withdrawn_ms;
};

/*
 * Period in which the store listed a runner as draining, or its zone as
 * evacuated.
 */
struct relay_drain {
    int runner;
    int64_t from_ms;
    int64_t until_ms;
};

struct relay_host {
    struct process process;
    struct process store_proxy;
    char *settings;
    /* Active faults that callers may notice. */
    gint active_disruptions;
    /* Number of such faults since the start. */
    gint disruptions;
    gint restarts;
    /* Runs a crowd of hostile clients; NULL if there is none. */
    GThread *crowd;
};

struct relay_soak {
    struct fault_world world;
    guint32 seed;
    int n_hosts;
    /* Time limits are checked too. */
    bool timed;
    char *directory;
    struct process store;
    struct process runners[RELAY_RUNNERS];
    struct process runner_proxies[RELAY_RUNNERS];
    struct relay_host hosts[RELAY_HOSTS_MAX];
    int version;
    int64_t until_ms;
    gint stop;
    GMutex lock;
    /* struct relay_record, under the lock. */
    GArray *records;
    struct relay_key keys[RELAY_KEYS_MAX];
    gint n_keys;
    struct relay_drain drains[RELAY_DRAINS_MAX];
    int n_drains;
    /*
     * struct relay_disturbance: periods with a fault of the store, of a link
     * to it or of a host.
     */
    GArray *disturbances;
};

struct relay_disturbance {
    int64_t from_ms;
    /* 0 while the fault is active. */
    int64_t until_ms;
};

/* Starts and stops processes and writes the upstream entries. */
void relay_world_start(struct relay_soak *s);
void relay_world_stop(struct relay_soak *s);
void relay_world_start_host(struct relay_soak *s, int i);
void relay_world_put_runner(struct relay_soak *s, int i, const char *state);
bool relay_world_is_ready(struct relay_soak *s, int i);

/* Operators change keys, publish configurations and drain upstreams. */
struct relay_operators;
struct relay_operators *relay_operators_new(struct relay_soak *s);
void relay_operators_step(struct relay_operators *o);
void relay_operators_free(struct relay_operators *o);
/* Publishes a configuration with all keys that are not withdrawn. */
void relay_operators_publish(struct relay_soak *s);

void relay_start_callers(struct relay_soak *s, GThread **threads, int n);
/* Makes one call, checks its response and records the outcome. */
void relay_call(struct relay_soak *s, GRand *random,
                struct relay_record *record);

struct faults *relay_faults_new(struct relay_soak *s);

/* Compares the records with what the fake servers received. */
void relay_check_results(struct relay_soak *s);

#endif
