#ifndef CT_INPUT_METER_H
#define CT_INPUT_METER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

/*
 * Tells whether a caller has sent more on its connection than the requests
 * that were read from it: a further request, or a part of one, which
 * libmicrohttpd drops from its buffer when it closes the connection after a
 * response.
 */
struct ct_input_meter {
    /* Bytes of the requests that were read whole, heads and bodies. */
    uint64_t consumed;
    /* A request had a body in chunks, whose size on the wire is not known. */
    bool unknown;
};

/* Counts the request that was read whole from the connection. */
void ct_input_meter_add(struct ct_input_meter *meter,
                        struct MHD_Connection *connection, size_t body_bytes);

/*
 * Whether the host has received more than the requests counted so far. False
 * if that is not known.
 */
bool ct_input_meter_has_more(const struct ct_input_meter *meter,
                             struct MHD_Connection *connection);

/*
 * Whether the host has received the whole body, of so many bytes, of the
 * request whose head was just read. False if that is not known.
 */
bool ct_input_meter_has_body(const struct ct_input_meter *meter,
                             struct MHD_Connection *connection,
                             size_t body_bytes);

#endif
