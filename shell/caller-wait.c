#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "caller.h"

/*
 * libmicrohttpd does not look at a suspended connection, so a caller who
 * left would go unnoticed. The socket is watched here instead. Once it holds
 * data that nobody reads, a pipelined request, the watcher would fire for
 * ever; from then on the state of the connection is looked at now and then.
 */
#define GONE_CHECK_MS 500

/* A caller that sends no more counts as gone, as with other servers. */
bool
ct_caller_is_gone(int fd)
{
    struct tcp_info info;
    socklen_t size = sizeof(info);
    char byte;
    ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    if (n == 0) {
        return true;
    }
    if (n < 0) {
        return errno != EAGAIN && errno != EINTR;
    }
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state != TCP_ESTABLISHED;
}

/* Tells the reducer and lets libmicrohttpd end the request. */
static void
leave(struct ct_caller *caller)
{
    struct ct_event event = {.type = CT_EVENT_CALL_GONE};

    caller->gone = true;
    if (caller->open) {
        caller->open = false;
        event.u.caller = ct_caller_number(caller);
        ct_loop_post(caller->callers->loop, &event);
    }
    ct_caller_resume(caller);
}

static void
on_readable(struct ev_loop *ev, ev_io *io, int events)
{
    struct ct_caller *caller = io->data;

    (void)events;
    if (ct_caller_is_gone(io->fd)) {
        leave(caller);
        return;
    }
    ev_io_stop(ev, io);
    ev_timer_again(ev, &caller->gone_timer);
}

static void
on_check(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_caller *caller = timer->data;

    (void)ev;
    (void)events;
    if (ct_caller_is_gone(caller->fd)) {
        leave(caller);
    }
}

void
ct_caller_suspend(struct ct_caller *caller)
{
    MHD_suspend_connection(caller->connection);
    caller->suspended = true;
    ev_io_init(&caller->gone_io, on_readable, caller->fd, EV_READ);
    ev_timer_init(&caller->gone_timer, on_check, 0, GONE_CHECK_MS / 1e3);
    caller->gone_io.data = caller->gone_timer.data = caller;
    ev_io_start(ct_loop_ev(caller->callers->loop), &caller->gone_io);
}

void
ct_caller_resume(struct ct_caller *caller)
{
    struct ev_loop *ev = ct_loop_ev(caller->callers->loop);

    if (!caller->suspended) {
        return;
    }
    caller->suspended = false;
    ev_io_stop(ev, &caller->gone_io);
    ev_timer_stop(ev, &caller->gone_timer);
    MHD_resume_connection(caller->connection);
    ct_http_server_wake(&caller->callers->server);
}
