/* Tests of body-admission.h: grants, waiting, shedding and time-outs. */
#include <string.h>

#include "lib-relay.h"

#define KB 1024
#define MB (1024 * KB)
/* First grant, and the interval of the checks. */
#define FIRST_BYTES (16 * KB)
#define CHECK_MS 250

/* A budget of 12 MB, of which incomplete bodies get 9 MB. */
static void
set_up(struct t_core *core)
{
    t_relay_setup(core, 2);
    core->state->self.bounds.memory_mb = 64;
}

static uint64_t
post_head(struct t_core *core, uint8_t key, const char *path, uint32_t bytes,
          bool chunked)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_HEAD_ARRIVED};
    struct ct_relay_call *call = &event.u.relay;

    call->caller = core->next_caller++;
    g_snprintf(call->request_id.text, sizeof(call->request_id.text),
               "call-%" G_GUINT64_FORMAT, call->caller);
    CT_TEXT_SET(call->authority, T_HOST);
    CT_TEXT_SET(call->path, path);
    call->has_key = key != 0;
    call->key = t_digest(key);
    call->body_bytes = bytes;
    call->body_chunked = chunked;
    call->peer = 1;
    t_core_post(core, &event);
    return call->caller;
}

static void
post_progress(struct t_core *core, uint64_t caller, uint32_t bytes,
              bool blocked)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_BODY_PROGRESS};

    event.u.body_progress.caller = caller;
    event.u.body_progress.bytes = bytes;
    event.u.body_progress.blocked = blocked;
    t_core_post(core, &event);
}

static void
post_end(struct t_core *core, enum ct_event_type type, uint64_t caller)
{
    struct ct_event event = {.type = type};

    event.u.caller = caller;
    t_core_post(core, &event);
}

/* Returns the grant that the last event gave to the caller; 0 for none. */
static uint32_t
granted(const struct t_core *core, uint64_t caller)
{
    const struct ct_effect *effect;

    for (guint i = 0; i < t_core_count(core, CT_EFFECT_RELAY_READ_BODY); i++) {
        effect = t_core_effect(core, CT_EFFECT_RELAY_READ_BODY, i);
        if (effect->u.body_grant.caller == caller) {
            return effect->u.body_grant.bytes;
        }
    }
    return 0;
}

/* Returns the reason for which the last event refused the caller. */
static enum ct_refusal
refused(const struct t_core *core, uint64_t caller)
{
    const struct ct_effect *effect;

    for (guint i = 0; i < t_core_count(core, CT_EFFECT_REFUSE_REQUEST); i++) {
        effect = t_core_effect(core, CT_EFFECT_REFUSE_REQUEST, i);
        if (effect->u.refuse.caller == caller) {
            g_assert_cmpint(effect->u.refuse.run_state, ==, CT_NOT_RUN);
            return effect->u.refuse.reason;
        }
    }
    return CT_REFUSAL_COUNT;
}

static uint64_t
used(const struct t_core *core)
{
    return core->state->relays.budget.used_bytes;
}

/* Opens a body of 4 MB that has received its first grant. */
static uint64_t
open_large(struct t_core *core, uint8_t key)
{
    uint64_t caller = post_head(core, key, T_ANY_PATH, 4 * MB, false);

    g_assert_cmpuint(granted(core, caller), ==, FIRST_BYTES);
    post_progress(core, caller, FIRST_BYTES, true);
    return caller;
}

/* A call that cannot run must not have its body buffered. */
static void
test_head_refused(void)
{
    static const struct {
        uint8_t key;
        const char *path;
        enum ct_refusal reason;
    } cases[] = {
        {0, T_ANY_PATH, CT_REFUSAL_NO_KEY},
        {9, T_ANY_PATH, CT_REFUSAL_UNKNOWN_KEY},
        {1, "/none/x", CT_REFUSAL_ROUTE_UNKNOWN},
        {0, T_OPEN_PATH, CT_REFUSAL_COUNT},
        {1, T_ANY_PATH, CT_REFUSAL_COUNT},
    };

    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        bool admitted = cases[i].reason == CT_REFUSAL_COUNT;
        struct t_core core;
        uint64_t caller;

        set_up(&core);
        caller = post_head(&core, cases[i].key, cases[i].path, MB, false);
        g_assert_cmpint(refused(&core, caller), ==, cases[i].reason);
        g_assert_cmpuint(granted(&core, caller), ==,
                         admitted ? FIRST_BYTES : 0);
        g_assert_cmpuint(used(&core), ==, admitted ? FIRST_BYTES : 0);
        t_core_free(&core);
    }
}

