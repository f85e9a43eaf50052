#ifndef CT_CALLER_H
#define CT_CALLER_H

#include <ev.h>
#include <glib.h>

#include "callers.h"
#include "disconnect-watch.h"
#include "http-server.h"

/* Connections and requests of the callers' port; private to its modules. */

struct ct_callers {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_response_store *answers;
    struct ct_caller_limits limits;
    struct ct_http_server server;
    struct ct_table requests;
    uint32_t connections;
    /* Of those, on which no request has begun. */
    uint32_t fresh;
    bool draining;
    /* How long the end waits for requests that are on their way. */
    ev_timer last_calls;
    void (*finished)(void *arg);
    void *finished_arg;
};

struct ct_caller_connection {
    struct ct_callers *callers;
    int fd;
    /* Bounds the wait for a head or for more of a body. */
    ev_timer idle;
    /* Bytes received when that wait began. */
    uint64_t received;
    /* The request whose body is being read, if any. */
    struct ct_handle reading;
    /* No request has begun on it. */
    bool fresh;
};

enum ct_caller_phase {
    CT_CALLER_HEAD = 0,
    CT_CALLER_BODY,
    /* An event was posted; its answer is awaited. */
    CT_CALLER_WAITING,
    CT_CALLER_ANSWERING,
    /* To be answered on the bare socket: libmicrohttpd can't any more. */
    CT_CALLER_CUT,
};

struct ct_caller {
    struct ct_callers *callers;
    struct ct_handle handle;
    /* NULL for a connection on which no head was read. */
    struct MHD_Connection *connection;
    int fd;
    enum ct_caller_phase phase;
    bool suspended;
    /* The caller closed its connection. */
    bool gone;
    /* The reducer was told of the request and has not ended it. */
    bool open;
    struct ct_request_id request_id;
    /* Of the request. */
    char *query;
    GByteArray *body;
    bool too_large;
    /* Watches a suspended connection for the caller's leaving. */
    struct ct_disconnect_watch watch;
    /* Of the answer. */
    struct MHD_Response *response;
    uint32_t status;
    bool stream;
    struct ct_handle reader;
    uint64_t start;
    uint64_t end;
    bool ended;
    bool whole;
    enum ct_refusal reason;
    /* Event that ends a broken stream, and how much of it was written. */
    GString *tail;
    uint32_t tail_written;
};

static inline uint64_t
ct_caller_number(const struct ct_caller *caller)
{
    return (uint64_t)caller->handle.generation << 32 | caller->handle.index;
}

/* Returns NULL for a number that is no live request. */
struct ct_caller *ct_caller_find(const struct ct_callers *callers,
                                 uint64_t number);

/* Adds a request with a fresh id; NULL where memory is gone. */
struct ct_caller *ct_caller_add(struct ct_callers *callers);
/* Ends the request: tells the reducer where it still waits. */
void ct_caller_remove(struct ct_caller *caller);

/* Tells the end of a drain, where it is reached. */
void ct_callers_look_finished(struct ct_callers *callers);

/* caller-wait.c: suspended connections. */
void ct_caller_suspend(struct ct_caller *caller);
void ct_caller_resume(struct ct_caller *caller);

/* caller-connection.c: time limits before a request is complete. */
void ct_caller_connection_notify(void *arg, struct MHD_Connection *connection,
                                 void **context,
                                 enum MHD_ConnectionNotificationCode code);
/* Begins the wait for a head, or for more of the body of reading. */
void ct_caller_connection_wait(struct ct_caller_connection *connection,
                               struct ct_handle reading);
void ct_caller_connection_stop(struct ct_caller_connection *connection);
/* The first request on a connection has begun. */
void ct_caller_connection_used(struct ct_caller_connection *connection);
struct ct_caller_connection *
ct_caller_connection_of(struct MHD_Connection *connection);

/* caller-request.c: from HTTP to events. */
enum MHD_Result ct_caller_handle(void *arg, struct MHD_Connection *connection,
                                 const char *url, const char *method,
                                 const char *version, const char *data,
                                 size_t *n, void **context);
void *ct_caller_uri(void *arg, const char *uri,
                    struct MHD_Connection *connection);
void ct_caller_completed(void *arg, struct MHD_Connection *connection,
                         void **context, enum MHD_RequestTerminationCode code);
/* Hands a request to the reducer that could not be understood. */
void ct_caller_reject(struct ct_caller *caller, enum ct_refusal reason);

/* caller-response.c: from effects to HTTP. */
bool ct_caller_run(struct ct_executor *executor,
                   const struct ct_effect *effect);

#endif
