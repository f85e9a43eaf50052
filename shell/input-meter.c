#include "input-meter.h"

#include "socket.h"

static uint64_t
bytes_received(struct MHD_Connection *connection)
{
    int fd =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;

    return ct_socket_bytes_received(fd);
}

void
ct_input_meter_add(struct ct_input_meter *meter,
                   struct MHD_Connection *connection, size_t body_bytes)
{
    const union MHD_ConnectionInfo *head = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

    if (head == NULL ||
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                    MHD_HTTP_HEADER_TRANSFER_ENCODING)) {
        meter->unknown = true;
        return;
    }
    meter->consumed += head->header_size + body_bytes;
}

bool
ct_input_meter_has_more(const struct ct_input_meter *meter,
                        struct MHD_Connection *connection)
{
    return !meter->unknown && bytes_received(connection) > meter->consumed;
}

bool
ct_input_meter_has_body(const struct ct_input_meter *meter,
                        struct MHD_Connection *connection, size_t body_bytes)
{
    const union MHD_ConnectionInfo *head = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

    return head != NULL && !meter->unknown &&
           bytes_received(connection) >=
               meter->consumed + head->header_size + body_bytes;
}