/*
 * A body with a length is granted whole after its first bytes, so that it
 * cannot get stuck halfway; one in chunks by steps up to the limit.
 */
static void
test_steps(void)
{
    static const uint32_t steps[] = {16 * KB, 128 * KB, MB, 4 * MB};
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    caller = post_head(&core, 1, T_ANY_PATH, 100, false);
    g_assert_cmpuint(granted(&core, caller), ==, 100);
    caller = open_large(&core, 1);
    g_assert_cmpuint(granted(&core, caller), ==, 4 * MB);
    g_assert_cmpuint(used(&core), ==, 4 * MB + 100);
    post_end(&core, CT_EVENT_RELAY_CALLER_DISCONNECTED, caller);
    caller = post_head(&core, 1, T_ANY_PATH, 4 * MB, true);
    for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
        g_assert_cmpuint(granted(&core, caller), ==, steps[i]);
        post_progress(&core, caller, steps[i], true);
    }
    t_core_free(&core);
}

/* A share that outlives its caller would use up the budget for good. */
static void
test_released(void)
{
    static const enum ct_event_type ends[] = {
        CT_EVENT_RELAY_CALLER_DISCONNECTED,
        CT_EVENT_RELAY_CALL_ARRIVED,
        CT_EVENT_RELAY_CALL_REJECTED,
    };

    for (guint i = 0; i < G_N_ELEMENTS(ends); i++) {
        struct t_core core;
        uint64_t caller;

        set_up(&core);
        caller = open_large(&core, 1);
        if (ends[i] == CT_EVENT_RELAY_CALL_ARRIVED) {
            struct ct_event event = {.type = ends[i]};

            event.u.relay.caller = caller;
            event.u.relay.body_bytes = 1000;
            t_core_post(&core, &event);
            g_assert_cmpuint(used(&core), ==, 1000 + CT_RELAY_CALL_BYTES);
            post_end(&core, CT_EVENT_RELAY_CALL_DELIVERED, caller);
        }
        else if (ends[i] == CT_EVENT_RELAY_CALL_REJECTED) {
            struct ct_event event = {.type = ends[i]};

            event.u.rejected.caller = caller;
            event.u.rejected.reason = CT_REFUSAL_TOO_LARGE;
            t_core_post(&core, &event);
            g_assert_cmpint(refused(&core, caller), ==, CT_REFUSAL_TOO_LARGE);
        }
        else {
            post_end(&core, ends[i], caller);
        }
        g_assert_cmpuint(used(&core), ==, 0);
        g_assert_cmpuint(core.state->bodies.granted_bytes, ==, 0);
        g_assert_cmpuint(core.state->bodies.rows.live, ==, 0);
        t_core_free(&core);
    }
}

/* When the budget is short, bodies wait, and go on as others end. */
static void
test_wait(void)
{
    struct t_core core;
    uint64_t callers[3];
    uint64_t small;

    set_up(&core);
    for (guint i = 0; i < 3; i++) {
        callers[i] = open_large(&core, 1);
        g_assert_cmpuint(granted(&core, callers[i]), ==, i < 2 ? 4 * MB : 0);
    }
    /* Room is left for the first bytes of others. */
    small = post_head(&core, 1, T_ANY_PATH, 100, false);
    g_assert_cmpuint(granted(&core, small), ==, 100);
    post_end(&core, CT_EVENT_RELAY_CALLER_DISCONNECTED, callers[0]);
    g_assert_cmpuint(granted(&core, callers[2]), ==, 4 * MB);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_BODIES_WAITED], ==,
                     1);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_BODIES_SHED], ==,
                     0);
    t_core_free(&core);
}

