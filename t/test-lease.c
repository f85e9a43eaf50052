/*
 * Tests of lease.h: at most one holder at a time, hand-over, suspended
 * processes, outages of the log, release.
 */
#include <string.h>

#include "lib-cluster.h"

/* Longer than a lease, its margins and the claim delays of all ranks. */
#define HAND_OVER_MS 20000

static int
run_and_get_holder(struct t_cluster *c)
{
    int holder;

    t_cluster_run(c, HAND_OVER_MS);
    holder = t_cluster_lease_holder(c, CT_ROLE_ORDERS);
    g_assert_cmpint(holder, >=, 0);
    return holder;
}

/* Checks after each step that a role has at most one holder. */
static void
run_checked(struct t_cluster *c, ct_ms for_ms)
{
    for (ct_ms ms = 0; ms < for_ms; ms += 100) {
        t_cluster_run(c, 100);
        t_cluster_lease_holder(c, CT_ROLE_ORDERS);
        t_cluster_lease_holder(c, CT_ROLE_USAGE);
    }
}

static int64_t
term_of(const struct t_cluster *c, int host)
{
    return c->hosts[host].state->leases.roles[CT_ROLE_ORDERS].own_term;
}

/* Faults by which a holder loses its lease without a release. */
enum fault { KILL, SUSPEND, RESTART };

static void
test_hand_over(gconstpointer data)
{
    enum fault fault = (enum fault)GPOINTER_TO_INT(data);
    struct t_cluster c;
    int first;
    int second;
    int64_t term;

    t_cluster_init(&c, 3);
    first = run_and_get_holder(&c);
    term = term_of(&c, first);
    if (fault == SUSPEND) {
        c.suspended[first] = true;
    }
    else {
        t_cluster_kill(&c, (uint32_t)first);
    }
    if (fault == RESTART) {
        t_cluster_start(&c, (uint32_t)first);
    }
    run_checked(&c, HAND_OVER_MS);
    second = t_cluster_lease_holder(&c, CT_ROLE_ORDERS);
    g_assert_cmpint(second, >=, 0);
    g_assert_cmpint(term_of(&c, second), >, term);
    if (fault == SUSPEND) {
        g_assert_cmpint(second, !=, first);
        /* It resumes with no event since, and its lease has expired. */
        c.suspended[first] = false;
        c.hosts[first].state->now_ms = c.hosts[first].now_ms;
        g_assert_cmpint(
            ct_lease_valid_until_ms(c.hosts[first].state, CT_ROLE_ORDERS), ==,
            0);
        run_checked(&c, HAND_OVER_MS);
    }
    t_cluster_free(&c);
}

/* Renewals keep the holder and its term, even if responses are lost. */
static void
test_renewal(void)
{
    struct t_cluster c;
    int holder;
    int64_t term;

    t_cluster_init(&c, 3);
    holder = run_and_get_holder(&c);
    term = term_of(&c, holder);
    c.lose_append_results = true;
    for (int i = 0; i < 600; i++) {
        t_cluster_run(&c, 100);
        g_assert_cmpint(t_cluster_lease_holder(&c, CT_ROLE_ORDERS), ==,
                        holder);
    }
    g_assert_cmpint(term_of(&c, holder), ==, term);
    t_cluster_free(&c);
}

/*
 * The lease expires during an outage of the log. A claim in flight may be
 * appended when the outage ends.
 */
static void
test_outage(void)
{
    struct t_cluster c;

    t_cluster_init(&c, 3);
    run_and_get_holder(&c);
    c.delayed_record = CT_RECORD_LEASE;
    run_checked(&c, HAND_OVER_MS);
    g_assert_cmpint(t_cluster_lease_holder(&c, CT_ROLE_ORDERS), ==, -1);
    c.delayed_record = 0;
    run_checked(&c, 1000);
    run_and_get_holder(&c);
    c.log_down = true;
    run_checked(&c, HAND_OVER_MS);
    g_assert_cmpint(t_cluster_lease_holder(&c, CT_ROLE_ORDERS), ==, -1);
    c.log_down = false;
    run_and_get_holder(&c);
    t_cluster_free(&c);
}

/* A drain releases the lease, so that the next holder need not wait. */
static void
test_release(void)
{
    struct ct_event event = {.type = CT_EVENT_DRAIN};
    struct t_cluster c;
    int first;

    t_cluster_init(&c, 3);
    first = run_and_get_holder(&c);
    t_cluster_post(&c, (uint32_t)first, &event);
    run_checked(&c, 5000);
    g_assert_cmpint(t_cluster_lease_holder(&c, CT_ROLE_ORDERS), >=, 0);
    g_assert_cmpint(t_cluster_lease_holder(&c, CT_ROLE_ORDERS), !=, first);
    t_cluster_free(&c);
}

