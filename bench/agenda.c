#include "agenda.h"

void
agenda_init(struct agenda *agenda)
{
    agenda->heap = g_array_new(FALSE, FALSE, sizeof(struct agenda_entry));
    agenda->next_sequence = 0;
}

void
agenda_free(struct agenda *agenda)
{
    g_array_free(agenda->heap, TRUE);
}

static struct agenda_entry *
entry_at(const struct agenda *agenda, guint i)
{
    return &g_array_index(agenda->heap, struct agenda_entry, i);
}

static gboolean
is_before(const struct agenda_entry *a, const struct agenda_entry *b)
{
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us;
    }
    return a->sequence < b->sequence;
}

static void
swap_entries(struct agenda *agenda, guint i, guint j)
{
    struct agenda_entry moved = *entry_at(agenda, i);

    *entry_at(agenda, i) = *entry_at(agenda, j);
    *entry_at(agenda, j) = moved;
}

void
agenda_add(struct agenda *agenda, gint64 at_us, guint kind, guint a, guint b)
{
    struct agenda_entry entry = {at_us, agenda->next_sequence++, kind, a, b};
    guint i = agenda->heap->len;

    g_array_append_val(agenda->heap, entry);
    while (i > 0 &&
           is_before(entry_at(agenda, i), entry_at(agenda, (i - 1) / 2))) {
        swap_entries(agenda, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

gboolean
agenda_pop(struct agenda *agenda, struct agenda_entry *entry)
{
    guint n = agenda->heap->len;
    guint i = 0;

    if (n == 0) {
        return FALSE;
    }
    *entry = *entry_at(agenda, 0);
    *entry_at(agenda, 0) = *entry_at(agenda, --n);
    g_array_set_size(agenda->heap, n);
    for (;;) {
        guint least = i;

        for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < n;
             child++) {
            if (is_before(entry_at(agenda, child), entry_at(agenda, least))) {
                least = child;
            }
        }
        if (least == i) {
            return TRUE;
        }
        swap_entries(agenda, i, least);
        i = least;
    }
}