/*
 * While others wait, bodies without progress are refused, the slowest first;
 * those that progress are not.
 */
static void
test_shed(void)
{
    struct t_core core;
    uint64_t slow;
    uint64_t steady;
    uint64_t waiting;
    uint32_t bytes = FIRST_BYTES;

    set_up(&core);
    slow = open_large(&core, 1);
    steady = open_large(&core, 1);
    waiting = open_large(&core, 1);
    for (guint i = 0; i < 4; i++) {
        g_assert_cmpint(refused(&core, slow), ==, CT_REFUSAL_COUNT);
        bytes += FIRST_BYTES;
        post_progress(&core, steady, bytes, false);
        /* A few bytes are no progress. */
        post_progress(&core, slow, FIRST_BYTES + i, false);
        t_core_tick(&core, CHECK_MS);
    }
    g_assert_cmpint(refused(&core, slow), ==, CT_REFUSAL_BODY_MEMORY);
    g_assert_cmpuint(core.state->counters.values[CT_COUNTER_CALLS], ==, 1);
    g_assert_cmpint(refused(&core, steady), ==, CT_REFUSAL_COUNT);
    g_assert_cmpuint(granted(&core, waiting), ==, 4 * MB);
    t_core_free(&core);
}

/*
 * Bodies that wait are not refused for that, except when all do: bodies in
 * chunks can hold all of the budget and each want more.
 */
static void
test_stuck(void)
{
    struct t_core core;
    uint64_t callers[9];
    guint n = 0;

    set_up(&core);
    for (guint i = 0; i < G_N_ELEMENTS(callers); i++) {
        callers[i] = post_head(&core, 1, T_ANY_PATH, 4 * MB, true);
        for (uint32_t step = FIRST_BYTES; step <= 128 * KB; step *= 8) {
            post_progress(&core, callers[i], step, true);
        }
    }
    /* Eight have 1 MB; the last one waits for it. */
    for (guint i = 0; i < 8; i++) {
        post_progress(&core, callers[i], MB, true);
    }
    for (guint t = CHECK_MS; t < 1000; t += CHECK_MS) {
        t_core_tick(&core, CHECK_MS);
        g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), ==, 0);
    }
    t_core_tick(&core, CHECK_MS);
    for (guint i = 0; i < G_N_ELEMENTS(callers); i++) {
        n += granted(&core, callers[i]) > 0;
    }
    g_assert_cmpuint(n, >, 0);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_REFUSE_REQUEST), <, 4);
    t_core_free(&core);
}

/* A crowd of one organisation must not be served before another one's call. */
static void
test_organisations(void)
{
    struct t_core core;
    uint64_t acme[4];
    uint64_t zeta;

    set_up(&core);
    for (guint i = 0; i < 4; i++) {
        acme[i] = open_large(&core, 1);
    }
    zeta = open_large(&core, 3);
    post_end(&core, CT_EVENT_RELAY_CALLER_DISCONNECTED, acme[0]);
    g_assert_cmpuint(granted(&core, zeta), ==, 4 * MB);
    g_assert_cmpuint(granted(&core, acme[2]), ==, 0);
    t_core_free(&core);
}

/* Neither a body that stops nor one that waits may stay for ever. */
static void
test_time_outs(void)
{
    struct t_core core;
    uint64_t callers[3];

    set_up(&core);
    for (guint i = 0; i < 3; i++) {
        callers[i] = open_large(&core, 1);
    }
    /* Both bodies ahead progress until the wait is over. */
    for (guint t = 0; t < 5000; t += CHECK_MS) {
        g_assert_cmpint(refused(&core, callers[2]), ==, CT_REFUSAL_COUNT);
        for (guint i = 0; i < 2; i++) {
            post_progress(&core, callers[i], (t / CHECK_MS + 2) * FIRST_BYTES,
                          false);
        }
        t_core_tick(&core, CHECK_MS);
    }
    g_assert_cmpint(refused(&core, callers[2]), ==, CT_REFUSAL_BODY_MEMORY);
    for (guint t = CHECK_MS; t < 10000; t += CHECK_MS) {
        g_assert_cmpint(refused(&core, callers[0]), ==, CT_REFUSAL_COUNT);
        t_core_tick(&core, CHECK_MS);
    }
    g_assert_cmpint(refused(&core, callers[0]), ==,
                    CT_REFUSAL_REQUEST_TIMEOUT);
    g_assert_cmpuint(used(&core), ==, 0);
    t_core_free(&core);
}

