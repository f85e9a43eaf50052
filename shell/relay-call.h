#ifndef CT_RELAY_CALL_H
#define CT_RELAY_CALL_H

#include <glib.h>

#include "disconnect-watch.h"
#include "relay-io.h"
#include "sse-split.h"

/* Calls and attempts of the relay; private to its modules. */

struct ct_relay_io {
    struct ct_executor executor;
    struct ct_loop *loop;
    struct ct_http *http;
    const struct ct_dialect *dialect;
    struct ct_caller_limits limits;
    struct ct_http_server server;
    /* struct relay_call, struct relay_attempt */
    struct ct_table calls;
    struct ct_table attempts;
    /* From the reducer's handle of an attempt to struct relay_attempt. */
    GHashTable *by_handle;
    bool draining;
};

enum relay_phase {
    RELAY_HEAD = 0,
    RELAY_BODY,
    /* The reducer was told; its answer is awaited. */
    RELAY_WAITING,
    RELAY_ANSWERING,
};

/* What is sent on of a call; counted, as attempts outlive their caller. */
struct relay_message {
    char *method;
    /* As it came, with its query. */
    char *target;
    /* Header lines that are passed on. */
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
    struct ct_relay_call facts;
    struct relay_message *message;
    /* Something in it cannot be understood, or is too large. */
    bool odd;
    bool too_large;
    /* The reducer was told and has not ended it. */
    bool open;
    bool gone;
    bool suspended;
    struct ct_disconnect_watch watch;
    struct MHD_Response *response;
    uint32_t status;
    bool stream;
    /* Answer bytes that were not written yet, from out_at on. */
    GByteArray *out;
    guint out_at;
    bool ended;
    bool broken;
};

/* One sending of a call to an upstream. */
struct relay_attempt {
    struct ct_transfer transfer;
    struct ct_relay_io *io;
    struct ct_handle row;
    struct ct_relay_start start;
    struct relay_message *message;
    bool sent;
    struct ct_upstream_response_head head;
    bool head_ended;
    /* Header lines of the answer that pass. */
    GPtrArray *lines;
    /* Answer bytes that were not forwarded, and how many are announced. */
    GByteArray *in;
    guint announced;
    struct ct_sse_split split;
    uint64_t split_whole;
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
void relay_call_suspend(struct relay_call *call);
void relay_call_resume(struct relay_call *call);
void relay_message_unref(struct relay_message *message);

/* relay-port.c: from HTTP to events. */
enum MHD_Result relay_port_handle(void *arg, struct MHD_Connection *connection,
                                  const char *url, const char *method,
                                  const char *version, const char *data,
                                  size_t *n, void **context);
void *relay_port_uri(void *arg, const char *uri,
                     struct MHD_Connection *connection);
void relay_port_completed(void *arg, struct MHD_Connection *connection,
                          void **context,
                          enum MHD_RequestTerminationCode code);

/* relay-answer.c: from effects to HTTP. */
void relay_answer_refuse(struct ct_relay_io *io,
                         const struct ct_refuse_effect *refuse);
void relay_answer_forward(struct ct_relay_io *io,
                          const struct ct_relay_forward *forward);
void relay_answer_break(struct ct_relay_io *io, uint64_t caller);

/* relay-upstream.c: the client of upstreams. */
void relay_attempt_start(struct ct_relay_io *io,
                         const struct ct_relay_start *start);
/* Ends the transfer where it still runs, and frees the row. */
void relay_attempt_free(struct relay_attempt *attempt);
struct relay_attempt *relay_attempt_find(const struct ct_relay_io *io,
                                         struct ct_handle handle);
/* The answer so far: status, header lines that pass, bytes. */
uint32_t relay_attempt_status(const struct relay_attempt *attempt);
const GPtrArray *relay_attempt_lines(const struct relay_attempt *attempt);
/* Moves the next n bytes of the answer to the end of out. */
void relay_attempt_take(struct relay_attempt *attempt, guint n,
                        GByteArray *out);

#endif
