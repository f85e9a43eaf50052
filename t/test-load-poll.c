/*
 * Tests of load-poll.h: load reports of engines; plain services are not
 * polled.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "lib-core.h"
#include "lib-raw-server.h"
#include "lib-script.h"
#include "load-body.h"
#include "load-poll.h"

#define PERIOD_MS 20
#define OK_HEAD "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
#define REPORT "{\"running\":3,\"waiting\":2,\"age_ms\":400}"

static bool
received_five_requests(void *server)
{
    return raw_server_request_count(server) >= 5;
}

/* Failed and invalid responses are ignored until a valid report arrives. */
static void
test_reports(void)
{
    static const struct raw_reply replies[] = {
        {"HTTP/1.1 500 No\r\nContent-Length: 38\r\n\r\n" REPORT,
         RAW_KEEP_ALIVE},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", RAW_KEEP_ALIVE},
        {NULL, RAW_CLOSE},
        {OK_HEAD REPORT, RAW_KEEP_ALIVE},
    };
    struct raw_server *server = raw_server_new(replies, 4);
    struct script *script = script_new();
    struct ct_http *http = ct_http_new(script->loop);
    const struct ct_load_report *report;
    struct ct_upstream_row *row;
    struct ct_handle handle;
    struct t_core core;
    uint32_t cursor = 0;
    char *request;

    t_core_init(&core);
    t_core_configure(&core, 1, 1);
    while ((row = ct_table_next(&core.state->config.upstreams, &cursor,
                                &handle))) {
        CT_TEXT_SET(row->conf.address, raw_server_address(server));
    }
    ct_loop_add(script->loop, ct_http_executor(http));
    ct_loop_add(script->loop, ct_load_poll_executor(ct_load_poll_new(
                                  script->loop, http, core.state, PERIOD_MS)));
    script_wait_events(script, CT_EVENT_LOAD_REPORT, 1);
    report = &script_last(script, CT_EVENT_LOAD_REPORT)->u.load;
    g_assert_cmpstr(report->upstream.text, ==, "engines-0");
    g_assert_cmpuint(report->running, ==, 3);
    g_assert_cmpuint(report->waiting, ==, 2);
    g_assert_cmpint(report->age_ms, >=, 400);
    script_wait_until(script, received_five_requests, server);
    /* Only the engine of the two upstreams is polled. */
    for (guint i = 0; i < 5; i++) {
        request = raw_server_request(server, i);
        g_assert_true(g_str_has_prefix(request, "GET /load HTTP/1.1\r\n"));
        g_free(request);
    }
    g_assert_cmpuint(script_count(script, CT_EVENT_LOAD_REPORT), >=, 1);
    ct_loop_free(script->loop);
    script_free(script);
    t_core_free(&core);
    raw_server_free(server);
}

static void
test_bodies(void)
{
    static const struct {
        const char *text;
        int result;
    } cases[] = {
        {REPORT, CT_OK},
        {"", CT_ERR_JSON_SYNTAX},
        {"[]", CT_ERR_FIELD_TYPE},
        {"{\"running\":3,\"waiting\":2}", CT_ERR_FIELD_MISSING},
        {"{\"running\":-3,\"waiting\":2,\"age_ms\":0}", CT_ERR_FIELD_RANGE},
        {"{\"running\":\"3\",\"waiting\":2,\"age_ms\":0}", CT_ERR_FIELD_TYPE},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_load_report report;

        g_assert_cmpint(
            ct_load_body_parse(cases[i].text, strlen(cases[i].text), &report),
            ==, cases[i].result);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    g_test_add_func("/load-poll/reports", test_reports);
    g_test_add_func("/load-poll/bodies", test_bodies);
    return g_test_run();
}
