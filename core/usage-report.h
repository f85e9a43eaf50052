#ifndef CT_USAGE_REPORT_H
#define CT_USAGE_REPORT_H

#include <glib.h>

#include "event.h"
#include "window-sums.h"

/*
 * Usage reports for all hosts, sent while this host is the leader. The figures
 * of a window are the sum of the hosts' tallies. They are fixed by a record
 * that is appended only if its topic ends where this host's reads of it ended,
 * and are reported from that record only: every leader reports the same
 * figures for a window.
 */

/* A host's record that was read. */
struct ct_report_record {
    int64_t window;
    struct ct_name writer;
    uint64_t sequence;
    bool closes;
    bool ends;
};

enum ct_final_state {
    CT_FINAL_WAITING = 0,
    CT_FINAL_SENT,
    CT_FINAL_DONE,
};

/* A window whose figures are fixed. */
struct ct_final_window {
    int64_t window;
    enum ct_final_state state;
    ct_ms next_ms;
    /* The window's rows in the array final_rows. */
    guint first_row;
    guint n_rows;
};

struct ct_usage_report {
    bool armed;
    /* Next offsets to read. */
    int64_t tallies_next;
    int64_t finals_next;
    bool tallies_reading;
    bool finals_reading;
    /* The topic of final figures was read to its end. */
    bool finals_read_to_end;
    /* When the last read of the hosts' tallies began. */
    ct_ms tallies_started_ms;
    /* When the last read began that came to the end of the tallies. */
    ct_ms tallies_read_ms;
    /* The last read of the tallies failed. */
    bool tallies_failed;
    /* When reads of the tallies first succeeded after a failure. */
    ct_ms tallies_back_ms;
    /* The window that is being fixed; 0 for none. */
    int64_t fixing_window;
    int64_t last_final;
    /* struct ct_report_record */
    GArray *records;
    /* Sums of the rows of all records. */
    struct ct_window_sums sums;
    /* struct ct_final_window, and struct ct_tally_row of all of them */
    GArray *finals;
    GArray *final_rows;
};

struct ct_state;

void ct_usage_report_init(struct ct_usage_report *report);
void ct_usage_report_free(struct ct_usage_report *report);

/* Called when this host becomes the leader. */
void ct_usage_report_begin(struct ct_state *state);
/* CT_TIMER_DUTY */
void ct_usage_report_on_timer(struct ct_state *state);

void ct_usage_report_on_tally(struct ct_state *state,
                              const struct ct_event *event);
void ct_usage_report_on_final(struct ct_state *state,
                              const struct ct_event *event);
void ct_usage_report_on_read(struct ct_state *state,
                             const struct ct_store_read_done *read);
void ct_usage_report_on_appended(struct ct_state *state,
                                 const struct ct_store_append_done *appended);
void ct_usage_report_on_done(struct ct_state *state,
                             const struct ct_duty_done *done);

#endif
