#include "lib-balance-world.h"

#include <string.h>

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

const struct t_balance_setup t_balance_large = {95,   140,  16,  500,
                                                1000, 4000, TRUE};
const struct t_balance_setup t_balance_plain = {70, 3, 6, 30, 100, 500, FALSE};

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
    const struct t_balance_setup *setup;
    guint known;
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
    /* Calls with a short target for gaps and with the longest, in [1]. */
    guint by_target[2];
    guint slow_by_target[2];
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

/* Interactive calls and more than half of the others have a short target. */
static gboolean
has_short_gap(guint64 prefix)
{
    return prefix % 2 == 1 || prefix / 2 % 2 == 1;
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
        request.short_gap = has_short_gap(prefix);
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
        w->by_target[!request.short_gap]++;
        w->slow_by_target[!request.short_gap] += engine->speed_percent < 100;
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
    for (guint h = 0; (w->known & T_BALANCE_LOAD) && h < w->setup->hosts;
         h++) {
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
world_new(const struct t_balance_setup *setup, guint known, guint seed)
{
    struct world *w = g_new0(struct world, 1);
    gdouble sum = 0;

    w->setup = setup;
    w->known = known;
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
                .speed_percent =
                    known & T_BALANCE_SPEED ? w->engines[e].speed_percent : 0,
            };
        }
    }
    return w;
}

struct t_balance_figures
t_balance_run(const struct t_balance_setup *setup, guint known, guint seed)
{
    struct world *w = world_new(setup, known, seed);
    struct t_balance_figures figures = {0};
    gint64 total_ms = 0;

    while (w->now_ms < END_MS) {
        run_step(w);
    }
    for (guint e = 0; e < setup->engines; e++) {
        total_ms += w->engines[e].sent_ms;
        figures.busiest = MAX(figures.busiest, w->engines[e].sent_ms);
        g_array_free(w->engines[e].calls, TRUE);
    }
    figures.busiest =
        figures.busiest * 100 * setup->engines / MAX(total_ms, 1);
    figures.waited = w->waited * 1000 / w->sent;
    figures.read = w->read * 1000 / w->sent;
    figures.wait_ms = w->wait_ms / w->sent;
    figures.slow_short = w->slow_by_target[0] * 1000 / MAX(w->by_target[0], 1);
    figures.slow_long = w->slow_by_target[1] * 1000 / MAX(w->by_target[1], 1);
    for (guint h = 0; h < setup->hosts; h++) {
        w->hosts[h].policy->ops->free(w->hosts[h].policy);
    }
    g_rand_free(w->random);
    g_free(w);
    g_test_message(
        "%u engines, %s: busiest %" G_GINT64_FORMAT
        " %% of the mean; of 1000 calls %u wait and %u read; mean wait "
        "%" G_GINT64_FORMAT " ms; on slow engines %u of 1000 with a short "
        "target, %u with the longest",
        setup->engines,
        known & T_BALANCE_SPEED  ? "load and speed shared"
        : known & T_BALANCE_LOAD ? "load shared"
                                 : "load not shared",
        figures.busiest, figures.waited, figures.read, figures.wait_ms,
        figures.slow_short, figures.slow_long);
    return figures;
}
