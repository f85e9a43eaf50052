#ifndef CT_USAGE_H
#define CT_USAGE_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Usage by organisation and window of wall time. Each process keeps running
 * totals, which only grow; two peers and the holder of the usage lease hold
 * copies, so that little is lost with a host. A row belongs to the process
 * that counted it: of two copies of a row the higher figures are the newer.
 *
 * usage-final.h turns the totals of a window into the figures that are
 * reported. What this process counted and the final figures lack goes into
 * its current window, marked as late.
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

/* Counts what was served to an organisation in the current window. */
void ct_usage_add(struct ct_state *state, const struct ct_name *organisation,
                  uint64_t requests, uint64_t tokens_in, uint64_t tokens_out);

/* CT_PEER_USAGE_COPY */
void ct_usage_on_copy(struct ct_state *state,
                      const struct ct_peer_message *message);

/* Starts CT_TIMER_USAGE once the log was read to its head. */
void ct_usage_start(struct ct_state *state);
/* CT_TIMER_USAGE: sends copies, and lets the holder of the lease work. */
void ct_usage_on_timer(struct ct_state *state);

/* Sends what changed to its copies at once; true where there was nothing. */
bool ct_usage_flush(struct ct_state *state);

/*
 * Forgets all windows up to this one, whose final figures are the given rows,
 * after what this process counted beyond them was counted late.
 */
void ct_usage_close(struct ct_state *state, ct_ms window_start_ms,
                    struct ct_rows rows);

/* Forgets them without: what was counted there is not known here. */
void ct_usage_forget(struct ct_state *state, ct_ms window_start_ms);

#endif
