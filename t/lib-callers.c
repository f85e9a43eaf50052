#include "lib-callers.h"

#include <string.h>

static const struct ct_handle request = CALLERS_REQUEST;

static void
add_write_effect(struct ct_effects *effects, enum ct_effect_type type,
                 const struct ct_event *event, uint32_t bytes, bool stream,
                 bool complete_response)
{
    struct ct_write_effect *write = &ct_effects_add(effects, type)->u.write;

    write->caller = event->u.call.caller;
    write->request = request;
    write->request_id = event->u.call.request_id;
    write->status = 200;
    write->stream = stream;
    write->bytes = bytes;
    write->complete = complete_response;
    write->reason = CT_REFUSAL_UPSTREAM_SILENT;
}

static void
add_refuse_effect(struct ct_effects *effects, uint64_t caller,
                  enum ct_refusal reason)
{
    struct ct_effect *effect =
        ct_effects_add(effects, CT_EFFECT_REFUSE_REQUEST);

    effect->u.refuse.caller = caller;
    effect->u.refuse.reason = reason;
    effect->u.refuse.run_state = CT_NOT_RUN;
    effect->u.refuse.retry_after_ms = 1500;
}

void
callers_react(struct script *script, const struct ct_event *event,
              struct ct_effects *effects)
{
    struct ct_effect *effect;

    (void)script;
    switch (event->type) {
    case CT_EVENT_CALL_REJECTED:
        add_refuse_effect(effects, event->u.rejected.caller,
                          event->u.rejected.reason);
        break;
    case CT_EVENT_CALL_ARRIVED:
        if (!event->u.call.has_key) {
            add_refuse_effect(effects, event->u.call.caller,
                              CT_REFUSAL_NO_KEY);
        }
        break;
    case CT_EVENT_RESPONSE_REQUESTED:
        effect = ct_effects_add(effects, CT_EFFECT_REDIRECT);
        effect->u.redirect.caller = event->u.response_request.caller;
        effect->u.redirect.offset = event->u.response_request.offset;
        effect->u.redirect.request_id = event->u.response_request.request_id;
        CT_TEXT_SET(effect->u.redirect.address, "127.0.0.2:80");
        break;
    case CT_EVENT_ADDRESSES_REQUESTED:
        effect = ct_effects_add(effects, CT_EFFECT_REPLY_ADDRESSES);
        effect->u.addresses.caller = event->u.caller;
        effect->u.addresses.lifetime_ms = 9000;
        break;
    default:
        break;
    }
}

void
callers_react_complete(struct script *script, const struct ct_event *event,
                       struct ct_effects *effects)
{
    (void)script;
    if (event->type == CT_EVENT_CALL_ARRIVED) {
        add_write_effect(effects, CT_EFFECT_WRITE_HEAD, event, 0, false, true);
        add_write_effect(effects, CT_EFFECT_WRITE_DATA, event, 4, false, true);
        add_write_effect(effects, CT_EFFECT_WRITE_END, event, 0, false, true);
    }
}

void
callers_react_stream(struct script *script, const struct ct_event *event,
                     struct ct_effects *effects)
{
    (void)script;
    if (event->type == CT_EVENT_CALL_ARRIVED) {
        add_write_effect(effects, CT_EFFECT_WRITE_HEAD, event, 0, true, true);
        add_write_effect(effects, CT_EFFECT_WRITE_DATA, event, 4, true, true);
    }
}

void
callers_set_up(struct callers_fixture *f, ct_ms idle_timeout_ms)
{
    const struct ct_caller_limits limits = {
        .max_connections = IDLE_CONNECTIONS + 10,
        .head_bytes = HEAD_BYTES,
        .body_bytes = BODY_BYTES,
        .idle_timeout_ms = idle_timeout_ms,
    };
    struct ct_handle attempt = {1, 1};

    f->script = script_new();
    f->script->react = callers_react;
    f->responses = ct_response_store_new();
    ct_loop_add(f->script->loop, ct_response_store_executor(f->responses));
    g_assert_cmpint(ct_callers_new(f->script->loop, f->responses,
                                   "127.0.0.1:0", &limits, &f->callers),
                    ==, 0);
    ct_loop_add(f->script->loop, ct_callers_executor(f->callers));
    ct_response_store_bind_body(f->responses, request, 0);
    ct_response_store_begin_write(f->responses, request, attempt, 0);
    ct_response_store_append(f->responses, request, attempt, "abcd", 4);
}

void
callers_tear_down(struct callers_fixture *f)
{
    ct_loop_free(f->script->loop);
    script_free(f->script);
}

void
callers_run_write(struct callers_fixture *f, bool stream,
                  bool complete_response)
{
    struct ct_executor *executor = ct_callers_executor(f->callers);
    struct ct_effects effects;

    ct_effects_init(&effects);
    add_write_effect(&effects, CT_EFFECT_WRITE_END,
                     script_last(f->script, CT_EVENT_CALL_ARRIVED), 0, stream,
                     complete_response);
    executor->ops->run(executor, &effects.items[0]);
    ct_effects_free(&effects);
}
