/* The contracts of the platform, kept by its stand-in. */
#include <glib.h>
#include <string.h>

#include "lib-http.h"
#include "lib-process.h"

#define TIMED_OUT 28
#define GOT_NOTHING 52

#define START(id, term)                                                       \
    "{\"order_id\":" id ",\"term\":" term ",\"kind\":\"start\","              \
    "\"pool\":\"draft\",\"zone\":\"Yaba\"}"
#define USAGE(tokens)                                                         \
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
    {"the wait ends empty", NULL, "/log/read?from=2&wait_ms=50", .status = 200,
     .contains = {"\"entries\":[]"}},
    {"closed outage", "{\"outage\":1}", "/log/append", "{\"data\":\"Yg==\"}",
     .error = GOT_NOTHING},
    {"silent outage", "{\"outage\":2}", "/log/append", "{\"data\":\"Yg==\"}",
     .timeout_ms = 200, .error = TIMED_OUT},
    {"an outage has no effect", "{\"outage\":0}", "/log/read?from=1",
     .status = 200, .contains = {"\"head\":1"}},
    {"the answer is lost", "{\"lose_answers\":1}", "/log/append",
     "{\"data\":\"Yg==\"}", .error = GOT_NOTHING},
    {"the append was not", NULL, "/log/read?from=2", .status = 200,
     .contains = {"\"offset\":2,\"data\":\"Yg==\""}},
    {"late", "{\"delay_ms\":30}", "/log/append", "{\"data\":\"Yw==\"}",
     .status = 200, .contains = {"{\"offset\":3}"}},
    {"older than retention", "{\"delay_ms\":0,\"retention\":2}",
     "/log/read?from=1", .status = 410,
     .contains = {"\"first\":2", "\"head\":3"}},
    {"oldest kept", NULL, "/log/read?from=2&max=1", .status = 200,
     .contains = {"\"first\":2", "\"offset\":2"}, .lacks = "\"offset\":3"},
};

static const struct http_case other_cases[] = {
    {"hosts are set", NULL, "/fake/hosts",
     "{\"hosts\":[{\"name\":\"h1\",\"leaving\":true}]}", .status = 200},
    {"hosts", NULL, "/hosts", .status = 200,
     .contains = {"{\"name\":\"h1\",\"leaving\":true}"}},
    {"spare address", NULL, "/fake/upstreams",
     "{\"upstreams\":[],\"spares\":[\"127.0.0.1:9\"]}", .status = 200},
    {"start", "{\"start_ms\":3600000}", "/upstreams/order", START("1", "5"),
     .status = 200,
     .contains = {"\"upstream\":\"draft-o1\"", "\"address\":\"127.0.0.1:9\""}},
    {"starting", NULL, "/upstreams", .status = 200,
     .contains = {"\"state\":\"starting\"", "\"zone\":\"Yaba\""}},
    {"the same order again", "{\"start_ms\":0}", "/upstreams/order",
     START("1", "5"), .status = 200, .contains = {"\"draft-o1\""}},
    {"it started one", NULL, "/upstreams", .status = 200,
     .contains = {"\"state\":\"running\""}, .lacks = "draft-o2"},
    {"old term where nothing checks", NULL, "/upstreams/order",
     START("2", "4"), .status = 200, .contains = {"draft-o2"}},
    {"old term where it is checked", "{\"checks_fencing\":true}",
     "/upstreams/order", START("3", "4"), .status = 409,
     .contains = {"old-term"}},
    {"lost answer to an order", "{\"lose_answers\":1}", "/upstreams/order",
     START("4", "6"), .error = GOT_NOTHING},
    {"asked again it is the same", NULL, "/upstreams/order", START("4", "6"),
     .status = 200, .contains = {"draft-o3"}},
    {"stop", "{\"stop_ms\":3600000}", "/upstreams/order",
     "{\"order_id\":5,\"term\":6,\"kind\":\"stop\",\"pool\":\"draft\","
     "\"upstream\":\"draft-o1\"}",
     .status = 200},
    {"leaving", NULL, "/upstreams", .status = 200,
     .contains = {"\"state\":\"leaving\""}},
    {"usage", NULL, "/usage", USAGE("3"), .status = 200},
    {"the same figures", NULL, "/usage", USAGE("3"), .status = 200},
    {"other figures", NULL, "/usage", USAGE("4"), .status = 409,
     .contains = {"differs"}},
    {"weights", "{\"weights_interval_ms\":3600000,\"weights_wait_ms\":7}",
     "/weights/fetch", "{\"model\":\"m\",\"upstream\":\"u\"}", .status = 200,
     .contains = {"\"wait_ms\":7"}},
    {"too many weights", NULL, "/weights/fetch",
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
read_long(gpointer arg)
{
    struct process *platform = arg;

    return http_get(platform->port, "/log/read?from=1&wait_ms=60000");
}

/* A reader that waits is answered by an append. */
static void
test_waiting_reader(void)
{
    struct process platform;
    GThread *reader;
    char *text;

    PROCESS_START(&platform, "t/fake/fake-platform", NULL);
    reader = g_thread_new("reader", read_long, &platform);
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
