#ifndef CT_LOAD_SHARING_H
#define CT_LOAD_SHARING_H

#include "clock.h"
#include "event.h"
#include "load-table.h"
#include "table.h"

/*
 * The load that the other hosts cause at each upstream, estimated from what
 * the hosts report to each other. A follower reports the calls that it has in
 * flight to its source (replication.h). A source adds its own calls and those
 * of its followers and sends the sum to the other sources; and it sends its
 * followers the sum over all hosts that it heard from. Only hosts with the
 * setting share_load take part.
 */

/* Reports that a follower remembers, to subtract its calls from a sum. */
#define CT_LOAD_OWN_REPORTS 8

/* A report that this host sent to its source. */
struct ct_own_load_report {
    /* 0 if there is none. */
    uint32_t sequence;
    ct_ms sent_ms;
    /* struct ct_load_row with this host's numbers */
    GArray *rows;
};

/* What a source does at its ticks, in turn. */
enum ct_load_step {
    CT_LOAD_REPORT = 0,
    CT_LOAD_FIRST_SUM,
    CT_LOAD_SECOND_SUM,
};

struct ct_load_sharing {
    struct ct_load_table table;
    /* The source of the reports, empty if there was none. */
    struct ct_name source;
    /*
     * Sums may contain calls that this host reported in another way until
     * then, so they are not used.
     */
    ct_ms doubtful_until_ms;
    uint32_t sequence;
    struct ct_own_load_report own_reports[CT_LOAD_OWN_REPORTS];
    /* Size of the group at the last tick. */
    uint32_t group_hosts;
    /* When the next tick is due, and when the last one was; 0 for none. */
    ct_ms next_ms;
    ct_ms last_ms;
    /* The next step as a source. */
    enum ct_load_step source_step;
    /* When the first source by name last reported; 0 if it never did. */
    ct_ms first_source_ms;
    /* When this host last reported its calls; 0 if it never did. */
    ct_ms reported_ms;
    /* What was last logged about the load being known, and when. */
    bool logged_known;
    ct_ms logged_ms;
    /* When the last ignored message, and the last expired part, was logged. */
    ct_ms ignored_logged_ms;
    ct_ms expired_logged_ms;
};

struct ct_state;

struct ct_shared_load {
    /* Calls of other hosts in flight at the upstream, estimated. */
    uint32_t others_in_flight;
    /* How old the estimate is. */
    ct_ms age_ms;
};

void ct_load_sharing_init(struct ct_load_sharing *sharing);
void ct_load_sharing_free(struct ct_load_sharing *sharing);

/* Returns false if the load that other hosts cause is not known. */
bool ct_load_sharing_get(const struct ct_state *state,
                         struct ct_handle upstream,
                         struct ct_shared_load *out);

/* Begins to share load if the setting says so. */
void ct_load_sharing_start(struct ct_state *state);
/* CT_TIMER_LOAD */
void ct_load_sharing_on_timer(struct ct_state *state);
/* Handles a link to another host that came up or went down. */
void ct_load_sharing_on_link(struct ct_state *state,
                             const struct ct_name *peer, bool up);
/* CT_PEER_LOAD and the messages after it */
void ct_load_sharing_on_message(struct ct_state *state,
                                const struct ct_peer_message *message);

#endif
