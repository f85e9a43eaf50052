#ifndef CT_BALANCE_AFFINITY_H
#define CT_BALANCE_AFFINITY_H

#include "balance-rows.h"

/*
 * Load: own requests in flight plus the load of other hosts. The latter is
 * the last report less the own requests that the report counted already,
 * known from the history of own requests in flight.
 *
 * Prefix affinity: of the upstreams whose load is at most a quarter above
 * the mean, the one that rendezvous hashing gives to the prefix, so that the
 * prefix stays cached at few upstreams and none is overrun.
 *
 * Health: an upstream that failed is ejected for a time that doubles with
 * each failure, then one request probes it. An upstream whose time between
 * tokens (for plain services: to the first byte) is a multiple of its peers'
 * median is ejected in the same way, but at most a third of them, and it
 * still serves when no other can.
 */

/* A candidate's figures during one choice. */
struct ct_choice {
    struct ct_balance_row *row;
    uint32_t load;
    uint32_t slots;
    bool open;
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
