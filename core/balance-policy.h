#ifndef CT_BALANCE_POLICY_H
#define CT_BALANCE_POLICY_H

#include "clock.h"
#include "event.h"
#include "table.h"

/*
 * Choice of an upstream for an attempt. The owner says what may be chosen
 * from; the policy keeps what it has seen of each upstream (own requests in
 * flight, load reports, token gaps, failures) in rows of its own.
 */

struct ct_candidate {
    /* The owner's handle; the policy's row follows its index. */
    struct ct_handle upstream;
    /* Hash of the upstream's name, the same on all hosts. */
    uint64_t name_hash;
    /* Requests that the upstream serves at the same time. */
    uint32_t slots;
    bool cheap;
    /* In the availability zone of this host. */
    bool same_zone;
    /* Not for this request: tried already, or leaving. */
    bool excluded;
    /* Takes nothing new, but still has what it keeps. */
    bool leaving;
};

struct ct_balance_request {
    ct_ms now_ms;
    /* Hash over the first part of the prompt; 0 for none. */
    uint64_t prefix_hash;
    /* 0 where it is not known. */
    uint32_t prompt_tokens;
    uint32_t tier;
    /* Hosts that send requests there, this one included; 0 for unknown. */
    uint32_t hosts;
    /* May run on an upstream that can be reclaimed on short notice. */
    bool cheap_allowed;
    /* May be sent to an ejected upstream to see whether it is back. */
    bool may_probe;
};

struct ct_balance_policy;

struct ct_balance_policy_ops {
    /*
     * Returns the place of the chosen one in the array. Errors:
     * CT_ERR_NOT_FOUND where none can take the request; CT_ERR_NO_MEMORY.
     */
    int (*choose)(struct ct_balance_policy *policy,
                  const struct ct_balance_request *ask,
                  const struct ct_candidate *candidates, uint32_t n);

    /*
     * After a choice: another one that is likely to keep the prefix where the
     * chosen one is not. Errors: CT_ERR_NOT_FOUND for none.
     */
    int (*keeper)(struct ct_balance_policy *policy,
                  const struct ct_balance_request *ask,
                  const struct ct_candidate *candidates, uint32_t n,
                  uint32_t chosen);

    /* An attempt was started at, and ended at, the upstream. */
    void (*started)(struct ct_balance_policy *policy,
                    struct ct_handle upstream, ct_ms now_ms);
    void (*ended)(struct ct_balance_policy *policy, struct ct_handle upstream,
                  enum ct_outcome outcome, ct_ms now_ms);

    /* The first token came wait_ms after the start. */
    void (*first_token)(struct ct_balance_policy *policy,
                        struct ct_handle upstream, ct_ms wait_ms,
                        ct_ms now_ms);
    /* A number of tokens came gap_ms after the token before them. */
    void (*token_gap)(struct ct_balance_policy *policy,
                      struct ct_handle upstream, uint32_t tokens, ct_ms gap_ms,
                      ct_ms now_ms);

    /* Figures of the upstream that were true at at_ms. */
    void (*reported)(struct ct_balance_policy *policy,
                     struct ct_handle upstream, uint32_t running,
                     uint32_t waiting, ct_ms at_ms);

    /* Whether the upstream is not ejected; its slots count as usable. */
    bool (*usable)(struct ct_balance_policy *policy, struct ct_handle upstream,
                   ct_ms now_ms);

    /* Heap bytes held. */
    size_t (*bytes)(const struct ct_balance_policy *policy);
    void (*free)(struct ct_balance_policy *policy);
};

struct ct_balance_policy {
    const struct ct_balance_policy_ops *ops;
};

/* The policies. NULL where memory is gone. */

/* One upstream after the other. */
struct ct_balance_policy *ct_balance_round_robin_new(void);

/* Fewest own requests in flight a slot. */
struct ct_balance_policy *ct_balance_least_loaded_new(void);

/*
 * For relayed calls, which engines queue and admit themselves: each prefix
 * has a home, left for the next one while it has far more in flight than the
 * mean; calls without a prefix go where the fewest are in flight. Some
 * upstreams are kept for short prompts, whose tokens would wait for the long
 * ones that are read beside them.
 */
struct ct_balance_policy *ct_balance_home_new(void);

/* The product's own policy; see balance-affinity.h. */
struct ct_balance_policy *ct_balance_affinity_new(uint64_t seed);

#endif
