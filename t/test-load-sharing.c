/*
 * Tests of load-sharing.h and load-report.h: a group of hosts whose links and
 * messages are simulated; the tests set the calls in flight at its upstreams.
 */
#include <string.h>

#include "candidates.h"
#include "lib-host-group.h"

/* Time for all hosts to find their sources and the sums to arrive. */
#define SETTLE_MS 6000
#define EXPIRY_MS 3000
/* A source expires a part, tells the others, and they their followers. */
#define FORGOTTEN_MS (EXPIRY_MS + 1000 + 500 + 500)
/* Time between the lists from which a frozen host is missing. */
#define MISSING_MS 4000
/* Time in which all hosts apply a change of the upstreams. */
#define READ_MS 600

/* The upstream that the tests load. */
static struct ct_handle
upstream_of(const struct t_core *core)
{
    struct ct_name name = {"engines-1"};

    return ct_config_upstream(&core->state->config, &name);
}

static void
set_calls(struct t_group *group, uint32_t host, uint32_t in_flight)
{
    struct t_core *core = &group->hosts[host];
    struct ct_upstream_row *upstream =
        ct_table_get(&core->state->config.upstreams, upstream_of(core));

    upstream->in_flight = in_flight;
}

static bool
get_load(const struct t_group *group, uint32_t host,
         struct ct_shared_load *load)
{
    const struct t_core *core = &group->hosts[host];

    return ct_load_sharing_get(core->state, upstream_of(core), load);
}

/* Asserts what a host knows of the calls of the others. */
static void
assert_others(const struct t_group *group, uint32_t host, uint32_t in_flight)
{
    struct ct_shared_load load;

    g_assert_true(get_load(group, host, &load));
    g_assert_cmpuint(load.others_in_flight, ==, in_flight);
}

static uint64_t
counter(const struct t_group *group, uint32_t host, enum ct_counter which)
{
    return group->hosts[host].state->counters.values[which];
}

/*
 * Every host, whether source or follower, knows the calls of all the others
 * and none of its own, soon after they changed.
 */
static void
test_all_hosts(void)
{
    struct t_group *group = t_group_new(40, 20, 40);
    uint32_t total = 0;
    ct_ms age_sum_ms = 0;
    uint32_t samples = 0;
    struct ct_shared_load load;

    for (uint32_t i = 0; i < 40; i++) {
        set_calls(group, i, i);
        total += i;
    }
    t_group_run(group, SETTLE_MS);
    for (uint32_t i = 0; i < 40; i++) {
        assert_others(group, i, total - i);
    }
    set_calls(group, 39, 500);
    t_group_run(group, 2500);
    for (uint32_t i = 0; i < 39; i++) {
        assert_others(group, i, total - 39 + 500 - i);
    }
    for (int k = 0; k < 200; k++) {
        t_group_step(group);
        for (uint32_t i = 0; i < 40; i++) {
            g_assert_true(get_load(group, i, &load));
            g_assert_cmpint(load.age_ms, <, 1600);
            age_sum_ms += load.age_ms;
            samples++;
        }
    }
    g_test_message("mean age of the estimates %d ms",
                   (int)(age_sum_ms / samples));
    /* Without common times of the sources the mean is above 640 ms. */
    g_assert_cmpint(age_sum_ms / samples, <, 600);
    t_group_free(group);
}

/*
 * A host's own calls are not part of what it knows of the others, at no time,
 * however they change between its reports.
 */
static void
test_own_calls(void)
{
    struct t_group *group = t_group_new(40, 20, 40);

    for (uint32_t i = 0; i < 40; i++) {
        set_calls(group, i, 3);
    }
    t_group_run(group, SETTLE_MS);
    for (uint32_t k = 0; k < 600; k++) {
        /* Host 20 is a source, host 35 a follower. */
        set_calls(group, 35, k % 7 * 40);
        t_group_step(group);
        assert_others(group, 35, 39 * 3);
    }
    set_calls(group, 35, 3);
    t_group_run(group, SETTLE_MS);
    for (uint32_t k = 0; k < 600; k++) {
        set_calls(group, 20, k % 7 * 40);
        t_group_step(group);
        assert_others(group, 20, 39 * 3);
    }
    t_group_free(group);
}

/*
 * The source of a host freezes: the host goes on without an estimate and finds
 * another source, and what it knows then never contains its own calls.
 */
static void
test_frozen_source(void)
{
    struct t_group *group = t_group_new(40, 20, 40);
    struct ct_shared_load load;
    uint32_t follower = 39;
    uint32_t source;

    t_group_run(group, SETTLE_MS);
    set_calls(group, follower, 1000);
    t_group_run(group, SETTLE_MS);
    source =
        t_group_find(group, &group->hosts[follower].state->replication.source);
    group->frozen[source] = true;
    for (ct_ms ms = 0; ms < 4 * FORGOTTEN_MS; ms += T_GROUP_STEP_MS) {
        t_group_step(group);
        if (get_load(group, follower, &load)) {
            g_assert_cmpuint(load.others_in_flight, ==, 0);
            g_assert_cmpint(load.age_ms, <=, EXPIRY_MS);
        }
        if (ms == MISSING_MS || ms == 2 * MISSING_MS) {
            t_group_post_members(group);
        }
    }
    assert_others(group, follower, 0);
    assert_others(group, source == 0 ? 1 : 0, 1000);
    /* It thaws with outdated messages and parts. */
    group->frozen[source] = false;
    t_group_post_members(group);
    for (ct_ms ms = 0; ms < 2 * FORGOTTEN_MS; ms += T_GROUP_STEP_MS) {
        t_group_step(group);
        if (get_load(group, follower, &load)) {
            g_assert_cmpuint(load.others_in_flight, ==, 0);
        }
    }
    assert_others(group, follower, 0);
    t_group_free(group);
}

