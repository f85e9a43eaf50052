#include "agenda.h"

void
agenda_init(struct agenda *agenda)
{
    agenda->heap = g_array_new(FALSE, FALSE, sizeof(struct entry));
    agenda->next_sequence = 0;
}

void
agenda_free(struct agenda *agenda)
{
    g_array_free(agenda->heap, TRUE);
}

static struct entry *
at(const struct agenda *agenda, guint i)
{
    return &g_array_index(agenda->heap, struct entry, i);
}

static gboolean
before(const struct entry *a, const struct entry *b)
{
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us;
    }
    return a->sequence < b->sequence;
}

static void
swap(struct agenda *agenda, guint i, guint j)
{
    struct entry moved = *at(agenda, i);

    *at(agenda, i) = *at(agenda, j);
    *at(agenda, j) = moved;
}

void
agenda_add(struct agenda *agenda, gint64 at_us, guint kind, guint a, guint b)
{
    struct entry entry = {at_us, agenda->next_sequence++, kind, a, b};
    guint i = agenda->heap->len;

    g_array_append_val(agenda->heap, entry);
    while (i > 0 && before(at(agenda, i), at(agenda, (i - 1) / 2))) {
        swap(agenda, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

gboolean
agenda_pop(struct agenda *agenda, struct entry *entry)
{
    guint n = agenda->heap->len;
    guint i = 0;

    if (n == 0) {
        return FALSE;
    }
    *entry = *at(agenda, 0);
    *at(agenda, 0) = *at(agenda, --n);
    g_array_set_size(agenda->heap, n);
    for (;;) {
        guint least = i;

        for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < n;
             child++) {
            if (before(at(agenda, child), at(agenda, least))) {
                least = child;
            }
        }
        if (least == i) {
            return TRUE;
        }
        swap(agenda, i, least);
        i = least;
    }
}
