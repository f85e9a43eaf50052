#include "http-server.h"

#include <errno.h>
#include <glib.h>
#include <unistd.h>

#include "error.h"
#include "socket.h"

/*
 * Bytes that a connection may send without being read. A link of 10 Mbit/s
 * needs this much at a round trip of 100 ms.
 */
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/*
 * Bytes of a response that the kernel keeps for a caller that does not read
 * them; by default it keeps up to 4 MB, which the memory budget cannot see.
 */
#define SEND_BUFFER_BYTES (256 * 1024)

/* Runs the library; effects are deferred until its callbacks have returned. */
static void
run_daemon(struct ct_http_server *server)
{
    ct_loop_hold(server->loop);
    MHD_run(server->daemon);
    ct_loop_release(server->loop);
}

static void
on_io(struct ev_loop *ev, ev_io *io, int events)
{
    (void)ev;
    (void)events;
    run_daemon(io->data);
}

static void
on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    run_daemon(timer->data);
}

/* Before the loop sleeps, sets the timer to when the library needs to run. */
static void
on_prepare(struct ev_loop *ev, ev_prepare *prepare, int events)
{
    struct ct_http_server *server = prepare->data;
    MHD_UNSIGNED_LONG_LONG timeout_ms;

    (void)events;
    ev_timer_stop(ev, &server->timer);
    if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES) {
        ev_timer_set(&server->timer, (ev_tstamp)timeout_ms / 1e3, 0);
        ev_timer_start(ev, &server->timer);
    }
}

void
ct_http_server_limit_buffers(int listener)
{
    if (ct_socket_limit_buffers(listener, RECEIVE_BUFFER_BYTES,
                                SEND_BUFFER_BYTES) < 0) {
        g_warning("cannot bound socket buffers: %s", g_strerror(errno));
    }
}

/* Connects a started daemon with the loop. */
static int
run_in_loop(struct ct_http_server *server, struct ct_loop *loop)
{
    struct ev_loop *ev = ct_loop_ev(loop);

    if (server->daemon == NULL) {
        return CT_ERR_IO;
    }
    server->loop = loop;
    ev_io_init(&server->io, on_io,
               MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
                   ->epoll_fd,
               EV_READ);
    ev_timer_init(&server->timer, on_timer, 0, 0);
    ev_prepare_init(&server->prepare, on_prepare);
    server->io.data = server->timer.data = server->prepare.data = server;
    ev_io_start(ev, &server->io);
    ev_prepare_start(ev, &server->prepare);
    return CT_OK;
}

int
ct_http_server_start(struct ct_http_server *server, struct ct_loop *loop,
                     const char *address, MHD_AccessHandlerCallback handler,
                     void *arg, const struct MHD_OptionItem *options)
{
    int fd = ct_socket_listen(address, &server->port);
    int err;

    if (fd < 0) {
        return fd;
    }
    ct_http_server_limit_buffers(fd);
    server->listener = fd;
    server->daemon =
        MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
                         NULL, handler, arg, MHD_OPTION_LISTEN_SOCKET, fd,
                         MHD_OPTION_ARRAY, options, MHD_OPTION_END);
    err = run_in_loop(server, loop);
    if (err < 0) {
        close(fd);
    }
    return err;
}

int
ct_http_server_start_unbound(struct ct_http_server *server,
                             struct ct_loop *loop,
                             MHD_AccessHandlerCallback handler, void *arg,
                             const struct MHD_OptionItem *options)
{
    server->listener = -1;
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0,
        NULL, NULL, handler, arg, MHD_OPTION_ARRAY, options, MHD_OPTION_END);
    return run_in_loop(server, loop);
}

void
ct_http_server_add(struct ct_http_server *server, int fd,
                   const struct sockaddr *address, socklen_t size)
{
    ct_loop_hold(server->loop);
    if (MHD_add_connection(server->daemon, fd, address, size) != MHD_YES) {
        g_warning("cannot serve a connection: %s", g_strerror(errno));
    }
    ct_loop_release(server->loop);
}

void
ct_http_server_wake(struct ct_http_server *server)
{
    /* Without threads the library is not notified of resumed connections. */
    ev_feed_event(ct_loop_ev(server->loop), &server->io, EV_READ);
}

void
ct_http_server_stop_accepting(struct ct_http_server *server)
{
    if (ct_socket_stop_accepting(server->listener) < 0) {
        g_warning("cannot stop accepting connections: %s", g_strerror(errno));
    }
}

bool
ct_http_server_has_pending(const struct ct_http_server *server)
{
    return ct_socket_has_pending(server->listener);
}

void
ct_http_server_stop(struct ct_http_server *server)
{
    struct ev_loop *ev = ct_loop_ev(server->loop);

    if (server->daemon == NULL) {
        return;
    }
    ev_io_stop(ev, &server->io);
    ev_timer_stop(ev, &server->timer);
    ev_prepare_stop(ev, &server->prepare);
    MHD_stop_daemon(server->daemon);
    server->daemon = NULL;
}
