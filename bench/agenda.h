#ifndef BENCH_AGENDA_H
#define BENCH_AGENDA_H

#include <glib.h>

#include "clock.h"

/* Events in virtual time: a heap of entries, by time and then sequence. */

struct agenda_entry {
    /* In microseconds: token times would be too coarse in milliseconds. */
    gint64 at_us;
    guint64 sequence;
    guint kind;
    /* Arguments; their meaning depends on the kind. */
    guint a;
    guint b;
};

struct agenda {
    GArray *heap;
    guint64 next_sequence;
};

void agenda_init(struct agenda *agenda);
void agenda_free(struct agenda *agenda);
void agenda_add(struct agenda *agenda, gint64 at_us, guint kind, guint a,
                guint b);
gboolean agenda_pop(struct agenda *agenda, struct agenda_entry *entry);

#endif
