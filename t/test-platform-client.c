/* Tests of platform.h: requests to the platform and the events they cause. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "lib-raw-server.h"
#include "lib-script.h"
#include "platform.h"

#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
#define OK(length, body) OK_HEAD "Content-Length: " #length "\r\n\r\n" body
#define EMPTY_PAGE OK(33, "{\"first\":1,\"head\":0,\"entries\":[]}")
#define UNAVAILABLE "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
#define CONFLICT "HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n"

struct fixture {
    struct script *script;
    struct raw_server *server;
    struct ct_platform *platform;
};

static void
set_up(struct fixture *f, const struct raw_reply *replies, guint n)
{
    struct ct_http *http;

    memset(f, 0, sizeof(*f));
    f->script = script_new();
    http = ct_http_new(f->script->loop);
    ct_loop_add(f->script->loop, ct_http_executor(http));
    f->server = raw_server_new(replies, n);
    f->platform =
        ct_platform_new(f->script->loop, http, raw_server_address(f->server));
    ct_loop_add(f->script->loop, ct_platform_executor(f->platform));
}

static void
tear_down(struct fixture *f)
{
    ct_loop_free(f->script->loop);
    script_free(f->script);
    raw_server_free(f->server);
}

static void
run_effect(struct fixture *f, const struct ct_effect *effect)
{
    struct ct_executor *executor = ct_platform_executor(f->platform);

    g_assert_true(executor->ops->run(executor, effect));
}

static void
read_from(struct fixture *f, int64_t offset)
{
    struct ct_effect effect = {.type = CT_EFFECT_READ_LOG};

    effect.u.offset = offset;
    run_effect(f, &effect);
}

static void
assert_request(struct fixture *f, guint i, const char *start)
{
    char *request = raw_server_request(f->server, i);

    g_test_message("%s", request);
    g_assert_true(g_str_has_prefix(request, start));
    g_free(request);
}

static bool
received_two_requests(void *arg)
{
    return raw_server_request_count(arg) >= 2;
}

static void
test_read(void)
{
    static const struct raw_reply replies[] = {
        {OK(86, "{\"first\":1,\"head\":6,\"entries\":["
                "{\"offset\":5,\"data\":\"CAE=\"},"
                "{\"offset\":6,\"data\":\"////\"}]}"),
         RAW_KEEP_ALIVE},
        {NULL, RAW_HANG},
    };
    const struct ct_event *events;
    struct fixture f;

    set_up(&f, replies, G_N_ELEMENTS(replies));
    read_from(&f, 5);
    script_wait_events(f.script, CT_EVENT_LOG_ENTRY, 2);
    events = &g_array_index(f.script->events, struct ct_event, 0);
    g_assert_cmpint(events[0].type, ==, CT_EVENT_LOG_HEAD);
    g_assert_cmpint(events[0].u.head.head, ==, 6);
    g_assert_cmpint(events[0].u.head.first, ==, 1);
    g_assert_cmpint(events[1].u.entry.offset, ==, 5);
    g_assert_cmpint(events[1].u.entry.record.type, ==, CT_RECORD_CONFIG);
    g_assert_cmpint(events[2].u.entry.offset, ==, 6);
    /* Not a record: every host gets the same, a record without a type. */
    g_assert_cmpint(events[2].u.entry.record.type, ==, 0);
    script_wait_until(f.script, received_two_requests, f.server);
    assert_request(&f, 0, "GET /log/read?from=5&max=");
    assert_request(&f, 1, "GET /log/read?from=7&max=");
    tear_down(&f);
}

