#ifndef CT_HEAD_ESTIMATE_H
#define CT_HEAD_ESTIMATE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * What libmicrohttpd needs of a connection's memory pool for the head of a
 * request. It keeps a record beside the text of each header line, query
 * argument and cookie, so a short head of many short fields needs many times
 * its own size.
 */

struct ct_head_estimate {
    /* The end of the head was seen. */
    bool complete;
    /* Memory for the bytes that were seen, at least. */
    size_t pool_bytes;
};

/* Most memory that a head of this size can need. */
size_t ct_head_pool_max(size_t head_bytes);

/* Examines the first bytes of a connection. */
struct ct_head_estimate ct_head_estimate(const char *bytes, size_t n);

#endif
