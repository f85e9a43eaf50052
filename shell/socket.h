#ifndef CT_SOCKET_H
#define CT_SOCKET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* TCP sockets by "IP:port" address; all are non-blocking and close-on-exec. */

/*
 * Returns a listening socket and its port; port 0 in the address selects a
 * free one. Errors: CT_ERR_INVALID, CT_ERR_IO.
 */
int ct_socket_listen(const char *text, uint16_t *port);

/*
 * Stops new connections: drops their first packet, so that the peer tries
 * again and is refused once the socket is closed. Connections that the kernel
 * has established can still be accepted. Errors: CT_ERR_IO.
 */
int ct_socket_stop_accepting(int listener);

/* Whether a connection is pending in the accept queue. */
bool ct_socket_has_pending(int listener);

/* Starts a connection. Errors: CT_ERR_INVALID, CT_ERR_IO. */
int ct_socket_connect(const char *text);

/* Errors: CT_ERR_IO, also if no connection is pending. */
int ct_socket_accept(int listener);

/* Returns the IP address as a number; 0 if it is not one of IPv4. */
uint64_t ct_socket_peer_address(const struct sockaddr *address);

/*
 * Bounds what the kernel buffers, in each direction, of connections accepted
 * from now on. Errors: CT_ERR_IO.
 */
int ct_socket_limit_buffers(int listener, int receive_bytes, int send_bytes);

/* Returns the bytes received on a connection; 0 if that is not known. */
uint64_t ct_socket_bytes_received(int fd);

#endif
