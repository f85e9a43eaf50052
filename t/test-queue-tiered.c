/* Tests of queue-tiered.h: promises under overload, judged by a trace. */
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
    /* Arrivals a second, by class. */
    guint per_s[4];
    /* Organisations; the first one sends this part of all, in percent. */
    guint organisations;
    guint greedy_percent;
};

/* Classes are numbered by tier. */
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
request(guint id)
{
    return (struct ct_handle){id, 1};
}

static void
started(struct run *r, guint id, ct_ms now_ms)
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
    trace_placed(&r->trace, id, r->on_cheap[id]);
    r->firm_running += !r->on_cheap[id];
    g_assert_cmpuint(r->firm_running, <=, SLOTS - CHEAP_SLOTS);
    r->ends_ms[id] = now_ms + r->tokens[id];
}

static void
drain(struct run *r, ct_ms now_ms)
{
    struct ct_queue_policy *p = r->policy;
    struct ct_queue_request w;
    struct ct_queue_refusal shed;

    while (p->ops->next(p, 0, now_ms, &w)) {
        started(r, w.request.index, now_ms);
    }
    while (p->ops->expire(p, now_ms, &shed)) {
        trace_refused(&r->trace, shed.request.index, shed.reason);
    }
}

static void
arrive(struct run *r, const struct load *load, guint klass, ct_ms now_ms)
{
    guint id = r->n++;
    struct ct_queue_decision d;
    struct ct_queue_request w = {.request = request(id), .klass = klass};
    guint percent = (guint)g_rand_int_range(r->random, 0, 100);

    g_assert_cmpuint(id, <, MAX_REQUESTS);
    if (percent >= load->greedy_percent) {
        w.organisation =
            (guint)g_rand_int_range(r->random, 0, (gint)load->organisations);
    }
    w.arrived_ms = now_ms;
    r->organisation[id] = w.organisation;
    r->tokens[id] = 1 + (guint)g_rand_int_range(
                            r->random, 0, (gint)(2 * mean_hold_ms[klass]));
    trace_arrived(&r->trace, id, klass, now_ms);
    g_assert_cmpint(r->policy->ops->arrive(r->policy, &w, now_ms, &d), ==,
                    CT_OK);
    if (d.has_shed) {
        trace_refused(&r->trace, d.shed.request.index, d.shed.reason);
    }
    if (d.admission == CT_ADMITTED) {
        started(r, id, now_ms);
    }
    else if (d.admission == CT_QUEUED) {
        trace_queued(&r->trace, id);
    }
    else {
        trace_refused(&r->trace, id, d.reason);
    }
}

static void
finish_due(struct run *r, ct_ms now_ms)
{
    for (guint id = r->trace.first_open; id < r->n; id++) {
        struct ct_queue_result served = {.request = request(id),
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
run(const struct load *load, struct ct_queue_policy *policy)
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
        finish_due(r, now_ms);
        drain(r, now_ms);
        for (guint k = 0; k < G_N_ELEMENTS(classes); k++) {
            if (g_rand_int_range(r->random, 0, 100) < (gint)load->per_s[k]) {
                arrive(r, load, k, now_ms);
                drain(r, now_ms);
            }
        }
    }
    return r;
}

static void
end(struct run *r)
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
        struct run *r = run(&loads[i], ct_queue_tiered_new(MAX_QUEUED));
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
        end(r);
    }
}

/* The trace does find inversions: those of first-in-first-out. */
static void
test_fifo_inverts(void)
{
    struct run *r = run(&loads[3], ct_queue_fifo_new(MAX_QUEUED));

    g_assert_cmpuint(r->trace.inversions, >, 0);
    end(r);
}

/* Each class that asks is served, within the bound that its reserve gives. */
static void
test_no_starvation(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(loads); i++) {
        struct run *r = run(&loads[i], ct_queue_tiered_new(MAX_QUEUED));

        for (guint k = 0; k < 4; k++) {
            guint rate = SLOTS * classes[k].reserve_percent;
            guint fair = RUN_MS * rate / 100 / mean_hold_ms[k];
            guint asked = r->trace.served[k] + r->trace.refused[k];

            g_test_message("%s: class %u asked %u served %u reserve %u",
                           loads[i].name, k, asked, r->trace.served[k], fair);
            g_assert_cmpuint(r->trace.served[k], >=, MIN(asked, fair) / 2);
            g_assert_cmpint(r->trace.longest_wait_ms[k], <=,
                            classes[k].queue_limit_ms);
        }
        end(r);
    }
}

/* Organisations that all ask for more than there is get equal tokens. */
static void
test_fair_shares(void)
{
    struct load load = {"fair", 9, {0, 60, 0, 0}, 4, 60};
    struct run *r = run(&load, ct_queue_tiered_new(MAX_QUEUED));
    guint64 least = G_MAXUINT64;

    for (guint i = 0; i < load.organisations; i++) {
        g_test_message("organisation %u: %" G_GUINT64_FORMAT, i,
                       r->served_tokens[i]);
        least = MIN(least, r->served_tokens[i]);
    }
    /* The greedy one asks for seven times as much as any other. */
    g_assert_cmpuint(r->served_tokens[0] * 100, <=, least * 125);
    end(r);
}

/* Weights divide what is served. */
static void
test_weights(void)
{
    struct load load = {"weights", 10, {0, 60, 0, 0}, 2, 0};
    struct ct_queue_policy *policy = ct_queue_tiered_new(MAX_QUEUED);
    struct run *r;

    policy->ops->set_organisation(policy, 0, 3);
    r = run(&load, policy);
    g_assert_cmpuint(r->served_tokens[0], >, r->served_tokens[1] * 2);
    end(r);
}

