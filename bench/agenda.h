#ifndef BENCH_AGENDA_H
#define BENCH_AGENDA_H

#include <glib.h>

#include "clock.h"

/* What is to happen in virtual time: a heap of entries, by time and order. */

struct entry {
    /* Microseconds, so that token times do not round to steps. */
    gint64 at_us;
    guint64 sequence;
    guint kind;
    /* Meaning by kind. */
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
gboolean agenda_pop(struct agenda *agenda, struct entry *entry);

#endif
