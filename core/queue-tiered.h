#ifndef CT_QUEUE_TIERED_H
#define CT_QUEUE_TIERED_H

#include "queue-rows.h"
#include "timer.h"

/*
 * Admission and queueing by tier, class target and organisation.
 *
 * Order of service: the highest tier with a startable request; within it, the
 * organisation with the fewest weighted tokens served and in service
 * (start-time fair queueing); among organisations that are within
 * FAIR_SLACK_TOKENS of that one, the request with the earliest start deadline.
 * Requests past their start deadline are served after all others of their
 * tier.
 *
 * Reserve: a class with reserve_percent owns that part of a pool, at least one
 * slot and one place in the queue. A waiting request of the class is started
 * before higher tiers while the class holds fewer slots than its reserve and
 * its credit is not negative. Credit grows by the slot time of the reserve,
 * falls by the slot time that the class uses, and is bounded by
 * RESERVE_WINDOW_MS of growth. No class starves: while the running and waiting
 * requests of a class are fewer than the slots it owns, they are refused only
 * at their queue limit, and after at most hold time / reserve one of them is
 * started.
 *
 * Tier inversion: a request R of tier T is refused by a host under load (for
 * any of overload, over-fair-share, target-unreachable, queue-timeout), and
 *
 *   (a) place: for overload and over-fair-share, a class of a lower tier has
 *       more requests in the queue of that pool than its reserved places; or
 *   (b) slot: since R arrived, a request of a lower tier was given a slot of
 *       the pool that R could have used, and not from the reserve; or
 *   (c) early refusal: for target-unreachable, a class of a lower tier has
 *       more requests in the queue of the pool than its reserved places, or
 *       more in slots than its reserve and at least one of them in a slot that
 *       R could use (a slot of a cheap upstream does not count if R may not
 *       run there).
 *
 * The policy is meant to cause no inversions, and counts them as a check.
 * Capacity within the reserve of a class was never available to higher tiers
 * and is left out of the definition, so that "no request of a higher tier is
 * shed for a lower one" and "no class starves" do not conflict. Running
 * requests are not preempted: if R reaches its queue limit, a slot that was
 * taken before R arrived is not an inversion.
 */

struct ct_queue_lane {
    bool used;
    uint32_t organisation;
    uint32_t klass;
    uint32_t tier;
    struct ct_queue_list list;
    /* Expected slot time of the waiting rows. */
    ct_ms queued_ms;
    uint32_t running;
    /* Virtual start time of the next request, in scaled tokens. */
    uint64_t tag;
};

/* Slots and queue places of a pool that a class uses. */
struct ct_class_use {
    bool seen;
    uint32_t queued;
    uint32_t running;
    /*
     * Of the running ones, those on cheap upstreams and those started from the
     * reserve.
     */
    uint32_t cheap_running;
    uint32_t reserve_running;
    /* Credit in slot milliseconds, and the time up to which it is accrued. */
    int64_t credit;
    ct_ms credit_at_ms;
};

struct ct_tiered_pool {
    /* Rows that wait past their start deadline. */
    uint32_t late;
    struct ct_queue_lane *lanes;
    uint32_t n_lanes;
    struct ct_class_use *uses;
    uint32_t n_uses;
    /* Virtual time of fair queueing. */
    uint64_t virtual_time[CT_TIERS];
    /* Each tier counts as unable to meet its targets until this time. */
    ct_ms target_unmet_until_ms[CT_TIERS];
    /*
     * Sequence number of the newest arrival when a row of the tier was last
     * started outside a reserve: at all, and while a firm slot was free.
     */
    uint64_t last_start[CT_TIERS];
    uint64_t last_firm_start[CT_TIERS];
};

/* Tokens used by an organisation, decayed by half each USAGE_HALF_LIFE_MS. */
struct ct_organisation_use {
    uint64_t tokens;
    ct_ms decayed_ms;
};

struct ct_queue_tiered {
    struct ct_queue_base base;
    struct ct_tiered_pool *pools;
    uint32_t n_pools;
    struct ct_organisation_use *organisations;
    uint32_t n_organisations;
    /* Timers for the start deadlines and the ends of waits. */
    struct ct_timers timers;
};

/* queue-reserve.c: queue places and slots of a pool that a class owns. */
uint32_t ct_reserve_places(const struct ct_queue_tiered *q, uint32_t klass);
uint32_t ct_reserve_slots(const struct ct_queue_tiered *q, uint32_t pool,
                          uint32_t klass);
