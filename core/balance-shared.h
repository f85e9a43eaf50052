#ifndef CT_BALANCE_SHARED_H
#define CT_BALANCE_SHARED_H

#include "balance-rows.h"

/*
 * Choice of an upstream by the load that hosts share. All hosts have the same
 * late numbers, so no rule here sends the requests of all hosts to one
 * upstream, or all of them away from it, because of one number. See
 * docs/design/even-load.md.
 */

/* Totals over candidates. */
struct ct_balance_totals {
    uint32_t n;
    uint64_t load;
    uint64_t slots;
    /* Slots times speed in percent. */
    uint64_t capacity;
};

/* The candidates among which a request chooses, and their load. */
struct ct_balance_shared {
    const struct ct_balance_request *request;
    struct ct_balance_totals all;
    /* Those of them that are not slow. */
    struct ct_balance_totals quick;
    /* The request passes over the slow ones. */
    bool passes_slow;
};

/* Adds a candidate whose load is known. */
void ct_balance_shared_add(struct ct_balance_shared *shared,
                           const struct ct_candidate *candidate,
                           const struct ct_balance_row *row);

/*
 * Decides, after the candidates were added, whether the request passes over
 * the slow ones: if its target for gaps is short, and the others have room.
 */
void ct_balance_shared_decide_speed(struct ct_balance_shared *shared);
/* Whether the request passes over the candidate because it is slow. */
bool ct_balance_shared_passes_over(const struct ct_balance_shared *shared,
                                   const struct ct_candidate *candidate);

/* Returns the load above which a candidate gets fewer requests. */
uint64_t ct_balance_shared_bound(const struct ct_balance_shared *shared,
                                 const struct ct_candidate *candidate);

/*
 * Adjusts the part of the requests that a candidate takes: it falls while the
 * load is above the bound, and rises while it is below.
 */
void ct_balance_shared_adjust(const struct ct_balance_shared *shared,
                              const struct ct_candidate *candidate,
                              struct ct_balance_row *row);

/*
 * Whether the request passes over a home, at random. The home takes its part
 * of the requests, and of these, above the bound, the fraction bound / load.
 */
bool ct_balance_shared_skips(const struct ct_balance_shared *shared,
                             const struct ct_candidate *candidate,
                             const struct ct_balance_row *row);

/* Two of n candidates, numbered from 0. */
struct ct_balance_pair {
    uint32_t first;
    uint32_t second;
};

/*
 * Draws two different candidates of those that the request does not pass over;
 * the same twice if there is only one.
 */
struct ct_balance_pair
ct_balance_shared_draw(const struct ct_balance_shared *shared);

/*
 * Whether the second of two candidates gets the request rather than the first.
 * Both get it in proportion to their parts, and the one with less load for
 * its capacity the more often, the greater and the newer the difference is.
 * With equal load, the one with fewer requests of this host gets it.
 */
bool ct_balance_shared_prefers_second(const struct ct_balance_shared *shared,
                                      const struct ct_candidate *first,
                                      const struct ct_balance_row *first_row,
                                      const struct ct_candidate *second,
                                      const struct ct_balance_row *second_row);

#endif
