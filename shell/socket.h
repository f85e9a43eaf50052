#ifndef CT_SOCKET_H
#define CT_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

/* TCP sockets by "IP:port"; all are non-blocking and closed on exec. */

/*
 * Returns a listening socket and its port; port 0 in the address takes any.
 * Errors: CT_ERR_INVALID, CT_ERR_IO.
 */
int ct_socket_listen(const char *text, uint16_t *port);

/*
 * No new connection comes to be from now on: its first packet is dropped, so
 * that the other end tries again and is refused once the socket is closed.
 * Those that the kernel has taken wait to be accepted. Errors: CT_ERR_IO.
 */
int ct_socket_stop_accepting(int listener);

/* Whether a connection waits to be accepted. */
bool ct_socket_has_waiting(int listener);

/* Starts to connect. Errors: CT_ERR_INVALID, CT_ERR_IO. */
int ct_socket_connect(const char *text);

/* Errors: CT_ERR_IO, also where no connection waits. */
int ct_socket_accept(int listener);

#endif
