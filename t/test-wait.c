/*
 * Tests of wait.h: a wait runs in the thread's own main loop, does not end
 * early, and several threads can wait at the same time.
 */
#include <glib.h>

#include "wait.h"

#define WAIT_MS 20

static gpointer
wait_once(gpointer arg)
{
    gint64 start_us = g_get_monotonic_time();

    (void)arg;
    ct_wait_ms(WAIT_MS);
    g_assert_cmpint(g_get_monotonic_time() - start_us, >=,
                    (WAIT_MS - 1) * 1000);
    return NULL;
}

static void
test_not_early(void)
{
    wait_once(NULL);
    wait_once(NULL);
    ct_wait_ms(0);
}

static void
test_threads(void)
{
    GThread *threads[4];

    for (guint i = 0; i < G_N_ELEMENTS(threads); i++) {
        threads[i] = g_thread_new("wait", wait_once, NULL);
    }
    for (guint i = 0; i < G_N_ELEMENTS(threads); i++) {
        g_thread_join(threads[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wait/not-early", test_not_early);
    g_test_add_func("/wait/threads", test_threads);
    return g_test_run();
}
