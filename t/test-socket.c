/*
 * Tests of socket.h: address errors, buffers, accepting, and closing a
 * listener without resetting connections.
 */
#include "socket.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error.h"

/* Limit of a wait; no test result depends on the time it takes. */
#define WAIT_MS 60000

static int
listen_on_any_port(char **address)
{
    uint16_t port;
    int listener = ct_socket_listen("127.0.0.1:0", &port);

    g_assert_cmpint(listener, >=, 0);
    *address = g_strdup_printf("127.0.0.1:%u", port);
    return listener;
}

static int
tcp_state(int fd)
{
    struct tcp_info info;
    socklen_t size = sizeof(info);

    g_assert_cmpint(getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size), ==,
                    0);
    return info.tcpi_state;
}

/* Waits for the connection attempt to end and returns its error. */
static int
connect_error(int fd)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};
    socklen_t size = sizeof(int);
    int err;

    g_assert_cmpint(poll(&poll_fd, 1, WAIT_MS), ==, 1);
    g_assert_cmpint(getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &size), ==, 0);
    return err;
}

/* Unread connections must not fill the kernel's memory. */
static void
test_buffers(void)
{
    struct sockaddr_storage peer;
    socklen_t peer_size = sizeof(peer);
    char *address;
    int listener = listen_on_any_port(&address);
    struct pollfd pending = {.fd = listener, .events = POLLIN};
    int accepted;
    int fd;

    g_assert_cmpint(ct_socket_limit_buffers(listener, 8192, 16384), ==, CT_OK);
    fd = ct_socket_connect(address);
    g_assert_cmpint(poll(&pending, 1, WAIT_MS), ==, 1);
    accepted = ct_socket_accept(listener);
    for (int i = 0; i < 2; i++) {
        socklen_t size = sizeof(int);
        int bytes;

        g_assert_cmpint(getsockopt(accepted, SOL_SOCKET,
                                   i == 0 ? SO_RCVBUF : SO_SNDBUF, &bytes,
                                   &size),
                        ==, 0);
        /* The kernel doubles what was set. */
        g_assert_cmpint(bytes, ==, i == 0 ? 16384 : 32768);
    }
    g_assert_cmpint(
        getpeername(accepted, (struct sockaddr *)&peer, &peer_size), ==, 0);
    g_assert_cmpuint(ct_socket_peer_address((struct sockaddr *)&peer), ==,
                     INADDR_LOOPBACK);
    g_assert_cmpuint(ct_socket_peer_address(NULL), ==, 0);
    close(accepted);
    close(fd);
    close(listener);
    g_free(address);
}

static void
test_addresses(void)
{
    static const char *const invalid_addresses[] = {
        "", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:x", "h:1"};
    uint16_t port;

    for (guint i = 0; i < G_N_ELEMENTS(invalid_addresses); i++) {
        g_assert_cmpint(ct_socket_listen(invalid_addresses[i], &port), ==,
                        CT_ERR_INVALID);
        g_assert_cmpint(ct_socket_connect(invalid_addresses[i]), ==,
                        CT_ERR_INVALID);
    }
}

static void
test_accept(void)
{
    char *address;
    int listener = listen_on_any_port(&address);
    int client;
    int server;

    g_assert_cmpint(ct_socket_accept(listener), ==, CT_ERR_IO);
    g_assert_false(ct_socket_has_pending(listener));
    client = ct_socket_connect(address);
    g_assert_cmpint(connect_error(client), ==, 0);
    g_assert_true(ct_socket_has_pending(listener));
    server = ct_socket_accept(listener);
    g_assert_cmpint(server, >=, 0);
    g_assert_false(ct_socket_has_pending(listener));
    close(server);
    close(client);
    close(listener);
    g_free(address);
}

/*
 * Connections made before the listener stops accepting are accepted; later
 * ones are refused when it is closed. None is reset.
 */
static void
test_stop_accepting(void)
{
    char *address;
    int listener = listen_on_any_port(&address);
    int before = ct_socket_connect(address);
    int after;
    int server;

    g_assert_cmpint(connect_error(before), ==, 0);
    g_assert_cmpint(ct_socket_stop_accepting(listener), ==, CT_OK);
    after = ct_socket_connect(address);
    g_assert_cmpint(tcp_state(after), ==, TCP_SYN_SENT);
    server = ct_socket_accept(listener);
    g_assert_cmpint(server, >=, 0);
    g_assert_cmpint(send(before, "x", 1, 0), ==, 1);
    g_assert_false(ct_socket_has_pending(listener));
    close(listener);
    g_assert_cmpint(tcp_state(server), ==, TCP_ESTABLISHED);
    g_assert_cmpint(tcp_state(before), ==, TCP_ESTABLISHED);
    g_assert_cmpint(connect_error(after), ==, ECONNREFUSED);
    close(server);
    close(before);
    close(after);
    g_free(address);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/socket/buffers", test_buffers);
    g_test_add_func("/socket/addresses", test_addresses);
    g_test_add_func("/socket/accept", test_accept);
    g_test_add_func("/socket/stop-accepting", test_stop_accepting);
    return g_test_run();
}
