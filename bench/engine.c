#include "engine.h"

#include <string.h>

#define PROMPT_TOKEN_US 400
/* Percentage of the prompt's time that remains if the prefix is cached. */
#define CACHED_PERCENT 25
#define GAP_US 18000
#define GAP_PER_REQUEST_US 1600
#define PLAIN_US 25000
#define PLAIN_PER_REQUEST_US 1500

/* Moves the prefix to the front of the cache; returns whether it was there. */
static gboolean
touch_prefix(struct engine *engine, guint64 prefix)
{
    guint i = 0;

    while (i < ENGINE_PREFIXES - 1 && engine->prefixes[i] != prefix) {
        i++;
    }
    gboolean cached = engine->prefixes[i] == prefix;

    memmove(&engine->prefixes[1], &engine->prefixes[0],
            i * sizeof(engine->prefixes[0]));
    engine->prefixes[0] = prefix;
    return cached;
}

gint64
engine_prefill_us(struct engine *engine, const struct sequence *sequence)
{
    gint64 prompt_us = (gint64)sequence->prompt_tokens * PROMPT_TOKEN_US;

    if (engine->plain) {
        return (PLAIN_US + (gint64)engine->running * PLAIN_PER_REQUEST_US) *
               engine->slow_percent / 100;
    }
    if (sequence->prefix != 0 && touch_prefix(engine, sequence->prefix)) {
        prompt_us = prompt_us * CACHED_PERCENT / 100;
    }
    return (prompt_us + engine_gap_us(engine)) * engine->slow_percent / 100;
}

gint64
engine_gap_us(const struct engine *engine)
{
    return (GAP_US + (gint64)engine->running * GAP_PER_REQUEST_US) *
           engine->slow_percent / 100;
}

guint
engine_waiting(const struct engine *engine)
{
    guint n = 0;

    for (guint i = 0; i < G_N_ELEMENTS(engine->waiting); i++) {
        n += engine->waiting[i].length;
    }
    return n;
}
