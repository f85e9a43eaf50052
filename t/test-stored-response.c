/* Tests of stored-response.h: responses that callers request again. */
#include <string.h>

#include "stored-response.h"
#include "lib-core.h"

#define BYTES 100

/*
 * Posts a request for a stored response with a key; returns the caller's
 * number.
 */
static uint64_t
request_response(struct t_core *core, uint8_t key, const char *id,
                 uint64_t offset)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_RESPONSE_REQUESTED;
    event.u.response_request.caller = core->next_caller++;
    event.u.response_request.has_key = true;
    event.u.response_request.key = t_digest(key);
    event.u.response_request.offset = offset;
    CT_TEXT_SET(event.u.response_request.request_id, id);
    t_core_post(core, &event);
    return event.u.response_request.caller;
}

static void
post_peer_message(struct t_core *core, enum ct_peer_message_type type,
                  const char *id)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_PEER_MESSAGE;
    event.u.peer.message.type = type;
    CT_TEXT_SET(event.u.peer.message.sender, "h2");
    CT_TEXT_SET(event.u.peer.message.u.request_id, id);
    t_core_post(core, &event);
}

/*
 * Starts a call of key 1 whose stream has delivered BYTES bytes; returns its
 * attempt.
 */
static struct ct_handle
start_call(struct t_core *core)
{
    struct ct_handle attempt;

    t_core_init(core);
    t_core_configure(core, 2, 4);
    t_core_call(core, 1, T_CHAT_PATH);
    attempt = t_core_started(core);
    t_core_sent(core, attempt);
    t_core_head(core, attempt, 200);
    t_core_data(core, attempt, 0, BYTES);
    return attempt;
}

/*
 * If the caller's old connection is dead, its new one gets the rest of the
 * response and its end.
 */
static void
test_take_over(void)
{
    struct t_core core;
    struct ct_handle attempt = start_call(&core);
    uint64_t caller = request_response(&core, 1, "request-1", 40);
    const struct ct_effect *data =
        t_core_effect(&core, CT_EFFECT_WRITE_DATA, 0);

    g_assert_false(
        t_core_effect(&core, CT_EFFECT_WRITE_END, 0)->u.write.complete);
    g_assert_cmpuint(data->u.write.caller, ==, caller);
    g_assert_cmpuint(data->u.write.offset, ==, 40);
    g_assert_cmpuint(data->u.write.bytes, ==, BYTES - 40);
    t_core_complete(&core, attempt);
    g_assert_cmpuint(
        t_core_effect(&core, CT_EFFECT_WRITE_END, 0)->u.write.caller, ==,
        caller);
    t_core_free(&core);
}

/* A retained response is written from the requested byte on. */
static void
test_retained(void)
{
    struct t_core core;

    t_core_complete(&core, start_call(&core));
    request_response(&core, 1, "request-1", 0);
    g_assert_cmpuint(
        t_core_effect(&core, CT_EFFECT_WRITE_DATA, 0)->u.write.bytes, ==,
        BYTES);
    g_assert_true(
        t_core_effect(&core, CT_EFFECT_WRITE_END, 0)->u.write.complete);
    t_core_free(&core);
}

/* Another organisation learns nothing, not even that the response exists. */
static void
test_other_organisation(void)
{
    static const struct {
        uint8_t key;
        uint64_t offset;
        const char *id;
    } cases[] = {
        {2, 0, "request-1"},
        {9, 0, "request-1"},
        {1, BYTES + 1, "request-1"},
        {1, 0, "request-99"},
    };
    struct t_core core;

    start_call(&core);
    for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
        request_response(&core, cases[i].key, cases[i].id, cases[i].offset);
        g_assert_cmpuint(core.effects.n, ==, 1);
        g_assert_cmpint(
            t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse.reason,
            ==, CT_REFUSAL_RESPONSE_UNKNOWN);
    }
    t_core_free(&core);
}

/*
 * A response whose attempt was cancelled because its caller disconnected
 * resumes at the last byte when it is requested again.
 */
static void
test_resumed(void)
{
    struct t_core core;
    const struct ct_effect *attempt;

    start_call(&core);
    t_core_caller_disconnected(&core, 1);
    request_response(&core, 1, "request-1", BYTES);
    attempt = t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0);
    g_assert_nonnull(attempt);
    g_assert_cmpuint(attempt->u.attempt.resume_offset, ==, BYTES);
    t_core_complete(&core, attempt->u.attempt.attempt);
    g_assert_true(
        t_core_effect(&core, CT_EFFECT_WRITE_END, 0)->u.write.complete);
    t_core_free(&core);
}

/* If another host has the response, the caller is redirected there. */
static void
test_redirect(void)
{
    struct t_core core;
    const struct ct_effect *redirect_effect;
    uint64_t caller;

    start_call(&core);
    t_core_peer_up(&core, "h2");
    caller = request_response(&core, 1, "request-far", 5);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_SEND_PEER_MESSAGE, 0)
                        ->u.peer.message.type,
                    ==, CT_PEER_RESPONSE_LOOKUP);
    post_peer_message(&core, CT_PEER_RESPONSE_FOUND, "request-far");
    redirect_effect = t_core_effect(&core, CT_EFFECT_REDIRECT, 0);
    g_assert_cmpuint(redirect_effect->u.redirect.caller, ==, caller);
    g_assert_cmpuint(redirect_effect->u.redirect.offset, ==, 5);
    g_assert_cmpstr(redirect_effect->u.redirect.address.text, ==,
                    "127.0.0.1:1");
    /*
     * If no host has the response, the caller is refused after the lookup
     * timeout.
     */
    request_response(&core, 1, "request-nowhere", 0);
    t_core_tick(&core, CT_RESPONSE_LOOKUP_TIMEOUT_MS);
    g_assert_cmpint(
        t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0)->u.refuse.reason, ==,
        CT_REFUSAL_RESPONSE_UNKNOWN);
    g_assert_cmpuint(core.state->response_lookups.live, ==, 0);
    /* This host replies to a lookup only if it has the response. */
    post_peer_message(&core, CT_PEER_RESPONSE_LOOKUP, "request-1");
    g_assert_nonnull(t_core_effect(&core, CT_EFFECT_SEND_PEER_MESSAGE, 0));
    post_peer_message(&core, CT_PEER_RESPONSE_LOOKUP, "request-99");
    g_assert_null(t_core_effect(&core, CT_EFFECT_SEND_PEER_MESSAGE, 0));
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stored-response/take-over", test_take_over);
    g_test_add_func("/stored-response/retained", test_retained);
    g_test_add_func("/stored-response/other-organisation",
                    test_other_organisation);
    g_test_add_func("/stored-response/resumed", test_resumed);
    g_test_add_func("/stored-response/redirect", test_redirect);
    return g_test_run();
}
