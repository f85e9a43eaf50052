#include "lib-upstreams.h"

#include <string.h>

void
upstreams_set_up(struct upstreams_fixture *f, const struct raw_reply *replies,
                 guint n)
{
    struct ct_http *http;
    struct ct_attempt_effect *attempt = &f->start.u.attempt;
    struct ct_stored_call *body = g_rc_box_new0(struct ct_stored_call);

    memset(f, 0, sizeof(*f));
    f->script = script_new();
    f->responses = ct_response_store_new();
    ct_loop_add(f->script->loop, ct_response_store_executor(f->responses));
    http = ct_http_new(f->script->loop);
    ct_loop_add(f->script->loop, ct_http_executor(http));
    f->upstreams = ct_upstreams_new(f->script->loop, http, f->responses);
    ct_loop_add(f->script->loop, ct_upstreams_executor(f->upstreams));
    f->server = raw_server_new(replies, n);
    body->bytes = g_bytes_new_static("{\"x\":1}", 7);
    strcpy(body->method, "POST");
    strcpy(body->media_type, "application/json");
    ct_response_store_put_body(f->responses, UPSTREAMS_CALLER, body);

    f->start.type = CT_EFFECT_START_ATTEMPT;
    attempt->attempt = (struct ct_handle){1, 1};
    attempt->request = (struct ct_handle){2, 1};
    attempt->caller = UPSTREAMS_CALLER;
    attempt->kind = CT_CALL_CHAT;
    attempt->priority = 2;
    attempt->gap_timeout_ms = 30000;
    attempt->not_after_ms = CT_MS_NEVER;
    CT_TEXT_SET(attempt->request_id, "0190-request");
    CT_TEXT_SET(attempt->path, "/v1/chat/completions");
    CT_TEXT_SET(attempt->pool, "engines");
    CT_TEXT_SET(attempt->address, raw_server_address(f->server));
    ct_upstreams_set_credential(f->upstreams, &attempt->pool, "system");
}

void
upstreams_tear_down(struct upstreams_fixture *f)
{
    ct_loop_free(f->script->loop);
    script_free(f->script);
    raw_server_free(f->server);
}

void
upstreams_run_effect(struct upstreams_fixture *f,
                     const struct ct_effect *effect)
{
    struct ct_executor *executor = ct_upstreams_executor(f->upstreams);

    g_assert_true(executor->ops->run(executor, effect));
}

const struct ct_attempt_event *
upstreams_run_attempt(struct upstreams_fixture *f)
{
    guint n = script_count(f->script, CT_EVENT_ATTEMPT_DONE);

    f->start.u.attempt.attempt.generation = n + 1;
    upstreams_run_effect(f, &f->start);
    script_wait_events(f->script, CT_EVENT_ATTEMPT_DONE, n + 1);
    g_assert_cmpuint(ct_upstreams_attempt_count(f->upstreams), ==, 0);
    return &script_last(f->script, CT_EVENT_ATTEMPT_DONE)->u.attempt;
}

void
upstreams_assert_stored_response(struct upstreams_fixture *f,
                                 const char *expected)
{
    struct ct_handle reader = ct_response_store_open_reader(
        f->responses, f->start.u.attempt.request);
    char out[1024] = "";

    ct_response_store_read(f->responses, reader, 0, out, sizeof(out) - 1);
    ct_response_store_close_reader(f->responses, reader);
    g_assert_cmpstr(out, ==, expected);
}
