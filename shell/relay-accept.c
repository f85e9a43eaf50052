#include <errno.h>
#include <netinet/in.h>
#include <unistd.h>

#include "error.h"
#include "head-estimate.h"
#include "relay-call.h"

#define MS_PER_S 1000
/* Connections accepted before other work of the loop gets its turn. */
#define ACCEPT_BATCH 64
/* Time until the next attempt when there are no descriptors. */
#define ACCEPT_RETRY_MS 100
/* How long a connection may wait for the end of its first head. */
#define HEAD_WAIT_MS 500
/* Time between two looks at a head of which a part has arrived. */
#define LOOK_INTERVAL_MS 20
/*
 * How long a connection with a large head waits for room. Then its head is
 * refused as too large.
 */
#define LARGE_WAIT_MS 10000
/* Part of the memory for calls that the pools of large heads may take. */
#define LARGE_MEMORY_DIVISOR 16
#define LARGE_CONNECTIONS_MIN 2
#define LARGE_CONNECTIONS_MAX 16
/* Memory besides the request head: the response head and one write buffer. */
#define CONNECTION_EXTRA_BYTES (8 * 1024)
/*
 * Added to the callers' idle limit, so that this host does not close a
 * connection on which a caller is just sending a call.
 */
#define IDLE_MARGIN_MS 15000

/* An accepted connection that no server has yet. */
struct pending {
    struct ct_relay_io *io;
    int fd;
    struct sockaddr_in address;
    uint64_t peer;
    ev_io readable;
    /* When the connection was accepted, in the loop's time. */
    ev_tstamp accepted_at;
    ev_timer timer;
    /* Link in io->accept.pending or io->accept.waiting. */
    GList link;
    bool large;
};

static void
stop_watching(struct pending *pending)
{
    struct ev_loop *ev = ct_loop_ev(pending->io->loop);

    ev_io_stop(ev, &pending->readable);
    ev_timer_stop(ev, &pending->timer);
}

/* Frees what was kept for the connection, but leaves it open. */
static void
remove_pending(struct pending *pending)
{
    struct relay_accept *accept = &pending->io->accept;

    stop_watching(pending);
    g_queue_unlink(pending->large ? &accept->waiting : &accept->pending,
                   &pending->link);
    relay_connections_remove(pending->io, pending->peer);
    g_free(pending);
}

static void
hand_over(struct pending *pending, struct ct_http_server *server)
{
    const struct sockaddr_in address = pending->address;
    int fd = pending->fd;

    remove_pending(pending);
    ct_http_server_add(server, fd, (const struct sockaddr *)&address,
                       sizeof(address));
}

static void
close_pending(struct pending *pending)
{
    close(pending->fd);
    remove_pending(pending);
}

static void
on_large_timeout(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct pending *pending = timer->data;

    (void)ev;
    (void)events;
    hand_over(pending, &pending->io->accept.server);
}

/*
 * Gives the connection to the server for large heads as soon as it has room. A
 * host that drains does not wait: the other server refuses the head.
 */
static void
serve_large(struct pending *pending)
{
    struct relay_accept *accept = &pending->io->accept;

    if (accept->large_connections < accept->large_max) {
        hand_over(pending, &accept->large);
        return;
    }
    if (pending->io->draining) {
        hand_over(pending, &accept->server);
        return;
    }
    stop_watching(pending);
    g_queue_unlink(&accept->pending, &pending->link);
    g_queue_push_tail_link(&accept->waiting, &pending->link);
    pending->large = true;
    ev_timer_init(&pending->timer, on_large_timeout,
                  (ev_tstamp)LARGE_WAIT_MS / MS_PER_S, 0);
    pending->timer.data = pending;
    ev_timer_start(ct_loop_ev(pending->io->loop), &pending->timer);
}

static bool
may_wait(const struct pending *pending)
{
    ev_tstamp now = ev_now(ct_loop_ev(pending->io->loop));

    return !pending->io->draining &&
           now - pending->accepted_at < (ev_tstamp)HEAD_WAIT_MS / MS_PER_S;
}

