#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "agenda.h"
#include "balance-policy.h"
#include "engine.h"
#include "load.h"
#include "reduce.h"
#include "trace-policy.h"

/*
 * One host's reducer with a virtual clock, the upstreams of an example
 * deployment, callers and a log that answers at once. Other hosts appear as
 * load at the upstreams, which this host knows only from reports.
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
    /* Negative until it came. */
    gint64 first_us;
    gint64 last_us;
    gboolean ended;
    gboolean whole;
    enum ct_refusal reason;
    /* Made for it at upstreams, and of these at cheap ones. */
    guint made;
    guint made_cheap;
};

struct world {
    const struct load *load;
    const struct scenario *scenario;
    struct ct_state *state;
    struct trace_policy *trace;
    struct ct_effects effects;
    struct agenda agenda;
    GRand *random;
    gint64 now_us;
    gint64 wake_us;
    gint64 next_offset;

    /* struct engine, struct sequence, struct request */
    GArray *engines;
    GArray *sequences;
    GArray *free_sequences;
    GArray *requests;
    /* struct ct_upstream, one an engine */
    GArray *upstreams;
    /* Sequence number by index of an attempt's handle; G_MAXUINT: none. */
    GArray *by_attempt;
    /* Records on their way into the log; GPtrArray of struct ct_record. */
    GPtrArray *records;
    guint64 events;
};

struct world *world_new(const struct load *load,
                        const struct scenario *scenario,
                        const struct policy *policy, guint seed);
void world_run(struct world *world);
void world_free(struct world *world);

#endif
