#ifndef LIB_RAW_SERVER_H
#define LIB_RAW_SERVER_H

#include <glib.h>

/* A server that answers each request with scripted bytes, faults included. */

struct raw_reply {
    /* "%ID%" stands for the request's X-Request-Id. NULL: no bytes. */
    const char *text;
    /* After the bytes: close the connection, or keep it and wait. */
    enum { RAW_KEEP, RAW_CLOSE, RAW_HANG } then;
};

struct raw_server;

/* Replies are used in order over all connections, the last one for ever. */
struct raw_server *raw_server_new(const struct raw_reply *replies, guint n);
void raw_server_free(struct raw_server *server);

/* "127.0.0.1:port" */
const char *raw_server_address(const struct raw_server *server);
/* Whole requests seen. */
guint raw_server_seen(struct raw_server *server);
/* Head and body of the request seen as number i; free it. */
char *raw_server_request(struct raw_server *server, guint i);

#endif
