/*
 * Tests of upstream-notices.h: upstreams get no more requests from all hosts
 * together than they say they take.
 */
#include <string.h>

#include "error.h"
#include "lib-relay.h"

#define HOSTS_MAX 60
#define UPSTREAMS 6
#define STEP_MS 50
/*
 * A limit holds for a host this long after it was told, and for all hosts
 * after CONTACT_MS, in each window.
 */
#define TOLD_MS 500
#define CONTACT_MS 3000
#define WINDOW_MS 4000
#define STEPS_MAX 1024

/* Hosts of one group that send calls to the same upstreams. */
struct world {
    struct t_core hosts[HOSTS_MAX];
    uint32_t n_hosts;
    /* Limit that the first n_limited upstreams name, in thousandths. */
    int64_t limit_permille;
    uint32_t n_limited;
    /* Step at which each upstream first told a host its limit; 0 for never. */
    uint32_t told[HOSTS_MAX][UPSTREAMS];
    /* Calls that each upstream got, by step, from hosts that it had told. */
    uint32_t arrivals[UPSTREAMS][STEPS_MAX];
    uint32_t step;
    uint32_t refused;
    uint64_t random;
};

static void
setup(struct world *world, uint32_t n_hosts)
{
    memset(world, 0, sizeof(*world));
    world->n_hosts = n_hosts;
    world->random = 1;
    for (uint32_t i = 0; i < n_hosts; i++) {
        g_autofree char *name = g_strdup_printf("h%u", i + 1);

        t_relay_init_named(&world->hosts[i], name);
        t_relay_configure(&world->hosts[i], 5, UPSTREAMS);
        t_relay_post_members(&world->hosts[i], CT_OK, n_hosts);
    }
}

static void
teardown(struct world *world)
{
    for (uint32_t i = 0; i < world->n_hosts; i++) {
        t_core_free(&world->hosts[i]);
    }
}

/* Returns the upstream's number, which its name ends with. */
static uint32_t
upstream_number(const struct ct_relay_start *start)
{
    return (uint32_t)g_ascii_strtoull(strrchr(start->upstream.text, '-') + 1,
                                      NULL, 10);
}

static void
count_arrival(struct world *world, uint32_t host, uint32_t upstream)
{
    uint32_t *told = &world->told[host][upstream];

    if (*told && world->step >= *told + TOLD_MS / STEP_MS) {
        world->arrivals[upstream][world->step]++;
    }
    if (!*told) {
        *told = world->step + 1;
    }
}

/* Counts the attempts that the last event started, and answers them. */
static void
answer_started(struct world *world, uint32_t host)
{
    struct t_core *core = &world->hosts[host];

    while (t_core_count(core, CT_EFFECT_RELAY_START_ATTEMPT) > 0) {
        struct ct_relay_start starts[32];
        uint32_t n = 0;

        while (n < G_N_ELEMENTS(starts) &&
               t_core_effect(core, CT_EFFECT_RELAY_START_ATTEMPT, n)) {
            starts[n] =
                t_core_effect(core, CT_EFFECT_RELAY_START_ATTEMPT, n)->u.relay;
            n++;
        }
        for (uint32_t i = 0; i < n; i++) {
            uint32_t number = upstream_number(&starts[i]);
            const struct ct_upstream_notice notice = {
                .limited = number < world->n_limited,
                .limit_permille =
                    number < world->n_limited ? world->limit_permille : 0,
            };

            count_arrival(world, host, number);
            t_relay_sent(core, starts[i].attempt);
            t_relay_head(core, starts[i].attempt, &notice);
            t_relay_data(core, starts[i].attempt, 1);
            t_relay_done(core, starts[i].attempt, CT_OUTCOME_COMPLETE, 200);
        }
    }
}

static uint32_t
next_random(struct world *world, uint32_t n)
{
    world->random = world->random * UINT64_C(6364136223846793005) + 1;
    return (uint32_t)(world->random >> 33) % MAX(n, 1);
}

/* Sends per_s calls a second to random hosts for a time. */
static void
play(struct world *world, uint32_t per_s, ct_ms ms)
{
    uint32_t owed = 0;

    for (ct_ms end_ms = world->hosts[0].now_ms + ms;
         world->hosts[0].now_ms < end_ms; world->step++) {
        for (uint32_t i = 0; i < world->n_hosts; i++) {
            t_core_tick(&world->hosts[i], STEP_MS);
            answer_started(world, i);
            t_relay_confirm(&world->hosts[i]);
        }
        for (owed += per_s * STEP_MS; owed >= 1000; owed -= 1000) {
            uint32_t host = next_random(world, world->n_hosts);
            struct t_core *core = &world->hosts[host];

            t_relay_call_with_prefix(core, 1, T_RESUME_PATH,
                                     1 + next_random(world, 1000));
            world->refused += t_core_count(core, CT_EFFECT_REFUSE_REQUEST);
            answer_started(world, host);
        }
    }
}

/* Returns the most calls that an upstream got in a window, from a step on. */
static uint32_t
most_in_window(const struct world *world, uint32_t upstream, uint32_t from)
{
    uint32_t most = 0;

    for (uint32_t i = from; i < world->step; i++) {
        uint32_t sum = 0;

        for (uint32_t j = i; j < world->step && j < i + WINDOW_MS / STEP_MS;
             j++) {
            sum += world->arrivals[upstream][j];
        }
        most = MAX(most, sum);
    }
    return most;
}

static void
assert_within_limits(const struct world *world)
{
    uint32_t allowed =
        (uint32_t)(world->limit_permille * WINDOW_MS / 1000 * 3 / 2 / 1000) +
        5;

    for (uint32_t i = 0; i < world->n_limited; i++) {
        g_assert_cmpuint(most_in_window(world, i, CONTACT_MS / STEP_MS), <=,
                         allowed);
    }
}

/* Guards against an upstream that gets more requests than it takes. */
static void
test_limit_of_all_hosts_together(void)
{
    static const struct {
        uint32_t hosts;
        int64_t limit_permille;
        uint32_t per_s;
    } cases[] = {
        {8, 3200, 40},  {8, 1000, 40}, {8, 500, 40},   {8, 0, 40},
        {60, 1600, 60}, {60, 200, 60}, {60, 4900, 90}, {1, 2000, 20},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct world *world = g_new(struct world, 1);

        g_test_message("%u hosts, %d / 1000", cases[i].hosts,
                       (int)cases[i].limit_permille);
        setup(world, cases[i].hosts);
        world->n_limited = 4;
        world->limit_permille = cases[i].limit_permille;
        play(world, cases[i].per_s, 20000);
        /* A burst after a pause, in which hosts gather what they may send. */
        play(world, 0, 8000);
        play(world, 10 * cases[i].per_s, 2000);
        assert_within_limits(world);
        teardown(world);
        g_free(world);
    }
}

/* Limits that are heard are used: most of what upstreams take is sent. */
static void
test_limits_are_used(void)
{
    struct world *world = g_new(struct world, 1);

    setup(world, 8);
    world->n_limited = UPSTREAMS;
    world->limit_permille = 3000;
    play(world, 40, 20000);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        uint32_t sum = 0;

        for (uint32_t j = 10000 / STEP_MS; j < world->step; j++) {
            sum += world->arrivals[i][j];
        }
        g_assert_cmpuint(sum, >=, 10 * 3 * 3 / 4);
    }
    teardown(world);
    g_free(world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream-notices/limit-of-all-hosts-together",
                    test_limit_of_all_hosts_together);
    g_test_add_func("/upstream-notices/limits-are-used", test_limits_are_used);
    return g_test_run();
}
