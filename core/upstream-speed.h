#ifndef CT_UPSTREAM_SPEED_H
#define CT_UPSTREAM_SPEED_H

#include <glib.h>

#include "clock.h"
#include "relay-types.h"
#include "table.h"

/*
 * How fast the upstreams of a pool are in comparison, from the gaps between
 * the events of their streams. Measured only if hosts share load. A
 * measurement belongs to one start of an upstream: another process under the
 * same name has another handle.
 */

/* Speed of an upstream if nothing is known of it or of its pool. */
#define CT_SPEED_UNKNOWN_PERCENT 100

/* The events of the stream that an attempt receives. */
struct ct_stream_timing {
    /*
     * The stream does not begin at its first event: an upstream that stored
     * the events before may send further ones from its store.
     */
    bool resumes;
    /* When the first events arrived, and the last ones; 0 for none. */
    ct_ms first_ms;
    ct_ms last_ms;
    /* Events after those that arrived first. */
    uint32_t gaps;
};

/* Shortest mean gap of the streams that ended in one period. */
struct ct_speed_sample {
    int64_t period;
    uint32_t gap_us;
};

#define CT_SPEED_SAMPLES 4

struct ct_speed_row {
    /* The upstream; rows are found by the handle's index. */
    struct ct_handle upstream;
    struct ct_speed_sample samples[CT_SPEED_SAMPLES];
    /* Shortest mean gap that other hosts measured; 0 if there is none. */
    uint32_t others_gap_us;
    uint32_t speed_percent;
};

struct ct_upstream_speeds {
    /* struct ct_speed_row */
    GArray *rows;
    /* Gaps of the upstreams of one pool, uint32_t; used in a comparison. */
    GArray *gaps;
    /* When the upstreams were last compared; 0 for never. */
    ct_ms compared_ms;
};

struct ct_state;

void ct_upstream_speeds_init(struct ct_upstream_speeds *speeds);
void ct_upstream_speeds_free(struct ct_upstream_speeds *speeds);

/* A number of events arrived. */
void ct_stream_timing_add(struct ct_stream_timing *timing, uint32_t events,
                          ct_ms now_ms);

/* The stream ended, completely or not. */
void ct_upstream_speed_on_stream(struct ct_state *state,
                                 struct ct_handle upstream,
                                 const struct ct_stream_timing *timing);

/*
 * Returns the shortest mean gap of the streams of this host that ended lately,
 * in microseconds; 0 if there is none.
 */
uint32_t ct_upstream_speed_gap_us(const struct ct_state *state,
                                  struct ct_handle upstream);
/* Sets the shortest mean gap that other hosts measured; 0 for none. */
void ct_upstream_speed_set_others(struct ct_state *state,
                                  struct ct_handle upstream, uint32_t gap_us);

/* Compares the upstreams of each pool; does nothing if done lately. */
void ct_upstream_speed_compare(struct ct_state *state);
/*
 * Returns the speed at the last comparison in percent of the median of the
 * pool, CT_SPEED_UNKNOWN_PERCENT if unknown.
 */
uint32_t ct_upstream_speed_percent(const struct ct_state *state,
                                   struct ct_handle upstream);

#endif
