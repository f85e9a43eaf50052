#ifndef CT_QUEUE_TIERED_H
#define CT_QUEUE_TIERED_H

#include "queue-rows.h"
#include "timer.h"

/*
 * Admission and queueing by tier, class target and organisation.
 *
 * Order of service: the highest tier with a startable request; in it the
 * organisation with the fewest tokens in service and served, by weight
 * (start-time fair queueing); of organisations that are about level, the
 * request whose last useful start comes first. Requests past their last
 * useful start are served after all others of their tier.
 *
 * Reserve: a class with reserve_percent owns that part of a pool, at least
 * one slot and one place in the queue. A waiting request of the class is
 * started before higher tiers while the class holds fewer slots than its
 * reserve and its credit is not negative. Credit grows by the reserve's slot
 * time, falls by the slot time that the class uses, and is bounded by
 * RESERVE_WINDOW_MS of growth. No class starves: while it holds and awaits
 * fewer slots than it owns, a request of it is refused for nothing but its
 * queue limit, and after at most hold time / reserve it is started again.
 *
 * Tier inversion: a request R of tier T is refused at a host under load (any
 * of overload, over-fair-share, target-unreachable, queue-timeout), and
 *
 *   (a) place: for overload and over-fair-share, a class of a lower tier has
 *       more requests in the queue of that pool than its reserved places; or
 *   (b) slot: since R arrived a request of a lower tier was given a slot of
 *       the pool that R could have used, and not from the reserve; or
 *   (c) at once: for target-unreachable, a class of a lower tier has more
 *       requests in the queue of the pool than its reserved places, or more
 *       in slots than its reserve and at least one in a slot that R could
 *       use (one of a cheap upstream is none where R may not run there).
 *
 * The policy keeps this at 0, and counts it all the same. So "no request of
 * a higher tier is shed for a lower one" and "no class starves" agree: what
 * lies within a reserve is the class's own and was never the higher tier's.
 * Work that runs is not cut: a slot taken before R arrived is no inversion
 * where R waits out its queue limit.
 */

struct ct_queue_lane {
    bool used;
    uint32_t organisation;
    uint32_t klass;
    uint32_t tier;
    struct ct_queue_list list;
    /* Expected slot time of the rows that wait. */
    ct_ms queued_ms;
    uint32_t running;
    /* Virtual start of the next request, in scaled tokens. */
    uint64_t tag;
};

/* Use of a pool by a class. */
struct ct_class_use {
    bool seen;
    uint32_t queued;
    uint32_t running;
    /* Of these, on cheap upstreams, and started from the reserve. */
    uint32_t cheap_running;
    uint32_t reserve_running;
    /* Slot milliseconds, and the time up to which they are counted. */
    int64_t credit;
    ct_ms credit_at_ms;
};

struct ct_tiered_pool {
    /* Rows that wait past their last useful start. */
    uint32_t late;
    struct ct_queue_lane *lanes;
    uint32_t n_lanes;
    struct ct_class_use *uses;
    uint32_t n_uses;
    /* Virtual time of fair queueing. */
    uint64_t virtual_time[CT_TIERS];
    /* Until then a tier counts as unable to meet its targets. */
    ct_ms pressed_until_ms[CT_TIERS];
    /* Number of rows that had arrived at the last ordinary start. */
    uint64_t last_start[CT_TIERS];
    uint64_t last_firm_start[CT_TIERS];
};

/* Tokens of an organisation, losing half each USAGE_HALF_LIFE_MS. */
struct ct_organisation_use {
    uint64_t tokens;
    ct_ms at_ms;
};

struct ct_queue_tiered {
    struct ct_queue_base base;
    struct ct_tiered_pool *pools;
    uint32_t n_pools;
    struct ct_organisation_use *organisations;
    uint32_t n_organisations;
    /* Last useful starts and ends of waits. */
    struct ct_timers timers;
};

