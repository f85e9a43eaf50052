/*
 * Upstreams that send bytes without end, or that send something now and then
 * which is no progress: a relaying host ends each call by its time, with a
 * status that is true, and its memory and processor time stay bounded.
 */
#include <stdlib.h>
#include <string.h>

#include "fake-endless.h"
#include "lib-relay-process.h"

/* Memory of a host may grow by one response at its limit, stored twice. */
#define MEMORY_GROWTH_MAX_KB (64 * 1024)
#define DEADLINE_MS 3000
/* Clock ticks of processor time for one call; less than its deadline. */
#define CPU_MAX_TICKS 150

/* Calls at a time whose upstreams all send without end. */
#define CONCURRENT_CALLS 24

/* Calls whose times are compared. */
#define TIMED_CALLS 200

static struct relay_process f;

static long
host_memory_kb(void)
{
    char *path = g_strdup_printf("/proc/%d/status", f.host.pid);
    char *text = NULL;
    long kb;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    kb = strtol(strstr(text, "VmHWM:") + strlen("VmHWM:"), NULL, 10);
    g_free(text);
    g_free(path);
    return kb;
}

/* User and system time of the host, fields 14 and 15 of its stat file. */
static long
host_cpu_ticks(void)
{
    char *path = g_strdup_printf("/proc/%d/stat", f.host.pid);
    char *text = NULL;
    char **fields;
    long ticks;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    fields = g_strsplit(text, " ", 16);
    ticks = strtol(fields[13], NULL, 10) + strtol(fields[14], NULL, 10);
    g_strfreev(fields);
    g_free(text);
    g_free(path);
    return ticks;
}

static void
call_upstream(const char *path, struct http_reply *reply)
{
    char deadline[32];
    const char *const headers[] = {RELAY_PROCESS_KEY, deadline, NULL};
    char id[24];

    g_snprintf(deadline, sizeof(deadline), "Deadline-Ms: %d", DEADLINE_MS);
    relay_process_call(&f, path, "{}", headers, reply, id);
}

static void
check_call(const char *path, bool complete)
{
    long ticks = host_cpu_ticks();
    struct http_reply reply;

    call_upstream(path, &reply);
    if (complete) {
        g_assert_cmpint(reply.error, ==, 0);
        g_assert_cmpint(reply.status / 100, ==, 2);
    }
    else if (reply.status == 200) {
        /* A stream that had begun: it must not look complete. */
        g_assert_cmpint(reply.error, !=, 0);
    }
    else if (reply.status == 204) {
        g_assert_cmpuint(reply.body->len, ==, 0);
    }
    else {
        g_assert_true(reply.status == 502 || reply.status == 504);
    }
    http_reply_free(&reply);
    g_assert_cmpint(host_cpu_ticks() - ticks, <, CPU_MAX_TICKS);
}

static void
test_endless(gconstpointer arg)
{
    const struct fake_endless *kind = arg;
    char *set = g_strdup_printf("{\"endless\":%d}",
                                (int)(kind - fake_endless_kinds) + 1);
    long memory_kb = host_memory_kb();

    relay_process_set_runners(&f, set);
    check_call("/once/x", kind->complete);
    /* None of the bodies is a complete event. */
    check_call("/s/str/x", false);
    relay_process_set_runners(&f, "{\"endless\":0}");
    g_assert_cmpint(host_memory_kb(), <, memory_kb + MEMORY_GROWTH_MAX_KB);
    g_free(set);
}

/* The host serves other calls while one upstream sends without end. */
static void *
call_repeatedly(void *arg)
{
    struct http_reply reply;

    (void)arg;
    call_upstream("/s/str/x", &reply);
    http_reply_free(&reply);
    return NULL;
}

static int
compare_times(const void *a, const void *b)
{
    gint64 first = *(const gint64 *)a;
    gint64 second = *(const gint64 *)b;

    return (first > second) - (first < second);
}

/*
 * Returns the 99th percentile of the time that the host takes for calls which
 * reach no upstream, as their route does not exist.
 */
static gint64
measure_p99_us(void)
{
    gint64 times_us[TIMED_CALLS];

    for (int i = 0; i < TIMED_CALLS; i++) {
        gint64 started_us = g_get_monotonic_time();
        struct http_reply reply;

        call_upstream("/nowhere", &reply);
        times_us[i] = g_get_monotonic_time() - started_us;
        g_assert_cmpint(reply.status, ==, 404);
        http_reply_free(&reply);
    }
    qsort(times_us, TIMED_CALLS, sizeof(times_us[0]), compare_times);
    return times_us[TIMED_CALLS * 99 / 100 - 1];
}

/*
 * Prints how long other calls take beside the upstream. There is no verdict on
 * times, which other processes on the machine change.
 */
