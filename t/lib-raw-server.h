#ifndef LIB_RAW_SERVER_H
#define LIB_RAW_SERVER_H

#include <glib.h>

/* A server that replies to each request with scripted bytes or a fault. */

struct raw_reply {
    /* "%ID%" is replaced by the request's id. NULL: no bytes. */
    const char *text;
    /*
     * After the bytes: read the next request, close the connection, or hang
     * until the client closes it.
     */
    enum { RAW_KEEP_ALIVE, RAW_CLOSE, RAW_HANG, RAW_REPEAT } next_action;
    /* RAW_REPEAT: sent again and again until the client closes. */
    const char *repeated;
    /* Pause before each repetition; 0: as fast as the client reads. */
    guint pause_ms;
    /*
     * RAW_KEEP_ALIVE: sent when the next request on the same connection was
     * read, before the reply to it; NULL: nothing.
     */
    const char *late;
};

struct raw_server;

/* Uses the replies in order over all connections, then repeats the last. */
struct raw_server *raw_server_new(const struct raw_reply *replies, guint n);
void raw_server_free(struct raw_server *server);

/* "127.0.0.1:port" */
const char *raw_server_address(const struct raw_server *server);
/* Number of complete requests received. */
guint raw_server_request_count(struct raw_server *server);
/* Head and body of the request received as number i; free it. */
char *raw_server_request(struct raw_server *server, guint i);

#endif
