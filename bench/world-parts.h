#ifndef BENCH_WORLD_PARTS_H
#define BENCH_WORLD_PARTS_H

#include "state.h"
#include "world.h"

/* Internal interfaces of the files world*.c. */

enum world_entry {
    KIND_ARRIVAL,
    KIND_BACKGROUND,
    KIND_TICK,
    KIND_STARTED,
    KIND_CHUNK,
    KIND_NOT_SENT,
    KIND_REPORT,
    KIND_REPORT_RECEIVED,
    KIND_LOG_HEAD,
    KIND_LOG_ENTRY,
    KIND_DISTURB,
};

#define BYTES_PER_TOKEN 4
#define REPORT_PERIOD_US 500000
#define NETWORK_DELAY_US 1000

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

/* Passes an event to the reducer and applies its effects. */
void world_post(struct world *w, struct ct_event *event);
gint64 world_exponential_us(struct world *w, gdouble per_s);

/* world-upstreams.c */
void world_start_attempt(struct world *w,
                         const struct ct_attempt_effect *start);
void world_cancel_attempt(struct world *w, struct ct_handle attempt);
gboolean world_is_stale_entry(struct world *w,
                              const struct event_queue_entry *entry);
void world_on_started(struct world *w, guint i);
void world_on_chunk(struct world *w, guint i);
void world_end_sequence(struct world *w, guint i, enum ct_outcome outcome);
void world_on_background(struct world *w);
void world_apply_disturbances(struct world *w);

#endif
