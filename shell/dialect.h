#ifndef CT_DIALECT_H
#define CT_DIALECT_H

#include <glib.h>

#include "effect.h"
#include "event.h"
#include "http.h"

/*
 * The wire format of relayed calls: the meaning of headers towards callers and
 * upstreams. The ports and the client of upstreams know no header names.
 */

/* Fields of the head of an upstream's response. */
struct ct_upstream_response_head {
    uint32_t status;
    /* The response carries the request id of the call. */
    bool id_matches;
    /* The upstream reports that it did not run the call. */
    bool declined;
    /* The response carries the upstream's proof of origin. */
    bool proven;
    struct ct_upstream_notice notice;
};

struct ct_dialect;

struct ct_dialect_ops {
    /*
     * Parses a header of a call. Sets *pass if the header is relayed to the
     * upstream unchanged. Errors: CT_ERR_INVALID, CT_ERR_TOO_LARGE.
     */
    int (*call_header)(const struct ct_dialect *dialect, const char *name,
                       const char *value, struct ct_relay_call *call,
                       bool *pass);

    /*
     * Adds the headers that this host itself sets. Errors: CT_ERR_NO_MEMORY.
     */
    int (*attempt_headers)(const struct ct_dialect *dialect,
                           const struct ct_relay_start *start, ct_ms left_ms,
                           struct ct_transfer *transfer);

    /*
     * Parses a header of the response. Returns whether it is relayed to the
     * caller unchanged.
     */
    bool (*response_header)(const struct ct_dialect *dialect,
                            const struct ct_relay_start *start,
                            const char *name, const char *value,
                            struct ct_upstream_response_head *head);

    /* Returns the name of the retry-after header and formats its value. */
    const char *(*retry_after)(const struct ct_dialect *dialect,
                               ct_ms retry_after_ms, char *value, size_t size);

    /* The path where callers request addresses, and the response's body. */
    const char *addresses_path;
    void (*addresses)(const struct ct_dialect *dialect,
                      const struct ct_host *hosts, uint32_t n,
                      ct_ms lifetime_ms, GString *out);
    const char *ready_path;
};

struct ct_dialect {
    const struct ct_dialect_ops *ops;
};

#endif
