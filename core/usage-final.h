#ifndef CT_USAGE_FINAL_H
#define CT_USAGE_FINAL_H

#include <glib.h>

#include "event.h"
#include "table.h"

/*
 * Final figures of usage windows. The holder of the usage lease appends the
 * rows of a window to the log some time after its end and reports exactly what
 * the log contains until the platform has accepted it; a successor does the
 * same. Replay accepts final figures only in the accepted term and only for
 * windows later than the last final one, so a window has one set of figures.
 */

struct ct_usage_final_row {
    struct ct_usage_window window;
    int64_t offset;
    /* Rows of the record, owned. */
    struct ct_usage_row *rows;
    uint32_t n;
    /* The platform has accepted it; the log may not record that yet. */
    bool reported;
    /* No further report or record before this time. */
    ct_ms retry_ms;
};

struct ct_usage_finals {
    /* struct ct_usage_final_row */
    struct ct_table rows;
    /* Newest window with final figures. */
    ct_ms newest_ms;
    /* An append of final figures may be in flight until this time. */
    ct_ms append_retry_ms;
};

struct ct_state;

void ct_usage_finals_init(struct ct_usage_finals *finals);
void ct_usage_finals_free(struct ct_usage_finals *finals);

/* Apply records of the log. Errors: CT_ERR_LOG_LOST_RACE, CT_ERR_NO_MEMORY. */
int ct_usage_final_apply(struct ct_state *state,
                         const struct ct_log_entry *entry);
int ct_usage_accepted_apply(struct ct_state *state,
                            const struct ct_usage_window *window);

/* Exports the newest windows and any not yet accepted to a snapshot. */
void ct_usage_finals_export(const struct ct_state *state, GArray *out);
int ct_usage_finals_import(struct ct_state *state, struct ct_rows rows);

/* Sends the next due record or report if this host holds the lease. */
void ct_usage_finals_advance(struct ct_state *state);

void ct_usage_finals_on_report_done(struct ct_state *state,
                                    const struct ct_report_done *done);

/* Whether a report may be in flight. */
bool ct_usage_is_reporting(const struct ct_state *state);

#endif
