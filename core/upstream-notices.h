#ifndef CT_UPSTREAM_NOTICES_H
#define CT_UPSTREAM_NOTICES_H

#include <glib.h>

#include "clock.h"
#include "relay-types.h"
#include "table.h"

/*
 * What upstreams say about themselves in their responses. A notice belongs to
 * one start of an upstream: another process under the same name or address has
 * another handle.
 */

struct ct_notice_row {
    /* The upstream; rows are found by the handle's index. */
    struct ct_handle upstream;
    bool limited;
    int64_t limit_permille;
};

struct ct_upstream_notices {
    /* struct ct_notice_row */
    GArray *rows;
    /* When an invalid notice was last logged; 0 for never. */
    ct_ms invalid_logged_ms;
};

struct ct_state;

void ct_upstream_notices_init(struct ct_upstream_notices *notices);
void ct_upstream_notices_free(struct ct_upstream_notices *notices);

/*
 * The upstream sent the head of a response with this notice, whose members are
 * clear if it said nothing. Ignored for CT_NO_HANDLE.
 */
void ct_upstream_notices_on_head(struct ct_state *state,
                                 struct ct_handle upstream,
                                 const struct ct_upstream_notice *notice);

#endif
