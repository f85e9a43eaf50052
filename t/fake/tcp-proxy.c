/* Forwards TCP to one address; connections can be reset or stalled. */
#include "fake-http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
#define BACKLOG 512
#define DELAY_S 0.25

enum mode {
    MODE_PASS,
    /* Existing connections stall for good; new connections pass. */
    MODE_SILENT,
    /* Existing connections are reset; new connections pass. */
    MODE_CUT,
    /* Existing connections are reset; new connections are refused. */
    MODE_REFUSE,
    /* Existing and new connections stall. */
    MODE_SILENT_ALL,
    /* Bytes from the caller pass; bytes from the target do not. */
    MODE_ONE_WAY,
    /* All bytes are delayed by DELAY_S. */
    MODE_DELAY,
};

static const char *const mode_names[] = {
    "pass", "silent", "cut", "refuse", "silent-all", "one-way", "delay"};

struct proxy;

/* One end of a link; what is read from fd is written to the fd of other. */
struct side {
    struct ev_io read;
    struct ev_io write;
    struct ev_timer delay;
    int fd;
    struct side *other;
    struct link *link;
    char buffer[BUFFER_BYTES];
    size_t filled;
    size_t written;
};

struct link {
    struct proxy *proxy;
    struct ct_handle handle;
    struct side caller;
    struct side target;
};

struct proxy {
    struct fake_server control;
    struct ev_io accept;
    int listener;
    struct sockaddr_in address;
    struct sockaddr_in target_address;
    enum mode mode;
    /* struct link */
    struct ct_table links;
};

static void
stop_side(struct proxy *proxy, struct side *side)
{
    ev_io_stop(proxy->control.loop, &side->read);
    ev_io_stop(proxy->control.loop, &side->write);
    ev_timer_stop(proxy->control.loop, &side->delay);
}

static void
close_link(struct link *link, bool reset)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    struct side *sides[] = {&link->caller, &link->target};

    for (size_t i = 0; i < G_N_ELEMENTS(sides); i++) {
        stop_side(link->proxy, sides[i]);
        if (reset) {
            setsockopt(sides[i]->fd, SOL_SOCKET, SO_LINGER, &linger,
                       sizeof(linger));
        }
        close(sides[i]->fd);
    }
    ct_table_unref(&link->proxy->links, link->handle);
}

static void
on_readable(struct ev_loop *loop, struct ev_io *io, int events)
{
    struct side *side = io->data;
    ssize_t n = read(side->fd, side->buffer, sizeof(side->buffer));

    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close_link(side->link, n < 0);
        return;
    }
    side->filled = (size_t)n;
    side->written = 0;
    ev_io_stop(loop, &side->read);
    if (side->link->proxy->mode == MODE_DELAY) {
        ev_timer_set(&side->delay, DELAY_S, 0);
        ev_timer_start(loop, &side->delay);
        return;
    }
    ev_io_start(loop, &side->other->write);
}

static void
on_delayed(struct ev_loop *loop, struct ev_timer *timer, int events)
{
    struct side *side = timer->data;

    (void)events;
    ev_io_start(loop, &side->other->write);
}

static void
on_writable(struct ev_loop *loop, struct ev_io *io, int events)
{
    struct side *side = io->data;
    struct side *from = side->other;
    ssize_t n = send(side->fd, from->buffer + from->written,
                     from->filled - from->written, MSG_NOSIGNAL);

    (void)events;
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        close_link(side->link, true);
        return;
    }
    from->written += (size_t)n;
    if (from->written == from->filled) {
        ev_io_stop(loop, &side->write);
        ev_io_start(loop, &from->read);
    }
}

static void
init_side(struct side *side, struct link *link, int fd, struct side *other)
{
    side->fd = fd;
    side->link = link;
    side->other = other;
    ev_io_init(&side->read, on_readable, fd, EV_READ);
    ev_io_init(&side->write, on_writable, fd, EV_WRITE);
    ev_timer_init(&side->delay, on_delayed, 0, 0);
    side->read.data = side;
    side->write.data = side;
    side->delay.data = side;
}

static void
add_link(struct proxy *proxy, int caller, int target)
{
    struct ct_handle handle;
    struct link *link;

    ct_table_add(&proxy->links, &handle);
    link = ct_table_get(&proxy->links, handle);
    link->proxy = proxy;
    link->handle = handle;
    init_side(&link->caller, link, caller, &link->target);
    init_side(&link->target, link, target, &link->caller);
    if (proxy->mode != MODE_SILENT_ALL) {
        ev_io_start(proxy->control.loop, &link->caller.read);
    }
    if (proxy->mode != MODE_SILENT_ALL && proxy->mode != MODE_ONE_WAY) {
        ev_io_start(proxy->control.loop, &link->target.read);
    }
}

