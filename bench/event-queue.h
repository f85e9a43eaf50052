#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <glib.h>

#include "clock.h"

/* Events in virtual time: a heap of entries, by time and then sequence. */

struct event_queue_entry {
    /* In microseconds: token times would be too coarse in milliseconds. */
    gint64 at_us;
    guint64 sequence;
    guint kind;
    /* Arguments; their meaning depends on the kind. */
    guint a;
    guint b;
};

struct event_queue {
    GArray *heap;
    guint64 next_sequence;
};

void event_queue_init(struct event_queue *event_queue);
void event_queue_free(struct event_queue *event_queue);
void event_queue_add(struct event_queue *event_queue, gint64 at_us, guint kind,
                     guint a, guint b);
gboolean event_queue_pop(struct event_queue *event_queue,
                         struct event_queue_entry *entry);

#endif
