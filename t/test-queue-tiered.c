/*
 * Tests of queue-tiered.h: guarantees under overload, checked against a trace
 * of each simulated run.
 */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "lib-queue-trace.h"
#include "queue-policy.h"

#define SLOTS 12
#define CHEAP_SLOTS 4
#define MAX_QUEUED 60
#define MAX_REQUESTS 40000
#define RUN_MS 300000

struct load {
    const char *name;
    guint seed;
    /* Arrivals per second, by class. */
    guint per_s[4];
    /*
     * Number of organisations; the first one sends greedy_percent of all
     * requests.
     */
    guint organisations;
    guint greedy_percent;
};

/* Class n has tier n. */
static const struct ct_class classes[] = {
    {.tier = 0,
     .first_token_target_ms = 800,
     .queue_limit_ms = 2000,
     .reserve_percent = 10},
    {.tier = 1,
     .first_token_target_ms = 2000,
     .queue_limit_ms = 4000,
     .reserve_percent = 10,
     .cheap_allowed = true},
    {.tier = 2,
     .first_token_target_ms = 5000,
     .queue_limit_ms = 10000,
     .reserve_percent = 5,
     .cheap_allowed = true},
    {.tier = 3,
     .first_token_target_ms = 20000,
     .queue_limit_ms = 30000,
     .reserve_percent = 5,
     .cheap_allowed = true},
};

static const guint mean_hold_ms[] = {400, 800, 1500, 3000};

struct run {
    struct ct_queue_policy *policy;
    struct trace trace;
    GRand *random;
    guint organisation[MAX_REQUESTS];
    ct_ms ends_ms[MAX_REQUESTS];
    guint tokens[MAX_REQUESTS];
    guint n;
    guint firm_running;
    gboolean on_cheap[MAX_REQUESTS];
    guint64 served_tokens[16];
};

static struct ct_handle
request_handle(guint id)
{
    return (struct ct_handle){id, 1};
}

static void
record_start(struct run *r, guint id, ct_ms now_ms)
{
    guint klass = r->trace.requests[id].klass;
    guint running = 0;

    for (guint k = 0; k < 4; k++) {
        running += r->trace.running[k];
    }
    r->on_cheap[id] = classes[klass].cheap_allowed &&
                      running - r->firm_running < CHEAP_SLOTS;
    trace_started(&r->trace, id, r->firm_running < SLOTS - CHEAP_SLOTS,
                  now_ms);
    trace_set_placement(&r->trace, id, r->on_cheap[id]);
    r->firm_running += !r->on_cheap[id];
    g_assert_cmpuint(r->firm_running, <=, SLOTS - CHEAP_SLOTS);
    r->ends_ms[id] = now_ms + r->tokens[id];
}

static void
run_queue(struct run *r, ct_ms now_ms)
{
    struct ct_queue_policy *p = r->policy;
    struct ct_queue_request queued;
    struct ct_queue_refusal shed;

    while (p->ops->next(p, 0, now_ms, &queued)) {
        record_start(r, queued.request.index, now_ms);
    }
    while (p->ops->expire(p, now_ms, &shed)) {
        trace_refused(&r->trace, shed.request.index, shed.reason);
    }
}

static void
enqueue_request(struct run *r, const struct load *load, guint klass,
                ct_ms now_ms)
{
    guint id = r->n++;
    struct ct_queue_decision d;
    struct ct_queue_request queued = {.request = request_handle(id),
                                      .klass = klass};
    guint percent = (guint)g_rand_int_range(r->random, 0, 100);

    g_assert_cmpuint(id, <, MAX_REQUESTS);
    if (percent >= load->greedy_percent) {
        queued.organisation =
            (guint)g_rand_int_range(r->random, 0, (gint)load->organisations);
    }
    queued.arrived_ms = now_ms;
    r->organisation[id] = queued.organisation;
    r->tokens[id] = 1 + (guint)g_rand_int_range(
                            r->random, 0, (gint)(2 * mean_hold_ms[klass]));
    trace_arrived(&r->trace, id, klass, now_ms);
    g_assert_cmpint(r->policy->ops->arrive(r->policy, &queued, now_ms, &d), ==,
                    CT_OK);
    if (d.has_shed) {
        trace_refused(&r->trace, d.shed.request.index, d.shed.reason);
    }
    if (d.admission == CT_ADMITTED) {
        record_start(r, id, now_ms);
    }
    else if (d.admission == CT_QUEUED) {
        trace_queued(&r->trace, id);
    }
    else {
        trace_refused(&r->trace, id, d.reason);
    }
}

