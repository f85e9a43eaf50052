#ifndef CT_STATE_H
#define CT_STATE_H

#include "stored-response.h"
#include "balance-policy.h"
#include "claim.h"
#include "config.h"
#include "counter.h"
#include "effect.h"
#include "event.h"
#include "replication.h"
#include "forwarded-tally.h"
#include "keys.h"
#include "lease.h"
#include "upstream-registry.h"
#include "log-replay.h"
#include "peer-status.h"
#include "order-plan.h"
#include "order-policy.h"
#include "order.h"
#include "queue-policy.h"
#include "reduce.h"
#include "refusal-log.h"
#include "relay.h"
#include "request.h"
#include "group.h"
#include "slot-loan.h"
#include "store-sync.h"
#include "tally.h"
#include "leadership.h"
#include "timer.h"
#include "usage-final.h"
#include "usage-report.h"
#include "usage.h"
#include "wall-clock.h"
#include "withdrawal.h"
#include "zone-orders.h"

/*
 * The state of one host. Each module owns the members of its own types and
 * changes other members only through their owners' functions.
 */
struct ct_state {
    struct ct_host_identity self;
    /* Times of the event being applied. */
    ct_ms now_ms;
    ct_ms wall_ms;
    /* Effects of the event being applied; set only within ct_reduce(). */
    struct ct_effects *out;
    struct ct_timers timers;
    /* Time requested by the last CT_EFFECT_SCHEDULE_TICK. */
    ct_ms next_tick_ms;
    struct ct_counters counters;
    uint64_t random;

    /* Replicated through the log. */
    struct ct_log log;
    struct ct_config config;
    struct ct_keys keys;
    struct ct_claims claims;
    struct ct_leases leases;
    struct ct_orders orders;
    struct ct_usage_finals usage_finals;

    /* Local to this host. */
    struct ct_peer_status peer_status;
    struct ct_withdrawals withdrawals;
    struct ct_usage usage;
    struct ct_requests requests;
    struct ct_refusal_log refusals;
    struct ct_queue_policy *queue;
    struct ct_balance_policy *balance;
    struct ct_order_policy *order_policy;
    /* struct ct_response_lookup */
    struct ct_table response_lookups;
    struct ct_slot_loans slot_loans;

    /* Relayed calls and the state read from the platform's store. */
    bool relaying;
    struct ct_wall_clock wall_clock;
    struct ct_store_sync store;
    struct ct_upstream_registry upstream_registry;
    struct ct_group group;
    struct ct_replication replication;
    struct ct_leadership leadership;
    struct ct_relays relays;
    struct ct_balance_policy *relay_balance;
    struct ct_tallies tallies;
    struct ct_forwarded_tallies forwarded_tallies;
    struct ct_usage_report usage_report;
    struct ct_zone_orders zone_orders;

    bool slot_sharing_armed;
    /* The timer that recounts the slots of upstreams is armed. */
    bool slot_recount_armed;
    bool draining;
    bool drained;
    /* When the drain started. */
    ct_ms drain_started_ms;
};

/* Returns the next number of the state's own deterministic random sequence. */
uint64_t ct_state_random(struct ct_state *state);

/* Adds an effect of the event being applied. */
struct ct_effect *ct_emit_effect(struct ct_state *state,
                                 enum ct_effect_type type);

/* Adds a log event about name; name and reason may be NULL. */
void ct_emit_log(struct ct_state *state, enum ct_log_event event,
                 const struct ct_name *name, const char *reason,
                 int64_t number);

/* Sends a refusal to a caller; the calling module counts and records it. */
void ct_emit_refusal(struct ct_state *state, uint64_t caller,
                     const struct ct_request_id *id, enum ct_refusal reason,
                     enum ct_run_state run_state, ct_ms retry_after_ms);

/*
 * Adds a message from this host to another. The caller sets the members that
 * the message type needs before it adds another effect.
 */
struct ct_peer_message *ct_peer_message_to(struct ct_state *state,
                                           const struct ct_name *host,
                                           enum ct_peer_message_type type,
                                           struct ct_rows rows);

/* Arms a reducer timer that is due delay_ms after the current event. */
void ct_arm_timer(struct ct_state *state, ct_ms delay_ms,
                  enum ct_timer_kind kind, struct ct_handle handle);

static inline void
ct_increment_counter(struct ct_state *state, enum ct_counter counter)
{
    state->counters.values[counter]++;
}

#endif
