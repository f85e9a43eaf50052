#ifndef CT_CALLERS_H
#define CT_CALLERS_H

#include "response-store.h"
#include "loop.h"

/*
 * The callers' port: turns HTTP requests into events and effects into HTTP
 * responses. A request is suspended until effects of the reducer respond to
 * it. Events and effects identify it by its handle in this port's table of
 * requests.
 */

struct ct_callers;

struct ct_caller_limits {
    uint32_t max_connections;
    uint32_t head_bytes;
    uint32_t body_bytes;
    /* Limit for a complete head, and between parts of a body or response. */
    ct_ms idle_timeout_ms;
};

/* Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO. */
int ct_callers_new(struct ct_loop *loop, struct ct_response_store *responses,
                   const char *address, const struct ct_caller_limits *limits,
                   struct ct_callers **out);
struct ct_executor *ct_callers_executor(struct ct_callers *callers);
uint16_t ct_callers_port(const struct ct_callers *callers);

/* From now on each response closes its connection. */
void ct_callers_drain(struct ct_callers *callers);
/*
 * Stops accepting connections and refuses requests whose bodies are
 * incomplete. Requests that are in transit are still read and responded to.
 * Calls done when all responses are written and no further request is
 * expected.
 */
void ct_callers_finish(struct ct_callers *callers, void (*done)(void *arg),
                       void *arg);

/* Requests being read, waiting for the reducer, or being responded to. */
uint32_t ct_callers_request_count(const struct ct_callers *callers);
uint32_t ct_callers_connection_count(const struct ct_callers *callers);

#endif
