#include "wait.h"

#include <ev.h>
#include <glib.h>

static void
free_loop(gpointer loop)
{
    ev_loop_destroy(loop);
}

static struct ev_loop *
get_thread_loop(void)
{
    static GPrivate loops = G_PRIVATE_INIT(free_loop);
    struct ev_loop *loop = g_private_get(&loops);

    if (loop == NULL) {
        loop = ev_loop_new(EVFLAG_AUTO);
        g_assert(loop != NULL);
        g_private_set(&loops, loop);
    }
    return loop;
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

void
ct_wait_ms(ct_ms ms)
{
    struct ev_loop *loop = get_thread_loop();
    ev_timer timer;

    ev_timer_init(&timer, on_timeout, (double)ms / 1000, 0);
    ev_now_update(loop);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
}
