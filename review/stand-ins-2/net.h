#ifndef NET_H
#define NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Sockets and HTTP of the stand-ins; loopback addresses only. */

#define NET_HEAD_MAX 32768
#define NET_ID_MAX 64

/*
 * Returns the name of a header, which the scripts give in the environment, and
 * ends the program if it is missing.
 */
const char *net_header(const char *variable);

/* Milliseconds of the monotonic clock. */
int64_t net_now_ms(void);
void net_sleep_ms(int64_t ms);

/*
 * Connects to 127.0.0.1 from 127.0.0.LAST, or from any address if last is 0.
 * Returns a socket, or -1.
 */
int net_connect(uint16_t port, int last);
/* Sends all bytes; returns whether that succeeded. */
bool net_send(int fd, const void *data, size_t n);
/* Raises the limit on open files to the hard limit, which is returned. */
size_t net_raise_file_limit(void);

/* How the response to a request ended. */
enum net_end {
    NET_WHOLE = 0,
    /* The connection ended before the response was whole. */
    NET_CLOSED,
    NET_TIMEOUT,
    /* No connection was established. */
    NET_REFUSED,
};

struct net_response {
    enum net_end end;
    /* 0 if no status line was received. */
    int status;
    size_t body_bytes;
    /* The response promises by its status that the request has not run. */
    bool promises;
};

const char *net_end_text(enum net_end end);
/*
 * Reads one response, without its body if out is NULL; else the body is
 * appended to the file of that descriptor.
 */
void net_read_response(int fd, int64_t timeout_ms, int out,
                       struct net_response *response);

#endif
