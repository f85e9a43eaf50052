/*
 * Tests of the choice with load that hosts share, in a world of hosts that
 * learn of each other's calls late, and of engines that run them.
 */
#include <glib.h>
#include <string.h>

#include "balance-policy.h"

#define HOSTS_MAX 95
#define ENGINES_MAX 140
#define STEP_MS 10
#define WARM_UP_MS 20000
#define END_MS 80000
#define PREFIXES 400
/* Shared prefixes that an engine keeps, and the time it takes to read one. */
#define CACHED_PREFIXES 24
#define READ_MS 240
/* Snapshots of the calls in flight, as far back as a report can be late. */
#define SNAPSHOT_MS 100
#define SNAPSHOTS 32
#define REPORT_MS 500

struct setup {
    guint hosts;
    guint engines;
    guint slots;
    guint calls_per_s;
    gint32 work_min_ms;
    gint32 work_max_ms;
    gboolean prefixes;
};

static const struct setup large = {95, 140, 16, 500, 1000, 4000, TRUE};
static const struct setup plain = {70, 3, 6, 30, 100, 500, FALSE};

struct call {
    guint host;
    gint64 left_ms;
};

struct engine {
    guint speed_percent;
    GArray *calls;
    guint64 cached[CACHED_PREFIXES];
    /* Time that the calls sent to it take at its speed. */
    gint64 sent_ms;
};

struct host {
    struct ct_balance_policy *policy;
    struct ct_candidate candidates[ENGINES_MAX];
    guint16 in_flight[ENGINES_MAX];
    /* The age of its view, and when it gets the next one. */
    gint64 snapshot_ms;
    gint64 report_due_ms;
};

struct world {
    const struct setup *setup;
    gboolean shares_load;
    GRand *random;
    gint64 now_ms;
    gdouble weights[PREFIXES];
    struct host hosts[HOSTS_MAX];
    struct engine engines[ENGINES_MAX];
    guint16 snapshots[SNAPSHOTS][HOSTS_MAX][ENGINES_MAX];
    guint sent;
    /* Totals of the figures below. */
    guint read;
    guint waited;
    gint64 wait_ms;
};

struct figures {
    /* Time of the calls sent to the busiest engine, in percent of the mean. */
    gint64 busiest;
    /* Calls per thousand that waited while an engine was at most half full. */
    guint waited;
    /* Mean time that a call waits for a slot. */
    gint64 wait_ms;
    /* Calls per thousand whose engine had to read the prefix. */
    guint read;
};

/* One host in ten gets no reports, and its calls are in no report. */
static gboolean
is_cut_off(guint host)
{
    return host % 10 == 9;
}

static void
take_report(struct world *w, guint h)
{
    struct host *host = &w->hosts[h];
    /* The link's delay, and the periods of a source and of a follower. */
    gint64 age_ms = g_rand_int_range(w->random, 100, 501) +
                    g_rand_int_range(w->random, 0, 1001) +
                    g_rand_int_range(w->random, 0, 501);
    gint64 at = MAX(w->now_ms - age_ms, 0) / SNAPSHOT_MS;
    guint covered = 0;

    for (guint i = 0; i < w->setup->hosts; i++) {
        covered += !is_cut_off(i);
    }
    host->report_due_ms = w->now_ms + REPORT_MS;
    host->snapshot_ms = at * SNAPSHOT_MS;
    for (guint e = 0; e < w->setup->engines; e++) {
        guint sum = 0;
        guint own = w->snapshots[at % SNAPSHOTS][h][e];

        for (guint i = 0; i < w->setup->hosts; i++) {
            sum += is_cut_off(i) ? 0 : w->snapshots[at % SNAPSHOTS][i][e];
        }
        host->candidates[e].load_known = true;
        host->candidates[e].others_in_flight =
            (sum - own) * w->setup->hosts / covered;
    }
}

