#ifndef LIB_BALANCE_H
#define LIB_BALANCE_H

#include "balance-policy.h"

/*
 * The policy that assigns each prefix a home, with a few candidates and a
 * request that tests change.
 */

#define BALANCE_CANDIDATES 12
/* Prompts that may use reserved upstreams, and prompts that may not. */
#define BALANCE_SHORT_TOKENS 1000
#define BALANCE_LONG_TOKENS 20000

struct balance_fixture {
    struct ct_balance_policy *policy;
    struct ct_candidate candidates[BALANCE_CANDIDATES];
    struct ct_balance_request request;
};

void balance_set_up(struct balance_fixture *f);
void balance_tear_down(struct balance_fixture *f);

/* Chooses a candidate for a request with the prefix; returns its index. */
int balance_choose_for_prefix(struct balance_fixture *f, uint64_t prefix);
/* Tells the policy that a request was started at the candidate. */
void balance_start_request(struct balance_fixture *f, int i);

#endif
