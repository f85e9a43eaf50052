#include "event-queue.h"

void
event_queue_init(struct event_queue *event_queue)
{
    event_queue->heap =
        g_array_new(FALSE, FALSE, sizeof(struct event_queue_entry));
    event_queue->next_sequence = 0;
}

void
event_queue_free(struct event_queue *event_queue)
{
    g_array_free(event_queue->heap, TRUE);
}

static struct event_queue_entry *
entry_at(const struct event_queue *event_queue, guint i)
{
    return &g_array_index(event_queue->heap, struct event_queue_entry, i);
}

static gboolean
is_before(const struct event_queue_entry *a, const struct event_queue_entry *b)
{
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us;
    }
    return a->sequence < b->sequence;
}

static void
swap_entries(struct event_queue *event_queue, guint i, guint j)
{
    struct event_queue_entry moved = *entry_at(event_queue, i);

    *entry_at(event_queue, i) = *entry_at(event_queue, j);
    *entry_at(event_queue, j) = moved;
}

void
event_queue_add(struct event_queue *event_queue, gint64 at_us, guint kind,
                guint a, guint b)
{
    struct event_queue_entry entry = {at_us, event_queue->next_sequence++,
                                      kind, a, b};
    guint i = event_queue->heap->len;

    g_array_append_val(event_queue->heap, entry);
    while (i > 0 && is_before(entry_at(event_queue, i),
                              entry_at(event_queue, (i - 1) / 2))) {
        swap_entries(event_queue, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

gboolean
event_queue_pop(struct event_queue *event_queue,
                struct event_queue_entry *entry)
{
    guint n = event_queue->heap->len;
    guint i = 0;

    if (n == 0) {
        return FALSE;
    }
    *entry = *entry_at(event_queue, 0);
    *entry_at(event_queue, 0) = *entry_at(event_queue, --n);
    g_array_set_size(event_queue->heap, n);
    for (;;) {
        guint least = i;

        for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < n;
             child++) {
            if (is_before(entry_at(event_queue, child),
                          entry_at(event_queue, least))) {
                least = child;
            }
        }
        if (least == i) {
            return TRUE;
        }
        swap_entries(event_queue, i, least);
        i = least;
    }
}