static guint
draw_prefix(struct world *w)
{
    gdouble left = g_rand_double(w->random) * w->weights[PREFIXES - 1];
    guint i = 0;

    while (w->weights[i] < left) {
        i++;
    }
    return i + 1;
}

/* Returns whether the engine must read the prefix, and moves it to the front.
 */
static gboolean
must_read(struct engine *engine, guint64 prefix)
{
    guint i = 0;

    while (i < CACHED_PREFIXES - 1 && engine->cached[i] != prefix) {
        i++;
    }
    gboolean cached = engine->cached[i] == prefix;

    memmove(&engine->cached[1], &engine->cached[0],
            i * sizeof(engine->cached[0]));
    engine->cached[0] = prefix;
    return !cached;
}

static void
send_call(struct world *w)
{
    struct call call = {.host = (guint)g_rand_int_range(
                            w->random, 0, (gint32)w->setup->hosts)};
    struct host *host = &w->hosts[call.host];
    gboolean interactive = g_rand_int_range(w->random, 0, 100) < 15;
    struct ct_balance_request request = {
        .now_ms = w->now_ms + 1,
        .hosts = w->setup->hosts,
        .cheap_allowed = true,
        .may_probe = true,
        .random = (guint64)g_rand_int(w->random) << 32 | g_rand_int(w->random),
    };
    struct engine *engine;
    guint least = G_MAXUINT;
    int chosen;

    if (w->setup->prefixes) {
        guint64 prefix = draw_prefix(w) * 2 + interactive;

        request.prefix_hash = ct_hash_bytes(CT_HASH_SEED, &prefix, 8);
        request.prompt_tokens = interactive ? 1000 : 13300;
        request.tight_gap = interactive;
    }
    for (guint e = 0; e < w->setup->engines; e++) {
        host->candidates[e].load_age_ms = w->now_ms - host->snapshot_ms;
        least = MIN(least, w->engines[e].calls->len);
    }
    chosen = host->policy->ops->choose_upstream(
        host->policy, &request, host->candidates, w->setup->engines);
    g_assert_cmpint(chosen, >=, 0);
    host->policy->ops->started(host->policy, host->candidates[chosen].upstream,
                               w->now_ms + 1);
    host->in_flight[chosen]++;
    engine = &w->engines[chosen];
    call.left_ms = g_rand_int_range(w->random, w->setup->work_min_ms,
                                    w->setup->work_max_ms);
    if (w->now_ms >= WARM_UP_MS) {
        w->sent++;
        w->waited += engine->calls->len >= w->setup->slots &&
                     least <= w->setup->slots / 2;
        engine->sent_ms += call.left_ms * 100 / engine->speed_percent;
    }
    if (request.prefix_hash && must_read(engine, request.prefix_hash)) {
        call.left_ms += request.prompt_tokens * READ_MS / 13300;
        w->read += w->now_ms >= WARM_UP_MS;
    }
    call.left_ms = call.left_ms * 100 / engine->speed_percent;
    g_array_append_val(engine->calls, call);
}

static void
run_engine(struct world *w, guint e)
{
    struct engine *engine = &w->engines[e];

    if (w->now_ms >= WARM_UP_MS && engine->calls->len > w->setup->slots) {
        w->wait_ms += (engine->calls->len - w->setup->slots) * STEP_MS;
    }
    for (guint i = MIN(engine->calls->len, w->setup->slots); i-- > 0;) {
        struct call *call = &g_array_index(engine->calls, struct call, i);
        struct host *host = &w->hosts[call->host];

        call->left_ms -= STEP_MS;
        if (call->left_ms <= 0) {
            host->in_flight[e]--;
            host->policy->ops->ended(host->policy,
                                     host->candidates[e].upstream,
                                     CT_OUTCOME_COMPLETE, w->now_ms + 1);
            g_array_remove_index(engine->calls, i);
        }
    }
}

