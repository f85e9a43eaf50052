#ifndef SOAK_H
#define SOAK_H

#include "fault.h"
#include "lib-deployment.h"

/*
 * Runs a deployment for some minutes while random faults occur, up to three at
 * a time. Callers record their outcomes; at the end these are compared with
 * the logs of the fake servers. Each guarantee that does not hold is printed
 * as one violation.
 */

#define SOAK_HOSTS 8
#define SOAK_ENGINES 4
#define SOAK_PLAINS 4
#define SOAK_KEYS_MAX 64
/* Time until a change of keys or configuration is in force at all hosts. */
#define SOAK_PROPAGATION_MS 15000

enum soak_kind { SOAK_STREAM, SOAK_NON_STREAM, SOAK_BOOK, SOAK_STOCK };

enum soak_outcome {
    SOAK_OUTCOME_COMPLETE,
    SOAK_OUTCOME_NOT_RUN,
    SOAK_OUTCOME_MAY_HAVE_RUN,
    /* The stream ended with an error event. */
    SOAK_OUTCOME_ABORTED,
    /* No connection to the host. */
    SOAK_OUTCOME_CONNECT_FAILED,
    /* The connection ended or timed out without a complete response. */
    SOAK_OUTCOME_DISCONNECTED,
    SOAK_OUTCOME_COUNT,
};

/* The outcome of one call at its caller. */
struct soak_record {
    enum soak_kind kind;
    enum soak_outcome outcome;
    int host;
    /* Restarts of the host before the call. */
    int restarts;
    int64_t started_ms;
    char request_id[40];
    char idempotency_key[40];
    char reason[32];
};

struct soak_key {
    char text[KEY_BYTES];
    char label[24];
    /* 0 while the key is valid; set after withdrawn_ms on confirmation. */
    gint withdrawn;
    int64_t withdrawn_ms;
};

/* Faults of a host; the callers read them. */
struct soak_host {
    /* Active faults that callers may notice. */
    gint active_disruptions;
    /* Number of such faults since the start. */
    gint disruptions;
    gint restarts;
};

struct soak {
    struct fault_world world;
    struct deployment d;
    struct process peer_proxies[SOAK_HOSTS];
    struct soak_host hosts[SOAK_HOSTS];
    guint32 seed;
    int64_t until_ms;
    gint stop;
    GMutex lock;
    /* struct soak_record, under the lock. */
    GArray *records;
    struct soak_key keys[SOAK_KEYS_MAX];
    gint n_keys;
};

void soak_start_callers(struct soak *s, GThread **threads, int n);

/* Call faults_step() on the main thread only: it starts processes. */
struct faults *soak_faults_new(struct soak *s);
bool soak_faults_is_host_active(const struct faults *faults, int host);

/*
 * Operators publish configurations, grant and withdraw keys, and check that no
 * host returns to an older configuration.
 */
struct soak_operators;
struct soak_operators *soak_operators_new(struct soak *s);
void soak_operators_step(struct soak_operators *o,
                         const struct faults *faults);
void soak_operators_free(struct soak_operators *o);

/* Compares the records with the logs of the fake servers. */
void soak_check_results(struct soak *s);

#endif
