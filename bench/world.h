#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "balance-policy.h"
#include "engine.h"
#include "event-queue.h"
#include "load.h"
#include "reduce.h"
#include "trace-policy.h"

/*
 * Simulates one host's reducer on a virtual clock with the upstreams of an
 * example deployment, callers and a log with a short fixed delay. Other hosts
 * appear as load at the upstreams, of which this host learns only from load
 * reports.
 */

struct policy {
    const char *name;
    struct ct_queue_policy *(*queue_new)(uint32_t max_queued);
    struct ct_balance_policy *(*balance_new)(void);
};

struct request {
    guint klass;
    guint organisation;
    guint tokens;
    guint prompt_tokens;
    guint64 prefix;
    gint64 arrived_us;
    /* Time of the first data; negative before it. */
    gint64 first_us;
    gint64 last_us;
    gboolean ended;
    gboolean complete;
    enum ct_refusal reason;
    /* Tokens generated at upstreams, and those generated at cheap ones. */
    guint generated;
    guint generated_cheap;
};

struct world {
    const struct load *load;
    const struct scenario *scenario;
    struct ct_state *state;
    struct trace_policy *trace;
    struct ct_effects effects;
    struct event_queue event_queue;
    GRand *random;
    gint64 now_us;
    gint64 wake_us;
    gint64 next_offset;

    /* struct engine, struct sequence, struct request */
    GArray *engines;
    GArray *sequences;
    GArray *free_sequences;
    GArray *requests;
    /* struct ct_upstream, one per engine */
    GArray *upstreams;
    /* Index of a sequence by index of the attempt's handle; or G_MAXUINT. */
    GArray *sequences_by_attempt;
    /* struct ct_record: all records appended to the log. */
    GPtrArray *records;
    guint64 events;
};

struct world *world_new(const struct load *load,
                        const struct scenario *scenario,
                        const struct policy *policy, guint seed);
void world_run(struct world *world);
void world_free(struct world *world);

#endif