static void
test_read_failures(void)
{
    static const struct {
        const char *name;
        struct raw_reply reply;
    } cases[] = {
        {"error status", {UNAVAILABLE, RAW_KEEP_ALIVE}},
        {"no response", {NULL, RAW_CLOSE}},
        {"truncated response",
         {OK_HEAD "Content-Length: 99\r\n\r\n{\"first\":1,", RAW_CLOSE}},
        {"not JSON", {OK(4, "<ok>"), RAW_KEEP_ALIVE}},
        {"no offsets", {OK(2, "{}"), RAW_KEEP_ALIVE}},
        {"invalid entry",
         {OK(35, "{\"first\":1,\"head\":6,\"entries\":[{}]}"),
          RAW_KEEP_ALIVE}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct raw_reply replies[] = {
            cases[i].reply,
            {EMPTY_PAGE, RAW_KEEP_ALIVE},
            {NULL, RAW_HANG},
        };
        struct fixture f;

        g_test_message("%s", cases[i].name);
        set_up(&f, replies, G_N_ELEMENTS(replies));
        read_from(&f, 3);
        script_wait_events(f.script, CT_EVENT_LOG_HEAD, 1);
        g_assert_cmpuint(script_count(f.script, CT_EVENT_LOG_FAILED), ==, 1);
        g_assert_cmpuint(script_count(f.script, CT_EVENT_LOG_ENTRY), ==, 0);
        assert_request(&f, 1, "GET /log/read?from=3&max=");
        tear_down(&f);
    }
}

static void
read_from_first(struct script *script, const struct ct_event *event,
                struct ct_effects *effects)
{
    (void)script;
    if (event->type == CT_EVENT_LOG_HEAD) {
        ct_effects_add(effects, CT_EFFECT_READ_LOG)->u.offset =
            event->u.head.first;
    }
}

/* If the log dropped entries, the reducer decides where reading continues. */
static void
test_dropped_entries(void)
{
    static const struct raw_reply replies[] = {
        {"HTTP/1.1 410 Gone\r\nContent-Length: 22\r\n\r\n"
         "{\"first\":40,\"head\":90}",
         RAW_KEEP_ALIVE},
        {NULL, RAW_HANG},
    };
    struct fixture f;

    set_up(&f, replies, G_N_ELEMENTS(replies));
    f.script->react = read_from_first;
    read_from(&f, 3);
    script_wait_events(f.script, CT_EVENT_LOG_HEAD, 1);
    script_wait_until(f.script, received_two_requests, f.server);
    assert_request(&f, 1, "GET /log/read?from=40&max=");
    g_assert_cmpuint(script_count(f.script, CT_EVENT_LOG_FAILED), ==, 0);
    tear_down(&f);
}

/* A response to a request that has an effect, and the result of the event. */
struct outcome_case {
    const char *name;
    int result;
    bool expired;
    struct raw_reply reply;
};

/* Whatever the response, the request is sent at most once. */
static void
assert_sent_once_unless_expired(struct fixture *f,
                                const struct outcome_case *c,
                                const char *start)
{
    g_assert_cmpuint(raw_server_request_count(f->server), ==,
                     c->expired ? 0 : 1);
    if (!c->expired) {
        assert_request(f, 0, start);
    }
}

static ct_ms
not_after_ms(const struct outcome_case *c)
{
    return c->expired ? ct_clock_steady_ms(ct_system_clock()) : CT_MS_NEVER;
}

static const struct outcome_case append_cases[] = {
    {"done", CT_OK, false, {OK(13, "{\"offset\":17}"), RAW_KEEP_ALIVE}},
    {"error status",
     CT_ERR_LOG_UNAVAILABLE,
     false,
     {UNAVAILABLE, RAW_KEEP_ALIVE}},
    {"response lost", CT_ERR_LOG_UNAVAILABLE, false, {NULL, RAW_CLOSE}},
    {"response without offset",
     CT_ERR_LOG_UNAVAILABLE,
     false,
     {OK(2, "{}"), RAW_KEEP_ALIVE}},
    {"too late",
     CT_ERR_TIMEOUT,
     true,
     {OK(13, "{\"offset\":17}"), RAW_KEEP_ALIVE}},
};

static void
test_append(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(append_cases); i++) {
        const struct outcome_case *c = &append_cases[i];
        struct ct_effect effect = {.type = CT_EFFECT_APPEND_LOG};
        const struct ct_append_done *done;
        struct fixture f;

        g_test_message("%s", c->name);
        set_up(&f, &c->reply, 1);
        effect.u.log_append.record.type = CT_RECORD_CLAIM;
        effect.u.log_append.record.sequence = 8;
        effect.u.log_append.not_after_ms = not_after_ms(c);
        run_effect(&f, &effect);
        script_wait_events(f.script, CT_EVENT_LOG_APPEND_DONE, 1);
        done = &script_last(f.script, CT_EVENT_LOG_APPEND_DONE)->u.log_append;
        g_assert_cmpint(done->result, ==, c->result);
        g_assert_cmpuint(done->sequence, ==, 8);
        g_assert_cmpint(done->offset, ==, c->result == CT_OK ? 17 : 0);
        assert_sent_once_unless_expired(&f, c,
                                        "POST /log/append HTTP/1.1\r\n");
        tear_down(&f);
    }
}

