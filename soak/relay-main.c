/*
 * soak-relay [--seconds N] [--seed N] [--hosts N] [--untimed]: see relay.h.
 * Exits with 1 on violations.
 */
#include <stdio.h>
#include <stdlib.h>

#include <glib/gstdio.h>
#include <popt.h>

#include "relay.h"

#define CALLERS 10
#define SECONDS 40
#define HOSTS 6
#define MS_PER_S 1000
/* Time limit for the recovery with --untimed, for busy machines. */
#define UNTIMED_RECOVER_MS 120000

static bool
host_serves(struct relay_soak *s, int host, enum relay_kind kind)
{
    GRand *random = g_rand_new_with_seed(s->seed);
    struct relay_record record = {.kind = kind, .host = host};

    relay_call(s, random, &record);
    g_rand_free(random);
    return record.outcome == RELAY_COMPLETE;
}

/* Checks that every host serves again within the time limit. */
static void
check_recovery(struct relay_soak *s, int64_t until_ms)
{
    for (int i = 0; i < s->n_hosts; i++) {
        while (!(host_serves(s, i, RELAY_ONCE) &&
                 host_serves(s, i, RELAY_RESUMABLE_STREAM))) {
            if (process_now_ms() > until_ms) {
                fault_violation(&s->world,
                                "h%d does not serve after the faults", i + 1);
                break;
            }
            ct_wait_ms(PROCESS_POLL_INTERVAL_MS);
        }
    }
}

static void
run_faults(struct relay_soak *s)
{
    struct relay_operators *operators = relay_operators_new(s);
    struct faults *faults = relay_faults_new(s);
    GThread *threads[CALLERS];

    relay_start_callers(s, threads, CALLERS);
    while (process_now_ms() < s->until_ms) {
        faults_step(faults);
        relay_operators_step(operators);
        ct_wait_ms(PROCESS_POLL_INTERVAL_MS);
    }
    faults_free(faults);
    relay_operators_free(operators);
    check_recovery(s, process_now_ms() +
                          (s->timed ? RELAY_RECOVER_MS : UNTIMED_RECOVER_MS));
    g_atomic_int_set(&s->stop, 1);
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(threads[i]);
    }
}

static int
run_soak(struct relay_soak *s, int seconds)
{
    printf("seed %u, %d seconds, %d hosts\n", s->seed, seconds, s->n_hosts);
    g_mutex_init(&s->lock);
    s->records = g_array_new(FALSE, TRUE, sizeof(struct relay_record));
    s->disturbances =
        g_array_new(FALSE, TRUE, sizeof(struct relay_disturbance));
    relay_world_start(s);
    s->until_ms = process_now_ms() + (int64_t)seconds * MS_PER_S;
    run_faults(s);
    relay_check_results(s);
    printf("seed %u: %u calls, %d violations\n", s->seed, s->records->len,
           s->world.violations);
    relay_world_stop(s);
    if (s->world.violations > 0) {
        printf("logs retained in %s\n", s->directory);
        return 1;
    }
    g_array_free(s->records, TRUE);
    g_array_free(s->disturbances, TRUE);
    return 0;
}

int
main(int argc, const char **argv)
{
    static struct relay_soak s;
    int seconds = SECONDS;
    int hosts = HOSTS;
    int untimed = 0;
    long long seed = g_random_int();
    const struct poptOption options[] = {
        {"seconds", '\0', POPT_ARG_INT, &seconds, 0, "duration", "N"},
        {"seed", '\0', POPT_ARG_LONGLONG, &seed, 0,
         "seed of the random faults", "N"},
        {"hosts", '\0', POPT_ARG_INT, &hosts, 0, "number of hosts", "N"},
        {"untimed", '\0', POPT_ARG_NONE, &untimed, 0, "check no time limits",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak-relay", argc, argv, options, 0);
    int found = poptGetNextOpt(context);

    poptFreeContext(context);
    if (found < -1 || hosts < 1 || hosts > RELAY_HOSTS_MAX) {
        fprintf(stderr, "soak-relay: %s\n",
                found < -1 ? poptStrerror(found) : "hosts out of range");
        return 2;
    }
    s.seed = (guint32)seed;
    s.n_hosts = hosts;
    s.timed = !untimed;
    return run_soak(&s, seconds);
}
