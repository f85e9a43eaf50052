/* Tests that the fake platform keeps the contracts of the platform. */
#include <glib.h>
#include <string.h>

#include "lib-http.h"
#include "lib-process.h"

#define CURL_TIMED_OUT 28
#define CURL_GOT_NOTHING 52

#define START_ORDER(id, term)                                                 \
    "{\"order_id\":" id ",\"term\":" term ",\"kind\":\"start\","              \
    "\"pool\":\"draft\",\"zone\":\"Yaba\"}"
#define USAGE_REPORT(tokens)                                                  \
    "{\"window_start_ms\":60000,\"term\":4,\"rows\":[{\"organisation\":"      \
    "\"o1\",\"requests\":1,\"tokens_in\":2,\"tokens_out\":" tokens            \
    ",\"late_requests\":0}]}"

static const struct http_case log_cases[] = {
    {"empty log", NULL, "/log/read?from=1", .status = 200,
     .contains = {"\"head\":0", "\"entries\":[]"}},
    {"append", NULL, "/log/append", "{\"data\":\"YQ==\"}", .status = 200,
     .contains = {"{\"offset\":1}"}},
    {"append without data", NULL, "/log/append", "{}", .status = 400},
    {"read", NULL, "/log/read?from=1", .status = 200,
     .contains = {"{\"offset\":1,\"data\":\"YQ==\"}"}},
    {"wait that times out", NULL, "/log/read?from=2&wait_ms=50", .status = 200,
     .contains = {"\"entries\":[]"}},
    {"outage, connections closed", "{\"outage\":1}", "/log/append",
     "{\"data\":\"Yg==\"}", .error = CURL_GOT_NOTHING},
    {"outage, no response", "{\"outage\":2}", "/log/append",
     "{\"data\":\"Yg==\"}", .timeout_ms = 200, .error = CURL_TIMED_OUT},
    {"nothing appended in the outage", "{\"outage\":0}", "/log/read?from=1",
     .status = 200, .contains = {"\"head\":1"}},
    {"response lost", "{\"lose_answers\":1}", "/log/append",
     "{\"data\":\"Yg==\"}", .error = CURL_GOT_NOTHING},
    {"append took effect", NULL, "/log/read?from=2", .status = 200,
     .contains = {"\"offset\":2,\"data\":\"Yg==\""}},
    {"delayed", "{\"delay_ms\":30}", "/log/append", "{\"data\":\"Yw==\"}",
     .status = 200, .contains = {"{\"offset\":3}"}},
    {"older than retention", "{\"delay_ms\":0,\"retention\":2}",
     "/log/read?from=1", .status = 410,
     .contains = {"\"first\":2", "\"head\":3"}},
    {"oldest retained", NULL, "/log/read?from=2&max=1", .status = 200,
     .contains = {"\"first\":2", "\"offset\":2"}, .lacks = "\"offset\":3"},
};

