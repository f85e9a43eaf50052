#include "relay-call.h"

/* What is kept for one connection of a caller. */
struct relay_connection {
    struct ct_input_meter meter;
    uint64_t peer;
    bool large;
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

bool
relay_connections_admit(struct ct_relay_io *io, const struct sockaddr *address)
{
    uint64_t peer = ct_socket_peer_address(address);

    if (io->peer_connections == 0 ||
        count_of_peer(io, peer) < io->peer_connections) {
        return true;
    }
    post_refused(io, true);
    return false;
}

void
relay_connections_add(struct ct_relay_io *io, uint64_t peer)
{
    set_count(io, peer, count_of_peer(io, peer) + 1);
    io->connections++;
    if (io->connections == io->limits.max_connections) {
        /* Further connections wait in the accept queue. */
        relay_accept_pause(io);
        post_refused(io, false);
    }
}

void
relay_connections_remove(struct ct_relay_io *io, uint64_t peer)
{
    io->connections--;
    set_count(io, peer, count_of_peer(io, peer) - 1);
    relay_accept_connection_ended(io);
}

static void
begin_connection(struct ct_relay_io *io, struct MHD_Connection *connection,
                 void **context)
{
    struct relay_connection *data = g_new0(struct relay_connection, 1);
    const union MHD_ConnectionInfo *address = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const union MHD_ConnectionInfo *server =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_DAEMON);

    data->peer = ct_socket_peer_address(address->client_addr);
    data->large = server->daemon == io->accept.large.daemon;
    *context = data;
    relay_connections_add(io, data->peer);
    io->accept.large_connections += data->large;
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
    io->accept.large_connections -= data->large;
    relay_connections_remove(io, data->peer);
    g_free(data);
    *context = NULL;
}

static struct relay_connection *
connection_data(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
        ->socket_context;
}

bool
relay_connections_is_large(struct MHD_Connection *connection)
{
    return connection_data(connection)->large;
}

struct ct_input_meter *
relay_connections_meter(struct MHD_Connection *connection)
{
    return &connection_data(connection)->meter;
}
