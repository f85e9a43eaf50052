#ifndef CT_DISCONNECT_WATCH_H
#define CT_DISCONNECT_WATCH_H

#include <ev.h>

/*
 * libmicrohttpd does not look at a suspended connection, so a caller who left
 * would go unnoticed. The socket is watched here instead. Once it holds data
 * that nobody reads, a pipelined request, the watcher would fire for ever;
 * from then on the state of the connection is looked at now and then.
 */

struct ct_disconnect_watch {
    ev_io io;
    ev_timer timer;
    struct ev_loop *ev;
    void (*gone)(void *arg);
    void *arg;
};

/* Calls gone once where the other side closes; stop it before it is freed. */
void ct_disconnect_watch_start(struct ct_disconnect_watch *watch,
                               struct ev_loop *ev, int fd,
                               void (*gone)(void *arg), void *arg);
void ct_disconnect_watch_stop(struct ct_disconnect_watch *watch);

#endif