/* Selects the server by what the kernel has received of the head. */
static void
look_at_head(struct pending *pending)
{
    struct ct_relay_io *io = pending->io;
    char bytes[CT_HEAD_BYTES_MAX];
    struct ct_head_estimate head = {0};
    ssize_t n =
        recv(pending->fd, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);

    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
        close_pending(pending);
        return;
    }
    if (n > 0) {
        head = ct_head_estimate(bytes, (size_t)n);
    }
    if (head.pool_bytes > io->accept.head_max_bytes) {
        serve_large(pending);
    }
    else if (head.complete || n == sizeof(bytes) || !may_wait(pending)) {
        hand_over(pending, &io->accept.server);
    }
    else if (n > 0) {
        /* The kernel would report the same bytes again and again. */
        ev_io_stop(ct_loop_ev(io->loop), &pending->readable);
        pending->timer.repeat = (ev_tstamp)LOOK_INTERVAL_MS / MS_PER_S;
        ev_timer_again(ct_loop_ev(io->loop), &pending->timer);
    }
}

static void
on_readable(struct ev_loop *ev, ev_io *io, int events)
{
    (void)ev;
    (void)events;
    look_at_head(io->data);
}

static void
on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    look_at_head(timer->data);
}

static void
add_pending(struct ct_relay_io *io, int fd, const struct sockaddr_in *address)
{
    struct ev_loop *ev = ct_loop_ev(io->loop);
    struct pending *pending = g_new0(struct pending, 1);

    pending->io = io;
    pending->fd = fd;
    pending->address = *address;
    pending->peer = ct_socket_peer_address((const struct sockaddr *)address);
    pending->accepted_at = ev_now(ev);
    pending->link.data = pending;
    g_queue_push_tail_link(&io->accept.pending, &pending->link);
    relay_connections_add(io, pending->peer);
    ev_io_init(&pending->readable, on_readable, fd, EV_READ);
    ev_timer_init(&pending->timer, on_timer,
                  (ev_tstamp)HEAD_WAIT_MS / MS_PER_S, 0);
    pending->readable.data = pending->timer.data = pending;
    ev_io_start(ev, &pending->readable);
    ev_timer_start(ev, &pending->timer);
    look_at_head(pending);
}

/*
 * Without descriptors or memory the listener stays readable; it is looked at
 * again a little later, or when a connection has ended.
 */
static void
pause_without_resources(struct ct_relay_io *io, int error)
{
    if (error != EMFILE && error != ENFILE && error != ENOBUFS &&
        error != ENOMEM) {
        return;
    }
    relay_accept_pause(io);
    ev_timer_set(&io->accept.ended, (ev_tstamp)ACCEPT_RETRY_MS / MS_PER_S, 0);
    ev_timer_start(ct_loop_ev(io->loop), &io->accept.ended);
}

static void
on_accept(struct ev_loop *ev, ev_io *listener, int events)
{
    struct ct_relay_io *io = listener->data;

    (void)ev;
    (void)events;
    for (int i = 0; i < ACCEPT_BATCH && ev_is_active(listener); i++) {
        struct sockaddr_in address = {0};
        socklen_t size = sizeof(address);
        int fd = accept4(listener->fd, (struct sockaddr *)&address, &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd < 0) {
            pause_without_resources(io, errno);
            return;
        }
        if (!relay_connections_admit(io, (struct sockaddr *)&address)) {
            close(fd);
            continue;
        }
        add_pending(io, fd, &address);
    }
}

/* Runs after connections have ended and the library has freed them. */
static void
on_ended(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_relay_io *io = timer->data;
    struct relay_accept *accept = &io->accept;
    struct pending *pending;

    (void)events;
    ev_timer_set(timer, 0, 0);
    while (accept->large_connections < accept->large_max &&
           (pending = g_queue_peek_head(&accept->waiting)) != NULL) {
        hand_over(pending, &accept->large);
    }
    if (io->connections < io->limits.max_connections) {
        ev_io_start(ev, &accept->listener);
    }
}

