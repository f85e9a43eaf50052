#ifndef CT_PLATFORM_H
#define CT_PLATFORM_H

#include "http.h"
#include "loop.h"

/*
 * The client of the platform: reads the log continuously, appends to it, sends
 * orders and usage reports, and polls the lists of hosts and upstreams.
 * Appends, orders and reports are never sent twice, nor after their
 * not_after_ms.
 *
 * Results of CT_EVENT_LOG_APPEND_DONE: CT_OK; CT_ERR_TIMEOUT if not_after_ms
 * had passed and nothing was sent; CT_ERR_LOG_UNAVAILABLE if the append failed
 * or the response was lost; an error of ct_record_encode(). Results of
 * CT_EVENT_UPSTREAM_ORDER_DONE: CT_OK; CT_ERR_TIMEOUT as above;
 * CT_ERR_LEASE_NOT_HELD if the term was refused; CT_ERR_IO otherwise. Results
 * of CT_EVENT_USAGE_REPORT_DONE: CT_OK; CT_ERR_TIMEOUT as above; CT_ERR_EXISTS
 * if other figures were accepted before; CT_ERR_IO otherwise.
 */

struct ct_platform;

/*
 * The address is "IP:port"; the HTTP client and loop are borrowed. Returns
 * NULL if out of memory.
 */
struct ct_platform *ct_platform_new(struct ct_loop *loop, struct ct_http *http,
                                    const char *address);
struct ct_executor *ct_platform_executor(struct ct_platform *platform);

/* Starts reading the log, from its first entry, and polling the lists. */
void ct_platform_start(struct ct_platform *platform);

#endif
