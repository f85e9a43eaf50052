#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <glib.h>

#include "clock.h"

/* Disturbances of a run besides the ordinary load. */

#define WARM_UP_MS 30000
#define MEASURED_MS 150000
/* Time after the last arrival in which running requests may finish. */
#define DRAIN_MS 200000

struct disturbance {
    enum {
        /* The load of one class is a multiple of the capacity of the pool. */
        DISTURB_BURST_HIGH = 1,
        DISTURB_BURST_LOW,
        DISTURB_STRAGGLER,
        DISTURB_CRASH,
        DISTURB_ZONE,
        /* The platform's log rejects appends; reads continue. */
        DISTURB_OUTAGE,
        DISTURB_GREEDY,
    } kind;
    ct_ms from_ms;
    ct_ms to_ms;
};

#define DISTURBANCES_MAX 12

struct scenario {
    const char *name;
    struct disturbance disturbances[DISTURBANCES_MAX];
};

extern const struct scenario scenarios[];
extern const guint n_scenarios;

/* Whether a disturbance of the kind is active at that time. */
gboolean scenario_has_disturbance(const struct scenario *scenario, guint kind,
                                  ct_ms now_ms);

#endif
