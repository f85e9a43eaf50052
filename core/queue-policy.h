#ifndef CT_QUEUE_POLICY_H
#define CT_QUEUE_POLICY_H

#include "clock.h"
#include "config-row.h"
#include "refusal.h"
#include "table.h"

/*
 * Admission and queueing in front of the pools. A policy decides at arrival
 * whether a request is admitted, queued or refused, and which request gets a
 * free slot. It holds flat rows of its own and knows neither the reducer's
 * state nor any message, so that benches and embedders use it alone.
 *
 * Organisations, classes and pools are named by small dense numbers: the
 * indices of their rows in the tables of the owner. Requests are named by
 * the owner's handles.
 *
 * Use by the owner:
 *
 *   1. set_class(), set_organisation(), set_pool() with the configuration,
 *      and set_pool() again when slots come and go (ejected or leaving
 *      upstreams, shares moved between hosts).
 *   2. arrive(). CT_ADMITTED: the request holds a slot now. CT_QUEUED: arm a
 *      timer for decision.give_up_ms. CT_REFUSED: refuse. A request that was
 *      shed to make room is refused with the reason given.
 *   3. placed() once an upstream was chosen; give_back() where none could be
 *      chosen, or the upstream did not run the request. After that wait for
 *      another event before next(), or the same request comes out again.
 *   4. finished() when the request leaves its slot, for whatever reason, then
 *      expire() until it returns 0, so that no slot goes to what is given up,
 *      and next() until it returns 0; the same at give_up_ms.
 *   5. gone() when a caller leaves or the owner drops a queued request.
 */

struct ct_waiting {
    struct ct_handle request;
    uint32_t organisation;
    uint32_t klass;
    uint32_t pool;
    ct_ms arrived_ms;
    uint32_t prompt_tokens;
    /* Upper bound that the caller gave; 0 for none. */
    uint32_t max_tokens;
};

enum ct_admission {
    CT_ADMITTED = 1,
    CT_QUEUED,
    CT_REFUSED,
};

struct ct_shed {
    struct ct_handle request;
    enum ct_refusal reason;
    ct_ms retry_after_ms;
};

struct ct_queue_decision {
    enum ct_admission admission;
    /* CT_REFUSED */
    enum ct_refusal reason;
    ct_ms retry_after_ms;
    /* What was known, for the refusal's record. */
    ct_ms expected_wait_ms;
    uint32_t queue_length;
    /* CT_QUEUED: when to call expire() at the latest. */
    ct_ms give_up_ms;
    /* A queued request that was shed for this one. */
    bool has_shed;
    struct ct_shed shed;
};

/* What a request that left its slot has shown. */
struct ct_served {
    struct ct_handle request;
    /* From the start of the attempt; negative where there was no token. */
    ct_ms first_token_ms;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    /* The whole answer was served: lengths and times are learnt from it. */
    bool whole;
};

struct ct_queue_totals {
    uint32_t queued;
    uint32_t running;
    /* Of these, in cheap slots. */
    uint32_t cheap_running;
    uint32_t queued_by_tier[CT_TIERS];
    /* Of these, requests that may use a cheap slot. */
    uint32_t cheap_queued_by_tier[CT_TIERS];
    /* Requests shed for a lower tier, by the definition in queue-tiered.h. */
    uint64_t inversions;
};

struct ct_queue_policy;

struct ct_queue_policy_ops {
    /* Errors of all: CT_ERR_NO_MEMORY, CT_ERR_INVALID. */
    int (*set_class)(struct ct_queue_policy *policy, uint32_t klass,
                     const struct ct_class *settings);
    int (*set_organisation)(struct ct_queue_policy *policy,
                            uint32_t organisation, uint32_t weight);
    /* Slots that this host may use; firm are those that are not cheap. */
    int (*set_pool)(struct ct_queue_policy *policy, uint32_t pool,
                    uint32_t firm_slots, uint32_t cheap_slots);

    /*
     * Errors: CT_ERR_NO_MEMORY; CT_ERR_EXISTS for a request that is known;
     * CT_ERR_NOT_FOUND for a class or pool that was never set.
     */
    int (*arrive)(struct ct_queue_policy *policy, const struct ct_waiting *w,
                  ct_ms now_ms, struct ct_queue_decision *decision);

    /*
     * Gives a free slot of the pool to a queued request. Returns 1 and the
     * request, or 0 where no slot is free or nothing may be started.
     */
    int (*next)(struct ct_queue_policy *policy, uint32_t pool, ct_ms now_ms,
                struct ct_waiting *w);

    /*
     * Takes one request out of the queue that has waited too long. Returns 1
     * and the request to be refused, or 0 for none.
     */
    int (*expire)(struct ct_queue_policy *policy, ct_ms now_ms,
                  struct ct_shed *shed);

    /* The running request runs on a cheap upstream, or on a firm one. */
    void (*placed)(struct ct_queue_policy *policy, struct ct_handle request,
                   bool cheap);

    /*
     * The running request goes back to the head of its queue and its slot
     * is free again. Errors: CT_ERR_NOT_FOUND.
     */
    int (*give_back)(struct ct_queue_policy *policy, struct ct_handle request,
                     ct_ms now_ms);

    /* Errors: CT_ERR_NOT_FOUND where the request does not run. */
    int (*finished)(struct ct_queue_policy *policy,
                    const struct ct_served *served, ct_ms now_ms);

    /* Errors: CT_ERR_NOT_FOUND where the request is not queued. */
    int (*gone)(struct ct_queue_policy *policy, struct ct_handle request);

    void (*totals)(const struct ct_queue_policy *policy, uint32_t pool,
                   struct ct_queue_totals *totals);
    /* Heap bytes held. */
    size_t (*bytes)(const struct ct_queue_policy *policy);
    void (*free)(struct ct_queue_policy *policy);
};

struct ct_queue_policy {
    const struct ct_queue_policy_ops *ops;
};

/*
 * The policies. max_queued bounds the queue of each pool. NULL where memory
 * is gone.
 */

/* First in, first out. */
struct ct_queue_policy *ct_queue_fifo_new(uint32_t max_queued);

/* Highest tier first, then first in, first out. */
struct ct_queue_policy *ct_queue_priority_new(uint32_t max_queued);

/* The product's own policy; see queue-tiered.h. */
struct ct_queue_policy *ct_queue_tiered_new(uint32_t max_queued);

#endif
