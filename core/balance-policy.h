#ifndef CT_BALANCE_POLICY_H
#define CT_BALANCE_POLICY_H

#include "clock.h"
#include "event.h"
#include "table.h"

/*
 * Chooses an upstream for an attempt. The owner supplies the candidates; the
 * policy keeps rows of its own with what it has measured of each upstream (own
 * requests in flight, load reports, token gaps, failures).
 */

struct ct_candidate {
    /* The owner's handle; the policy finds its row by the handle's index. */
    struct ct_handle upstream;
    /* Hash of the upstream's name, the same on all hosts. */
    uint64_t name_hash;
    /* Requests that the upstream serves concurrently. */
    uint32_t slots;
    bool cheap;
    /* In the availability zone of this host. */
    bool same_zone;
    /* Not available to this request: tried before, or leaving. */
    bool excluded;
    /* Accepts no new requests, but still has its cached prefixes. */
    bool leaving;
    /* Must get no request now, see ct_candidate_is_barred(). */
    bool barred;
    /*
     * Calls of other hosts in flight at the upstream, estimated, and how old
     * the estimate is; set only if load_known is.
     */
    bool load_known;
    uint32_t others_in_flight;
    ct_ms load_age_ms;
    /*
     * Speed in percent of the median of the pool, 100 if unknown; 0 counts as
     * 100.
     */
    uint32_t speed_percent;
};

struct ct_balance_request {
    ct_ms now_ms;
    /* Hash over the first part of the prompt; 0 if there is none. */
    uint64_t prefix_hash;
    /* 0 if unknown. */
    uint32_t prompt_tokens;
    /*
     * No other requests to the pool have a shorter target for the gap between
     * two parts of a response.
     */
    bool tight_gap;
    /*
     * The request has a target for this gap, and others to the pool have a
     * longer one.
     */
    bool short_gap;
    uint32_t tier;
    /*
     * Hosts that send requests to the pool, including this one; 0 if unknown.
     */
    uint32_t hosts;
    /* May run on a cheap upstream, which can be reclaimed at short notice. */
    bool cheap_allowed;
    /* May be sent to an ejected upstream as a probe. */
    bool may_probe;
    /* Differs from call to call and host to host if hosts share their load. */
    uint64_t random;
};

struct ct_balance_policy;

struct ct_balance_policy_ops {
    /*
     * Returns the index of the chosen candidate. Errors: CT_ERR_NOT_FOUND if
     * no candidate can take the request; CT_ERR_NO_MEMORY.
     */
    int (*choose_upstream)(struct ct_balance_policy *policy,
                           const struct ct_balance_request *request,
                           const struct ct_candidate *candidates, uint32_t n);

    /*
     * Returns, after a choice, the index of another candidate that is likely
     * to have the prefix cached, if the chosen candidate does not. Errors:
     * CT_ERR_NOT_FOUND if there is none.
     */
    int (*cache_donor)(struct ct_balance_policy *policy,
                       const struct ct_balance_request *request,
                       const struct ct_candidate *candidates, uint32_t n,
                       uint32_t chosen);

    /*
     * Returns, after a choice, the index of the candidate that is to hold a
     * copy of the request's cache while the chosen one runs it. Here the
     * candidates in the availability zone of the chosen one are marked
     * same_zone. Errors: CT_ERR_NOT_FOUND if there is none, or no room for
     * copies.
     */
    int (*choose_backup)(struct ct_balance_policy *policy,
                         const struct ct_balance_request *request,
                         const struct ct_candidate *candidates, uint32_t n,
                         uint32_t chosen);

    /* An attempt at the upstream was started, or ended. */
    void (*started)(struct ct_balance_policy *policy,
                    struct ct_handle upstream, ct_ms now_ms);
    void (*ended)(struct ct_balance_policy *policy, struct ct_handle upstream,
                  enum ct_outcome outcome, ct_ms now_ms);

    /* The first token arrived wait_ms after the start of the attempt. */
    void (*first_token)(struct ct_balance_policy *policy,
                        struct ct_handle upstream, ct_ms wait_ms,
                        ct_ms now_ms);
    /* A number of tokens arrived gap_ms after the token before them. */
    void (*token_gap)(struct ct_balance_policy *policy,
                      struct ct_handle upstream, uint32_t tokens, ct_ms gap_ms,
                      ct_ms now_ms);

    /* A load report of the upstream, as of at_ms. */
    void (*reported)(struct ct_balance_policy *policy,
                     struct ct_handle upstream, uint32_t running,
                     uint32_t waiting, ct_ms at_ms);

    /*
     * Whether the upstream is not ejected, so that its slots count as usable.
     */
    bool (*usable)(struct ct_balance_policy *policy, struct ct_handle upstream,
                   ct_ms now_ms);

    /* Returns the heap bytes in use. */
    size_t (*bytes)(const struct ct_balance_policy *policy);
    void (*free)(struct ct_balance_policy *policy);
};

struct ct_balance_policy {
    const struct ct_balance_policy_ops *ops;
};

/* Constructors of the policies. They return NULL if out of memory. */

/* Chooses the upstreams in turn. */
struct ct_balance_policy *ct_balance_round_robin_new(void);

/* Chooses the upstream with the fewest own requests in flight per slot. */
struct ct_balance_policy *ct_balance_least_loaded_new(void);

/*
 * For relayed calls, which the engines queue and admit themselves. Each prefix
 * has a home upstream; while that has far more requests in flight than the
 * mean, the next one in the prefix's order is used. Calls without a prefix go
 * to the upstream with the fewest requests in flight. If the load of the other
 * hosts is known, both go by the requests of all hosts. Some upstreams are
 * reserved for interactive requests, those with a short prompt and the
 * tightest target for gaps, whose tokens would otherwise be delayed while the
 * engine reads the prompts of other requests. The seed differs by host.
 */
struct ct_balance_policy *ct_balance_prefix_home_new(uint64_t seed);

/* The policy that the gateway uses; see balance-affinity.h. */
struct ct_balance_policy *ct_balance_affinity_new(uint64_t seed);

#endif
