#ifndef CT_CANDIDATES_H
#define CT_CANDIDATES_H

#include "balance-policy.h"
#include "config.h"

/* The upstreams from which a balancing policy chooses one for an attempt. */

#define CT_CANDIDATES_MAX 1024

struct ct_state;

/* Selects upstreams of a pool. */
struct ct_candidate_filter {
    struct ct_handle pool;
    enum ct_upstream_state state;
    /*
     * Upstreams in this availability zone are marked same_zone; may be NULL.
     */
    const struct ct_name *zone;
    /* Upstreams that the request was sent to before; they are excluded. */
    const struct ct_handle *tried;
    uint32_t n_tried;
    /* Level of priority of the request, see upstream-notices.h. */
    uint32_t rank;
};

/* Writes at most max candidates and returns their number. */
uint32_t ct_candidates_list(const struct ct_state *state,
                            const struct ct_candidate_filter *filter,
                            struct ct_candidate *out, uint32_t max);

/*
 * Whether the upstream must get no request of this level of priority from this
 * host now. Every choice of an upstream asks this.
 */
bool ct_candidate_is_barred(const struct ct_state *state,
                            struct ct_handle upstream, uint32_t rank);

/*
 * Returns the time until one of the upstreams that were not tried and are
 * barred now may get a request, CT_MS_NEVER if none ever may, or 0 if none is
 * barred. The end of an evacuation cannot be foreseen: upstreams in evacuated
 * zones do not count.
 */
ct_ms ct_candidates_free_in_ms(const struct ct_state *state,
                               const struct ct_candidate_filter *filter);

bool ct_candidate_was_tried(const struct ct_handle *tried, uint32_t n_tried,
                            struct ct_handle upstream);

#endif
