#ifndef CT_DISCONNECT_WATCH_H
#define CT_DISCONNECT_WATCH_H

#include <ev.h>

/*
 * Detects that a caller closed its connection while libmicrohttpd has it
 * suspended and does not poll it. Watches the socket for reading. Once the
 * socket holds unread data, such as a pipelined request, that watcher would
 * fire continuously; it is then replaced by a periodic check of the
 * connection's state.
 */

struct ct_disconnect_watch {
    ev_io io;
    ev_timer timer;
    struct ev_loop *ev;
    void (*closed)(void *arg);
    void *arg;
};

/* Calls closed when the peer closes; stop the watch before it is freed. */
void ct_disconnect_watch_start(struct ct_disconnect_watch *watch,
                               struct ev_loop *ev, int fd,
                               void (*closed)(void *arg), void *arg);
void ct_disconnect_watch_stop(struct ct_disconnect_watch *watch);

#endif