/* Starts a server with pools for heads that need so many bytes. */
static int
start_server(struct ct_relay_io *io, struct ct_http_server *server,
             size_t head_pool_bytes, uint32_t max_connections)
{
    const struct ct_caller_limits *limits = &io->limits;
    const intptr_t timeout_s =
        (intptr_t)((limits->idle_timeout_ms + IDLE_MARGIN_MS) / MS_PER_S);
    const struct MHD_OptionItem options[] = {
        {MHD_OPTION_CONNECTION_LIMIT, max_connections, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, timeout_s, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         (intptr_t)(head_pool_bytes + CONNECTION_EXTRA_BYTES), NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)relay_port_uri, io},
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)relay_connections_notify, io},
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)relay_port_completed, io},
        {MHD_OPTION_STRICT_FOR_CLIENT, 1, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    return ct_http_server_start_unbound(server, io->loop, relay_port_handle,
                                        io, options);
}

static int
start_servers(struct ct_relay_io *io)
{
    struct relay_accept *accept = &io->accept;
    size_t large_bytes;
    int err;

    accept->head_max_bytes = io->limits.head_bytes;
    large_bytes = ct_head_pool_max(accept->head_max_bytes);
    accept->large_max =
        (uint32_t)CLAMP(io->memory_bytes / LARGE_MEMORY_DIVISOR / large_bytes,
                        LARGE_CONNECTIONS_MIN, LARGE_CONNECTIONS_MAX);
    err = start_server(io, &accept->server, accept->head_max_bytes,
                       io->limits.max_connections);
    if (err < 0) {
        return err;
    }
    err = start_server(io, &accept->large, large_bytes, accept->large_max);
    if (err < 0) {
        ct_http_server_stop(&accept->server);
    }
    return err;
}

int
relay_accept_start(struct ct_relay_io *io, const char *address)
{
    struct relay_accept *accept = &io->accept;
    int fd = ct_socket_listen(address, &accept->port);
    int err;

    if (fd < 0) {
        return fd;
    }
    err = start_servers(io);
    if (err < 0) {
        close(fd);
        return err;
    }
    ct_http_server_limit_buffers(fd);
    ev_io_init(&accept->listener, on_accept, fd, EV_READ);
    ev_timer_init(&accept->ended, on_ended, 0, 0);
    accept->listener.data = accept->ended.data = io;
    ev_io_start(ct_loop_ev(io->loop), &accept->listener);
    return CT_OK;
}

void
relay_accept_pause(struct ct_relay_io *io)
{
    ev_io_stop(ct_loop_ev(io->loop), &io->accept.listener);
}

void
relay_accept_connection_ended(struct ct_relay_io *io)
{
    ev_timer_stop(ct_loop_ev(io->loop), &io->accept.ended);
    ev_timer_set(&io->accept.ended, 0, 0);
    ev_timer_start(ct_loop_ev(io->loop), &io->accept.ended);
}

void
relay_accept_drain(struct ct_relay_io *io)
{
    GList *link = io->accept.pending.head;
    struct pending *pending;

    while (link != NULL) {
        GList *next = link->next;

        look_at_head(link->data);
        link = next;
    }
    while ((pending = g_queue_peek_head(&io->accept.waiting)) != NULL) {
        hand_over(pending, &io->accept.server);
    }
}

void
relay_accept_finish(struct ct_relay_io *io)
{
    if (ct_socket_stop_accepting(io->accept.listener.fd) < 0) {
        g_warning("cannot stop accepting connections: %s", g_strerror(errno));
    }
}

void
relay_accept_stop(struct ct_relay_io *io)
{
    struct relay_accept *accept = &io->accept;
    struct pending *pending;

    while ((pending = g_queue_peek_head(&accept->pending)) != NULL) {
        close_pending(pending);
    }
    while ((pending = g_queue_peek_head(&accept->waiting)) != NULL) {
        close_pending(pending);
    }
    relay_accept_pause(io);
    ev_timer_stop(ct_loop_ev(io->loop), &accept->ended);
    close(accept->listener.fd);
    ct_http_server_stop(&accept->server);
    ct_http_server_stop(&accept->large);
    /* Connections that ended just now have started the timer again. */
    ev_timer_stop(ct_loop_ev(io->loop), &accept->ended);
}
