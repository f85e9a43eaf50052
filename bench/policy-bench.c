/*
 * Compares the default queueing and balancing policies with two baseline pairs
 * on the reducer of one host and a virtual clock. Prints one line per figure
 * and baseline:
 *
 *   scenario figure baseline value [least..most] policy value [least..most]
 *   ratio
 *
 * Usage: policy-bench [EXAMPLES [SCENARIO [SEEDS]]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "figures.h"

#define SEEDS 5

static struct ct_balance_policy *
affinity_new(void)
{
    return ct_balance_affinity_new(1);
}

static const struct policy policies[] = {
    {"rr-fifo", ct_queue_fifo_new, ct_balance_round_robin_new},
    {"least-priority", ct_queue_priority_new, ct_balance_least_loaded_new},
    {"policy", ct_queue_tiered_new, affinity_new},
};

#define N_POLICIES G_N_ELEMENTS(policies)

static const gchar *const deployments[] = {"lagos", "anatolia"};

struct spread {
    gdouble mean;
    gdouble min;
    gdouble max;
};

static struct spread
spread_of(const struct figures *runs, guint n, guint figure)
{
    struct spread s = {0, G_MAXDOUBLE, -G_MAXDOUBLE};

    for (guint i = 0; i < n; i++) {
        gdouble value = runs[i].items[figure].value;

        s.mean += value / n;
        s.min = MIN(s.min, value);
        s.max = MAX(s.max, value);
    }
    return s;
}

static void
print_scenario(const gchar *deployment, const gchar *scenario,
               struct figures runs[N_POLICIES][SEEDS], guint n)
{
    const struct figures *policy = runs[N_POLICIES - 1];

    for (guint f = 0; f < policy[0].n; f++) {
        struct spread p = spread_of(policy, n, f);

        for (guint b = 0; b + 1 < N_POLICIES; b++) {
            struct spread s = spread_of(runs[b], n, f);
            gchar ratio[32] = "-";

            if (s.mean != 0) {
                g_snprintf(ratio, sizeof(ratio), "%.2f", p.mean / s.mean);
            }
            printf("%s/%s %s %s %.1f [%.1f..%.1f] policy %.1f [%.1f..%.1f] "
                   "%s\n",
                   deployment, scenario, policy[0].items[f].name,
                   policies[b].name, s.mean, s.min, s.max, p.mean, p.min,
                   p.max, ratio);
        }
    }
    fflush(stdout);
}

static void
run_scenario(const struct load *load, const gchar *deployment,
             const struct scenario *scenario, guint n)
{
    static struct figures runs[N_POLICIES][SEEDS];

    for (guint p = 0; p < N_POLICIES; p++) {
        for (guint seed = 0; seed < n; seed++) {
            struct world *w =
                world_new(load, scenario, &policies[p], seed + 1);

            world_run(w);
            figures_compute(&runs[p][seed], w);
            world_free(w);
        }
    }
    print_scenario(deployment, scenario->name, runs, n);
}

int
main(int argc, char **argv)
{
    const gchar *examples = argc > 1 ? argv[1] : "examples";
    const gchar *name_filter = argc > 2 ? argv[2] : "";
    guint n = argc > 3 ? (guint)atoi(argv[3]) : SEEDS;

    n = CLAMP(n, 1, SEEDS);
    for (guint d = 0; d < G_N_ELEMENTS(deployments); d++) {
        gchar *dir = g_build_filename(examples, deployments[d], NULL);
        struct load load;

        load_read(&load, dir);
        for (guint i = 0; i < n_scenarios; i++) {
            gchar *name =
                g_strdup_printf("%s/%s", deployments[d], scenarios[i].name);

            if (strstr(name, name_filter)) {
                run_scenario(&load, deployments[d], &scenarios[i], n);
            }
            g_free(name);
        }
        load_free(&load);
        g_free(dir);
    }
    return 0;
}
