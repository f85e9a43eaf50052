#ifndef CT_WINDOW_SUMS_H
#define CT_WINDOW_SUMS_H

#include <glib.h>

#include "store-types.h"

/* Requests of each organisation, summed over all hosts, by window. */

struct ct_window_sums {
    /* Set of struct window_sum, by window and organisation. */
    GHashTable *sums;
};

void ct_window_sums_init(struct ct_window_sums *sums);
void ct_window_sums_free(struct ct_window_sums *sums);

/* Adds the requests of one host's row. */
void ct_window_sums_add(struct ct_window_sums *sums, int64_t window,
                        const struct ct_tally_row *row);

/*
 * Returns the sums of a window as an array of struct ct_tally_row, sorted by
 * organisation; the caller frees it.
 */
GArray *ct_window_sums_rows(const struct ct_window_sums *sums, int64_t window);

/* Removes the sums of windows before this one. */
void ct_window_sums_remove_before(struct ct_window_sums *sums, int64_t window);

#endif
