#include "loop.h"

#include <ev.h>
#include <glib.h>
#include <string.h>
#include <time.h>

#include "error.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000

struct ct_loop {
    struct ev_loop *ev;
    ev_timer tick_timer;
    const struct ct_clock *clock;
    struct ct_reducer *reducer;
    struct ct_executor *executors;
    struct ct_effects effects;
    /* Copies of events and their rows, to be applied after the current one. */
    GQueue queue;
    unsigned hold_count;
};

static ct_ms
read_clock_ms(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (ct_ms)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static ct_ms
system_steady_ms(const struct ct_clock *clock)
{
    (void)clock;
    /* Advances while the machine is suspended, so that leases expire then. */
    return read_clock_ms(CLOCK_BOOTTIME);
}

static ct_ms
system_wall_ms(const struct ct_clock *clock)
{
    (void)clock;
    return read_clock_ms(CLOCK_REALTIME);
}

const struct ct_clock *
ct_system_clock(void)
{
    static const struct ct_clock_ops ops = {
        .steady_ms = system_steady_ms,
        .wall_ms = system_wall_ms,
    };
    static const struct ct_clock clock = {&ops};

    return &clock;
}

struct state_reducer {
    struct ct_reducer reducer;
    struct ct_state *state;
};

static int
state_reduce(struct ct_reducer *reducer, const struct ct_event *event,
             struct ct_effects *effects)
{
    return ct_reduce(((struct state_reducer *)reducer)->state, event, effects);
}

static void
state_reducer_free(struct ct_reducer *reducer)
{
    g_free(reducer);
}

struct ct_reducer *
ct_state_reducer_new(struct ct_state *state)
{
    static const struct ct_reducer_ops ops = {
        .reduce = state_reduce,
        .free = state_reducer_free,
    };
    struct state_reducer *r = g_try_new0(struct state_reducer, 1);

    if (r == NULL) {
        return NULL;
    }
    r->reducer.ops = &ops;
    r->state = state;
    return &r->reducer;
}

static void
on_tick_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_event event = {.type = CT_EVENT_TICK};

    (void)ev;
    (void)events;
    ct_loop_post(timer->data, &event);
}

struct ct_loop *
ct_loop_new(struct ct_reducer *reducer, const struct ct_clock *clock)
{
    struct ct_loop *loop = g_try_new0(struct ct_loop, 1);

    if (loop == NULL) {
        return NULL;
    }
    loop->ev = ev_loop_new(EVFLAG_AUTO);
    if (loop->ev == NULL) {
        g_free(loop);
        return NULL;
    }
    loop->clock = clock;
    loop->reducer = reducer;
    ct_effects_init(&loop->effects);
    g_queue_init(&loop->queue);
    ev_timer_init(&loop->tick_timer, on_tick_timer, 0, 0);
    loop->tick_timer.data = loop;
    return loop;
}

static void
free_queued_event(struct ct_event *event)
{
    g_free((void *)ct_event_rows(event)->data);
    g_free(event);
}

static void
free_last_executor(struct ct_executor **last)
{
    struct ct_executor *executor;

    while ((*last)->next != NULL) {
        last = &(*last)->next;
    }
    executor = *last;
    *last = NULL;
    executor->ops->free(executor);
}

void
ct_loop_free(struct ct_loop *loop)
{
    struct ct_event *event;

    if (loop == NULL) {
        return;
    }
    /* Events that executors post while being freed are discarded. */
    loop->hold_count++;
    while (loop->executors != NULL) {
        free_last_executor(&loop->executors);
    }
    while ((event = g_queue_pop_head(&loop->queue)) != NULL) {
        free_queued_event(event);
    }
    ev_timer_stop(loop->ev, &loop->tick_timer);
    ev_loop_destroy(loop->ev);
    ct_effects_free(&loop->effects);
    loop->reducer->ops->free(loop->reducer);
    g_free(loop);
}