/* A record that cannot be encoded fails without a request. */
static void
test_append_invalid(void)
{
    static const struct raw_reply reply = {NULL, RAW_CLOSE};
    struct ct_effect effect = {.type = CT_EFFECT_APPEND_LOG};
    struct fixture f;

    set_up(&f, &reply, 1);
    run_effect(&f, &effect);
    script_wait_events(f.script, CT_EVENT_LOG_APPEND_DONE, 1);
    g_assert_cmpint(
        script_last(f.script, CT_EVENT_LOG_APPEND_DONE)->u.log_append.result,
        ==, CT_ERR_INVALID);
    g_assert_cmpuint(raw_server_request_count(f.server), ==, 0);
    tear_down(&f);
}

/* An append must neither reuse a connection nor be resent. */
static void
test_append_not_resent(void)
{
    static const struct raw_reply replies[] = {
        {OK(13, "{\"offset\":17}"), RAW_KEEP_ALIVE},
        {NULL, RAW_CLOSE},
        {OK(13, "{\"offset\":18}"), RAW_KEEP_ALIVE},
    };
    struct ct_effect effect = {.type = CT_EFFECT_APPEND_LOG};
    struct fixture f;

    set_up(&f, replies, G_N_ELEMENTS(replies));
    effect.u.log_append.record.type = CT_RECORD_CLAIM;
    effect.u.log_append.not_after_ms = CT_MS_NEVER;
    for (guint i = 1; i <= 2; i++) {
        run_effect(&f, &effect);
        script_wait_events(f.script, CT_EVENT_LOG_APPEND_DONE, i);
    }
    g_assert_cmpint(
        script_last(f.script, CT_EVENT_LOG_APPEND_DONE)->u.log_append.result,
        ==, CT_ERR_LOG_UNAVAILABLE);
    g_assert_cmpuint(raw_server_request_count(f.server), ==, 2);
    tear_down(&f);
}

static const struct outcome_case order_cases[] = {
    {"done", CT_OK, false, {OK(2, "{}"), RAW_KEEP_ALIVE}},
    {"earlier term", CT_ERR_LEASE_NOT_HELD, false, {CONFLICT, RAW_KEEP_ALIVE}},
    {"error status", CT_ERR_IO, false, {UNAVAILABLE, RAW_KEEP_ALIVE}},
    {"response lost", CT_ERR_IO, false, {NULL, RAW_CLOSE}},
    {"no response in time", CT_ERR_IO, false, {NULL, RAW_HANG}},
    {"too late", CT_ERR_TIMEOUT, true, {OK(2, "{}"), RAW_KEEP_ALIVE}},
};

