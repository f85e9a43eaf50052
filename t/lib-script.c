#include "lib-script.h"

#include <ev.h>

/* A wait of this length fails the test. */
#define WAIT_TIMEOUT_S 60.0
#define CHECK_INTERVAL_S 0.005

static int
record_event(struct ct_reducer *reducer, const struct ct_event *event,
             struct ct_effects *effects)
{
    struct script *script = (struct script *)reducer;

    g_array_append_val(script->events, *event);
    if (script->react != NULL) {
        script->react(script, event, effects);
    }
    if (script->wanted == event->type &&
        script_count(script, event->type) >= script->wanted_n) {
        ct_loop_stop(script->loop);
    }
    return 0;
}

static void
free_nothing(struct ct_reducer *reducer)
{
    (void)reducer;
}

struct script *
script_new(void)
{
    static const struct ct_reducer_ops ops = {.reduce = record_event,
                                              .free = free_nothing};
    struct script *script = g_new0(struct script, 1);

    script->reducer.ops = &ops;
    script->events = g_array_new(FALSE, FALSE, sizeof(struct ct_event));
    script->loop = ct_loop_new(&script->reducer, ct_system_clock());
    return script;
}

void
script_free(struct script *script)
{
    g_array_unref(script->events);
    g_free(script);
}

guint
script_count(const struct script *script, enum ct_event_type type)
{
    guint n = 0;

    for (guint i = 0; i < script->events->len; i++) {
        n += g_array_index(script->events, struct ct_event, i).type == type;
    }
    return n;
}

const struct ct_event *
script_last(const struct script *script, enum ct_event_type type)
{
    for (guint i = script->events->len; i > 0; i--) {
        const struct ct_event *event =
            &g_array_index(script->events, struct ct_event, i - 1);

        if (event->type == type) {
            return event;
        }
    }
    g_error("no event %s", ct_event_name(type));
}

static void
on_timeout(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct script *script = timer->data;

    (void)ev;
    (void)events;
    g_error("wait timed out: %u events seen, wanted %u of %s",
            script->events->len, script->wanted_n,
            ct_event_name(script->wanted));
}

static void
run_with_timeout(struct script *script)
{
    struct ev_loop *ev = ct_loop_ev(script->loop);
    ev_timer timeout;

    ev_now_update(ev);
    ev_timer_init(&timeout, on_timeout, WAIT_TIMEOUT_S, 0);
    timeout.data = script;
    ev_timer_start(ev, &timeout);
    ct_loop_run(script->loop);
    ev_timer_stop(ev, &timeout);
}

void
script_wait_events(struct script *script, enum ct_event_type type, guint n)
{
    if (script_count(script, type) >= n) {
        return;
    }
    script->wanted = type;
    script->wanted_n = n;
    run_with_timeout(script);
    script->wanted = 0;
}

struct condition {
    ev_timer timer;
    struct ct_loop *loop;
    bool (*check)(void *arg);
    void *arg;
};

static void
on_check(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct condition *condition = (struct condition *)timer;

    (void)ev;
    (void)events;
    if (condition->check(condition->arg)) {
        ct_loop_stop(condition->loop);
    }
}

void
script_wait_until(struct script *script, bool (*check)(void *arg), void *arg)
{
    struct ev_loop *ev = ct_loop_ev(script->loop);
    struct condition condition = {
        .loop = script->loop, .check = check, .arg = arg};

    ev_timer_init(&condition.timer, on_check, 0, CHECK_INTERVAL_S);
    ev_timer_start(ev, &condition.timer);
    run_with_timeout(script);
    ev_timer_stop(ev, &condition.timer);
}
