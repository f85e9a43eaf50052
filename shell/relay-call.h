#ifndef CT_RELAY_CALL_H
#define CT_RELAY_CALL_H

#include <glib.h>

#include "disconnect-watch.h"
#include "input-meter.h"
#include "relay-io.h"
#include "socket.h"
#include "sse-split.h"

/* Calls and attempts of the relay; internal to its modules. */

/*
 * The callers' port. An accepted connection is given to one of two servers
 * by what its first head needs: libmicrohttpd allocates the same pool for each
 * connection of a server, and a pool that is large enough for each legal head
 * would leave memory for few connections.
 */
struct relay_accept {
    ev_io listener;
    uint16_t port;
    struct ct_http_server server;
    /* For heads that need more than head_max_bytes of their pool. */
    struct ct_http_server large;
    uint32_t large_connections;
    uint32_t large_max;
    uint32_t head_max_bytes;
    /* Connections whose head has not arrived yet. */
    GQueue pending;
    /* Connections with a large head that wait for room. */
    GQueue waiting;
    ev_timer ended;
};

struct ct_relay_io {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_http *http;
    const struct ct_dialect *dialect;
    struct ct_caller_limits limits;
    struct relay_accept accept;
    uint32_t connections;
    /* Limit on the connections of one IP address; 0 for none. */
    uint32_t peer_connections;
    /* Maps an IP address to the number of its connections. */
    GHashTable *connections_by_peer;
    /* struct relay_call, struct relay_attempt */
    struct ct_table calls;
    struct ct_table attempts;
    /* Maps the reducer's handle of an attempt to struct relay_attempt. */
    GHashTable *by_handle;
    bool draining;
    /* Memory for calls, and what of it the unread bytes of streams hold. */
    uint64_t memory_bytes;
    uint64_t unread_bytes;
    /* Reports the progress of bodies, while any is being read. */
    ev_timer progress_timer;
};

enum relay_phase {
    RELAY_HEAD = 0,
    /* Suspended until the reducer admits or refuses the call. */
    RELAY_ADMISSION,
    RELAY_BODY,
    /* Refused; the rest of the body is read and discarded. */
    RELAY_DISCARDING,
    /* An event was posted; waits for the effect that responds to it. */
    RELAY_WAITING,
    RELAY_RESPONDING,
};

/*
 * The relayed parts of a call; reference-counted, as an attempt can outlive
 * the call.
 */
struct relay_message {
    char *method;
    /* As received, with the query. */
    char *target;
    /* Header lines that are relayed, in libcurl's form. */
    GPtrArray *lines;
    bool has_accept;
    bool has_media_type;
    GByteArray *body;
};

struct relay_call {
    struct ct_relay_io *io;
    struct ct_handle handle;
    struct MHD_Connection *connection;
    enum relay_phase phase;
    struct ct_relay_call info;
    struct relay_message *message;
    /* A header cannot be parsed, or its value is too large. */
    bool malformed;
    bool too_large;
    /* The reducer knows the call and waits for the event of its end. */
    bool posted;
    /* An event was posted, and no effect has ended the call yet. */
    bool open;
    bool disconnected;
    bool suspended;
    /* The reducer admitted the call at its head. */
    bool admitted;
    /* Bytes of the body that the reducer permits to read. */
    uint32_t granted_bytes;
    /* Bytes of the body in the last CT_EVENT_RELAY_BODY_PROGRESS. */
    uint32_t reported_bytes;
    /* The library calls the handler for the head once more. */
    bool repeats_head;
    /* RELAY_DISCARDING: text of the response, and when it is sent. */
    GString *refusal;
    bool refusal_sent;
    ev_timer discard_timer;
    struct ct_disconnect_watch watch;
    struct MHD_Response *response;
    uint32_t status;
    bool stream;
    /* Response bytes; those from pending_offset on are not written yet. */
    GByteArray *pending;
    guint pending_offset;
    /* Unread bytes in the last CT_EVENT_RELAY_RESPONSE_UNREAD. */
    guint reported_unread;
    /* What io->unread_bytes contains of this call. */
    guint counted_unread;
    /* The attempt whose bytes were forwarded last. */
    struct ct_handle source;
    /* A complete response that is written in parts. */
    bool whole;
    bool ended;
    bool aborted;
};

/* One send of a call to one upstream. */
struct relay_attempt {
    struct ct_transfer transfer;
    struct ct_relay_io *io;
    struct ct_handle row;
    struct ct_relay_start start;
    struct relay_message *message;
    bool sent;
    struct ct_upstream_response_head head;
    bool head_complete;
    /* Header lines of the response that are relayed to the caller. */
    GPtrArray *lines;
    /* Response bytes not yet forwarded, and how many of those were posted. */
    GByteArray *received;
    guint posted_bytes;
    struct ct_sse_split split;
    /* Bytes held at the time of the last CT_EVENT_RELAY_ATTEMPT_HELD. */
    guint held_bytes;
    /* Events posted so far, and the bytes up to the end of the last one. */
    uint32_t posted_events;
    uint64_t split_complete;
};

static inline uint64_t
relay_call_number(const struct relay_call *call)
{
    return (uint64_t)call->handle.generation << 32 | call->handle.index;
}

/* relay-call.c */
struct relay_call *relay_call_add(struct ct_relay_io *io);
struct relay_call *relay_call_find(const struct ct_relay_io *io,
                                   uint64_t number);
void relay_call_remove(struct relay_call *call);
void relay_call_clear(void *row);
/*
 * Posts CT_EVENT_RELAY_CALLER_DISCONNECTED if the call is open, and resumes
 * the connection, so that libmicrohttpd ends the request.
 */