static void
finish_due_requests(struct run *r, ct_ms now_ms)
{
    for (guint id = r->trace.first_open; id < r->n; id++) {
        struct ct_queue_result served = {.request = request_handle(id),
                                         .complete = true};

        if (!r->trace.requests[id].running || r->ends_ms[id] > now_ms) {
            continue;
        }
        served.output_tokens = r->tokens[id];
        r->served_tokens[r->organisation[id]] += r->tokens[id];
        r->firm_running -= !r->on_cheap[id];
        trace_finished(&r->trace, id, now_ms);
        g_assert_cmpint(
            r->policy->ops->release_slot(r->policy, &served, now_ms), ==,
            CT_OK);
    }
}

static struct run *
run_load(const struct load *load, struct ct_queue_policy *policy)
{
    struct run *r = g_new0(struct run, 1);

    r->policy = policy;
    r->random = g_rand_new_with_seed(load->seed);
    trace_init(&r->trace, SLOTS, MAX_QUEUED, MAX_REQUESTS);
    memcpy(r->trace.classes, classes, sizeof(classes));
    for (guint k = 0; k < G_N_ELEMENTS(classes); k++) {
        policy->ops->set_class(policy, k, &classes[k]);
    }
    policy->ops->set_pool(policy, 0, SLOTS - CHEAP_SLOTS, CHEAP_SLOTS);
    for (ct_ms now_ms = 0; now_ms < RUN_MS; now_ms += 10) {
        finish_due_requests(r, now_ms);
        run_queue(r, now_ms);
        for (guint k = 0; k < G_N_ELEMENTS(classes); k++) {
            if (g_rand_int_range(r->random, 0, 100) < (gint)load->per_s[k]) {
                enqueue_request(r, load, k, now_ms);
                run_queue(r, now_ms);
            }
        }
    }
    return r;
}

static void
free_run(struct run *r)
{
    r->policy->ops->free(r->policy);
    trace_free(&r->trace);
    g_rand_free(r->random);
    g_free(r);
}

static const struct load loads[] = {
    {"ordinary", 1, {5, 3, 1, 0}, 8, 0},
    {"high-tier-burst", 2, {70, 5, 2, 1}, 8, 0},
    {"low-tier-burst", 3, {8, 5, 10, 10}, 8, 0},
    {"all", 4, {30, 20, 10, 5}, 8, 0},
    {"greedy", 5, {5, 40, 2, 1}, 8, 80},
    {"firm-only", 6, {60, 1, 0, 1}, 3, 0},
};

static void
test_no_inversion(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(loads); i++) {
        struct run *r = run_load(&loads[i], ct_queue_tiered_new(MAX_QUEUED));
        struct ct_queue_totals totals;

        r->policy->ops->totals(r->policy, 0, &totals);
        g_test_message("%s: %u requests, %u inversions", loads[i].name, r->n,
                       r->trace.inversions);
        g_assert_cmpuint(r->trace.inversions, ==, 0);
        g_assert_cmpuint(totals.inversions, ==, 0);
        for (guint k = 0; k < 4; k++) {
            g_assert_cmpint(r->trace.reserve_ms[k], <=,
                            trace_reserve_bound_ms(&r->trace, k, RUN_MS));
        }
        free_run(r);
    }
}

/*
 * The trace must detect priority inversions: first-in-first-out causes them.
 */
static void
test_fifo_inverts(void)
{
    struct run *r = run_load(&loads[3], ct_queue_fifo_new(MAX_QUEUED));

    g_assert_cmpuint(r->trace.inversions, >, 0);
    free_run(r);
}

/*
 * Every class that sends requests is served within the bound given by its
 * reserve.
 */
