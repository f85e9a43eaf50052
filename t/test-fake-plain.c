/* Tests that the fake plain service keeps the contract of a plain service. */
#include <glib.h>

#include "lib-http.h"
#include "lib-process.h"

#define CURL_TIMED_OUT 28
#define CURL_GOT_NOTHING 52

static const struct http_case cases[] = {
    {"first run",
     NULL,
     "/book",
     "{}",
     {"X-Request-Id: r1", "Idempotency-Key: k1"},
     .status = 200,
     .contains = {"X-Request-Id: r1", "\"ran\":1"}},
    {"a repeat runs again and is counted",
     NULL,
     "/book",
     "{}",
     {"X-Request-Id: r1"},
     .status = 200,
     .contains = {"\"request_id\":\"r1\"", "\"ran\":2"}},
    {"declined",
     "{\"decline\":true}",
     "/book",
     "{}",
     {"X-Request-Id: r2"},
     .status = 503,
     .contains = {"X-Run-State: not-run", "Retry-After: 1"}},
    {"runs and closes",
     "{\"decline\":false,\"close_after_read\":true}",
     "/book",
     "{}",
     {"X-Request-Id: r3"},
     .error = CURL_GOT_NOTHING},
    {"runs and never responds",
     "{\"close_after_read\":false,\"silent\":true}",
     "/book",
     "{}",
     {"X-Request-Id: r4"},
     .timeout_ms = 200,
     .error = CURL_TIMED_OUT},
    {"delayed",
     "{\"silent\":false,\"delay_ms\":50}",
     "/other",
     NULL,
     {"X-Request-Id: r5"},
     .status = 200,
     .contains = {"\"ran\":1"}},
    {"unknown setting", NULL, "/fake/set", "{\"slient\":true}", .status = 400,
     .contains = {"slient"}},
};

static void
test_contract(void)
{
    struct process plain;

    PROCESS_START(&plain, "t/fake/fake-plain", NULL);
    http_run_cases(plain.port, cases, G_N_ELEMENTS(cases));
    g_assert_cmpint(HTTP_COUNT_SEEN(plain.port, "\"ran\"", "r1"), ==, 2);
    g_assert_cmpint(HTTP_COUNT_SEEN(plain.port, "\"k1\""), ==, 1);
    g_assert_cmpint(HTTP_COUNT_SEEN(plain.port, "declined", "r2"), ==, 1);
    g_assert_cmpint(HTTP_COUNT_SEEN(plain.port, "\"r3\"", "\"ran\":1"), ==, 1);
    process_kill(&plain);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fake-plain/contract", test_contract);
    return g_test_run();
}
