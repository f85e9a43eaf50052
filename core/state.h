#ifndef CT_STATE_H
#define CT_STATE_H

#include "stored-response.h"
#include "balance-policy.h"
#include "body-admission.h"
#include "claim.h"
#include "config.h"
#include "counter.h"
#include "effect.h"
#include "emit.h"
#include "evacuation.h"
#include "event.h"
#include "replication.h"
#include "forwarded-tally.h"
#include "keys.h"
#include "load-sharing.h"
#include "lease.h"
#include "unread-responses.h"
#include "upstream-notices.h"
#include "cold-upstreams.h"
#include "upstream-registry.h"
#include "upstream-speed.h"
#include "record-append.h"
#include "limited-log.h"
#include "log-replay.h"
#include "peer-status.h"
#include "order-plan.h"
#include "order-policy.h"
#include "order.h"
#include "prompt-quarantine.h"
#include "quarantine-sync.h"
#include "queue-policy.h"
#include "reduce.h"
#include "refusal-log.h"
#include "relay.h"
#include "request.h"
#include "group.h"
#include "slot-loan.h"
#include "speed-sharing.h"
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
#include "zone-reachability.h"

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
    struct ct_evacuations evacuations;
    struct ct_zone_reachability zone_reachability;
    struct ct_group group;
    struct ct_replication replication;
    struct ct_load_sharing load_sharing;
    struct ct_speed_sharing speed_sharing;
    struct ct_leadership leadership;
    struct ct_relays relays;
    struct ct_bodies bodies;
    struct ct_unread_responses unread_responses;
    struct ct_limited_logs limited_logs;
    struct ct_balance_policy *relay_balance;
    struct ct_upstream_notices upstream_notices;
    struct ct_cold_upstreams cold_upstreams;
    struct ct_upstream_speeds upstream_speeds;
    struct ct_prompt_quarantine prompt_quarantine;
    struct ct_quarantine_sync quarantine_sync;
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

static inline void
ct_increment_counter(struct ct_state *state, enum ct_counter counter)
{
    state->counters.values[counter]++;
}

#endif
