#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <ev.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <popt.h>

#include "clock.h"
#include "fake-endless.h"
#include "table.h"

/*
 * HTTP server of the fakes: libmicrohttpd driven by one libev loop. A fake
 * embeds struct fake_server as its first member and defines one function that
 * handles complete requests. The reply is stored in the request, and this
 * module sends it, at once or later.
 *
 * Every fake also serves on its own port:
 *   POST /fake/set           {"setting":value,...}, changes its settings
 *   GET  /fake/seen?from=N   {"seen":[...]}, its log, from entry N on
 */

#define FAKE_ID_MAX 64
#define FAKE_HEADERS_MAX 4

struct fake_server;
struct fake_request;

struct fake_ops {
    /* A complete request arrived. Reply now, or later by its handle. */
    void (*handle)(struct fake_server *server, struct fake_request *request);
    /* A handled request ended: replied, aborted or caller disconnected. */
    void (*request_ended)(struct fake_server *server,
                          struct fake_request *request);
    /* Settings were changed by /fake/set. */
    void (*settings_changed)(struct fake_server *server);
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
    /* libmicrohttpd continues resumed connections only when it runs. */
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
    /* Time at which its connection was accepted. */
    ct_ms connected_ms;
    GString *body;
    /* The body as JSON, or NULL. */
    JsonParser *parser;
    JsonObject *json;
    struct ev_timer delay;

    bool handled;
    bool ready;
    bool suspended;
    /* Close the connection without a response, or truncate the stream. */
    bool aborted;
    bool stream;
    bool ended;
    unsigned int status;
    struct fake_header headers[FAKE_HEADERS_MAX];
    uint32_t n_headers;
    GString *out;
    size_t written;
    /* For use by the fake: the log offset that a read waits for, else 0. */
    int64_t wait_offset;
    struct ct_handle call;
    /* Bytes that are written to the socket again and again, and its watcher.
     */
    GString *endless;
    struct ev_io endless_io;
};

/* Monotonic time, the same clock in all processes of a machine. */
ct_ms fake_now_ms(void);

/*
 * Parses the command line, binds 127.0.0.1, prints "listening PORT", runs the
 * loop. extra may be NULL. Returns the exit code.
 */
int fake_main(struct fake_server *server, int argc, const char **argv,
              struct poptOption *extra);

/* Starts a server in the loop. Returns 0 or -1. */
int fake_start_server(struct fake_server *server, struct ev_loop *loop,
                      int port);

struct fake_request *fake_find_request(struct fake_server *server,
                                       struct ct_handle handle);
const char *fake_request_header(const struct fake_request *request,
                                const char *name);
int64_t fake_query_int(const struct fake_request *request, const char *name,
                       int64_t default_value);

int64_t fake_json_int(JsonObject *object, const char *name,
                      int64_t default_value);
const char *fake_json_text(JsonObject *object, const char *name);
/* The caller frees the text. */
char *fake_json_to_text(JsonObject *object);

/* Adds a header to the later reply; the name is not copied. */
void fake_add_header(struct fake_request *request, const char *name,
                     const char *value);

/* Replies after delay_ms. Takes ownership of the object; NULL means {}. */
void fake_reply(struct fake_request *request, unsigned int status,
                JsonObject *object, ct_ms delay_ms);
void fake_reply_text(struct fake_request *request, unsigned int status,
                     const char *text, ct_ms delay_ms);
void fake_reply_error(struct fake_request *request, unsigned int status,
                      const char *error);

/* Closes the connection without a response, or truncates the stream. */
void fake_abort(struct fake_request *request);

/*
 * Replies with bytes without end, until the client closes the connection.
 * fields are header lines, each with its CRLF.
 */
void fake_reply_endless(struct fake_request *request,
                        const struct fake_endless *kind, const char *fields);

/* Begins an event stream; it is written and ended later. */
void fake_stream_begin(struct fake_request *request);
void fake_stream_write(struct fake_request *request, const char *bytes,
                       size_t n);
void fake_stream_end(struct fake_request *request);

/* Creates a log entry with the time; add it with fake_log_entry(). */
JsonObject *fake_new_entry(const char *what);
void fake_log_entry(struct fake_server *server, JsonObject *entry);

#endif