static void
run_step(struct world *w)
{
    guint mean = w->setup->calls_per_s * STEP_MS;

    for (guint h = 0; w->now_ms % SNAPSHOT_MS == 0 && h < w->setup->hosts;
         h++) {
        memcpy(w->snapshots[w->now_ms / SNAPSHOT_MS % SNAPSHOTS][h],
               w->hosts[h].in_flight, sizeof(w->hosts[h].in_flight));
    }
    for (guint h = 0; w->shares_load && h < w->setup->hosts; h++) {
        if (!is_cut_off(h) && w->now_ms >= w->hosts[h].report_due_ms) {
            take_report(w, h);
        }
    }
    /* Twice the mean number of trials, of which each succeeds half the time.
     */
    for (guint i = 0; i < 2 * mean; i++) {
        if (g_rand_int_range(w->random, 0, 2000) == 0) {
            send_call(w);
        }
    }
    for (guint e = 0; e < w->setup->engines; e++) {
        run_engine(w, e);
    }
    w->now_ms += STEP_MS;
}

static struct world *
world_new(const struct setup *setup, gboolean shares_load, guint seed)
{
    struct world *w = g_new0(struct world, 1);
    gdouble sum = 0;

    w->setup = setup;
    w->shares_load = shares_load;
    w->random = g_rand_new_with_seed(seed);
    for (guint i = 0; i < PREFIXES; i++) {
        sum += 1.0 / (i + 1);
        w->weights[i] = sum;
    }
    for (guint e = 0; e < setup->engines; e++) {
        w->engines[e].speed_percent = e % 4 == 0 ? 50 : 100;
        w->engines[e].calls = g_array_new(FALSE, TRUE, sizeof(struct call));
    }
    for (guint h = 0; h < setup->hosts; h++) {
        w->hosts[h].policy = ct_balance_prefix_home_new(h);
        w->hosts[h].report_due_ms = g_rand_int_range(w->random, 0, REPORT_MS);
        for (guint e = 0; e < setup->engines; e++) {
            w->hosts[h].candidates[e] = (struct ct_candidate){
                .upstream = {e, 1},
                .name_hash = ct_hash_bytes(CT_HASH_SEED, &e, sizeof(e)),
                .slots = setup->slots,
            };
        }
    }
    return w;
}

static struct figures
run_world(const struct setup *setup, gboolean shares_load, guint seed)
{
    struct world *w = world_new(setup, shares_load, seed);
    struct figures figures = {0};
    gint64 total_ms = 0;

    while (w->now_ms < END_MS) {
        run_step(w);
    }
    for (guint e = 0; e < setup->engines; e++) {
        total_ms += w->engines[e].sent_ms;
        figures.busiest = MAX(figures.busiest, w->engines[e].sent_ms);
        g_array_free(w->engines[e].calls, TRUE);
    }
    figures.busiest = figures.busiest * 100 * setup->engines / total_ms;
    figures.waited = w->waited * 1000 / w->sent;
    figures.read = w->read * 1000 / w->sent;
    figures.wait_ms = w->wait_ms / w->sent;
    for (guint h = 0; h < setup->hosts; h++) {
        w->hosts[h].policy->ops->free(w->hosts[h].policy);
    }
    g_rand_free(w->random);
    g_free(w);
    g_test_message("%u engines, load %s: busiest %" G_GINT64_FORMAT
                   " %% of the mean; of 1000 calls %u wait and %u read; mean "
                   "wait %" G_GINT64_FORMAT " ms",
                   setup->engines, shares_load ? "shared" : "not shared",
                   figures.busiest, figures.waited, figures.read,
                   figures.wait_ms);
    return figures;
}

#define CANDIDATES 20
#define CHOICES 1000