static const struct http_case other_cases[] = {
    {"set hosts", NULL, "/fake/hosts",
     "{\"hosts\":[{\"name\":\"h1\",\"leaving\":true}]}", .status = 200},
    {"hosts", NULL, "/hosts", .status = 200,
     .contains = {"{\"name\":\"h1\",\"leaving\":true}"}},
    {"spare address", NULL, "/fake/upstreams",
     "{\"upstreams\":[],\"spares\":[\"127.0.0.1:9\"]}", .status = 200},
    {"start", "{\"start_ms\":3600000}", "/upstreams/order",
     START_ORDER("1", "5"), .status = 200,
     .contains = {"\"upstream\":\"draft-o1\"", "\"address\":\"127.0.0.1:9\""}},
    {"starting", NULL, "/upstreams", .status = 200,
     .contains = {"\"state\":\"starting\"", "\"zone\":\"Yaba\""}},
    {"repeated order", "{\"start_ms\":0}", "/upstreams/order",
     START_ORDER("1", "5"), .status = 200, .contains = {"\"draft-o1\""}},
    {"started once", NULL, "/upstreams", .status = 200,
     .contains = {"\"state\":\"running\""}, .lacks = "draft-o2"},
    {"earlier term, fencing not checked", NULL, "/upstreams/order",
     START_ORDER("2", "4"), .status = 200, .contains = {"draft-o2"}},
    {"earlier term, fencing checked", "{\"checks_fencing\":true}",
     "/upstreams/order", START_ORDER("3", "4"), .status = 409,
     .contains = {"old-term"}},
    {"response to an order lost", "{\"lose_answers\":1}", "/upstreams/order",
     START_ORDER("4", "6"), .error = CURL_GOT_NOTHING},
    {"repeat returns the same upstream", NULL, "/upstreams/order",
     START_ORDER("4", "6"), .status = 200, .contains = {"draft-o3"}},
    {"stop", "{\"stop_ms\":3600000}", "/upstreams/order",
     "{\"order_id\":5,\"term\":6,\"kind\":\"stop\",\"pool\":\"draft\","
     "\"upstream\":\"draft-o1\"}",
     .status = 200},
    {"leaving", NULL, "/upstreams", .status = 200,
     .contains = {"\"state\":\"leaving\""}},
    {"usage", NULL, "/usage", USAGE_REPORT("3"), .status = 200},
    {"repeated usage", NULL, "/usage", USAGE_REPORT("3"), .status = 200},
    {"different usage", NULL, "/usage", USAGE_REPORT("4"), .status = 409,
     .contains = {"differs"}},
    {"weights fetch",
     "{\"weights_interval_ms\":3600000,\"weights_wait_ms\":7}",
     "/weights/fetch", "{\"model\":\"m\",\"upstream\":\"u\"}", .status = 200,
     .contains = {"\"wait_ms\":7"}},
    {"weights fetch over the rate limit", NULL, "/weights/fetch",
     "{\"model\":\"m\",\"upstream\":\"u\"}", .status = 429,
     .contains = {"retry_after_ms"}},
    {"unknown path", NULL, "/logs", .status = 404},
};

static void
test_log(void)
{
    struct process platform;

    PROCESS_START(&platform, "t/fake/fake-platform", NULL);
    http_run_cases(platform.port, log_cases, G_N_ELEMENTS(log_cases));
    g_assert_cmpint(HTTP_COUNT_SEEN(platform.port, "append"), ==, 3);
    process_kill(&platform);
}

static void
test_orders_and_reports(void)
{
    struct process platform;

    PROCESS_START(&platform, "t/fake/fake-platform", NULL);
    http_run_cases(platform.port, other_cases, G_N_ELEMENTS(other_cases));
    g_assert_cmpint(
        HTTP_COUNT_SEEN(platform.port, "order", "\"repeated\":true"), ==, 2);
    g_assert_cmpint(
        HTTP_COUNT_SEEN(platform.port, "order", "\"refused\":true"), ==, 1);
    process_kill(&platform);
}

static gpointer
read_with_wait(gpointer arg)
{
    struct process *platform = arg;

    return http_get(platform->port, "/log/read?from=1&wait_ms=60000");
}

/* An append ends the wait of a reader. */
static void
test_waiting_reader(void)
{
    struct process platform;
    GThread *reader;
    char *text;

    PROCESS_START(&platform, "t/fake/fake-platform", NULL);
    reader = g_thread_new("reader", read_with_wait, &platform);
    http_set(platform.port, "/log/append", "{\"data\":\"YQ==\"}");
    text = g_thread_join(reader);
    g_assert_nonnull(strstr(text, "\"offset\":1"));
    g_free(text);
    process_kill(&platform);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fake-platform/log", test_log);
    g_test_add_func("/fake-platform/orders", test_orders_and_reports);
    g_test_add_func("/fake-platform/waiting-reader", test_waiting_reader);
    return g_test_run();
}