/*
 * A frozen follower is forgotten and the other hosts stand for it. When it
 * goes on, the sums that waited for it are too old to be used.
 */
static void
test_frozen_follower(void)
{
    struct t_group *group = t_group_new(20, 20, 20);
    struct ct_shared_load load;
    uint32_t ms = 0;

    for (uint32_t i = 0; i < 20; i++) {
        set_calls(group, i, 10);
    }
    t_group_run(group, SETTLE_MS);
    assert_others(group, 0, 190);
    group->frozen[19] = true;
    set_calls(group, 18, 29);
    t_group_run(group, FORGOTTEN_MS);
    /* The mean of 18 others stands for the frozen one. */
    assert_others(group, 0, (17 * 10 + 29) * 19 / 18);
    assert_others(group, 18, 18 * 10 * 19 / 18);
    t_group_run(group, 10000);
    for (uint32_t i = 0; i < 19; i++) {
        set_calls(group, i, 0);
    }
    t_group_run(group, 1500);
    group->frozen[19] = false;
    do {
        t_group_step(group);
        ms += T_GROUP_STEP_MS;
    } while (!get_load(group, 19, &load));
    g_assert_cmpuint(load.others_in_flight, ==, 0);
    g_assert_cmpuint(ms, <, 3000);
    t_group_free(group);
}

/*
 * Hosts freeze and go on at random, so that sources change and messages are
 * late. Only one host has calls: whatever it knows of the others must be 0.
 */
static void
test_random_freezes(void)
{
    GRand *random = g_rand_new_with_seed(5);
    struct t_group *group = t_group_new(40, 20, 40);
    ct_ms until_ms[T_GROUP_HOSTS_MAX] = {0};
    struct ct_shared_load load;
    uint32_t known = 0;
    uint32_t caller = 39;

    set_calls(group, caller, 1000);
    for (uint32_t k = 0; k < 30000; k++) {
        uint32_t host = (uint32_t)g_rand_int_range(random, 0, 40);

        if (k % 50 == 0) {
            until_ms[host] = group->now_ms + g_rand_int_range(random, 0, 9000);
        }
        for (uint32_t i = 0; i < 40; i++) {
            group->frozen[i] = until_ms[i] > group->now_ms;
        }
        if (k % 200 == 0) {
            t_group_post_members(group);
        }
        t_group_step(group);
        if (!group->frozen[caller] && get_load(group, caller, &load)) {
            g_assert_cmpuint(load.others_in_flight, ==, 0);
            known++;
        }
    }
    /* The estimate is not lost for good by all these changes. */
    g_assert_cmpuint(known, >, 3000);
    g_test_message("known in %u of 30000 steps", known);
    t_group_free(group);
    g_rand_free(random);
}

/* An older or repeated report is ignored, and counted. */
static void
test_old_report(void)
{
    struct t_group *group = t_group_new(4, 4, 4);
    uint64_t before;

    set_calls(group, 3, 5);
    t_group_run(group, SETTLE_MS);
    before = counter(group, 0, CT_COUNTER_LOAD_IGNORED);
    assert_others(group, 0, 5);
    /* The rows are left out, so that a report that counted would show. */
    group->last_report.u.peer.message.sender =
        group->hosts[3].state->self.host;
    group->last_report.u.peer.message.u.load.sequence = 1;
    t_group_post(group, 0, &group->last_report);
    assert_others(group, 0, 5);
    g_assert_cmpuint(counter(group, 0, CT_COUNTER_LOAD_IGNORED), ==,
                     before + 1);
    g_assert_cmpuint(t_core_count(&group->hosts[0], CT_EFFECT_LOG_EVENT), ==,
                     1);
    t_group_post(group, 0, &group->last_report);
    g_assert_cmpuint(t_core_count(&group->hosts[0], CT_EFFECT_LOG_EVENT), ==,
                     0);
    t_group_free(group);
}

/* Hosts that do not share their load are estimated as the mean of those that
 * do; with too few of these, nothing is known. */
static void
test_scaling(void)
{
    struct t_group *group = t_group_new(40, 20, 20);
    struct ct_shared_load load;

    for (uint32_t i = 0; i < 40; i++) {
        set_calls(group, i, 6);
    }
    t_group_run(group, SETTLE_MS);
    assert_others(group, 0, 39 * 6);
    assert_others(group, 19, 39 * 6);
    g_assert_false(get_load(group, 39, &load));
    t_group_free(group);
    group = t_group_new(40, 8, 8);
    t_group_run(group, SETTLE_MS);
    g_assert_false(get_load(group, 0, &load));
    t_group_free(group);
}