/* queue-reserve.c: what a class owns of a pool. */
uint32_t ct_reserve_places(const struct ct_queue_tiered *q, uint32_t klass);
uint32_t ct_reserve_slots(const struct ct_queue_tiered *q, uint32_t pool,
                          uint32_t klass);
/* Places that classes own and do not use. */
uint32_t ct_reserve_unused_places(const struct ct_queue_tiered *q,
                                  uint32_t pool);
void ct_reserve_accrue(struct ct_queue_tiered *q, uint32_t pool,
                       uint32_t klass, ct_ms now_ms);
/*
 * The class, other than that of the chosen row, of its tier or below that
 * may start from its reserve; -1 for none.
 */
int ct_reserve_class(struct ct_queue_tiered *q,
                     const struct ct_queue_row *chosen, ct_ms now_ms);
/*
 * Whether a class below the row's tier holds more than its reserve: of the
 * queue, or also of the slots that the row could use.
 */
bool ct_reserve_exceeded_below(const struct ct_queue_tiered *q,
                               const struct ct_queue_row *row,
                               bool with_slots);

/* queue-lane.c: one lane an organisation and class; fair queueing. */
int ct_lane_enter(struct ct_queue_tiered *q, struct ct_queue_row *row);
void ct_lane_insert(struct ct_queue_tiered *q, struct ct_handle handle,
                    bool at_head);
void ct_lane_remove(struct ct_queue_tiered *q, struct ct_handle handle);
/* Charges tokens of the row's organisation; negative to correct. */
void ct_lane_charge(struct ct_queue_tiered *q, const struct ct_queue_row *row,
                    int64_t tokens);
/* Best row of the tier for a free slot; of one class only unless -1. */
struct ct_handle ct_lane_select(struct ct_queue_tiered *q, uint32_t pool,
                                uint32_t tier, int klass);
/* Decayed tokens by weight; queued work of the pool and tier counts too. */
uint64_t ct_lane_share(struct ct_queue_tiered *q, uint32_t pool,
                       uint32_t organisation, uint32_t tier, ct_ms now_ms);
uint32_t ct_lane_weight(const struct ct_queue_tiered *q,
                        uint32_t organisation);
void ct_lane_use(struct ct_queue_tiered *q, uint32_t organisation,
                 uint64_t tokens, ct_ms now_ms);

/* queue-shed.c: who is refused, and why. */

/* Refuses a row that has just arrived and is in no lane. */
void ct_shed_arrival(struct ct_queue_tiered *q, struct ct_handle handle,
                     enum ct_refusal reason,
                     struct ct_queue_decision *decision);
/*
 * Whether the row may be refused because its target cannot be met: not while
 * the other requests of its class, in slots and waiting, are fewer than the
 * slots that the class owns, and not while lower tiers hold more than theirs.
 */
bool ct_shed_allowed(const struct ct_queue_tiered *q,
                     const struct ct_queue_row *row, uint32_t queued);
/*
 * Frees one place for the row by shedding another. Returns CT_OK, or the
 * negated reason for refusing the row itself.
 */
int ct_shed_for(struct ct_queue_tiered *q, const struct ct_queue_row *row,
                struct ct_queue_decision *decision, ct_ms now_ms);
/* Ends or demotes the wait of a row whose timer is due; 1 where it ended. */
int ct_shed_due(struct ct_queue_tiered *q, struct ct_handle handle,
                ct_ms now_ms, struct ct_shed *shed);
/*
 * Refuses a late row of the pool that lower tiers no longer keep from it,
 * while others wait that may be in time; returns 1, or 0 for none.
 */
int ct_shed_late(struct ct_queue_tiered *q, uint32_t pool,
                 struct ct_shed *shed);

/* queue-predict.c: what will a request need, how long will it wait. */
void ct_predict_row(struct ct_queue_tiered *q, struct ct_queue_row *row);
ct_ms ct_predict_wait(const struct ct_queue_tiered *q,
                      const struct ct_queue_row *row);
void ct_predict_learn(struct ct_queue_tiered *q,
                      const struct ct_queue_row *row,
                      const struct ct_served *served, ct_ms hold_ms);

#endif
