#ifndef CT_DIALECT_H
#define CT_DIALECT_H

#include <glib.h>

#include "effect.h"
#include "event.h"
#include "http.h"

/*
 * How relayed calls look on the wire: which headers mean what, on both sides.
 * The ports and the client of upstreams know no header by its name.
 */

/* What the head of an upstream's answer said. */
struct ct_upstream_response_head {
    uint32_t status;
    /* It names the call that it answers. */
    bool id_matches;
    /* The upstream says itself that it did not run the call. */
    bool declined;
    /* The upstream's proof that the answer is its own is there. */
    bool proven;
};

struct ct_dialect;

struct ct_dialect_ops {
    /*
     * Takes a header of a caller's call; *pass tells whether it goes on to
     * the upstream as it is. Errors: CT_ERR_INVALID, CT_ERR_TOO_LARGE.
     */
    int (*call_header)(const struct ct_dialect *dialect, const char *name,
                       const char *value, struct ct_relay_call *call,
                       bool *pass);

    /* Adds the headers that this host sets. Errors: CT_ERR_NO_MEMORY. */
    int (*attempt_headers)(const struct ct_dialect *dialect,
                           const struct ct_relay_start *start, ct_ms left_ms,
                           struct ct_transfer *transfer);

    /*
     * Takes a header of the answer; returns whether it goes on to the caller
     * as it is.
     */
    bool (*answer_header)(const struct ct_dialect *dialect,
                          const struct ct_relay_start *start, const char *name,
                          const char *value,
                          struct ct_upstream_response_head *head);

    /* Name and value of the header that tells when to come back. */
    const char *(*retry_after)(const struct ct_dialect *dialect,
                               ct_ms retry_after_ms, char *value, size_t size);

    /* The path under which callers ask for addresses, and the answer. */
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
