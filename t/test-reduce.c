/*
 * Tests of reduce.h: the invariants of the reducer under random faults;
 * lib-world.h lists the injected faults and the assertions.
 */
#include "lib-world.h"

#define SEEDS 60
#define STEPS 4000

struct seeded {
    struct t_world_choices choices;
    GRand *random;
};

static guint32
next_random(struct t_world_choices *choices, guint32 n)
{
    return g_rand_int(((struct seeded *)choices)->random) % n;
}

static void
test_invariants(void)
{
    struct t_world_stats stats = {0};

    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        struct seeded seeded_choices = {
            .choices = {.next = next_random},
            .random = g_rand_new_with_seed(seed),
        };

        g_test_message("seed %u", seed);
        t_world_run(&seeded_choices.choices, STEPS, &stats);
        g_rand_free(seeded_choices.random);
    }
    g_test_message(
        "calls %u complete %u aborted %u not-run %u may-have-run %u "
        "runs %u restarts %u withdrawn %u",
        stats.calls, stats.complete, stats.truncated, stats.refused_not_run,
        stats.refused_may_have_run, stats.runs, stats.restarts,
        stats.withdrawn);
    /* The run is only meaningful if each of these cases occurred. */
    g_assert_cmpuint(stats.complete, >, 1000);
    g_assert_cmpuint(stats.truncated, >, 10);
    g_assert_cmpuint(stats.refused_not_run, >, 100);
    g_assert_cmpuint(stats.refused_may_have_run, >, 100);
    g_assert_cmpuint(stats.restarts, >, 100);
    g_assert_cmpuint(stats.withdrawn, >, 10);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/reduce/invariants", test_invariants);
    return g_test_run();
}