static struct ct_balance_policy *
policy_new(struct ct_candidate candidates[CANDIDATES])
{
    for (uint32_t i = 0; i < CANDIDATES; i++) {
        candidates[i] = (struct ct_candidate){
            .upstream = {i, 1},
            .name_hash = ct_hash_bytes(CT_HASH_SEED, &i, sizeof(i)),
            .slots = 64,
            .load_known = true,
            .others_in_flight = 10,
            .load_age_ms = 1000,
        };
    }
    return ct_balance_prefix_home_new(1);
}

/* Chooses for the n-th call; each has its own random number. */
static int
choose(struct ct_balance_policy *policy, struct ct_candidate *candidates,
       guint64 prefix, guint64 n)
{
    struct ct_balance_request request = {
        .now_ms = 1000 + (ct_ms)n,
        .prefix_hash = prefix,
        .prompt_tokens = 100,
        .tight_gap = true,
        .hosts = 100,
        .random = ct_hash_bytes(CT_HASH_SEED, &n, sizeof(n)),
    };

    return policy->ops->choose_upstream(policy, &request, candidates,
                                        CANDIDATES);
}

/*
 * If the load of only one upstream is not known, numbers left from before must
 * not change a choice.
 */
static void
test_unknown_load(void)
{
    struct ct_candidate unknown[CANDIDATES];
    struct ct_candidate partly[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(unknown);
    struct ct_balance_policy *other = policy_new(partly);

    for (guint i = 0; i < CANDIDATES; i++) {
        unknown[i].load_known = false;
        unknown[i].others_in_flight = 0;
        partly[i].load_known = i != 7;
        partly[i].others_in_flight = i * 100;
    }
    for (guint i = 0; i < CHOICES; i++) {
        int chosen = choose(policy, unknown, i % 5 * 99, i);

        g_assert_cmpint(choose(other, partly, i % 5 * 99, i), ==, chosen);
        policy->ops->started(policy, unknown[chosen].upstream, 1000 + i);
        other->ops->started(other, partly[chosen].upstream, 1000 + i);
    }
    policy->ops->free(policy);
    other->ops->free(other);
}

/*
 * A home with twice the bound loses about half of its calls, not all at once,
 * and those to one second home, which must not read the prefix elsewhere.
 */
static void
test_home_over_bound(void)
{
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(candidates);
    int home = choose(policy, candidates, 99, 0);
    int second = -1;
    guint kept = 0;

    /* The mean of the three reserved upstreams is 20, the bound 26. */
    candidates[home].others_in_flight = 40;
    for (guint i = 0; i < CHOICES; i++) {
        int chosen = choose(policy, candidates, 99, i);

        kept += chosen == home;
        if (chosen != home) {
            g_assert_true(second < 0 || chosen == second);
            second = chosen;
        }
    }
    g_assert_cmpuint(kept, >, CHOICES / 2);
    g_assert_cmpuint(kept, <, CHOICES * 3 / 4);
    policy->ops->free(policy);
}

/*
 * A wrong number, however high, must not raise the mean so far that no other
 * home is over its bound, and must not bar an upstream without alternative.
 */
static void
test_wrong_load(void)
{
    struct ct_candidate candidates[CANDIDATES];
    struct ct_balance_policy *policy = policy_new(candidates);
    guint kept = 0;
    int home;

    /* All are in use, and none is reserved. */
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].slots = 8;
    }
    home = choose(policy, candidates, 99, 0);
    candidates[home].others_in_flight = 100;
    candidates[home == 0].others_in_flight = G_MAXUINT32;
    for (guint i = 0; i < CHOICES; i++) {
        kept += choose(policy, candidates, 99, i) == home;
    }
    g_assert_cmpuint(kept, <, CHOICES / 2);
    for (guint i = 0; i < CANDIDATES; i++) {
        candidates[i].excluded = i != 5;
    }
    for (guint i = 0; i < CHOICES; i++) {
        g_assert_cmpint(choose(policy, candidates, i % 5 * 99, i), ==, 5);
    }
    policy->ops->free(policy);
}

