/*
 * Tests of retry.h: which outcomes allow a retry, the retry and hedge budgets,
 * and the hedge delay.
 */
#include <glib.h>

#include "retry.h"

static struct ct_retry_class
make_class(guint retry_percent, guint hedge_percent)
{
    struct ct_class settings = {0};
    struct ct_retry_class retry_class = {0};

    settings.first_token_target_ms = 1600;
    settings.retry_budget_percent = retry_percent;
    settings.hedge_budget_percent = hedge_percent;
    ct_retry_set_class(&retry_class, &settings);
    return retry_class;
}

static void
test_outcomes(void)
{
    static const struct {
        enum ct_outcome outcome;
        gboolean idempotent, non_idempotent;
    } cases[] = {
        {CT_OUTCOME_COMPLETE, FALSE, FALSE},
        {CT_OUTCOME_CANCELLED, FALSE, FALSE},
        {CT_OUTCOME_NOT_SENT, TRUE, TRUE},
        {CT_OUTCOME_DECLINED, TRUE, TRUE},
        {CT_OUTCOME_EXPIRED, TRUE, TRUE},
        {CT_OUTCOME_FAILED, TRUE, FALSE},
        {CT_OUTCOME_CONNECTION_LOST, TRUE, FALSE},
        {CT_OUTCOME_GAP_TIMEOUT, TRUE, FALSE},
        {CT_OUTCOME_MISMATCH, TRUE, FALSE},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_retry_class retry_class = make_class(10, 0);

        g_assert_cmpint(ct_retry_allowed(&retry_class, cases[i].outcome, TRUE),
                        ==, cases[i].idempotent);
        g_assert_cmpint(
            ct_retry_allowed(&retry_class, cases[i].outcome, FALSE), ==,
            cases[i].non_idempotent);
    }
}

/* While everything fails, retries stay within the budget's percentage. */
static void
test_budget(void)
{
    static const guint percents[] = {0, 5, 20, 100};

    for (guint i = 0; i < G_N_ELEMENTS(percents); i++) {
        struct ct_retry_class retry_class =
            make_class(percents[i], percents[i]);
        guint retries = 0;
        guint hedges = 0;

        for (guint n = 0; n < 1000; n++) {
            ct_retry_count_first_attempt(&retry_class);
            while (ct_retry_allowed(&retry_class, CT_OUTCOME_CONNECTION_LOST,
                                    TRUE)) {
                retries++;
            }
            while (ct_hedge_allowed(&retry_class, TRUE)) {
                hedges++;
            }
        }
        g_assert_cmpuint(retries, >=, 10 * percents[i]);
        g_assert_cmpuint(retries, <=, 10 * percents[i] + 2);
        g_assert_cmpuint(hedges, ==, retries);
    }
}

/* The unused budget accumulates only up to a bound. */
static void
test_budget_bound(void)
{
    struct ct_retry_class retry_class = make_class(100, 100);
    guint retries = 0;

    for (guint n = 0; n < 100000; n++) {
        ct_retry_count_first_attempt(&retry_class);
    }
    while (ct_retry_allowed(&retry_class, CT_OUTCOME_DECLINED, FALSE)) {
        retries++;
    }
    g_assert_cmpuint(retries, ==, 50);
}

/*
 * A repeat of an attempt that was not sent adds no load, so it takes nothing
 * from the budget.
 */
static void
test_not_sent_is_free(void)
{
    struct ct_retry_class retry_class = make_class(0, 0);

    g_assert_true(ct_retry_allowed(&retry_class, CT_OUTCOME_NOT_SENT, FALSE));
    g_assert_true(ct_retry_allowed(&retry_class, CT_OUTCOME_NOT_SENT, TRUE));
    g_assert_false(ct_retry_allowed(&retry_class, CT_OUTCOME_DECLINED, TRUE));
    g_assert_false(ct_retry_allowed(&retry_class, CT_OUTCOME_EXPIRED, TRUE));
}

static void
test_hedge_delay(void)
{
    struct ct_retry_class retry_class = make_class(0, 10);
    struct ct_retry_class none = make_class(10, 0);

    g_assert_cmpint(ct_hedge_delay_ms(&retry_class, TRUE), <, 0);
    for (gint i = 1; i <= 100; i++) {
        ct_retry_record_first_token(&retry_class, i * 10);
        ct_retry_record_first_token(&none, i * 10);
    }
    g_assert_cmpint(ct_hedge_delay_ms(&retry_class, TRUE), >=, 950);
    g_assert_cmpint(ct_hedge_delay_ms(&retry_class, TRUE), <=, 1070);
    g_assert_cmpint(ct_hedge_delay_ms(&retry_class, FALSE), <, 0);
    g_assert_cmpint(ct_hedge_delay_ms(&none, TRUE), <, 0);
    g_assert_false(ct_hedge_allowed(&retry_class, FALSE));
    g_assert_false(ct_hedge_allowed(&none, TRUE));
}

/* New settings preserve the budget and the measurements. */
static void
test_settings(void)
{
    struct ct_retry_class retry_class = make_class(10, 0);
    struct ct_class settings = {0};

    settings.first_token_target_ms = 900;
    settings.retry_budget_percent = 20;
    g_assert_true(
        ct_retry_allowed(&retry_class, CT_OUTCOME_CONNECTION_LOST, TRUE));
    g_assert_true(
        ct_retry_allowed(&retry_class, CT_OUTCOME_CONNECTION_LOST, TRUE));
    ct_retry_set_class(&retry_class, &settings);
    g_assert_false(
        ct_retry_allowed(&retry_class, CT_OUTCOME_CONNECTION_LOST, TRUE));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry/outcomes", test_outcomes);
    g_test_add_func("/retry/budget", test_budget);
    g_test_add_func("/retry/budget-bound", test_budget_bound);
    g_test_add_func("/retry/not-sent-is-free", test_not_sent_is_free);
    g_test_add_func("/retry/hedge-delay", test_hedge_delay);
    g_test_add_func("/retry/settings", test_settings);
    return g_test_run();
}