void relay_call_disconnect(struct relay_call *call);
void relay_call_suspend(struct relay_call *call);
void relay_call_resume(struct relay_call *call);
void relay_message_unref(struct relay_message *message);

/* relay-connections.c: counts and limits connections. */
void relay_connections_init(struct ct_relay_io *io);
void relay_connections_free(struct ct_relay_io *io);
/* Whether the address may have one more connection; reports a refusal. */
bool relay_connections_admit(struct ct_relay_io *io,
                             const struct sockaddr *address);
/* Count a connection of an address. */
void relay_connections_add(struct ct_relay_io *io, uint64_t peer);
void relay_connections_remove(struct ct_relay_io *io, uint64_t peer);
void relay_connections_notify(void *arg, struct MHD_Connection *connection,
                              void **context,
                              enum MHD_ConnectionNotificationCode code);
/* Returns the meter that belongs to the connection. */
struct ct_input_meter *
relay_connections_meter(struct MHD_Connection *connection);
/* Whether the connection belongs to the server for large heads. */
bool relay_connections_is_large(struct MHD_Connection *connection);

/* relay-accept.c: accepts connections and selects their server. */
int relay_accept_start(struct ct_relay_io *io, const char *address);
/* Accepts no connections until one has ended. */
void relay_accept_pause(struct ct_relay_io *io);
void relay_accept_connection_ended(struct ct_relay_io *io);
/* Connections no longer wait for their heads. */
void relay_accept_drain(struct ct_relay_io *io);
/* Stops new connections; those that the kernel has established are served. */
void relay_accept_finish(struct ct_relay_io *io);
/* Closes all connections and stops the servers. */
void relay_accept_stop(struct ct_relay_io *io);

/* relay-port.c: turns HTTP requests into events. */
enum MHD_Result relay_port_handle(void *arg, struct MHD_Connection *connection,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *n, void **context);
void *relay_port_uri(void *arg, const char *uri,
                     struct MHD_Connection *connection);
void relay_port_completed(void *arg, struct MHD_Connection *connection,
                          void **context,
                          enum MHD_RequestTerminationCode code);

/* Response to a refused call. */
struct relay_refusal {
    const char *media_type;
    const GString *body;
    /* Header with the delay for a retry; NULL for none. */
    const char *retry_name;
    const char *retry_value;
};

/* relay-body.c: reads request bodies up to what the reducer grants. */
void relay_body_init(struct ct_relay_io *io);
void relay_body_stop(struct ct_relay_io *io);
/* Sets the members of the call's size from its head. */
void relay_body_read_size(struct relay_call *call);
bool relay_body_is_expected(const struct relay_call *call);
/* Suspends the call and posts CT_EVENT_RELAY_HEAD_ARRIVED. */
void relay_body_request(struct relay_call *call);
/* Posts CT_EVENT_RELAY_CALL_REJECTED. */
void relay_body_reject(struct relay_call *call, enum ct_refusal reason);
enum MHD_Result relay_body_read(struct relay_call *call, const char *data,
                                size_t *n);
/* CT_EFFECT_RELAY_READ_BODY */
void relay_body_grant(struct ct_relay_io *io,
                      const struct ct_body_grant *grant);
/*
 * Frees the body of a call that is refused before it is complete. Returns
 * whether the refusal was sent; otherwise the caller sets the response.
 */
bool relay_body_refuse(struct relay_call *call, uint32_t status,
                       const struct relay_refusal *refusal);
/* Stops a refusal that was to be sent before the body's end. */
void relay_body_end_discard(struct relay_call *call);
void relay_body_clear(struct relay_call *call);

/* relay-response.c: turns effects into HTTP responses. */
void relay_response_refuse(struct ct_relay_io *io,
                           const struct ct_refuse_effect *refuse);
void relay_response_forward(struct ct_relay_io *io,
                            const struct ct_relay_forward *forward);
void relay_response_abort(struct ct_relay_io *io, uint64_t caller);
/*
 * Whether the caller's unread bytes, and those posted but not yet forwarded,
 * leave room for more of the stream from this attempt.
 */
bool relay_response_has_room(const struct ct_relay_io *io, uint64_t caller,
                             struct ct_handle attempt, guint posted_bytes);
/* Removes the call from the count of unread bytes. */
void relay_response_clear(struct relay_call *call);
/* CT_EFFECT_RELAY_DISCONNECT_CALLER */
void relay_response_cut_off(struct ct_relay_io *io, uint64_t caller);

/* relay-upstream.c: the HTTP client of upstreams. */
void relay_attempt_start(struct ct_relay_io *io,
                         const struct ct_relay_start *start);
/* Reads on from the upstream if that was stopped for the caller's sake. */
void relay_attempt_continue(struct relay_attempt *attempt);
/* Cancels the transfer if it is still running, and frees the row. */
void relay_attempt_free(struct relay_attempt *attempt);
struct relay_attempt *relay_attempt_find(const struct ct_relay_io *io,
                                         struct ct_handle handle);
/* Return the status and the relayed header lines received so far. */
uint32_t relay_attempt_status(const struct relay_attempt *attempt);
const GPtrArray *relay_attempt_lines(const struct relay_attempt *attempt);
/* Moves the next n bytes of the response to the end of out. */
void relay_attempt_move_bytes(struct relay_attempt *attempt, guint n,
                              GByteArray *out);
/* Returns all its bytes that were not moved; the caller owns the array. */
GByteArray *relay_attempt_take_bytes(struct relay_attempt *attempt);

#endif