/* The newer the load is, the more calls go to the less loaded upstreams. */
static void
test_age(void)
{
    struct ct_candidate candidates[CANDIDATES];
    guint previous = CHOICES;

    for (ct_ms age_ms = 10; age_ms <= 3000; age_ms = age_ms * 17) {
        struct ct_balance_policy *policy = policy_new(candidates);
        guint to_idle = 0;

        for (guint i = 0; i < CANDIDATES; i++) {
            candidates[i].load_age_ms = age_ms;
            candidates[i].others_in_flight = i < CANDIDATES / 2 ? 8 : 12;
        }
        for (guint i = 0; i < CHOICES; i++) {
            to_idle += choose(policy, candidates, 0, i) < CANDIDATES / 2;
        }
        g_assert_cmpuint(to_idle, <, previous);
        g_assert_cmpuint(to_idle, >, CHOICES / 2);
        previous = to_idle;
        policy->ops->free(policy);
    }
}

/*
 * One call at each upstream must not count as one of every host if the load
 * of the others is known: calls would use all upstreams, not the reserved
 * ones.
 */
static void
test_reserve(void)
{
    struct ct_candidate candidates[CANDIDATES];
    guint used[2] = {0};

    for (guint known = 0; known < 2; known++) {
        struct ct_balance_policy *policy = policy_new(candidates);
        bool seen[CANDIDATES] = {false};

        for (guint i = 0; i < CANDIDATES; i++) {
            candidates[i].load_known = known;
            policy->ops->started(policy, candidates[i].upstream, 1000);
        }
        for (guint i = 1; i <= CHOICES; i++) {
            seen[choose(policy, candidates, i * G_GUINT64_CONSTANT(2654435761),
                        i)] = true;
        }
        for (guint i = 0; i < CANDIDATES; i++) {
            used[known] += seen[i];
        }
        policy->ops->free(policy);
    }
    g_assert_cmpuint(used[0], ==, CANDIDATES);
    g_assert_cmpuint(used[1], ==, CANDIDATES * 15 / 100);
}

/*
 * Hosts that know only their own calls keep popular prefixes and slow engines
 * far above the mean; late reports must not make all hosts crowd at the
 * engines that were idle. A diverted call must not read its prefix each time.
 */
static void
test_many_engines(void)
{
    for (guint seed = 1; seed <= 2; seed++) {
        struct figures without = run_world(&large, FALSE, seed);
        struct figures with = run_world(&large, TRUE, seed);

        g_assert_cmpint(without.busiest, >, 200);
        g_assert_cmpint(with.busiest, <=, 150);
        g_assert_cmpuint(with.waited * 3, <=, without.waited * 2);
        g_assert_cmpint(with.wait_ms * 4, <=, without.wait_ms);
        g_assert_cmpuint(with.read, <=, 100);
    }
}

/*
 * The calls of a small pool are shorter than the reports are late: hosts that
 * trust the reports too much overload the three engines in turn.
 */
static void
test_few_engines(void)
{
    for (guint seed = 1; seed <= 3; seed++) {
        struct figures without = run_world(&plain, FALSE, seed);
        struct figures with = run_world(&plain, TRUE, seed);

        g_assert_cmpint(with.busiest, <=, 150);
        g_assert_cmpint(with.busiest, <, without.busiest);
        g_assert_cmpuint(with.waited * 3, <=, without.waited * 2);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance-shared/unknown-load", test_unknown_load);
    g_test_add_func("/balance-shared/home-over-bound", test_home_over_bound);
    g_test_add_func("/balance-shared/wrong-load", test_wrong_load);
    g_test_add_func("/balance-shared/age", test_age);
    g_test_add_func("/balance-shared/reserve", test_reserve);
    g_test_add_func("/balance-shared/many-engines", test_many_engines);
    g_test_add_func("/balance-shared/few-engines", test_few_engines);
    return g_test_run();
}
