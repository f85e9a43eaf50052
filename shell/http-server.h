#ifndef CT_HTTP_SERVER_H
#define CT_HTTP_SERVER_H

#include <ev.h>
#include <microhttpd.h>

#include "loop.h"

/*
 * A libmicrohttpd daemon without threads, driven by the loop. The loop is
 * held while the library's callbacks run.
 */

struct ct_http_server {
    struct MHD_Daemon *daemon;
    struct ct_loop *loop;
    ev_io io;
    ev_timer timer;
    ev_prepare prepare;
    int listener;
    uint16_t port;
};

/*
 * Listens on "IP:port"; port 0 takes any, and server->port tells which.
 * Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO.
 */
int ct_http_server_start(struct ct_http_server *server, struct ct_loop *loop,
                         const char *address,
                         MHD_AccessHandlerCallback handler, void *arg,
                         const struct MHD_OptionItem *options);

/* Lets the library look soon at connections that were resumed. */
void ct_http_server_wake(struct ct_http_server *server);

/* Lets no more connections come to be; those that stand or wait go on. */
void ct_http_server_stop_accepting(struct ct_http_server *server);

/* Whether a connection waits to be accepted. */
bool ct_http_server_has_waiting(const struct ct_http_server *server);

/* All suspended connections must have been resumed before. */
void ct_http_server_stop(struct ct_http_server *server);

#endif
