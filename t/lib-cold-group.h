#ifndef T_LIB_COLD_GROUP_H
#define T_LIB_COLD_GROUP_H

#include "lib-relay.h"

/*
 * Hosts of one group, their store, and the upstreams "desk-0" and "desk-1",
 * driven by a test in steps of simulated time. Requests to desk-0 are counted.
 */

#define T_COLD_HOSTS 100
#define T_COLD_STEP_MS 50
#define T_COLD_STEPS_MAX 2400
#define T_COLD_STEPS_PER_S (1000 / T_COLD_STEP_MS)
/* What a cold upstream takes: 6.1 per second; 6.1 times 1.5, plus 5, at most.
 */
#define T_COLD_MS 600000
#define T_COLD_PERMILLE 6100
#define T_COLD_BOUND 14
/* The number of the key of calls that need none. */
#define T_COLD_NO_KEY 0

struct t_cold_host {
    struct t_core core;
    bool runs;
    /* Steps until which it is frozen, and cut off from the store. */
    uint32_t frozen_until;
    uint32_t cut_until;
    /* Steps in which it last joined, and in which the store responds. */
    uint32_t joined_step;
    uint32_t join_done_step;
    uint32_t members_step;
    /* struct sent_later */
    GArray *attempts;
};

struct t_cold_group {
    struct t_cold_host hosts[T_COLD_HOSTS];
    int64_t generation;
    bool member[T_COLD_HOSTS];
    uint32_t step;
    uint32_t arrivals[T_COLD_STEPS_MAX];
    GRand *random;
    /* The first n_cold upstreams have just started. */
    uint32_t n_cold;
    /* A response of desk-0 says that it is cold. */
    bool says_cold;
    /* Share of the hosts that get a call in a step. */
    uint32_t calls_permille;
};

/*
 * Configures a host with the pool of both upstreams, of which the first n_cold
 * have just started.
 */
void t_cold_configure(struct t_core *core, ct_ms cold_ms,
                      int64_t cold_permille, uint32_t n_cold);

/* Starts the first n hosts at the same time. */
struct t_cold_group *t_cold_setup(uint32_t seed, uint32_t n_hosts,
                                  uint32_t n_cold);
void t_cold_teardown(struct t_cold_group *group);

void t_cold_start(struct t_cold_group *group, uint32_t i);
/* Stops the host without notice; does nothing if it does not run. */
void t_cold_stop(struct t_cold_group *group, uint32_t i);
void t_cold_run(struct t_cold_group *group, ct_ms ms);
/* Returns a number below n. */
uint32_t t_cold_random(struct t_cold_group *group, uint32_t n);

/* Returns the number of requests that desk-0 got since the step. */
uint32_t t_cold_count_since(const struct t_cold_group *group, uint32_t step);
/* Asserts that it got no more than the bound in any one second. */
void t_cold_assert_within_bound(const struct t_cold_group *group,
                                const char *name);

#endif