/* A slow head must be allowed at least as long as the configuration says. */
static void
test_head_timeout(void)
{
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    core.state->bodies.head_timeout_ms = 20000;
    caller = open_large(&core, 1);
    for (guint t = CHECK_MS; t < 20000; t += CHECK_MS) {
        t_core_tick(&core, CHECK_MS);
        g_assert_cmpint(refused(&core, caller), ==, CT_REFUSAL_COUNT);
    }
    t_core_tick(&core, CHECK_MS);
    g_assert_cmpint(refused(&core, caller), ==, CT_REFUSAL_REQUEST_TIMEOUT);
    t_core_free(&core);
}

/* One address must not hold all places for unfinished requests. */
static void
test_peer(void)
{
    struct t_core core;
    uint64_t caller;

    set_up(&core);
    core.state->self.bounds.peer_bodies = 2;
    for (guint i = 0; i < 3; i++) {
        caller = post_head(&core, 1, T_ANY_PATH, 100, false);
        g_assert_cmpint(refused(&core, caller), ==,
                        i < 2 ? CT_REFUSAL_COUNT : CT_REFUSAL_PEER_LIMIT);
    }
    t_core_free(&core);
}

/* A crowd must not fill the log: one line in ten seconds, with the number. */
static void
test_log(void)
{
    struct t_core core;
    guint lines = 0;

    set_up(&core);
    core.state->self.bounds.peer_bodies = 1;
    post_head(&core, 0, T_OPEN_PATH, 100, false);
    for (guint i = 0; i < 100; i++) {
        core.now_ms += i == 99 ? 10000 : 0;
        post_head(&core, 0, T_OPEN_PATH, 100, false);
        lines += t_core_count(&core, CT_EFFECT_LOG_EVENT);
    }
    g_assert_cmpuint(lines, ==, 2);
    g_assert_cmpint(t_core_effect(&core, CT_EFFECT_LOG_EVENT, 0)->u.log.number,
                    ==, 99);
    t_core_free(&core);
}

/* Bodies that are not complete go before the responses of running calls. */
static void
test_shed_before_responses(void)
{
    struct ct_event held = {.type = CT_EVENT_RELAY_ATTEMPT_HELD};
    struct t_core core;
    uint64_t body;

    set_up(&core);
    t_relay_call(&core, 1, T_ONCE_PATH);
    held.u.progress.attempt = t_relay_started(&core).attempt;
    t_relay_sent(&core, held.u.progress.attempt);
    body = open_large(&core, 1);
    held.u.progress.bytes = 9 * MB;
    t_core_post(&core, &held);
    g_assert_cmpint(refused(&core, body), ==, CT_REFUSAL_BODY_MEMORY);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_RELAY_CANCEL_ATTEMPT), ==,
                     0);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/body-admission/head-refused", test_head_refused);
    g_test_add_func("/body-admission/steps", test_steps);
    g_test_add_func("/body-admission/released", test_released);
    g_test_add_func("/body-admission/wait", test_wait);
    g_test_add_func("/body-admission/shed", test_shed);
    g_test_add_func("/body-admission/stuck", test_stuck);
    g_test_add_func("/body-admission/organisations", test_organisations);
    g_test_add_func("/body-admission/time-outs", test_time_outs);
    g_test_add_func("/body-admission/head-timeout", test_head_timeout);
    g_test_add_func("/body-admission/peer", test_peer);
    g_test_add_func("/body-admission/log", test_log);
    g_test_add_func("/body-admission/shed-before-responses",
                    test_shed_before_responses);
    return g_test_run();
}
