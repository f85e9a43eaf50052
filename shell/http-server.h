#ifndef CT_HTTP_SERVER_H
#define CT_HTTP_SERVER_H

#include <ev.h>
#include <microhttpd.h>

#include "loop.h"

/*
 * A libmicrohttpd daemon without threads, driven by the loop. The loop is held
 * while callbacks of the library run. It accepts connections on a port of its
 * own, or is given accepted ones.
 */

struct ct_http_server {
    struct MHD_Daemon *daemon;
    struct ct_loop *loop;
    ev_io io;
    ev_timer timer;
    ev_prepare prepare;
    /* -1 and 0 if connections are given. */
    int listener;
    uint16_t port;
};

/*
 * Listens on "IP:port"; port 0 selects a free port. server->port is the port
 * in use. Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO.
 */
int ct_http_server_start(struct ct_http_server *server, struct ct_loop *loop,
                         const char *address,
                         MHD_AccessHandlerCallback handler, void *arg,
                         const struct MHD_OptionItem *options);

/*
 * Starts a server without a port; ct_http_server_add() gives it connections.
 * Errors: CT_ERR_IO.
 */
int ct_http_server_start_unbound(struct ct_http_server *server,
                                 struct ct_loop *loop,
                                 MHD_AccessHandlerCallback handler, void *arg,
                                 const struct MHD_OptionItem *options);

/* Gives the server a non-blocking connection; closes it on errors. */
void ct_http_server_add(struct ct_http_server *server, int fd,
                        const struct sockaddr *address, socklen_t size);

/*
 * Bounds what the kernel buffers of connections that the listener accepts.
 * Logs a warning on errors.
 */
void ct_http_server_limit_buffers(int listener);

/* Schedules a run of the library, which then processes resumed connections. */
void ct_http_server_wake(struct ct_http_server *server);

/* Stops accepting new connections; open and pending ones are still served. */
void ct_http_server_stop_accepting(struct ct_http_server *server);

/* Whether a connection is pending in the accept queue. */
bool ct_http_server_has_pending(const struct ct_http_server *server);

/* All suspended connections must have been resumed before this call. */
void ct_http_server_stop(struct ct_http_server *server);

#endif