static void
test_order(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
        const struct outcome_case *c = &order_cases[i];
        struct ct_effect effect = {.type = CT_EFFECT_ORDER_UPSTREAM};
        const struct ct_order_done *done;
        struct fixture f;

        g_test_message("%s", c->name);
        set_up(&f, &c->reply, 1);
        effect.u.order.order.order_id = 9;
        effect.u.order.order.kind = CT_ORDER_START;
        effect.u.order.timeout_ms =
            c->reply.next_action == RAW_HANG ? 300 : 30000;
        effect.u.order.not_after_ms = not_after_ms(c);
        run_effect(&f, &effect);
        script_wait_events(f.script, CT_EVENT_UPSTREAM_ORDER_DONE, 1);
        done = &script_last(f.script, CT_EVENT_UPSTREAM_ORDER_DONE)
                    ->u.upstream_order;
        g_assert_cmpint(done->result, ==, c->result);
        g_assert_cmpuint(done->order_id, ==, 9);
        assert_sent_once_unless_expired(&f, c,
                                        "POST /upstreams/order HTTP/1.1\r\n");
        tear_down(&f);
    }
}

static const struct outcome_case report_cases[] = {
    {"done", CT_OK, false, {OK(2, "{}"), RAW_KEEP_ALIVE}},
    {"different usage reported before",
     CT_ERR_EXISTS,
     false,
     {CONFLICT, RAW_KEEP_ALIVE}},
    {"response lost", CT_ERR_IO, false, {NULL, RAW_CLOSE}},
    {"too late", CT_ERR_TIMEOUT, true, {OK(2, "{}"), RAW_KEEP_ALIVE}},
};

static void
test_report(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(report_cases); i++) {
        const struct outcome_case *c = &report_cases[i];
        struct ct_effect effect = {.type = CT_EFFECT_REPORT_USAGE};
        struct ct_usage_row row = {.organisation = {"law"}, .requests = 3};
        const struct ct_report_done *done;
        struct fixture f;

        g_test_message("%s", c->name);
        set_up(&f, &c->reply, 1);
        effect.u.report.window.window_start_ms = 60000;
        effect.u.report.timeout_ms = 30000;
        effect.u.report.not_after_ms = not_after_ms(c);
        effect.rows = CT_ROWS(&row, 1);
        run_effect(&f, &effect);
        script_wait_events(f.script, CT_EVENT_USAGE_REPORT_DONE, 1);
        done =
            &script_last(f.script, CT_EVENT_USAGE_REPORT_DONE)->u.usage_report;
        g_assert_cmpint(done->result, ==, c->result);
        g_assert_cmpint(done->window_start_ms, ==, 60000);
        assert_sent_once_unless_expired(&f, c, "POST /usage HTTP/1.1\r\n");
        tear_down(&f);
    }
}

/* One response that is valid for the log and for both lists. */
static void
test_lists(void)
{
    static const struct raw_reply reply = {
        OK(72, "{\"first\":1,\"head\":0,\"entries\":[],"
               "\"hosts\":[{\"name\":\"h1\"}],\"upstreams\":[]}"),
        RAW_KEEP_ALIVE};
    struct fixture f;

    set_up(&f, &reply, 1);
    ct_platform_start(f.platform);
    script_wait_events(f.script, CT_EVENT_HOST_LIST, 2);
    script_wait_events(f.script, CT_EVENT_UPSTREAM_LIST, 2);
    script_wait_events(f.script, CT_EVENT_LOG_HEAD, 2);
    g_assert_cmpuint(script_last(f.script, CT_EVENT_HOST_LIST)->rows.n, ==, 1);
    g_assert_cmpuint(script_last(f.script, CT_EVENT_UPSTREAM_LIST)->rows.n, ==,
                     0);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/read", test_read);
    g_test_add_func("/platform/read-failures", test_read_failures);
    g_test_add_func("/platform/dropped-entries", test_dropped_entries);
    g_test_add_func("/platform/append", test_append);
    g_test_add_func("/platform/append-invalid", test_append_invalid);
    g_test_add_func("/platform/append-not-resent", test_append_not_resent);
    g_test_add_func("/platform/order", test_order);
    g_test_add_func("/platform/report", test_report);
    g_test_add_func("/platform/lists", test_lists);
    return g_test_run();
}