static void
test_no_starvation(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(loads); i++) {
        struct run *r = run_load(&loads[i], ct_queue_tiered_new(MAX_QUEUED));

        for (guint k = 0; k < 4; k++) {
            guint rate = SLOTS * classes[k].reserve_percent;
            guint reserved = RUN_MS * rate / 100 / mean_hold_ms[k];
            guint requested = r->trace.served[k] + r->trace.refused[k];

            g_test_message("%s: class %u requested %u served %u reserve %u",
                           loads[i].name, k, requested, r->trace.served[k],
                           reserved);
            g_assert_cmpuint(r->trace.served[k], >=,
                             MIN(requested, reserved) / 2);
            g_assert_cmpint(r->trace.longest_wait_ms[k], <=,
                            classes[k].queue_limit_ms);
        }
        free_run(r);
    }
}

/*
 * Organisations that all request more than the capacity get equal numbers of
 * tokens.
 */
static void
test_fair_shares(void)
{
    struct load load = {"fair", 9, {0, 60, 0, 0}, 4, 60};
    struct run *r = run_load(&load, ct_queue_tiered_new(MAX_QUEUED));
    guint64 min_tokens = G_MAXUINT64;

    for (guint i = 0; i < load.organisations; i++) {
        g_test_message("organisation %u: %" G_GUINT64_FORMAT, i,
                       r->served_tokens[i]);
        min_tokens = MIN(min_tokens, r->served_tokens[i]);
    }
    /* The greedy organisation requests seven times as much as any other. */
    g_assert_cmpuint(r->served_tokens[0] * 100, <=, min_tokens * 125);
    free_run(r);
}

/* Organisations are served in proportion to their weights. */
static void
test_weights(void)
{
    struct load load = {"weights", 10, {0, 60, 0, 0}, 2, 0};
    struct ct_queue_policy *policy = ct_queue_tiered_new(MAX_QUEUED);
    struct run *r;

    policy->ops->set_organisation(policy, 0, 3);
    r = run_load(&load, policy);
    g_assert_cmpuint(r->served_tokens[0], >, r->served_tokens[1] * 2);
    free_run(r);
}

/*
 * A request that cannot meet its target is refused on arrival, with a retry
 * delay.
 */
static void
test_early_refusal(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d = {0};
    struct ct_class settings = classes[1];
    guint id = 0;

    settings.reserve_percent = 0;
    p->ops->set_class(p, 0, &settings);
    p->ops->set_pool(p, 0, 4, 0);
    while (d.admission != CT_REFUSED && id < 100) {
        struct ct_queue_request queued = {.request = request_handle(id++)};

        g_assert_cmpint(p->ops->arrive(p, &queued, 0, &d), ==, CT_OK);
    }
    /*
     * Each request counts as one second of work; four slots, a target of two
     * seconds.
     */
    g_assert_cmpuint(id, >=, 10);
    g_assert_cmpuint(id, <=, 14);
    g_assert_cmpint(d.reason, ==, CT_REFUSAL_TARGET_UNREACHABLE);
    g_assert_cmpint(d.retry_after_ms, >=, 200);
    p->ops->free(p);
}

/*
 * A class that uses fewer slots than it owns is queued even if it will miss
 * its target.
 */
static void
test_owned_slots(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d;

    for (guint k = 0; k < 2; k++) {
        struct ct_class settings = classes[k];

        settings.first_token_target_ms = 1;
        p->ops->set_class(p, k, &settings);
    }
    /* Each class owns two of the slots; class 0 occupies all of them. */
    p->ops->set_pool(p, 0, 20, 0);
    for (guint id = 0; id < 30; id++) {
        struct ct_queue_request queued = {.request = request_handle(id),
                                          .klass = id >= 25};
        enum ct_admission expected = CT_REFUSED;

        if (id < 20) {
            expected = CT_ADMITTED;
        }
        else if (id == 25 || id == 26) {
            expected = CT_QUEUED;
        }
        g_assert_cmpint(p->ops->arrive(p, &queued, 0, &d), ==, CT_OK);
        g_assert_cmpint(d.admission, ==, expected);
    }
    p->ops->free(p);
}

/*
 * While a higher tier misses its target, a class may only queue as many
 * requests as it owns queue places.
 */
