/*
 * Tests of zone-reachability.h: which calls go to an availability zone whose
 * upstreams do not accept connections.
 */
#include <string.h>

#include "lib-relay.h"
#include "zone-reachability.h"

/* Upstreams with an even number are in zone-a, the others in zone-b. */
#define UPSTREAMS 10
#define CALLS 40
#define CONNECT_TIMEOUT_MS 1000

static void
setup(struct t_core *core, bool skips)
{
    t_relay_setup(core, UPSTREAMS);
    core->state->self.skip_unreachable_zones = skips;
}

static char
zone_of(const struct ct_relay_start *start)
{
    const char *number = strrchr(start->upstream.text, '-');

    return g_ascii_strtoll(number + 1, NULL, 10) % 2 ? 'b' : 'a';
}

static struct ct_relay_start
call(struct t_core *core)
{
    t_relay_call(core, 0, T_OPEN_PATH);
    return t_relay_started(core);
}

/*
 * Makes a call while these zones are away, and attempts until one is
 * established. Returns the attempts that timed out.
 */
static guint
call_until_sent(struct t_core *core, const char *away)
{
    struct ct_relay_start start = call(core);
    guint timed_out = 0;

    while (strchr(away, zone_of(&start)) != NULL) {
        timed_out++;
        t_core_tick(core, CONNECT_TIMEOUT_MS);
        t_relay_done(core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
        start = t_relay_started(core);
    }
    t_relay_finish(core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    return timed_out;
}

static guint
count_timed_out(bool skips)
{
    struct t_core core;
    guint timed_out = 0;

    setup(&core, skips);
    for (int i = 0; i < CALLS; i++) {
        timed_out += call_until_sent(&core, "b");
        t_core_tick(&core, 100);
    }
    t_core_free(&core);
    return timed_out;
}

/* Calls b's upstreams until the zone is found unreachable. */
static void
lose_zone(struct t_core *core)
{
    for (int i = 0; core->state->zone_reachability.n_unreachable == 0; i++) {
        g_assert_cmpint(i, <, CALLS);
        call_until_sent(core, "b");
    }
}

static guint
count_calls_to(struct t_core *core, char zone)
{
    guint n = 0;

    for (int i = 0; i < CALLS; i++) {
        struct ct_relay_start start = call(core);

        n += zone_of(&start) == zone;
        t_relay_done(core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
        start = t_relay_started(core);
        t_relay_finish(core, start.attempt, CT_OUTCOME_COMPLETE, 200);
    }
    return n;
}

/*
 * Guards against a host that learns of each upstream of a lost zone by itself,
 * again and again: many calls wait for a connection that times out.
 */
static void
test_lost_zone(void)
{
    guint without = count_timed_out(false);
    guint with = count_timed_out(true);

    g_test_message("attempts that timed out: %u, %u", without, with);
    g_assert_cmpuint(with * 2, <=, without);
}

/* An attempt that still waits for its connection does not wait any longer. */
static void
test_rerouted(void)
{
    struct ct_relay_start waiting;
    struct t_core core;

    setup(&core, true);
    do {
        waiting = call(&core);
    } while (zone_of(&waiting) == 'a');
    for (int i = 0; core.state->zone_reachability.n_unreachable == 0; i++) {
        struct ct_relay_start start = call(&core);

        g_assert_cmpint(i, <, CALLS);
        if (zone_of(&start) == 'b' &&
            !ct_name_eq(&start.upstream, &waiting.upstream)) {
            t_core_tick(&core, CONNECT_TIMEOUT_MS / 2);
            t_relay_done(&core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
        }
    }
    g_assert_null(ct_table_get(&core.state->relays.attempts, waiting.attempt));
    t_core_free(&core);
}

/*
 * The zone is tested now and then, by one call that has time for it, and used
 * again when a connection is established.
 */
static void
test_back(void)
{
    struct ct_relay_start start;
    struct t_core core;

    setup(&core, true);
    lose_zone(&core);
    g_assert_cmpuint(count_calls_to(&core, 'b'), ==, 0);
    t_core_tick(&core, 3000);
    t_relay_call_within(&core, 0, T_OPEN_PATH, 1000);
    start = t_relay_started(&core);
    g_assert_cmpint(zone_of(&start), ==, 'a');
    start = call(&core);
    g_assert_cmpint(zone_of(&start), ==, 'b');
    g_assert_cmpuint(count_calls_to(&core, 'b'), ==, 0);
    t_relay_sent(&core, start.attempt);
    g_assert_cmpuint(core.state->zone_reachability.n_unreachable, ==, 0);
    g_assert_cmpuint(count_calls_to(&core, 'b'), >, 0);
    t_core_free(&core);
}

/*
 * A zone stays in use if its machines refuse connections, if one upstream of
 * it is away, or if connections time out now and then between others.
 */
static void
test_not_lost(void)
{
    enum { REFUSED, ONE_UPSTREAM, BETWEEN, CASES };

    for (int c = 0; c < CASES; c++) {
        struct ct_name first = {""};
        struct t_core core;

        setup(&core, true);
        for (int i = 0; i < CALLS; i++) {
            struct ct_relay_start start = call(&core);

            if (zone_of(&start) == 'b' && first.text[0] == '\0') {
                first = start.upstream;
            }
            if (zone_of(&start) == 'b' &&
                (c != ONE_UPSTREAM || ct_name_eq(&start.upstream, &first))) {
                t_core_tick(&core, c == REFUSED ? 10 : CONNECT_TIMEOUT_MS);
                t_relay_done(&core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
                start = t_relay_started(&core);
            }
            if (c == BETWEEN || zone_of(&start) == 'a') {
                t_relay_finish(&core, start.attempt, CT_OUTCOME_COMPLETE, 200);
            }
            t_core_tick(&core, 200);
            if (c == BETWEEN) {
                struct ct_name zone = {"zone-b"};

                ct_zone_reachability_on_reached(core.state, &zone);
            }
            g_assert_cmpuint(core.state->zone_reachability.n_unreachable, ==,
                             0);
        }
        t_core_free(&core);
    }
}

/* If no zone can be reached, calls still try: one may be back. */
static void
test_all_lost(void)
{
    struct t_core core;

    setup(&core, true);
    for (int i = 0; i < CALLS; i++) {
        struct ct_relay_start start = call(&core);

        t_core_tick(&core, CONNECT_TIMEOUT_MS);
        t_relay_done(&core, start.attempt, CT_OUTCOME_NOT_SENT, 0);
    }
    g_assert_cmpuint(core.state->zone_reachability.n_unreachable, ==, 2);
    call(&core);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zone-reachability/lost-zone", test_lost_zone);
    g_test_add_func("/zone-reachability/rerouted", test_rerouted);
    g_test_add_func("/zone-reachability/back", test_back);
    g_test_add_func("/zone-reachability/not-lost", test_not_lost);
    g_test_add_func("/zone-reachability/all-lost", test_all_lost);
    return g_test_run();
}
