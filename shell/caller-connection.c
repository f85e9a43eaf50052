#include <sys/socket.h>

#include "caller.h"
#include "socket.h"

/*
 * Refuses a request that was left incomplete for the idle timeout.
 * libmicrohttpd would only close the connection, so the refusal is written
 * directly to the socket. A connection on which no byte of a request was
 * received is closed without a response.
 */
static void
on_idle_timeout(struct ev_loop *ev, ev_timer *timer, int events)
{
    struct ct_caller_connection *connection = timer->data;
    struct ct_callers *callers = connection->callers;
    struct ct_caller *caller =
        ct_table_get(&callers->requests, connection->reading);

    (void)events;
    ev_timer_stop(ev, timer);
    if (caller == NULL && ct_socket_bytes_received(connection->fd) >
                              connection->received_bytes) {
        caller = ct_caller_add(callers);
    }
    if (caller == NULL) {
        shutdown(connection->fd, SHUT_RDWR);
        return;
    }
    caller->fd = connection->fd;
    caller->phase = CT_CALLER_RAW;
    ct_caller_reject(caller, CT_REFUSAL_REQUEST_TIMEOUT);
}

void
ct_caller_connection_wait(struct ct_caller_connection *connection,
                          struct ct_handle reading)
{
    connection->reading = reading;
    connection->received_bytes = ct_socket_bytes_received(connection->fd);
    ev_timer_again(ct_loop_ev(connection->callers->loop), &connection->idle);
}

void
ct_caller_connection_stop(struct ct_caller_connection *connection)
{
    connection->reading = CT_NO_HANDLE;
    ev_timer_stop(ct_loop_ev(connection->callers->loop), &connection->idle);
}

void
ct_caller_connection_mark_used(struct ct_caller_connection *connection)
{
    connection->callers->unused_connections -= connection->unused;
    connection->unused = false;
}

struct ct_caller_connection *
ct_caller_connection_of(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
        ->socket_context;
}

static void
start_connection(struct ct_callers *callers, struct MHD_Connection *mhd,
                 void **context)
{
    struct ct_caller_connection *connection =
        g_new0(struct ct_caller_connection, 1);

    connection->callers = callers;
    connection->fd =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    ev_timer_init(&connection->idle, on_idle_timeout, 0,
                  callers->limits.idle_timeout_ms / 1e3);
    connection->idle.data = connection;
    ev_timer_again(ct_loop_ev(callers->loop), &connection->idle);
    connection->unused = true;
    callers->unused_connections++;
    callers->connections++;
    *context = connection;
}

void
ct_caller_connection_notify(void *arg, struct MHD_Connection *connection,
                            void **context,
                            enum MHD_ConnectionNotificationCode code)
{
    struct ct_callers *callers = arg;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        start_connection(callers, connection, context);
        return;
    }
    ct_caller_connection_stop(*context);
    ct_caller_connection_mark_used(*context);
    callers->connections--;
    g_free(*context);
    *context = NULL;
    ct_callers_check_finished(callers);
}
