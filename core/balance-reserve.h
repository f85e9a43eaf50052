#ifndef CT_BALANCE_RESERVE_H
#define CT_BALANCE_RESERVE_H

#include "balance-rows.h"

/*
 * Which upstreams the home policy reserves for interactive requests: those
 * with a short prompt and the tightest target for gaps, whose tokens would
 * otherwise be delayed while an engine reads the prompts of other requests.
 */

/* The upstreams reserved for interactive requests. */
struct ct_balance_reserve {
    /* Hash of the last one in the order of ct_balance_reserve_hash(); 0 if
     * none. */
    uint64_t up_to;
    /* They are half full, and no more can be reserved. */
    bool full;
};


/* Orders upstreams for a prefix: the one with the highest hash is its home. */
uint64_t ct_rendezvous_hash(uint64_t prefix_hash, uint64_t name_hash);

/* Places the upstream in the order in which upstreams are reserved. */
uint64_t ct_balance_reserve_hash(const struct ct_candidate *candidate);

bool ct_balance_is_interactive(const struct ct_balance_request *request);

/*
 * Whether the requests of all hosts use more than the permitted part of the
 * slots, if each host has as many in flight; hosts is 1 if in_flight has the
 * requests of all.
 */
bool ct_balance_exceeds_reserve(uint64_t in_flight, uint64_t slots,
                                uint32_t hosts);

/*
 * Reserves upstreams for interactive requests: a part of all, and more while
 * these are half full. The set of a smaller number is part of that of a larger
 * one, so hosts that reserve different numbers disagree about few upstreams.
 */
struct ct_balance_reserve
ct_balance_reserve(struct ct_balance_base *base,
                   const struct ct_balance_request *request,
                   const struct ct_candidate *candidates, uint32_t n);

#endif
