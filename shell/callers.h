#ifndef CT_CALLERS_H
#define CT_CALLERS_H

#include "response-store.h"
#include "loop.h"

/*
 * The callers' port: turns HTTP requests into events and effects into
 * responses. A request waits suspended until the reducer answers it; its
 * number in events is its handle here.
 */

struct ct_callers;

struct ct_caller_limits {
    uint32_t max_connections;
    uint32_t head_bytes;
    uint32_t body_bytes;
    /* For a whole head, and between parts of a body or an answer. */
    ct_ms idle_timeout_ms;
};

/* Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO. */
int ct_callers_new(struct ct_loop *loop, struct ct_response_store *answers,
                   const char *address, const struct ct_caller_limits *limits,
                   struct ct_callers **out);
struct ct_executor *ct_callers_executor(struct ct_callers *callers);
uint16_t ct_callers_port(const struct ct_callers *callers);

/* From now on connections are closed after the answer that they wait for. */
void ct_callers_drain(struct ct_callers *callers);
/*
 * Takes no more connections and refuses requests that are only half read. What
 * a caller had sent by then is read and answered;
 * calls done once no request is left whose answer was not written out.
 */
void ct_callers_finish(struct ct_callers *callers, void (*done)(void *arg),
                       void *arg);

/* Requests that are being read, wait, or are being answered. */
uint32_t ct_callers_requests(const struct ct_callers *callers);
uint32_t ct_callers_connections(const struct ct_callers *callers);

#endif
