#include "scenario.h"

#define FROM_MS (WARM_UP_MS + 30000)
#define TO_MS (WARM_UP_MS + 90000)

const struct scenario scenarios[] = {
    {"ordinary", {{0}}},
    {"burst-high", {{DISTURB_BURST_HIGH, FROM_MS, TO_MS}}},
    {"burst-low", {{DISTURB_BURST_LOW, FROM_MS, TO_MS}}},
    {"straggler", {{DISTURB_STRAGGLER, FROM_MS, TO_MS}}},
    {"crash", {{DISTURB_CRASH, FROM_MS, TO_MS}}},
    {"zone-loss", {{DISTURB_ZONE, FROM_MS, TO_MS}}},
    {"outage", {{DISTURB_OUTAGE, FROM_MS, TO_MS}}},
    {"greedy", {{DISTURB_GREEDY, FROM_MS, TO_MS}}},
    {"all-twice",
     {{DISTURB_BURST_HIGH, WARM_UP_MS + 10000, WARM_UP_MS + 30000},
      {DISTURB_STRAGGLER, WARM_UP_MS + 5000, WARM_UP_MS + 40000},
      {DISTURB_CRASH, WARM_UP_MS + 20000, WARM_UP_MS + 45000},
      {DISTURB_ZONE, WARM_UP_MS + 30000, WARM_UP_MS + 60000},
      {DISTURB_GREEDY, WARM_UP_MS + 40000, WARM_UP_MS + 60000},
      {DISTURB_OUTAGE, WARM_UP_MS + 15000, WARM_UP_MS + 35000},
      {DISTURB_BURST_LOW, WARM_UP_MS + 80000, WARM_UP_MS + 100000},
      {DISTURB_BURST_HIGH, WARM_UP_MS + 90000, WARM_UP_MS + 110000},
      {DISTURB_STRAGGLER, WARM_UP_MS + 75000, WARM_UP_MS + 110000},
      {DISTURB_CRASH, WARM_UP_MS + 95000, WARM_UP_MS + 115000},
      {DISTURB_ZONE, WARM_UP_MS + 105000, WARM_UP_MS + 135000},
      {DISTURB_OUTAGE, WARM_UP_MS + 100000, WARM_UP_MS + 120000}}},
};

const guint n_scenarios = G_N_ELEMENTS(scenarios);

gboolean
scenario_has_disturbance(const struct scenario *scenario, guint kind,
                         ct_ms now_ms)
{
    for (guint i = 0; i < DISTURBANCES_MAX; i++) {
        const struct disturbance *d = &scenario->disturbances[i];

        if (d->kind == kind && now_ms >= d->from_ms && now_ms < d->to_ms) {
            return TRUE;
        }
    }
    return FALSE;
}
