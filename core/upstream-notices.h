#ifndef CT_UPSTREAM_NOTICES_H
#define CT_UPSTREAM_NOTICES_H

#include <glib.h>

#include "clock.h"
#include "relay-types.h"
#include "table.h"
#include "token-bucket.h"

/*
 * What upstreams say about themselves in their responses. A notice belongs to
 * one start of an upstream: another process under the same name or address has
 * another handle.
 */

struct ct_notice_row {
    /* The upstream; rows are found by the handle's index. */
    struct ct_handle upstream;
    /* It leaves, as far as this host knows until this time; 0 if it does not.
     */
    ct_ms leaving_until_ms;
    /* This host must send it nothing until this time; 0 for no pause. */
    ct_ms paused_until_ms;
    bool limited;
    int64_t limit_permille;
    /* When the upstream last sent a head. */
    ct_ms heard_ms;
    /* This host's share of the limit; its rate is 0 if it has none. */
    struct ct_token_bucket bucket;
};

/* Calls of a pool that found every upstream barred. */
struct ct_notice_pool {
    /*
     * When a call last found every upstream barred, and the most urgent level
     * of such calls lately.
     */
    ct_ms waited_ms;
    uint32_t waiting_rank;
};

struct ct_upstream_notices {
    /* struct ct_notice_row */
    GArray *rows;
    /* struct ct_notice_pool, by the index of the pool's row */
    GArray *pools;
    /* When this host's shares were last computed. */
    ct_ms shared_ms;
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

/* Adapts this host's shares of the limits to the group; cheap if recent. */
void ct_upstream_notices_share(struct ct_state *state);

/*
 * Whether the upstream must get no request of this level of priority from this
 * host now.
 */
bool ct_upstream_notices_bar(const struct ct_state *state,
                             struct ct_handle upstream, uint32_t rank);

/*
 * Whether a call of this level of priority must leave what its pool's
 * upstreams take to a more urgent one that found them all barred.
 */
bool ct_upstream_notices_must_yield(const struct ct_state *state,
                                    struct ct_handle pool, uint32_t rank);

/* An attempt is sent to the upstream. */
void ct_upstream_notices_on_attempt(struct ct_state *state,
                                    struct ct_handle upstream);

/*
 * Returns the time until the upstream may get a call of this host by its
 * notices, CT_MS_NEVER if none is known, or 0 if it has no notice or leaves.
 */
ct_ms ct_upstream_notices_free_in_ms(const struct ct_state *state,
                                     struct ct_handle upstream);

/*
 * A call found every upstream of its pool barred: less urgent ones get no
 * limited one for a while.
 */
void ct_upstream_notices_on_wait(struct ct_state *state, struct ct_handle pool,
                                 uint32_t rank);

#endif
