#ifndef CT_BALANCE_AFFINITY_H
#define CT_BALANCE_AFFINITY_H

#include "balance-rows.h"

/*
 * Load: own requests in flight plus the load from other hosts. The latter is
 * the last load report minus the own requests included in it, which are known
 * from the history of own requests in flight.
 *
 * Prefix affinity: among the upstreams whose load is at most a quarter above
 * the mean, the one that rendezvous hashing assigns to the prefix, so that a
 * prefix stays cached at few upstreams and none is overloaded.
 *
 * Health: an upstream that failed is ejected for a time that doubles with each
 * further ejection; then one request probes it. An upstream whose time between
 * tokens (for plain services: time to the first byte) exceeds a multiple of
 * the median of its peers is ejected in the same way, but at most a third of
 * the upstreams; such an upstream still serves requests that no other can
 * take.
 */

/* Properties of a candidate during one choice. */
struct ct_choice {
    struct ct_balance_row *row;
    uint32_t load;
    uint32_t slots;
    bool eligible;
    bool cheap;
    bool slow;
};

struct ct_balance_affinity {
    struct ct_balance_policy policy;
    struct ct_balance_rows rows;
    uint64_t seed;
    struct ct_choice *choices;
    uint32_t n_choices;
    uint64_t *sorted;
    uint32_t n_sorted;
};

#endif
