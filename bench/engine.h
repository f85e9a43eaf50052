#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include <glib.h>

#include "table.h"

/*
 * A small model of an upstream. An engine batches continuously: the time
 * between tokens grows with the number of requests that it serves, and the
 * time to the first token with the prompt, less where it has the prefix
 * cached. What exceeds its batch waits inside, highest priority first. A
 * plain service answers after a time that grows with its load.
 */

/* Prefixes that an engine keeps, least recently used ones go. */
#define ENGINE_PREFIXES 24

struct engine {
    gboolean plain;
    gboolean cheap;
    guint zone;
    guint max_batch;
    guint running;
    /* Sequences (see struct sequence) that wait inside, by priority. */
    GQueue waiting[4];
    gboolean dead;
    /* Factor on all times, in percent; 100 is usual. */
    guint slow_percent;
    guint64 prefixes[ENGINE_PREFIXES];
};

/* One request at an engine. */
struct sequence {
    gboolean used;
    guint engine;
    /* CT_NO_HANDLE for load of other hosts. */
    struct ct_handle attempt;
    /* Number in the world's list; unused for load of other hosts. */
    guint request;
    guint priority;
    guint prompt_tokens;
    guint64 prefix;
    guint resume_tokens;
    guint tokens;
    guint made;
    gboolean in_batch;
};

/* Microseconds to the first token, and between tokens, at present. */
gint64 engine_prefill_us(struct engine *engine,
                         const struct sequence *sequence);
gint64 engine_gap_us(const struct engine *engine);
guint engine_waiting(const struct engine *engine);

#endif