static void
on_accept(struct ev_loop *loop, struct ev_io *io, int events)
{
    struct proxy *proxy = io->data;
    int caller = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    int target;

    (void)loop;
    (void)events;
    if (caller < 0) {
        return;
    }
    target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (target < 0 ||
        (connect(target, (struct sockaddr *)&proxy->target_address,
                 sizeof(proxy->target_address)) < 0 &&
         errno != EINPROGRESS)) {
        close(caller);
        if (target >= 0) {
            close(target);
        }
        return;
    }
    add_link(proxy, caller, target);
}

/* Binds the port; the first call may bind an ephemeral one. */
static int
start_listening(struct proxy *proxy)
{
    socklen_t n = sizeof(proxy->address);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&proxy->address, sizeof(proxy->address)) <
            0 ||
        listen(fd, BACKLOG) < 0 ||
        getsockname(fd, (struct sockaddr *)&proxy->address, &n) < 0) {
        close(fd);
        return -1;
    }
    proxy->listener = fd;
    ev_io_init(&proxy->accept, on_accept, fd, EV_READ);
    proxy->accept.data = proxy;
    ev_io_start(proxy->control.loop, &proxy->accept);
    return 0;
}

static void
stop_listening(struct proxy *proxy)
{
    ev_io_stop(proxy->control.loop, &proxy->accept);
    close(proxy->listener);
    proxy->listener = -1;
}

static void
apply_mode(struct proxy *proxy, enum mode mode)
{
    struct ct_handle handle;
    struct link *link;
    uint32_t cursor = 0;

    proxy->mode = mode;
    while ((link = ct_table_next(&proxy->links, &cursor, &handle))) {
        if (mode == MODE_CUT || mode == MODE_REFUSE) {
            close_link(link, true);
        }
        else if (mode == MODE_ONE_WAY) {
            stop_side(proxy, &link->target);
            ev_io_stop(proxy->control.loop, &link->caller.write);
        }
        else if (mode == MODE_SILENT || mode == MODE_SILENT_ALL) {
            stop_side(proxy, &link->caller);
            stop_side(proxy, &link->target);
        }
    }
    if (mode == MODE_REFUSE && proxy->listener >= 0) {
        stop_listening(proxy);
    }
    if (mode != MODE_REFUSE && proxy->listener < 0) {
        start_listening(proxy);
    }
}

static void
handle_request(struct fake_server *server, struct fake_request *request)
{
    const char *name = fake_json_text(request->json, "mode");

    for (size_t i = 0; i < G_N_ELEMENTS(mode_names); i++) {
        if (strcmp(mode_names[i], name) == 0) {
            apply_mode((struct proxy *)server, (enum mode)i);
            fake_reply(request, MHD_HTTP_OK, NULL, 0);
            return;
        }
    }
    fake_reply_error(request, MHD_HTTP_BAD_REQUEST, "mode");
}

static int
parse_address(const char *text, struct sockaddr_in *address)
{
    char **parts = g_strsplit(text ? text : "", ":", 2);
    int ok = 0;

    address->sin_family = AF_INET;
    if (g_strv_length(parts) == 2) {
        int64_t port = g_ascii_strtoll(parts[1], NULL, 10);

        address->sin_port = htons((uint16_t)port);
        ok = inet_pton(AF_INET, parts[0], &address->sin_addr);
    }
    g_strfreev(parts);
    return ok == 1 ? 0 : -1;
}

int
main(int argc, char **argv)
{
    static const struct fake_ops ops = {.handle = handle_request};
    static struct proxy proxy;
    int port = 0;
    char *target_address = NULL;
    struct poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "port; 0 for any", "PORT"},
        {"to", 't', POPT_ARG_STRING, &target_address, 0,
         "address to forward to", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext(argv[0], argc, (const char **)argv, options, 0);
    int rc = poptGetNextOpt(context);

    poptFreeContext(context);
    if (rc < -1 || parse_address(target_address, &proxy.target_address) < 0) {
        fprintf(stderr, "%s: --to IP:PORT is required\n", argv[0]);
        return 2;
    }
    proxy.control.ops = &ops;
    proxy.address.sin_family = AF_INET;
    proxy.address.sin_port = htons((uint16_t)port);
    proxy.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ct_table_init(&proxy.links, sizeof(struct link), 0, NULL);
    if (fake_start_server(&proxy.control, EV_DEFAULT, 0) < 0 ||
        start_listening(&proxy) < 0) {
        fprintf(stderr, "%s: cannot listen\n", argv[0]);
        return 1;
    }
    printf("listening %u %u\n", ntohs(proxy.address.sin_port),
           proxy.control.port);
    fflush(stdout);
    ev_run(EV_DEFAULT, 0);
    return 0;
}
