#ifndef CT_DISCOVERY_PORT_H
#define CT_DISCOVERY_PORT_H

#include "dialect.h"
#include "http-server.h"
#include "reduce.h"

/*
 * Two ports besides the one for calls: the discovery port, where callers look
 * up host addresses, and the readiness port, where the platform checks whether
 * this host is ready.
 */

struct ct_discovery_port;

struct ct_discovery_port_options {
    const struct ct_dialect *dialect;
    const char *discovery_address;
    const char *readiness_address;
    /* Read to respond to readiness checks; borrowed. */
    const struct ct_state *state;
};

/* Errors: CT_ERR_INVALID for a bad address, CT_ERR_IO. */
int ct_discovery_port_new(struct ct_loop *loop,
                          const struct ct_discovery_port_options *options,
                          struct ct_discovery_port **out);
struct ct_executor *ct_discovery_port_executor(struct ct_discovery_port *port);
uint16_t ct_discovery_port_number(const struct ct_discovery_port *port);
uint16_t
ct_discovery_port_readiness_number(const struct ct_discovery_port *port);

#endif