/* What cannot meet its target is refused at arrival, with a time to wait. */
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
        struct ct_queue_request w = {.request = request(id++)};

        g_assert_cmpint(p->ops->arrive(p, &w, 0, &d), ==, CT_OK);
    }
    /* A second's work each, at four slots, within two seconds. */
    g_assert_cmpuint(id, >=, 10);
    g_assert_cmpuint(id, <=, 14);
    g_assert_cmpint(d.reason, ==, CT_REFUSAL_TARGET_UNREACHABLE);
    g_assert_cmpint(d.retry_after_ms, >=, 200);
    p->ops->free(p);
}

/* Below its own slots a class is queued even where its target is lost. */
static void
test_own_slots(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d;

    for (guint k = 0; k < 2; k++) {
        struct ct_class settings = classes[k];

        settings.first_token_target_ms = 1;
        p->ops->set_class(p, k, &settings);
    }
    /* Two of the slots belong to each class; the first one holds all. */
    p->ops->set_pool(p, 0, 20, 0);
    for (guint id = 0; id < 30; id++) {
        struct ct_queue_request w = {.request = request(id),
                                     .klass = id >= 25};
        enum ct_admission expected = CT_REFUSED;

        if (id < 20) {
            expected = CT_ADMITTED;
        }
        else if (id == 25 || id == 26) {
            expected = CT_QUEUED;
        }
        g_assert_cmpint(p->ops->arrive(p, &w, 0, &d), ==, CT_OK);
        g_assert_cmpint(d.admission, ==, expected);
    }
    p->ops->free(p);
}

/* Beside a higher tier that misses its target a class has its places only. */
static void
test_pressed(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d;

    p->ops->set_class(p, 0, &classes[0]);
    p->ops->set_class(p, 1, &classes[3]);
    p->ops->set_pool(p, 0, 1, 0);
    for (guint id = 0; id < 20; id++) {
        struct ct_queue_request w = {.request = request(id), .klass = id >= 3};

        /* One runs, two of the higher tier are too late; five places are
         * owned. */
        g_assert_cmpint(p->ops->arrive(p, &w, 0, &d), ==, CT_OK);
        g_assert_cmpint(d.admission, ==,
                        id == 0                         ? CT_ADMITTED
                        : id == 1 || id == 2 || id >= 8 ? CT_REFUSED
                                                        : CT_QUEUED);
    }
    g_assert_cmpint(d.reason, ==, CT_REFUSAL_OVERLOAD);
    p->ops->free(p);
}

/* A late request is given up for one that is in time, else it is served. */
static void
check_late(gboolean other_waits)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_class settings = classes[0];
    struct ct_queue_decision d;
    struct ct_queue_refusal shed;
    struct ct_queue_request w = {0};

    settings.reserve_percent = 0;
    p->ops->set_class(p, 0, &settings);
    p->ops->set_class(p, 1, &classes[1]);
    p->ops->set_class(p, 3, &classes[3]);
    p->ops->set_pool(p, 0, 4, 0);
    for (guint id = 0; id < 5 + (guint)other_waits; id++) {
        w.request = request(id);
        w.klass = id < 4 ? 3 : id - 4;
        p->ops->arrive(p, &w, 0, &d);
        g_assert_cmpint(d.admission, ==, id < 4 ? CT_ADMITTED : CT_QUEUED);
    }
    /* Late from 800 ms on; kept while the lowest class holds four slots. */
    g_assert_cmpint(p->ops->expire(p, 900, &shed), ==, 0);
    for (guint id = 0; id < 3; id++) {
        struct ct_queue_result served = {.request = request(id)};

        p->ops->release_slot(p, &served, 900);
    }
    g_assert_cmpint(p->ops->expire(p, 900, &shed), ==, other_waits);
    if (other_waits) {
        g_assert_cmpuint(shed.request.index, ==, 4);
        g_assert_cmpint(shed.reason, ==, CT_REFUSAL_TARGET_UNREACHABLE);
    }
    g_assert_cmpint(p->ops->next(p, 0, 900, &w), ==, 1);
    g_assert_cmpuint(w.request.index, ==, other_waits ? 5 : 4);
    p->ops->free(p);
}

static void
test_late(void)
{
    check_late(TRUE);
    check_late(FALSE);
}

/* A new request does not overtake one that waits for the same slot. */
static void
test_no_overtaking(void)
{
    struct ct_queue_policy *p = ct_queue_tiered_new(100);
    struct ct_queue_decision d;
    struct ct_queue_request w = {0};

    p->ops->set_class(p, 0, &classes[3]);
    p->ops->set_pool(p, 0, 1, 0);
    for (guint id = 0; id < 2; id++) {
        w.request = request(id);
        p->ops->arrive(p, &w, 0, &d);
    }
    g_assert_cmpint(d.admission, ==, CT_QUEUED);
    p->ops->set_pool(p, 0, 2, 0);
    w.request = request(2);
    p->ops->arrive(p, &w, 0, &d);
    g_assert_cmpint(d.admission, ==, CT_QUEUED);
    g_assert_cmpint(p->ops->next(p, 0, 0, &w), ==, 1);
    g_assert_cmpuint(w.request.index, ==, 1);
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
    g_test_add_func("/queue-tiered/own-slots", test_own_slots);
    g_test_add_func("/queue-tiered/pressed", test_pressed);
    g_test_add_func("/queue-tiered/late", test_late);
    g_test_add_func("/queue-tiered/no-overtaking", test_no_overtaking);
    return g_test_run();
}
