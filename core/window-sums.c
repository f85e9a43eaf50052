#include "window-sums.h"

#include <string.h>

struct window_sum {
    int64_t window;
    struct ct_tally_row row;
};

static guint
hash_sum(gconstpointer key)
{
    const struct window_sum *sum = key;

    return g_int64_hash(&sum->window) ^ g_str_hash(sum->row.organisation.text);
}

static gboolean
equal_sums(gconstpointer a, gconstpointer b)
{
    const struct window_sum *left = a;
    const struct window_sum *right = b;

    return left->window == right->window &&
           ct_name_eq(&left->row.organisation, &right->row.organisation);
}

void
ct_window_sums_init(struct ct_window_sums *sums)
{
    sums->sums = g_hash_table_new_full(hash_sum, equal_sums, g_free, NULL);
}

void
ct_window_sums_free(struct ct_window_sums *sums)
{
    g_hash_table_destroy(sums->sums);
}

void
ct_window_sums_add(struct ct_window_sums *sums, int64_t window,
                   const struct ct_tally_row *row)
{
    const struct window_sum key = {window, *row};
    struct window_sum *sum = g_hash_table_lookup(sums->sums, &key);

    if (sum) {
        sum->row.requests += row->requests;
        return;
    }
    g_hash_table_add(sums->sums, g_memdup2(&key, sizeof(key)));
}

static gint
compare_organisations(gconstpointer a, gconstpointer b)
{
    const struct ct_tally_row *left = a;
    const struct ct_tally_row *right = b;

    return strcmp(left->organisation.text, right->organisation.text);
}

GArray *
ct_window_sums_rows(const struct ct_window_sums *sums, int64_t window)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_tally_row));
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, sums->sums);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const struct window_sum *sum = key;

        if (sum->window == window) {
            g_array_append_val(rows, sum->row);
        }
    }
    g_array_sort(rows, compare_organisations);
    return rows;
}

static gboolean
is_before(gpointer key, gpointer value, gpointer arg)
{
    const struct window_sum *sum = key;
    const int64_t *window = arg;

    (void)value;
    return sum->window < *window;
}

void
ct_window_sums_remove_before(struct ct_window_sums *sums, int64_t window)
{
    g_hash_table_foreach_remove(sums->sums, is_before, &window);
}
