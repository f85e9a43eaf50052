#ifndef LIB_USAGE_SIMULATION_H
#define LIB_USAGE_SIMULATION_H

#include "lib-core.h"

/*
 * A host that reports usage windows, with the topics of the store and the
 * platform's interface simulated.
 */

#define USAGE_WINDOW_MS 5000

struct usage_simulation {
    struct t_core core;
    /*
     * Windows whose figures are fixed in the topic, with the requests of
     * "acme".
     */
    GArray *fixed;
    uint64_t requests;
    guint writers;
    /* Reports received: window and requests. */
    GArray *reports;
    int32_t report_result;
    /* Appends are carried out, but their responses are lost. */
    bool lose_append_response;
    int64_t last_tally_window;
    bool tallies_read;
    /* Reads of the tallies fail until this time. */
    ct_ms tallies_fail_until_ms;
};

/* The requests of a window that were fixed or reported. */
struct usage_figure {
    int64_t window;
    uint64_t requests;
    /* When it was fixed or reported. */
    ct_ms at_ms;
};

void usage_simulation_init(struct usage_simulation *sim);
void usage_simulation_free(struct usage_simulation *sim);

/* Lets time pass; the host joins the group as the leader or not. */
void usage_simulation_run(struct usage_simulation *sim, ct_ms duration_ms,
                          bool is_leader);

/* Posts a record of a writer with the requests of "acme" in a window. */
void usage_simulation_post_rows(struct usage_simulation *sim,
                                enum ct_event_type type, int64_t window,
                                const char *writer, uint64_t requests);

/*
 * Handles the effects of the last event, then those of the events that this
 * posts.
 */
void usage_simulation_handle_effects(struct usage_simulation *sim);

#endif
