#ifndef BENCH_WORLD_PARTS_H
#define BENCH_WORLD_PARTS_H

#include "state.h"
#include "world.h"

/* What the parts of the world know of each other. */

enum world_entry {
    KIND_ARRIVAL,
    KIND_OTHERS,
    KIND_TICK,
    KIND_STARTED,
    KIND_CHUNK,
    KIND_NOT_SENT,
    KIND_REPORT,
    KIND_REPORTED,
    KIND_LOG_HEAD,
    KIND_LOG_ENTRY,
    KIND_DISTURB,
};

#define BYTES_PER_TOKEN 4
#define REPORT_PERIOD_US 500000
#define NET_US 1000

static inline struct engine *
world_engine(struct world *w, guint i)
{
    return &g_array_index(w->engines, struct engine, i);
}

static inline struct sequence *
world_sequence(struct world *w, guint i)
{
    return &g_array_index(w->sequences, struct sequence, i);
}

static inline struct request *
world_request(struct world *w, guint i)
{
    return &g_array_index(w->requests, struct request, i);
}

/* Hands an event to the reducer and carries out its effects. */
void world_post(struct world *w, struct ct_event *event);
gint64 world_exponential_us(struct world *w, gdouble per_s);

/* world-upstreams.c */
void world_start_attempt(struct world *w,
                         const struct ct_attempt_effect *start);
void world_cancel_attempt(struct world *w, struct ct_handle attempt);
gboolean world_is_stale(struct world *w, const struct entry *entry);
void world_on_started(struct world *w, guint i);
void world_on_chunk(struct world *w, guint i);
void world_end_sequence(struct world *w, guint i, enum ct_outcome outcome);
void world_on_others(struct world *w);
void world_on_disturb(struct world *w);

#endif
