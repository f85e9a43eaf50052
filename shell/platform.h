#ifndef CT_PLATFORM_H
#define CT_PLATFORM_H

#include "http.h"
#include "loop.h"

/*
 * The executor towards the platform: reads the log for ever, appends to it,
 * sends orders and usage reports, and asks for the lists of hosts and
 * upstreams. Nothing with a consequence is sent twice, and nothing is sent
 * after its time.
 *
 * Results of CT_EVENT_LOG_APPEND_DONE: CT_OK; CT_ERR_TIMEOUT where
 * not_after_ms had passed and nothing was sent; CT_ERR_LOG_UNAVAILABLE where
 * it failed or the answer was lost; an error of ct_record_encode(). Results of
 * CT_EVENT_UPSTREAM_ORDER_DONE: CT_OK; CT_ERR_TIMEOUT as above;
 * CT_ERR_LEASE_NOT_HELD where the term was refused; CT_ERR_IO otherwise.
 * Results of CT_EVENT_USAGE_REPORT_DONE: CT_OK; CT_ERR_TIMEOUT as above;
 * CT_ERR_EXISTS where other figures were accepted before; CT_ERR_IO otherwise.
 */

struct ct_platform;

/*
 * The address is "IP:port"; the client and loop are borrowed. Returns NULL
 * where memory is gone.
 */
struct ct_platform *ct_platform_new(struct ct_loop *loop, struct ct_http *http,
                                    const char *address);
struct ct_executor *ct_platform_executor(struct ct_platform *platform);

/* Starts to read the log from its first entry, and the lists. */
void ct_platform_start(struct ct_platform *platform);

#endif
