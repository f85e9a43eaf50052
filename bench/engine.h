#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include <glib.h>

#include "table.h"

/*
 * A simple model of an upstream. An engine batches continuously: the time
 * between tokens grows with the number of running requests, and the time to
 * the first token with the length of the prompt, by less if the prefix is
 * cached. Requests beyond the batch size wait in the engine, highest priority
 * first. A plain service responds after a time that grows with its load.
 */

/* Prefixes in the cache of an engine; the least recently used is evicted. */
#define ENGINE_PREFIXES 24

struct engine {
    gboolean plain;
    gboolean cheap;
    guint zone;
    guint max_batch;
    guint running;
    /* Numbers of waiting sequences (struct sequence), by priority. */
    GQueue waiting[4];
    gboolean down;
    /* Factor on all times, in percent; 100 is the normal speed. */
    guint slow_percent;
    guint64 prefixes[ENGINE_PREFIXES];
};

/* A request at an upstream. */
struct sequence {
    gboolean used;
    guint engine;
    /* CT_NO_HANDLE for load of other hosts. */
    struct ct_handle attempt;
    /* Index in the world's requests; unused for load of other hosts. */
    guint request;
    guint priority;
    guint prompt_tokens;
    guint64 prefix;
    guint resume_tokens;
    guint tokens;
    guint generated;
    gboolean in_batch;
};

/* Time to the first token, and between tokens, under the current load. */
gint64 engine_prefill_us(struct engine *engine,
                         const struct sequence *sequence);
gint64 engine_gap_us(const struct engine *engine);
guint engine_waiting(const struct engine *engine);

#endif
