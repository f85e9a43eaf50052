#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <ev.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <popt.h>

#include "clock.h"
#include "table.h"

/*
 * HTTP server of the stand-ins: one libev loop with libmicrohttpd in it. A
 * stand-in embeds struct fake_server as its first member and gives one
 * function that takes whole requests; the reply is stored in the request and
 * sent by this module, at once or later.
 *
 * Every stand-in answers on its own port
 *   POST /fake/set           {"setting":value,...}, from its table
 *   GET  /fake/seen?from=N   {"seen":[...]}, what it saw, from entry N on
 */

#define FAKE_ID_MAX 64
#define FAKE_HEADERS_MAX 4

struct fake_server;
struct fake_request;

struct fake_ops {
    /* A whole request came in. Reply now, or later by its handle. */
    void (*handle)(struct fake_server *server, struct fake_request *request);
    /* A handled request ended: answered, broken off, or its caller left. */
    void (*gone)(struct fake_server *server, struct fake_request *request);
    /* Settings were changed through /fake/set. */
    void (*changed)(struct fake_server *server);
};

/* A number or boolean that /fake/set may change. */
struct fake_setting {
    const char *name;
    int64_t *value;
};

struct fake_server {
    const struct fake_ops *ops;
    /* Ends with a NULL name. */
    const struct fake_setting *settings;
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;
    uint16_t port;
    struct ev_io io;
    struct ev_timer timer;
    struct ev_timer peek;
    struct ev_prepare prepare;
    /* libmicrohttpd takes resumed connections up only when it runs. */
    bool resumed;
    /* struct fake_request */
    struct ct_table requests;
    JsonArray *seen;
    FILE *log;
};

struct fake_header {
    const char *name;
    char value[FAKE_ID_MAX];
};

struct fake_request {
    struct fake_server *server;
    struct ct_handle handle;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    char request_id[FAKE_ID_MAX];
    /* When its connection was accepted. */
    ct_ms connected_ms;
    GString *body;
    /* The body as JSON, or NULL. */
    JsonParser *parser;
    JsonObject *json;
    struct ev_timer delay;

    bool handled;
    bool ready;
    bool suspended;
    /* Close the connection without an answer, or end a stream broken. */
    bool broken;
    bool stream;
    bool ended;
    unsigned int status;
    struct fake_header headers[FAKE_HEADERS_MAX];
    uint32_t n_headers;
    GString *out;
    size_t written;
    /* For the stand-in: what the request waits for. */
    int64_t wait;
    struct ct_handle row;
};

/* Monotonic time; the same clock in all processes of the machine. */
ct_ms fake_now_ms(void);

/*
 * Parses the command line, binds 127.0.0.1, prints "listening PORT", runs the
 * loop. extra may be NULL. Returns the exit code.
 */
int fake_main(struct fake_server *server, int argc, const char **argv,
              struct poptOption *extra);

/* Starts another server in the loop of a running one. Returns 0 or -1. */
int fake_start(struct fake_server *server, struct ev_loop *loop, int port);

struct fake_request *fake_get(struct fake_server *server,
                              struct ct_handle handle);
const char *fake_request_header(const struct fake_request *request,
                                const char *name);
int64_t fake_query(const struct fake_request *request, const char *name,
                   int64_t missing);

int64_t fake_json_int(JsonObject *object, const char *name, int64_t missing);
const char *fake_json_text(JsonObject *object, const char *name);
/* Freed by the caller. */
char *fake_object_text(JsonObject *object);

/* Adds a header to the reply to come; the name is not copied. */
void fake_header(struct fake_request *request, const char *name,
                 const char *value);

/* Replies after delay_ms. Takes over the object; NULL stands for {}. */
void fake_reply(struct fake_request *request, unsigned int status,
                JsonObject *object, ct_ms delay_ms);
void fake_reply_text(struct fake_request *request, unsigned int status,
                     const char *text, ct_ms delay_ms);
void fake_reply_error(struct fake_request *request, unsigned int status,
                      const char *error);

/* Closes the connection without an answer, or breaks the stream. */
void fake_break(struct fake_request *request);

/* Begins an event stream; write and end it later. */
void fake_stream_begin(struct fake_request *request);
void fake_stream_write(struct fake_request *request, const char *bytes,
                       size_t n);
void fake_stream_end(struct fake_request *request);

/* A new entry of what was seen, with the time; finish with fake_log(). */
JsonObject *fake_entry(const char *what);
void fake_log(struct fake_server *server, JsonObject *entry);

#endif
