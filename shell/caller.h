#ifndef CT_CALLER_H
#define CT_CALLER_H

#include <ev.h>
#include <glib.h>

#include "callers.h"
#include "disconnect-watch.h"
#include "input-meter.h"
#include "http-server.h"

/* Connections and requests of the callers' port; internal to its modules. */

struct ct_callers {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_response_store *responses;
    struct ct_caller_limits limits;
    struct ct_http_server server;
    struct ct_table requests;
    uint32_t connections;
    /* Connections on which no request has begun. */
    uint32_t unused_connections;
    bool draining;
    /* Bounds the wait for requests still in transit when a drain ends. */
    ev_timer grace_timer;
    void (*finished)(void *arg);
    void *finished_arg;
};

struct ct_caller_connection {
    struct ct_callers *callers;
    int fd;
    /* Bounds the wait for a head or for the next part of a body. */
    ev_timer idle;
    /* Bytes received on the connection when the idle timer was started. */
    uint64_t received_bytes;
    /* The request whose body is being read, or CT_NO_HANDLE. */
    struct ct_handle reading;
    /* No request has begun on this connection. */
    bool unused;
    struct ct_input_meter meter;
};

enum ct_caller_phase {
    CT_CALLER_HEAD = 0,
    CT_CALLER_BODY,
    /* An event was posted; waits for the effect that responds to it. */
    CT_CALLER_WAITING,
    CT_CALLER_RESPONDING,
    /* The response bypasses libmicrohttpd, which can no longer send one. */
    CT_CALLER_RAW,
};

struct ct_caller {
    struct ct_callers *callers;
    struct ct_handle handle;
    /* NULL if no head was read on the connection. */
    struct MHD_Connection *connection;
    int fd;
    enum ct_caller_phase phase;
    bool suspended;
    /* The caller closed its connection. */
    bool disconnected;
    /* An event was posted, and no effect has ended the request yet. */
    bool open;
    struct ct_request_id request_id;
    /* Request fields. */
    char *query;
    GByteArray *body;
    bool too_large;
    /* Detects that the caller closed a suspended connection. */
    struct ct_disconnect_watch watch;
    /* Response fields. */
    struct MHD_Response *response;
    uint32_t status;
    bool stream;
    struct ct_handle reader;
    uint64_t start_offset;
    uint64_t end_offset;
    bool ended;
    bool complete;
    enum ct_refusal reason;
    /* Final event of an aborted stream, and the bytes of it written. */
    GString *final_event;
    uint32_t final_event_written;
};

static inline uint64_t
ct_caller_number(const struct ct_caller *caller)
{
    return (uint64_t)caller->handle.generation << 32 | caller->handle.index;
}

/* Returns NULL if the number identifies no live request. */
struct ct_caller *ct_caller_find(const struct ct_callers *callers,
                                 uint64_t number);

/* Adds a request with a new id. Returns NULL if out of memory. */
struct ct_caller *ct_caller_add(struct ct_callers *callers);
/* Removes the request; posts CT_EVENT_CALLER_DISCONNECTED if it is open. */
void ct_caller_remove(struct ct_caller *caller);

/* Calls the function passed to ct_callers_finish() if its condition holds. */
void ct_callers_check_finished(struct ct_callers *callers);

/* caller-wait.c: suspended connections. */
void ct_caller_suspend(struct ct_caller *caller);
void ct_caller_resume(struct ct_caller *caller);

/* caller-connection.c: time limits before a request is complete. */
void ct_caller_connection_notify(void *arg, struct MHD_Connection *connection,
                                 void **context,
                                 enum MHD_ConnectionNotificationCode code);
/* Starts the idle timer, for a head or for more of the body of reading. */
void ct_caller_connection_wait(struct ct_caller_connection *connection,
                               struct ct_handle reading);
void ct_caller_connection_stop(struct ct_caller_connection *connection);
/* Records that a request has begun on the connection. */
void ct_caller_connection_mark_used(struct ct_caller_connection *connection);
struct ct_caller_connection *
ct_caller_connection_of(struct MHD_Connection *connection);

/* caller-request.c: turns HTTP requests into events. */
enum MHD_Result ct_caller_handle(void *arg, struct MHD_Connection *connection,
                                 const char *url, const char *method,
                                 const char *version, const char *data,
                                 size_t *n, void **context);
void *ct_caller_uri(void *arg, const char *uri,
                    struct MHD_Connection *connection);
void ct_caller_completed(void *arg, struct MHD_Connection *connection,
                         void **context, enum MHD_RequestTerminationCode code);
/* Posts CT_EVENT_CALL_REJECTED for a request that cannot be processed. */
void ct_caller_reject(struct ct_caller *caller, enum ct_refusal reason);

/* caller-response.c: turns effects into HTTP responses. */
bool ct_caller_run(struct ct_executor *executor,
                   const struct ct_effect *effect);

#endif