/* In small availability zones every host is a source. */
static void
test_small_zones(void)
{
    struct t_group *group = t_group_new(7, 3, 7);

    for (uint32_t i = 0; i < 7; i++) {
        set_calls(group, i, 1 << i);
    }
    t_group_run(group, SETTLE_MS);
    for (uint32_t i = 0; i < 7; i++) {
        assert_others(group, i, 127 - (1 << i));
    }
    t_group_free(group);
}

/*
 * The balancing policies get the estimate with each candidate, and a random
 * number with each call.
 */
static void
test_candidates(void)
{
    struct t_group *group = t_group_new(3, 3, 3);
    struct ct_state *state = group->hosts[0].state;
    struct ct_candidate_filter filter = {.state = CT_UPSTREAM_RUNNING};
    struct ct_candidate candidates[CT_CANDIDATES_MAX];
    struct ct_name pool = {"engines"};
    uint64_t random;
    uint32_t n;

    filter.pool = ct_config_pool(&state->config, &pool);
    n = ct_candidates_list(state, &filter, candidates, CT_CANDIDATES_MAX);
    g_assert_cmpuint(n, ==, 2);
    g_assert_false(candidates[0].load_known);
    set_calls(group, 1, 4);
    t_group_run(group, SETTLE_MS);
    ct_candidates_list(state, &filter, candidates, CT_CANDIDATES_MAX);
    for (uint32_t i = 0; i < n; i++) {
        bool loaded = ct_handle_eq(candidates[i].upstream,
                                   upstream_of(&group->hosts[0]));

        g_assert_true(candidates[i].load_known);
        g_assert_cmpuint(candidates[i].others_in_flight, ==, loaded ? 4 : 0);
        g_assert_cmpint(candidates[i].load_age_ms, >, 0);
    }
    random = state->random;
    t_relay_call(&group->hosts[0], 1, T_STREAM_PATH);
    g_assert_cmpuint(state->random, !=, random);
    t_group_free(group);
}

/* Without the setting nothing is sent, and no random number is drawn. */
static void
test_off(void)
{
    struct t_group *group = t_group_new(20, 20, 0);
    struct ct_shared_load load;
    uint64_t random;

    t_group_run(group, SETTLE_MS);
    g_assert_cmpuint(group->load_messages, ==, 0);
    g_assert_false(get_load(group, 0, &load));
    random = group->hosts[0].state->random;
    t_relay_call(&group->hosts[0], 1, T_STREAM_PATH);
    g_assert_cmpuint(group->hosts[0].state->random, ==, random);
    t_group_free(group);
}

static void
post_upstreams(struct t_group *group, uint32_t first, uint32_t n, bool removed)
{
    for (uint32_t i = first; i < first + n; i++) {
        struct ct_event event = {.type = CT_EVENT_STORE_UPSTREAM};

        event.u.store_upstream = t_upstream("desk", i);
        event.u.store_upstream.removed = removed;
        for (uint32_t host = 0; host < group->n; host++) {
            t_group_post(group, host, &event);
        }
    }
    t_group_run(group, READ_MS);
}

/*
 * Upstreams that are gone are dropped from the lists of the hosts, which agree
 * on the others afterwards; meanwhile no host counts its own calls.
 */
static void
test_many_upstreams(void)
{
    struct t_group *group = t_group_new(5, 5, 5);
    const struct ct_load_table *table =
        &group->hosts[2].state->load_sharing.table;
    struct ct_shared_load load;
    uint32_t longest = 0;

    for (uint32_t round = 0; round < 30; round++) {
        post_upstreams(group, 100 + round * 20, 20, false);
        set_calls(group, 2, round + 1);
        post_upstreams(group, 100 + round * 20, 20, true);
        for (int k = 0; k < 200; k++) {
            t_group_step(group);
            if (get_load(group, 2, &load)) {
                g_assert_cmpuint(load.others_in_flight, ==, 0);
            }
        }
        assert_others(group, 0, round + 1);
        assert_others(group, 4, round + 1);
        longest = MAX(longest, table->hashes->len);
    }
    g_assert_cmpuint(table->version, >, 1);
    g_assert_cmpuint(longest, <, 200);
    t_group_free(group);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/load-sharing/all-hosts", test_all_hosts);
    g_test_add_func("/load-sharing/own-calls", test_own_calls);
    g_test_add_func("/load-sharing/frozen-source", test_frozen_source);
    g_test_add_func("/load-sharing/frozen-follower", test_frozen_follower);
    g_test_add_func("/load-sharing/random-freezes", test_random_freezes);
    g_test_add_func("/load-sharing/old-report", test_old_report);
    g_test_add_func("/load-sharing/scaling", test_scaling);
    g_test_add_func("/load-sharing/small-zones", test_small_zones);
    g_test_add_func("/load-sharing/candidates", test_candidates);
    g_test_add_func("/load-sharing/off", test_off);
    g_test_add_func("/load-sharing/many-upstreams", test_many_upstreams);
    return g_test_run();
}