/* Returns the number of places that classes own and do not use. */
uint32_t ct_reserve_unused_places(const struct ct_queue_tiered *q,
                                  uint32_t pool);
void ct_reserve_accrue(struct ct_queue_tiered *q, uint32_t pool,
                       uint32_t klass, ct_ms now_ms);
/*
 * Returns the class with the most credit that may start a request from its
 * reserve, in the chosen row's tier or a lower one, other than the chosen
 * row's class; -1 if there is none.
 */
int ct_reserve_select_class(struct ct_queue_tiered *q,
                            const struct ct_queue_row *chosen, ct_ms now_ms);
/*
 * Whether a class of a tier below the row's exceeds its reserve of the queue
 * or, if with_slots is set, its reserve of the slots while it holds a slot
 * that the row could use.
 */
bool ct_reserve_exceeded_below(const struct ct_queue_tiered *q,
                               const struct ct_queue_row *row,
                               bool with_slots);

/* queue-lane.c: fair queueing with one lane per organisation and class. */
int ct_lane_assign(struct ct_queue_tiered *q, struct ct_queue_row *row);
void ct_lane_insert(struct ct_queue_tiered *q, struct ct_handle handle,
                    bool at_head);
void ct_lane_remove(struct ct_queue_tiered *q, struct ct_handle handle);
/* Charges tokens to the row's organisation; a negative number refunds them. */
void ct_lane_charge(struct ct_queue_tiered *q, const struct ct_queue_row *row,
                    int64_t tokens);
/*
 * Selects the row of the tier that gets a free slot next; only of the given
 * class unless klass is -1.
 */
struct ct_handle ct_lane_select(struct ct_queue_tiered *q, uint32_t pool,
                                uint32_t tier, int klass);
/*
 * Returns the organisation's decayed tokens plus the expected tokens of its
 * queue in this pool and tier, divided by its weight.
 */
uint64_t ct_lane_share(struct ct_queue_tiered *q, uint32_t pool,
                       uint32_t organisation, uint32_t tier, ct_ms now_ms);
uint32_t ct_lane_weight(const struct ct_queue_tiered *q,
                        uint32_t organisation);
void ct_lane_add_usage(struct ct_queue_tiered *q, uint32_t organisation,
                       uint64_t tokens, ct_ms now_ms);

/* queue-shed.c: which requests are refused, and for which reason. */

/* Refuses a row that has just arrived and is not in a lane yet. */
void ct_shed_arrival(struct ct_queue_tiered *q, struct ct_handle handle,
                     enum ct_refusal reason,
                     struct ct_queue_decision *decision);
/*
 * Whether the row may be refused because its target cannot be met. It may not
 * while its class has fewer requests running and (other than this row) queued
 * than it owns slots, nor while a class of a lower tier exceeds its reserve.
 */
bool ct_shed_allowed(const struct ct_queue_tiered *q,
                     const struct ct_queue_row *row, uint32_t queued);
/*
 * Frees one place in the queue for the row by shedding another row. Returns
 * CT_OK, or the negated reason for refusing the row itself.
 */
int ct_shed_to_make_room(struct ct_queue_tiered *q,
                         const struct ct_queue_row *row,
                         struct ct_queue_decision *decision, ct_ms now_ms);
/*
 * Ends or demotes the wait of a row whose timer is due. Returns 1 if the wait
 * ended, else 0.
 */
int ct_shed_on_timer(struct ct_queue_tiered *q, struct ct_handle handle,
                     ct_ms now_ms, struct ct_queue_refusal *shed);
/*
 * Sheds one late row of the pool that ct_shed_allowed() permits to refuse,
 * provided that rows which are not late wait too. Returns 1 if a row was shed,
 * else 0.
 */
int ct_shed_late_row(struct ct_queue_tiered *q, uint32_t pool,
                     struct ct_queue_refusal *shed);

/* queue-predict.c: predicts what a request needs and how long it waits. */
void ct_predict_row(struct ct_queue_tiered *q, struct ct_queue_row *row);
ct_ms ct_predict_wait(const struct ct_queue_tiered *q,
                      const struct ct_queue_row *row);
void ct_predict_record_served(struct ct_queue_tiered *q,
                              const struct ct_queue_row *row,
                              const struct ct_queue_result *served,
                              ct_ms hold_ms);

#endif
