/* Tests of operators.h: responses of the port, completeness of counters. */
#include <glib.h>
#include <string.h>

#include "counter.h"
#include "lib-client.h"
#include "lib-core.h"
#include "operators.h"

#define HEX "0101010101010101010101010101010101010101010101010101010101010101"

struct fixture {
    struct script *script;
    struct t_core core;
    struct ct_operators *operators;
    int drains;
};

static void
react_to_request(struct script *script, const struct ct_event *event,
                 struct ct_effects *effects)
{
    static const struct ct_refusal_row refusal = {
        .organisation = {"a\"b"},
        .reason = CT_REFUSAL_OVERLOAD,
        .run_state = CT_NOT_RUN,
    };
    static const struct ct_host_row hosts[] = {
        {{"h1"}, false}, {{"h2"}, true}, {{"h3"}, false}};
    struct ct_effect *effect;

    (void)script;
    if (event->type == CT_EVENT_EXPLAIN_REQUESTED) {
        effect = ct_effects_add(effects, CT_EFFECT_REPLY_EXPLAIN);
        effect->u.explain.caller = event->u.explain_request.caller;
        if (strcmp(event->u.explain_request.request_id.text, "known") == 0) {
            ct_effect_set_rows(effects, effect, CT_ROWS(&refusal, 1));
        }
    }
    else if (event->type == CT_EVENT_KEY_WITHDRAWAL_REQUESTED) {
        struct ct_digest expected_key = t_digest(1);

        g_assert_true(
            ct_digest_eq(&event->u.key_withdrawal.key, &expected_key));
        effect = ct_effects_add(effects, CT_EFFECT_REPLY_WITHDRAWAL);
        effect->u.caller = event->u.key_withdrawal.caller;
        ct_effect_set_rows(effects, effect, CT_ROWS(hosts, 3));
    }
}

static void
on_drain(void *arg)
{
    ((struct fixture *)arg)->drains++;
}

static void
set_up(struct fixture *f)
{
    struct ct_operators_options options = {
        .address = "127.0.0.1:0",
        .host = {"h1"},
        .drain = on_drain,
        .arg = f,
    };

    struct ct_event head = {.type = CT_EVENT_LOG_HEAD};

    memset(f, 0, sizeof(*f));
    t_core_init(&f->core);
    /* The port uses the system clock, so this event has its time. */
    f->core.now_ms = ct_clock_steady_ms(ct_system_clock());
    t_core_post(&f->core, &head);
    f->script = script_new();
    f->script->react = react_to_request;
    options.state = f->core.state;
    g_assert_cmpint(ct_operators_new(f->script->loop, &options, &f->operators),
                    ==, 0);
    ct_loop_add(f->script->loop, ct_operators_executor(f->operators));
}

static void
tear_down(struct fixture *f)
{
    ct_loop_free(f->script->loop);
    script_free(f->script);
    t_core_free(&f->core);
}

/* Returns the complete response; freed by the caller. */
static char *
send_request(struct fixture *f, const char *method, const char *path,
             const char *body)
{
    struct client client;
    char *request =
        g_strdup_printf("%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        method, path, strlen(body), body);
    char *response;

    client_open(ct_operators_port(f->operators), &client);
    client_send(&client, request);
    client_await(f->script, &client, NULL);
    response = g_strdup(client.in->str);
    client_close(&client);
    g_free(request);
    return response;
}

static const struct response_case {
    const char *method, *path, *body;
    int status;
    const char *expected;
} response_cases[] = {
    {"GET", "/state", "", 200, "{\"host\":\"h1\",\"state\":\"ready\","},
    {"GET", "/health", "", 200, "{\"state\":\"ready\"}"},
    {"GET", "/explain/known", "", 200, "\"organisation\":\"a\\\"b\""},
    {"GET", "/explain/known", "", 200, "\"type\":\"overload\""},
    {"GET", "/explain/other", "", 404, "unknown"},
    {"GET", "/explain/123456789012345678901234567890123456789012345", "", 404,
     "unknown"},
    {"POST", "/keys/withdraw", "{\"digest\":\"" HEX "\"}", 200,
     "{\"confirmed\":[\"h1\",\"h3\"],\"missing\":[\"h2\"]}"},
    {"POST", "/keys/withdraw", "{\"digest\":\"01\"}", 400, "bad-request"},
    {"POST", "/keys/withdraw", "{\"digest\":7}", 400, "bad-request"},
    {"POST", "/keys/withdraw", "[]", 400, "bad-request"},
    {"POST", "/keys/withdraw", "", 400, "bad-request"},
    {"POST", "/counters", "", 404, "unknown"},
    {"GET", "/drain", "", 404, "unknown"},
    {"GET", "/", "", 404, "unknown"},
    {"PUT", "/drain", "", 405, "method"},
    {"POST", "/drain", "", 202, "{}"},
};

/* A body that is refused must not be waited for. */
static void
test_large_body(void)
{
    struct client client;
    struct fixture f;

    set_up(&f);
    client_open(ct_operators_port(f.operators), &client);
    client_send(&client, "POST /keys/withdraw HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 5000000\r\n\r\n");
    client_await(f.script, &client, NULL);
    g_assert_true(g_str_has_prefix(client.in->str, "HTTP/1.1 413 "));
    client_close(&client);
    tear_down(&f);
}

static void
test_responses(void)
{
    struct fixture f;

    set_up(&f);
    for (guint i = 0; i < G_N_ELEMENTS(response_cases); i++) {
        const struct response_case *c = &response_cases[i];
        char *response = send_request(&f, c->method, c->path, c->body);
        char *line = g_strdup_printf("HTTP/1.1 %d ", c->status);

        if (!g_str_has_prefix(response, line) ||
            strstr(response, c->expected) == NULL) {
            g_error("%s %s: %s", c->method, c->path, response);
        }
        g_free(response);
        g_free(line);
    }
    g_assert_cmpint(f.drains, ==, 1);
    tear_down(&f);
}

/* Refusal reasons that never occurred are listed too, with 0. */
static void
test_counters(void)
{
    struct fixture f;
    char *response;

    set_up(&f);
    f.core.state->counters.refusals[CT_REFUSAL_OVERLOAD] = 3;
    response = send_request(&f, "GET", "/counters", "");
    for (int i = 0; i < CT_REFUSAL_COUNT; i++) {
        char *line = g_strdup_printf(
            "\ncoriandertrack_refusals_total{reason=\"%s\"} %d\n",
            ct_refusal_text(i), i == CT_REFUSAL_OVERLOAD ? 3 : 0);

        g_assert_nonnull(strstr(response, line));
        g_free(line);
    }
    for (int i = 0; i < CT_COUNTER_COUNT; i++) {
        char *line =
            g_strdup_printf("\ncoriandertrack_%s ", ct_counter_text(i));

        g_assert_nonnull(strstr(response, line));
        g_free(line);
    }
    g_free(response);
    tear_down(&f);
}

/* A draining host is reported as not ready. */
static void
test_health(void)
{
    struct fixture f;
    struct ct_event drain = {.type = CT_EVENT_DRAIN};
    char *response;

    set_up(&f);
    t_core_post(&f.core, &drain);
    response = send_request(&f, "GET", "/health", "");
    g_assert_true(g_str_has_prefix(response, "HTTP/1.1 503 "));
    g_assert_nonnull(strstr(response, "{\"state\":\"draining\"}"));
    g_free(response);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/operators/large-body", test_large_body);
    g_test_add_func("/operators/responses", test_responses);
    g_test_add_func("/operators/counters", test_counters);
    g_test_add_func("/operators/health", test_health);
    return g_test_run();
}
