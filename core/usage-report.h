#ifndef CT_USAGE_REPORT_H
#define CT_USAGE_REPORT_H

#include <glib.h>

#include "event.h"

/*
 * Reports usage for all hosts, while this one acts for all. The figures of a
 * window are the sum of the hosts' records. They are fixed by a record that
 * is appended only where its topic ends as this host knows it, and reported
 * from that record only: whoever reports a window reports the same figures.
 */

/* One organisation's requests in one record of a host. */
struct ct_report_count {
    int64_t window;
    struct ct_name writer;
    uint64_t sequence;
    struct ct_tally_row row;
};

/* A record of a host that was read. */
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
struct ct_final {
    int64_t window;
    enum ct_final_state state;
    ct_ms next_ms;
    /* Its rows in the array of final rows. */
    guint first_row;
    guint n_rows;
};

struct ct_usage_report {
    bool armed;
    /* Where this host reads on. */
    int64_t tallies_next;
    int64_t finals_next;
    bool tallies_reading;
    bool finals_reading;
    /* The topic of fixed windows was read to its end. */
    bool finals_known;
    /* Time of the last question for hosts' records. */
    ct_ms tallies_ms;
    /* A window is being fixed; 0 for none. */
    int64_t fixing;
    int64_t last_final;
    /* struct ct_report_record */
    GArray *records;
    /* struct ct_report_count */
    GArray *counts;
    /* struct ct_final, and struct ct_tally_row of all of them */
    GArray *finals;
    GArray *final_rows;
};

struct ct_state;

void ct_usage_report_init(struct ct_usage_report *report);
void ct_usage_report_free(struct ct_usage_report *report);

/* This host acts for all from now on. */
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