static void
test_higher_tier_late(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d;

    p->ops->set_class(p, 0, &classes[0]);
    p->ops->set_class(p, 1, &classes[3]);
    p->ops->set_pool(p, 0, 1, 0);
    for (guint id = 0; id < 20; id++) {
        struct ct_queue_request queued = {.request = request_handle(id),
                                          .klass = id >= 3};

        /*
         * Request 0 runs, the next two of the higher tier are too late; the
         * class owns five queue places.
         */
        g_assert_cmpint(p->ops->arrive(p, &queued, 0, &d), ==, CT_OK);
        g_assert_cmpint(d.admission, ==,
                        id == 0                         ? CT_ADMITTED
                        : id == 1 || id == 2 || id >= 8 ? CT_REFUSED
                                                        : CT_QUEUED);
    }
    g_assert_cmpint(d.reason, ==, CT_REFUSAL_OVERLOAD);
    p->ops->free(p);
}

/*
 * A late request is shed in favour of one that can still meet its target;
 * without such a request it is served.
 */
static void
check_late_request(gboolean other_waits)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_class settings = classes[0];
    struct ct_queue_decision d;
    struct ct_queue_refusal shed;
    struct ct_queue_request queued = {0};

    settings.reserve_percent = 0;
    p->ops->set_class(p, 0, &settings);
    p->ops->set_class(p, 1, &classes[1]);
    p->ops->set_class(p, 3, &classes[3]);
    p->ops->set_pool(p, 0, 4, 0);
    for (guint id = 0; id < 5 + (guint)other_waits; id++) {
        queued.request = request_handle(id);
        queued.klass = id < 4 ? 3 : id - 4;
        p->ops->arrive(p, &queued, 0, &d);
        g_assert_cmpint(d.admission, ==, id < 4 ? CT_ADMITTED : CT_QUEUED);
    }
    /*
     * Late from 800 ms on; not shed while the lowest class holds all four
     * slots.
     */
    g_assert_cmpint(p->ops->expire(p, 900, &shed), ==, 0);
    for (guint id = 0; id < 3; id++) {
        struct ct_queue_result served = {.request = request_handle(id)};

        p->ops->release_slot(p, &served, 900);
    }
    g_assert_cmpint(p->ops->expire(p, 900, &shed), ==, other_waits);
    if (other_waits) {
        g_assert_cmpuint(shed.request.index, ==, 4);
        g_assert_cmpint(shed.reason, ==, CT_REFUSAL_TARGET_UNREACHABLE);
    }
    g_assert_cmpint(p->ops->next(p, 0, 900, &queued), ==, 1);
    g_assert_cmpuint(queued.request.index, ==, other_waits ? 5 : 4);
    p->ops->free(p);
}

static void
test_late_request(void)
{
    check_late_request(TRUE);
    check_late_request(FALSE);
}

/* A new request does not overtake one that already waits for the same slot. */
static void
test_no_overtaking(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d;
    struct ct_queue_request queued = {0};

    p->ops->set_class(p, 0, &classes[3]);
    p->ops->set_pool(p, 0, 1, 0);
    for (guint id = 0; id < 2; id++) {
        queued.request = request_handle(id);
        p->ops->arrive(p, &queued, 0, &d);
    }
    g_assert_cmpint(d.admission, ==, CT_QUEUED);
    p->ops->set_pool(p, 0, 2, 0);
    queued.request = request_handle(2);
    p->ops->arrive(p, &queued, 0, &d);
    g_assert_cmpint(d.admission, ==, CT_QUEUED);
    g_assert_cmpint(p->ops->next(p, 0, 0, &queued), ==, 1);
    g_assert_cmpuint(queued.request.index, ==, 1);
    p->ops->free(p);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/queue-tiered/no-inversion", test_no_inversion);
    g_test_add_func("/queue-tiered/fifo-inverts", test_fifo_inverts);
    g_test_add_func("/queue-tiered/no-starvation", test_no_starvation);
    g_test_add_func("/queue-tiered/fair-shares", test_fair_shares);
    g_test_add_func("/queue-tiered/weights", test_weights);
    g_test_add_func("/queue-tiered/early-refusal", test_early_refusal);
    g_test_add_func("/queue-tiered/owned-slots", test_owned_slots);
    g_test_add_func("/queue-tiered/higher-tier-late", test_higher_tier_late);
    g_test_add_func("/queue-tiered/late-request", test_late_request);
    g_test_add_func("/queue-tiered/no-overtaking", test_no_overtaking);
    return g_test_run();
}
