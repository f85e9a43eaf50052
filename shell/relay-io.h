#ifndef CT_RELAY_IO_H
#define CT_RELAY_IO_H

#include "callers.h"
#include "dialect.h"
#include "http-server.h"

/*
 * The port for relayed calls, and the HTTP client that sends them to
 * upstreams. The bytes of calls and responses stay here; events report only
 * complete calls and the progress and outcomes of attempts.
 */

struct ct_relay_io;

struct ct_relay_options {
    const struct ct_dialect *dialect;
    /* "IP:port" of the callers' port. */
    const char *address;
    /* Limits until a configuration sets others. */
    struct ct_caller_limits limits;
    /* Limit on the connections of one IP address; 0 for none. */
    uint32_t peer_connections;
    /* Memory for calls; what streams may hold unread follows from it. */
    uint64_t memory_bytes;
};

/* Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO. */
int ct_relay_io_new(struct ct_loop *loop, struct ct_http *http,
                    const struct ct_relay_options *options,
                    struct ct_relay_io **out);
struct ct_executor *ct_relay_io_executor(struct ct_relay_io *io);
uint16_t ct_relay_io_port(const struct ct_relay_io *io);

/* Changes the limit on the connections of one IP address. */
void ct_relay_io_limit_peers(struct ct_relay_io *io, uint32_t connections);

/* From now on each response closes its connection. */
void ct_relay_io_drain(struct ct_relay_io *io);
/* Stops accepting connections; those already open are still served. */
void ct_relay_io_finish(struct ct_relay_io *io);

/* Calls being read, waiting or responded to, and attempts in progress. */
uint32_t ct_relay_io_call_count(const struct ct_relay_io *io);
uint32_t ct_relay_io_attempt_count(const struct ct_relay_io *io);

#endif
