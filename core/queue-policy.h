#ifndef CT_QUEUE_POLICY_H
#define CT_QUEUE_POLICY_H

#include "clock.h"
#include "config-row.h"
#include "refusal.h"
#include "table.h"

/*
 * Admission and queueing in front of the pools. A policy decides on arrival
 * whether a request is admitted, queued or refused, and which queued request
 * gets a free slot. It keeps its own flat rows and depends neither on the
 * reducer's state nor on messages, so that benches and embedders can use it
 * alone.
 *
 * Organisations, classes and pools are identified by small dense numbers: the
 * indices of their rows in the tables of the owner. Requests are identified by
 * the owner's handles.
 *
 * Use by the owner:
 *
 *   1. set_class(), set_organisation() and set_pool() with the configuration;
 *      set_pool() again whenever the number of slots changes (an upstream is
 *      ejected or leaves, slots move between hosts).
 *   2. arrive(). CT_ADMITTED: the request now holds a slot. CT_QUEUED: arm a
 *      timer for decision.wait_deadline_ms. CT_REFUSED: refuse it. If another
 *      request was shed to make room, refuse that one with the given reason.
 *   3. set_placement() once an upstream was chosen; give_back() if none could
 *      be chosen or the upstream did not run the request. After give_back()
 *      wait for another event before calling next(), which would otherwise
 *      return the same request.
 *   4. release_slot() when the request leaves its slot for any reason; then
 *      expire() until it returns 0, so that no slot goes to an expired
 *      request, and next() until it returns 0. Call both also at
 *      wait_deadline_ms.
 *   5. remove_queued() when a caller disconnects or the owner drops a queued
 *      request.
 */

struct ct_queue_request {
    struct ct_handle request;
    uint32_t organisation;
    uint32_t klass;
    uint32_t pool;
    ct_ms arrived_ms;
    uint32_t prompt_tokens;
    /* Upper bound given by the caller; 0 if none. */
    uint32_t max_tokens;
};

enum ct_admission {
    CT_ADMITTED = 1,
    CT_QUEUED,
    CT_REFUSED,
};

struct ct_queue_refusal {
    struct ct_handle request;
    enum ct_refusal reason;
    ct_ms retry_after_ms;
};

struct ct_queue_decision {
    enum ct_admission admission;
    /* CT_REFUSED */
    enum ct_refusal reason;
    ct_ms retry_after_ms;
    /* State at the decision, for the record of a refusal. */
    ct_ms expected_wait_ms;
    uint32_t queue_length;
    /* CT_QUEUED: the latest time to call expire(). */
    ct_ms wait_deadline_ms;
    /* A queued request that was shed to make room for this one. */
    bool has_shed;
    struct ct_queue_refusal shed;
};

/* Measurements of a request that has left its slot. */
struct ct_queue_result {
    struct ct_handle request;
    /* From the start of the attempt; negative if no token arrived. */
    ct_ms first_token_ms;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    /* Only complete responses count in the statistics of lengths and times. */
    bool complete;
};

struct ct_queue_totals {
    uint32_t queued;
    uint32_t running;
    /* Of the running ones, those in cheap slots. */
    uint32_t cheap_running;
    uint32_t queued_by_tier[CT_TIERS];
    /* Of the queued ones, those that may use a cheap slot. */
    uint32_t cheap_queued_by_tier[CT_TIERS];
    /* Tier inversions as defined in queue-tiered.h. */
    uint64_t inversions;
};

struct ct_queue_policy;

struct ct_queue_policy_ops {
    /* Errors of all setters: CT_ERR_NO_MEMORY, CT_ERR_INVALID. */
    int (*set_class)(struct ct_queue_policy *policy, uint32_t klass,
                     const struct ct_class *settings);
    int (*set_organisation)(struct ct_queue_policy *policy,
                            uint32_t organisation, uint32_t weight);
    /*
     * Sets the slots that this host may use. Firm slots are those of firm
     * upstreams, cheap slots those of cheap ones.
     */
    int (*set_pool)(struct ct_queue_policy *policy, uint32_t pool,
                    uint32_t firm_slots, uint32_t cheap_slots);

    /*
     * Errors: CT_ERR_NO_MEMORY; CT_ERR_EXISTS if the request is known already;
     * CT_ERR_NOT_FOUND if its class or pool was never set.
     */
    int (*arrive)(struct ct_queue_policy *policy,
                  const struct ct_queue_request *w, ct_ms now_ms,
                  struct ct_queue_decision *decision);

    /*
     * Assigns a free slot of the pool to a queued request. Returns 1 and the
     * request, or 0 if no slot is free or no request may be started.
     */
    int (*next)(struct ct_queue_policy *policy, uint32_t pool, ct_ms now_ms,
                struct ct_queue_request *w);

    /*
     * Removes one request that has waited too long from the queue. Returns 1
     * and the request to be refused, or 0 if there is none.
     */
    int (*expire)(struct ct_queue_policy *policy, ct_ms now_ms,
                  struct ct_queue_refusal *shed);

    /* Records whether a running request was placed on a cheap upstream. */
    void (*set_placement)(struct ct_queue_policy *policy,
                          struct ct_handle request, bool cheap);

    /*
     * Returns a running request to the head of its queue and frees its slot.
     * Errors: CT_ERR_NOT_FOUND.
     */
    int (*give_back)(struct ct_queue_policy *policy, struct ct_handle request,
                     ct_ms now_ms);

    /*
     * Removes a running request and frees its slot. Errors: CT_ERR_NOT_FOUND
     * if the request is not running.
     */
    int (*release_slot)(struct ct_queue_policy *policy,
                        const struct ct_queue_result *served, ct_ms now_ms);

    /*
     * Removes a queued request. Errors: CT_ERR_NOT_FOUND if the request is not
     * queued.
     */
    int (*remove_queued)(struct ct_queue_policy *policy,
                         struct ct_handle request);

    void (*totals)(const struct ct_queue_policy *policy, uint32_t pool,
                   struct ct_queue_totals *totals);
    /* Heap bytes in use. */
    size_t (*bytes)(const struct ct_queue_policy *policy);
    void (*free)(struct ct_queue_policy *policy);
};

struct ct_queue_policy {
    const struct ct_queue_policy_ops *ops;
};

/*
 * Constructors of the policies. max_queued bounds the queue of each pool. They
 * return NULL if out of memory.
 */

/* First in, first out. */
struct ct_queue_policy *ct_queue_fifo_new(uint32_t max_queued);

/* Highest tier first; first in, first out within a tier. */
struct ct_queue_policy *ct_queue_priority_new(uint32_t max_queued);

/* The policy that the gateway uses; see queue-tiered.h. */
struct ct_queue_policy *ct_queue_tiered_new(uint32_t max_queued);

#endif
