#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <glib.h>

#include "clock.h"

/* What happens in a run besides the ordinary load. */

#define WARM_UP_MS 30000
#define MEASURED_MS 150000
/* After the last arrival, for what still runs. */
#define DRAIN_MS 200000

struct disturbance {
    enum {
        /* One class asks for a multiple of what the pool can serve. */
        DISTURB_BURST_HIGH = 1,
        DISTURB_BURST_LOW,
        DISTURB_STRAGGLER,
        DISTURB_CRASH,
        DISTURB_ZONE,
        /* The platform's log takes no record; reading goes on. */
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

/* Whether a disturbance of the kind lasts at that time. */
gboolean scenario_has(const struct scenario *scenario, guint kind,
                      ct_ms now_ms);

#endif
