#ifndef CT_USAGE_H
#define CT_USAGE_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Usage by organisation and window of wall time. Each process keeps running
 * totals, which only grow. Two peers and the holder of the usage lease hold
 * copies, so that little is lost with a host. A row belongs to the process
 * that counted it: of two copies of a row the one with the higher figures is
 * newer.
 *
 * usage-final.h turns the totals of a window into the figures that are
 * reported. Usage that this process counted and that the final figures lack
 * goes into its current window, marked as late.
 */

#define CT_USAGE_WINDOW_MS 60000

struct ct_usage_total {
    struct ct_usage_row row;
    /* Changed since it was last sent; own rows only. */
    bool changed;
};

struct ct_usage {
    /* struct ct_usage_total, by writer, window and organisation */
    struct ct_table totals;
    GHashTable *by_key;
    bool armed;
};

struct ct_state;

void ct_usage_init(struct ct_usage *usage);
void ct_usage_free(struct ct_usage *usage);

/* Counts usage of an organisation in the current window. */
void ct_usage_add(struct ct_state *state, const struct ct_name *organisation,
                  uint64_t requests, uint64_t tokens_in, uint64_t tokens_out);

/* CT_PEER_USAGE_COPY */
void ct_usage_on_copy(struct ct_state *state,
                      const struct ct_peer_message *message);

/* Starts CT_TIMER_USAGE once the log has been read to its head. */
void ct_usage_start(struct ct_state *state);
/*
 * CT_TIMER_USAGE: sends copies; the holder of the lease makes windows final.
 */
void ct_usage_on_timer(struct ct_state *state);

/*
 * Sends the changed rows to the peers with copies; returns true if there were
 * none.
 */
bool ct_usage_flush(struct ct_state *state);

/*
 * Removes all windows up to this one, whose final figures are the given rows.
 * Usage that this process counted beyond them is counted as late.
 */
void ct_usage_close_windows(struct ct_state *state, ct_ms window_start_ms,
                            struct ct_rows rows);

/*
 * Removes all windows up to this one and counts nothing as late: this host
 * does not know what their final figures include.
 */
void ct_usage_discard_windows(struct ct_state *state, ct_ms window_start_ms);

#endif