/* Of two claims with the same base, only the first in the log is accepted. */
static void
test_race(void)
{
    struct ct_record record = {.type = CT_RECORD_LEASE};
    struct t_core core;

    t_core_init(&core);
    record.u.lease.duration_ms = 10000;
    CT_TEXT_SET(record.writer, "a-1");
    CT_TEXT_SET(record.u.lease.holder, "a");
    t_core_entry(&core, &record);
    CT_TEXT_SET(record.writer, "b-1");
    CT_TEXT_SET(record.u.lease.holder, "b");
    t_core_entry(&core, &record);
    g_assert_cmpstr(core.state->leases.roles[0].holder.text, ==, "a");
    g_assert_true(ct_lease_is_current_term(core.state, CT_ROLE_ORDERS, 1));
    g_assert_false(ct_lease_is_current_term(core.state, CT_ROLE_ORDERS, 2));
    record.base_offset = 1;
    t_core_entry(&core, &record);
    g_assert_cmpstr(core.state->leases.roles[0].holder.text, ==, "b");
    g_assert_true(ct_lease_is_current_term(core.state, CT_ROLE_ORDERS, 3));
    t_core_free(&core);
}

static struct ct_record
next_claim(struct t_core *core)
{
    const struct ct_effect *append = NULL;
    uint32_t n;

    for (n = 0; n < 200 && !append; n++) {
        t_core_tick(core, 100);
        append = t_core_append(core, CT_RECORD_LEASE);
    }
    g_assert_nonnull(append);
    return append->u.log_append.record;
}

/* A lease counts from before its append was sent, not from its read-back. */
static void
test_counted_from_append(void)
{
    struct ct_record first;
    struct ct_record repeat;
    struct t_core core;
    ct_ms sent_ms;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    first = next_claim(&core);
    sent_ms = core.now_ms;
    repeat = next_claim(&core);
    g_assert_cmpuint(repeat.sequence, >, first.sequence);
    core.now_ms += 4000;
    t_core_entry(&core, &repeat);
    g_assert_cmpint(ct_lease_valid_until_ms(core.state, first.u.lease.role),
                    ==, sent_ms + first.u.lease.duration_ms);
    t_core_free(&core);
}

/*
 * A claim that is read back more than a whole lease after it was sent does not
 * make the lease valid.
 */
static void
test_late_claim(void)
{
    struct ct_record first;
    struct t_core core;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    first = next_claim(&core);
    for (int i = 0; i < 20; i++) {
        next_claim(&core);
    }
    g_assert_cmpint(core.state->leases.roles[first.u.lease.role].claim_sent_ms,
                    >, 11000);
    t_core_entry(&core, &first);
    g_assert_cmpint(ct_lease_valid_until_ms(core.state, first.u.lease.role),
                    ==, 0);
    t_core_free(&core);
}

/* Random suspensions, kills and outages: never two holders of a role. */
static void
test_random(void)
{
    GRand *random = g_rand_new_with_seed(11);
    struct t_cluster c;

    t_cluster_init(&c, 4);
    for (int i = 0; i < 400; i++) {
        uint32_t host = g_rand_int_range(random, 0, 4);

        switch (g_rand_int_range(random, 0, 6)) {
        case 0:
            c.suspended[host] = !c.suspended[host] && !c.dead[host];
            break;
        case 1:
            t_cluster_kill(&c, host);
            t_cluster_start(&c, host);
            break;
        case 2:
            c.log_down = !c.log_down;
            break;
        case 3:
            c.delayed_record = c.delayed_record ? 0 : CT_RECORD_LEASE;
            break;
        case 4:
            c.lose_append_results = !c.lose_append_results;
            break;
        default:
            break;
        }
        run_checked(&c, g_rand_int_range(random, 1, 100) * 100);
    }
    g_assert_cmpuint(t_cluster_records(&c, CT_RECORD_LEASE), >, 100);
    t_cluster_free(&c);
    g_rand_free(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/lease/hand-over/kill", GINT_TO_POINTER(KILL),
                         test_hand_over);
    g_test_add_data_func("/lease/hand-over/suspend", GINT_TO_POINTER(SUSPEND),
                         test_hand_over);
    g_test_add_data_func("/lease/hand-over/restart", GINT_TO_POINTER(RESTART),
                         test_hand_over);
    g_test_add_func("/lease/renewal", test_renewal);
    g_test_add_func("/lease/outage", test_outage);
    g_test_add_func("/lease/release", test_release);
    g_test_add_func("/lease/race", test_race);
    g_test_add_func("/lease/counted-from-append", test_counted_from_append);
    g_test_add_func("/lease/late-claim", test_late_claim);
    g_test_add_func("/lease/random", test_random);
    return g_test_run();
}
