#include "relay-call.h"

/* What is kept for one connection of a caller. */
struct relay_connection {
    struct ct_input_meter meter;
    uint64_t peer;
};

static uint32_t
count_of_peer(const struct ct_relay_io *io, uint64_t peer)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(io->connections_by_peer, GSIZE_TO_POINTER(peer)));
}

static void
set_count(struct ct_relay_io *io, uint64_t peer, uint32_t n)
{
    if (n > 0) {
        g_hash_table_insert(io->connections_by_peer, GSIZE_TO_POINTER(peer),
                            GUINT_TO_POINTER(n));
    }
    else {
        g_hash_table_remove(io->connections_by_peer, GSIZE_TO_POINTER(peer));
    }
}

static void
post_refused(struct ct_relay_io *io, bool peer_limit)
{
    struct ct_event event = {.type = CT_EVENT_RELAY_CONNECTION_REFUSED};

    event.u.peer_limit = peer_limit;
    ct_loop_post(io->loop, &event);
}

void
relay_connections_init(struct ct_relay_io *io)
{
    io->connections_by_peer = g_hash_table_new(NULL, NULL);
}

void
relay_connections_free(struct ct_relay_io *io)
{
    g_hash_table_destroy(io->connections_by_peer);
}

enum MHD_Result
relay_connections_accept(void *arg, const struct sockaddr *address,
                         socklen_t size)
{
    struct ct_relay_io *io = arg;
    uint64_t peer = ct_socket_peer_address(address);

    (void)size;
    if (io->peer_connections == 0 ||
        count_of_peer(io, peer) < io->peer_connections) {
        return MHD_YES;
    }
    post_refused(io, true);
    return MHD_NO;
}

static void
begin_connection(struct ct_relay_io *io, struct MHD_Connection *connection,
                 void **context)
{
    struct relay_connection *data = g_new0(struct relay_connection, 1);
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

    data->peer = ct_socket_peer_address(info->client_addr);
    set_count(io, data->peer, count_of_peer(io, data->peer) + 1);
    *context = data;
    io->connections++;
    if (io->connections == io->limits.max_connections) {
        /* Further connections wait in the accept queue. */
        post_refused(io, false);
    }
}

void
relay_connections_notify(void *arg, struct MHD_Connection *connection,
                         void **context,
                         enum MHD_ConnectionNotificationCode code)
{
    struct ct_relay_io *io = arg;
    struct relay_connection *data = *context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        begin_connection(io, connection, context);
        return;
    }
    io->connections--;
    set_count(io, data->peer, count_of_peer(io, data->peer) - 1);
    g_free(data);
    *context = NULL;
}

struct ct_input_meter *
relay_connections_meter(struct MHD_Connection *connection)
{
    struct relay_connection *data =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;

    return &data->meter;
}
