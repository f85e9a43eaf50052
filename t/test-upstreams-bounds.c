/*
 * Tests of upstreams.h: what an attempt takes at most if an upstream sends
 * without end, or too slowly.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "fake-endless.h"
#include "lib-upstreams.h"
#include "retry.h"

/* Twice the limit of a stored response, which grows by doubling. */
#define ENDLESS_MEMORY_MAX ((size_t)64 * 1024 * 1024)
#define ENDLESS_TIMEOUT_MS 4000
/* Less than the attempt's time limit: no time is spent on reading on. */
#define ENDLESS_CPU_MAX_US (2 * G_USEC_PER_SEC)

/* Resident memory of this process. */
static size_t
resident_bytes(void)
{
    char *text = NULL;
    size_t pages;

    g_assert_true(g_file_get_contents("/proc/self/statm", &text, NULL, NULL));
    pages = strtoul(strchr(text, ' '), NULL, 10);
    g_free(text);
    return pages * (size_t)sysconf(_SC_PAGESIZE);
}

/* Processor time of the thread that runs the loop. */
static gint64
thread_cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/*
 * An upstream sends bytes without end: the attempt ends, memory and processor
 * time stay bounded, and the attempt is complete only if a whole response came
 * first.
 */
static void
test_endless(gconstpointer arg)
{
    const struct fake_endless *kind = arg;
    char *head = fake_endless_head(kind, "X-Request-Id: %ID%\r\n");
    GString *block = fake_endless_block(kind);
    struct raw_reply reply = {head, RAW_REPEAT, block->str, 0};
    size_t before = resident_bytes();
    gint64 cpu_before = thread_cpu_us();
    enum ct_outcome outcome;
    struct upstreams_fixture f;

    upstreams_set_up(&f, &reply, 1);
    f.start.u.attempt.gap_timeout_ms = ENDLESS_TIMEOUT_MS;
    f.start.u.attempt.total_timeout_ms = ENDLESS_TIMEOUT_MS;
    f.start.u.attempt.at_most_once = true;
    outcome = upstreams_run_attempt(&f)->outcome;
    if (kind->complete) {
        g_assert_cmpint(outcome, ==, CT_OUTCOME_COMPLETE);
    }
    else {
        g_assert_cmpint(outcome, !=, CT_OUTCOME_COMPLETE);
        g_assert_true(ct_outcome_may_have_run(outcome));
    }
    g_assert_cmpuint(resident_bytes(), <, before + ENDLESS_MEMORY_MAX);
    g_assert_cmpint(thread_cpu_us() - cpu_before, <, ENDLESS_CPU_MAX_US);
    upstreams_tear_down(&f);
    g_string_free(block, TRUE);
    g_free(head);
}

/*
 * An upstream sends something now and then that is no progress: the attempt
 * ends at its time limit. Real progress of a stream keeps the attempt alive.
 */
static const struct slow_case {
    const char *name;
    struct raw_reply reply;
    enum ct_outcome outcome;
} slow_cases[] = {
    {"interim responses",
     {"", RAW_REPEAT, "HTTP/1.1 102 Processing\r\n\r\n", 50},
     CT_OUTCOME_GAP_TIMEOUT},
    {"head lines",
     {RESPONSE_HEAD, RAW_REPEAT, "X-Line: 1\r\n", 50},
     CT_OUTCOME_GAP_TIMEOUT},
    {"bytes of a plain response",
     {RESPONSE_HEAD "Content-Length: 100000\r\n\r\n", RAW_REPEAT, "x", 50},
     CT_OUTCOME_GAP_TIMEOUT},
    {"trailers",
     {RESPONSE_SSE RESPONSE_CHUNKED "8\r\ndata: x\n\r\n0\r\n", RAW_REPEAT,
      "X-Line: 1\r\n", 50},
     CT_OUTCOME_GAP_TIMEOUT},
    {"comments of a stream",
     {RESPONSE_SSE RESPONSE_CHUNKED, RAW_REPEAT, "3\r\n:\n\n\r\n", 50},
     CT_OUTCOME_GAP_TIMEOUT},
    {"bytes of an event",
     {RESPONSE_SSE RESPONSE_CHUNKED "6\r\ndata: \r\n", RAW_REPEAT,
      "1\r\nx\r\n", 50},
     CT_OUTCOME_GAP_TIMEOUT},
};

static void
test_slow(gconstpointer arg)
{
    const struct slow_case *c = arg;
    struct upstreams_fixture f;

    upstreams_set_up(&f, &c->reply, 1);
    f.start.u.attempt.gap_timeout_ms = 300;
    f.start.u.attempt.total_timeout_ms = 300;
    f.start.u.attempt.at_most_once = true;
    g_assert_cmpint(upstreams_run_attempt(&f)->outcome, ==, c->outcome);
    upstreams_tear_down(&f);
}

/*
 * A stream whose events are slow goes on for longer than any single limit.
 */
static void
test_slow_stream(void)
{
    static const struct raw_reply reply = {
        RESPONSE_SSE RESPONSE_CHUNKED, RAW_REPEAT,
        "31\r\ndata: " RESPONSE_EVENT "\n\n\r\n", 100};
    struct ct_effect cancel = {.type = CT_EFFECT_CANCEL_ATTEMPT};
    struct upstreams_fixture f;

    g_assert_cmpuint(strlen("data: " RESPONSE_EVENT "\n\n"), ==, 0x31);
    upstreams_set_up(&f, &reply, 1);
    f.start.u.attempt.gap_timeout_ms = 5000;
    f.start.u.attempt.total_timeout_ms = 300;
    cancel.u.attempt.attempt = f.start.u.attempt.attempt;
    upstreams_run_effect(&f, &f.start);
    script_wait_events(f.script, CT_EVENT_ATTEMPT_DATA, 10);
    g_assert_cmpuint(script_count(f.script, CT_EVENT_ATTEMPT_DONE), ==, 0);
    upstreams_run_effect(&f, &cancel);
    upstreams_tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    for (guint i = 0; i < fake_endless_kinds_n; i++) {
        char *path = g_strdup_printf("/upstreams/endless/%s",
                                     fake_endless_kinds[i].name);

        g_test_add_data_func(path, &fake_endless_kinds[i], test_endless);
        g_free(path);
    }
    for (guint i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
        char *path = g_strdup_printf("/upstreams/slow/%s", slow_cases[i].name);

        g_test_add_data_func(path, &slow_cases[i], test_slow);
        g_free(path);
    }
    g_test_add_func("/upstreams/slow-stream", test_slow_stream);
    return g_test_run();
}
