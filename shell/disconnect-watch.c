#include "disconnect-watch.h"

#include <stdbool.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define CLOSE_CHECK_MS 500

/* A half-closed connection counts as closed, as in other servers. */
static bool
is_closed(int fd)
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

static void
on_readable(struct ev_loop *ev, ev_io *io, int events)
{
    struct ct_disconnect_watch *watch = io->data;

    (void)events;
    if (is_closed(io->fd)) {
        watch->closed(watch->arg);
        return;
    }
    ev_io_stop(ev, io);
    ev_timer_again(ev, &watch->timer);
}

static void
on_check(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_disconnect_watch *watch = timer->data;

    (void)ev;
    (void)events;
    if (is_closed(watch->io.fd)) {
        watch->closed(watch->arg);
    }
}

void
ct_disconnect_watch_start(struct ct_disconnect_watch *watch,
                          struct ev_loop *ev, int fd,
                          void (*closed)(void *arg), void *arg)
{
    watch->ev = ev;
    watch->closed = closed;
    watch->arg = arg;
    ev_io_init(&watch->io, on_readable, fd, EV_READ);
    ev_timer_init(&watch->timer, on_check, 0, CLOSE_CHECK_MS / 1e3);
    watch->io.data = watch->timer.data = watch;
    ev_io_start(ev, &watch->io);
}

void
ct_disconnect_watch_stop(struct ct_disconnect_watch *watch)
{
    ev_io_stop(watch->ev, &watch->io);
    ev_timer_stop(watch->ev, &watch->timer);
}
