#ifndef CT_HTTP_SERVER_H
#define CT_HTTP_SERVER_H

#include <ev.h>
#include <microhttpd.h>

#include "loop.h"

/*
 * A libmicrohttpd daemon without threads, driven by the loop. The loop is held
 * while callbacks of the library run.
 */

struct ct_http_server {
    struct MHD_Daemon *daemon;
    struct ct_loop *loop;
    /*
     * Decides about each new connection, with the argument of the handler;
     * NULL accepts all. Set before the start.
     */
    MHD_AcceptPolicyCallback accept;
    ev_io io;
    ev_timer timer;
    ev_prepare prepare;
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

/* Schedules a run of the library, which then processes resumed connections. */
void ct_http_server_wake(struct ct_http_server *server);

/* Stops accepting new connections; open and pending ones are still served. */
void ct_http_server_stop_accepting(struct ct_http_server *server);

/* Whether a connection is pending in the accept queue. */
bool ct_http_server_has_pending(const struct ct_http_server *server);

/* All suspended connections must have been resumed before this call. */
void ct_http_server_stop(struct ct_http_server *server);

#endif