void
ct_loop_add(struct ct_loop *loop, struct ct_executor *executor)
{
    struct ct_executor **last = &loop->executors;

    while (*last != NULL) {
        last = &(*last)->next;
    }
    executor->next = NULL;
    *last = executor;
}

static void
schedule_tick(struct ct_loop *loop, ct_ms due_ms)
{
    ct_ms delay_ms = due_ms - ct_clock_steady_ms(loop->clock);

    ev_timer_stop(loop->ev, &loop->tick_timer);
    /* libev's cached time may be stale; the delay counts from now. */
    ev_now_update(loop->ev);
    /* The clock cuts off up to 1 ms; round up, so as not to tick early. */
    ev_timer_set(&loop->tick_timer, delay_ms > 0 ? (delay_ms + 1) / 1e3 : 0,
                 0);
    ev_timer_start(loop->ev, &loop->tick_timer);
}

static void
run_effect(struct ct_loop *loop, const struct ct_effect *effect)
{
    struct ct_executor *executor = loop->executors;

    if (effect->type == CT_EFFECT_SCHEDULE_TICK) {
        schedule_tick(loop, effect->u.at_ms);
        return;
    }
    while (executor != NULL && (executor->ops->run == NULL ||
                                !executor->ops->run(executor, effect))) {
        executor = executor->next;
    }
    if (executor == NULL) {
        g_debug("no executor for effect %s", ct_effect_name(effect->type));
    }
}

static void
apply_event(struct ct_loop *loop, const struct ct_event *event)
{
    int err;

    ct_effects_clear(&loop->effects);
    err = loop->reducer->ops->reduce(loop->reducer, event, &loop->effects);
    if (err == CT_ERR_NO_MEMORY) {
        /*
         * The state is partly updated; abort, so that other hosts take over.
         */
        g_error("failed to apply event %s: %s", ct_event_name(event->type),
                ct_err_name(err));
    }
    if (err < 0) {
        g_warning("failed to apply event %s: %s", ct_event_name(event->type),
                  ct_err_name(err));
    }
    for (uint32_t i = 0; i < loop->effects.n; i++) {
        run_effect(loop, &loop->effects.items[i]);
    }
}

static void
enqueue_event(struct ct_loop *loop, const struct ct_event *event)
{
    struct ct_event *copy = g_memdup2(event, sizeof(*event));
    struct ct_rows *rows = ct_event_rows(copy);

    rows->data = g_memdup2(rows->data, (gsize)rows->n * rows->row_size);
    g_queue_push_tail(&loop->queue, copy);
}

static void
apply_queued_events(struct ct_loop *loop)
{
    struct ct_event *event;

    while (loop->hold_count == 0 &&
           (event = g_queue_pop_head(&loop->queue)) != NULL) {
        loop->hold_count++;
        apply_event(loop, event);
        loop->hold_count--;
        free_queued_event(event);
    }
}

void
ct_loop_post(struct ct_loop *loop, const struct ct_event *event)
{
    struct ct_event stamped = *event;

    stamped.now_ms = ct_clock_steady_ms(loop->clock);
    stamped.wall_ms = ct_clock_wall_ms(loop->clock);
    if (loop->hold_count > 0) {
        enqueue_event(loop, &stamped);
        return;
    }
    loop->hold_count++;
    apply_event(loop, &stamped);
    loop->hold_count--;
    apply_queued_events(loop);
}

void
ct_loop_hold(struct ct_loop *loop)
{
    loop->hold_count++;
}

void
ct_loop_release(struct ct_loop *loop)
{
    loop->hold_count--;
    apply_queued_events(loop);
}

struct ev_loop *
ct_loop_ev(const struct ct_loop *loop)
{
    return loop->ev;
}

const struct ct_clock *
ct_loop_clock(const struct ct_loop *loop)
{
    return loop->clock;
}

void
ct_loop_run(struct ct_loop *loop)
{
    ev_run(loop->ev, 0);
}

void
ct_loop_stop(struct ct_loop *loop)
{
    ev_break(loop->ev, EVBREAK_ALL);
}