static void
test_other_times(gconstpointer arg)
{
    const struct fake_endless *kind = arg;
    gint64 alone_us = measure_p99_us();
    char *set = g_strdup_printf("{\"endless\":%d}",
                                (int)(kind - fake_endless_kinds) + 1);
    GThread *thread;

    relay_process_set_runners(&f, set);
    thread = g_thread_new("caller", call_repeatedly, NULL);
    g_test_message("p99 of other calls: %d us alone, %d us beside %s",
                   (int)alone_us, (int)measure_p99_us(), kind->name);
    g_thread_join(thread);
    relay_process_set_runners(&f, "{\"endless\":0}");
    g_free(set);
}

static void
test_other_calls(gconstpointer arg)
{
    const struct fake_endless *kind = arg;
    char *set = g_strdup_printf("{\"endless\":%d}",
                                (int)(kind - fake_endless_kinds) + 1);
    GThread *thread;

    http_set(f.runners[0].port, "/fake/set", set);
    thread = g_thread_new("caller", call_repeatedly, NULL);
    for (int i = 0; i < 20; i++) {
        struct http_reply reply;

        call_upstream("/any/x", &reply);
        /* The call is repeated at the other upstream where this one fails. */
        g_assert_cmpint(reply.status / 100, ==, 2);
        http_reply_free(&reply);
    }
    g_thread_join(thread);
    http_set(f.runners[0].port, "/fake/set", "{\"endless\":0}");
    g_free(set);
}

static void *
call_once(void *arg)
{
    struct http_reply reply;

    call_upstream(arg, &reply);
    if (reply.status == 200) {
        g_assert_cmpint(reply.error, !=, 0);
    }
    http_reply_free(&reply);
    return NULL;
}

/* Returns the setting of the upstreams for an endless kind. */
static char *
endless_setting(const char *name)
{
    for (guint i = 0; i < fake_endless_kinds_n; i++) {
        if (strcmp(fake_endless_kinds[i].name, name) == 0) {
            return g_strdup_printf("{\"endless\":%u}", i + 1);
        }
    }
    g_assert_not_reached();
}

/* Kinds of endless responses, and the path of the calls that get them. */
static const struct many {
    const char *kind, *path;
} many[] = {
    {"event without an end", "/s/str/x"},
    {"comments", "/s/str/x"},
    {"body of unknown length", "/s/str/x"},
    {"failure", "/s/str/x"},
    {"body of unknown length", "/once/x"},
    {"body of large length", "/once/x"},
    {"chunks", "/once/x"},
};

/*
 * Guards against a host that runs out of memory because many upstreams send
 * bytes without end at a time (review/1): what it holds of all of them stays
 * within the growth that one response may cause.
 */
static void
test_many(gconstpointer arg)
{
    const struct many *c = arg;
    g_autofree char *set = endless_setting(c->kind);
    long memory_kb = host_memory_kb();
    GThread *threads[CONCURRENT_CALLS];

    relay_process_set_runners(&f, set);
    for (int i = 0; i < CONCURRENT_CALLS; i++) {
        threads[i] = g_thread_new("caller", call_once, (void *)c->path);
    }
    for (int i = 0; i < CONCURRENT_CALLS; i++) {
        g_thread_join(threads[i]);
    }
    relay_process_set_runners(&f, "{\"endless\":0}");
    g_assert_cmpint(host_memory_kb(), <, memory_kb + MEMORY_GROWTH_MAX_KB);
}

static void
add_tests(const struct fake_endless *kind)
{
    char *path = g_strdup_printf("/endless/call/%s", kind->name);

    g_test_add_data_func(path, kind, test_endless);
    g_free(path);
    path = g_strdup_printf("/endless/others/%s", kind->name);
    g_test_add_data_func(path, kind, test_other_calls);
    g_free(path);
    path = g_strdup_printf("/endless/times/%s", kind->name);
    g_test_add_data_func(path, kind, test_other_times);
    g_free(path);
}

int
main(int argc, char **argv)
{
    int rc;

    g_test_init(&argc, &argv, NULL);
    relay_process_start(&f);
    /* First, while the host has not held a long response yet. */
    for (guint i = 0; i < G_N_ELEMENTS(many); i++) {
        char *path =
            g_strdup_printf("/endless/many/%s%s", many[i].kind, many[i].path);

        g_test_add_data_func(path, &many[i], test_many);
        g_free(path);
    }
    for (guint i = 0; i < fake_endless_kinds_n; i++) {
        add_tests(&fake_endless_kinds[i]);
    }
    rc = g_test_run();
    process_kill(&f.host);
    relay_process_stop(&f);
    return rc;
}
