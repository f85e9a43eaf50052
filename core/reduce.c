#include "reduce.h"

#include "addresses.h"
#include "attempt.h"
#include "dispatch.h"
#include "drain.h"
#include "error.h"
#include "reduce-callers.h"
#include "reduce-peers.h"
#include "relay-host.h"
#include "relay-reroute.h"
#include "slot-sharing.h"
#include "snapshot.h"
#include "state.h"
#include "stored-response.h"

static void
on_lease_timer(struct ct_state *state)
{
    const bool call_in_flight[CT_ROLE_COUNT] = {
        [CT_ROLE_ORDERS] = ct_orders_in_flight(state),
        [CT_ROLE_USAGE] = ct_usage_is_reporting(state),
    };

    ct_leases_on_timer(state, call_in_flight);
}

static void
on_orders_timer(struct ct_state *state)
{
    bool may_plan = ct_orders_on_timer(state);

    ct_order_plan_send_demand(state);
    if (may_plan) {
        ct_order_plan(state);
    }
}

static void
on_drain_timer(struct ct_state *state)
{
    if (state->relaying) {
        ct_relay_host_on_drain_timer(state);
        return;
    }
    ct_drain_on_timer(state);
}

/* Timers of relayed calls and of the platform's store. */
static void
on_relay_timer(struct ct_state *state, const struct ct_timer *timer)
{
    switch (timer->kind) {
    case CT_TIMER_RELAY:
        ct_relay_on_timer(state, timer->handle);
        return;
    case CT_TIMER_RELAY_WAIT:
        ct_relay_on_wait_timer(state, timer->handle);
        return;
    case CT_TIMER_EVACUATION:
        ct_evacuation_on_timer(state);
        return;
    case CT_TIMER_BODIES:
        ct_reduce_bodies_timer(state);
        return;
    case CT_TIMER_STORE:
        ct_store_on_timer(state);
        return;
    case CT_TIMER_JOIN:
        ct_leadership_on_timer(state);
        return;
    case CT_TIMER_MEMBERS:
        ct_group_on_timer(state);
        return;
    case CT_TIMER_TALLY:
        ct_tallies_on_timer(state);
        ct_zone_orders_track_load(state);
        return;
    case CT_TIMER_DUTY:
        ct_usage_report_on_timer(state);
        ct_zone_orders_on_timer(state);
        return;
    case CT_TIMER_REPLICATION:
        ct_replication_on_timer(state);
        return;
    case CT_TIMER_FORWARDED_TALLIES:
        ct_forwarded_tallies_on_timer(state);
        return;
    case CT_TIMER_QUARANTINE:
        ct_quarantine_sync_on_timer(state);
        return;
    case CT_TIMER_LOAD:
        ct_load_sharing_on_timer(state);
        return;
    default:
        return;
    }
}

static void
on_timer(struct ct_state *state, const struct ct_timer *timer)
{
    switch (timer->kind) {
    case CT_TIMER_QUEUE:
        ct_dispatch_on_queue_timer(state, timer->handle);
        return;
    case CT_TIMER_HEDGE:
        ct_dispatch_on_hedge_timer(state, timer->handle);
        return;
    case CT_TIMER_RETRY:
        ct_dispatch_on_retry_timer(state, timer->handle);
        return;
    case CT_TIMER_RESPONSE_RETENTION:
        ct_stored_response_on_retention_timer(state, timer->handle);
        return;
    case CT_TIMER_RESPONSE_LOOKUP:
        ct_stored_response_on_lookup_timer(state, timer->handle);
        return;
    case CT_TIMER_CLAIM:
        ct_dispatch_on_claim_timer(state, timer->handle);
        return;
    case CT_TIMER_REFUSALS:
        ct_refusal_log_on_timer(state);
        return;
    case CT_TIMER_SLOT_SHARING:
        ct_dispatch_on_slot_sharing_timer(state);
        return;
    case CT_TIMER_SLOT_RECOUNT:
        ct_dispatch_on_slot_recount_timer(state);
        return;
    case CT_TIMER_SNAPSHOT:
        ct_snapshot_on_timer(state);
        return;
    case CT_TIMER_DRAIN:
        on_drain_timer(state);
        return;
    case CT_TIMER_HEARTBEAT:
        ct_peer_status_on_timer(state);
        ct_withdrawals_on_heartbeat(state);
        return;
    case CT_TIMER_LEASE:
        on_lease_timer(state);
        return;
    case CT_TIMER_USAGE:
        ct_usage_on_timer(state);
        ct_usage_finals_advance(state);
        return;
    case CT_TIMER_ORDERS:
        on_orders_timer(state);
        return;
    case CT_TIMER_LOG:
        return;
    default:
        on_relay_timer(state, timer);
        return;
    }
}

static void
on_tick(struct ct_state *state)
{
    struct ct_timer timer;

    /* The tick may be early; force schedule_tick() to request another. */
    state->next_tick_ms = CT_MS_NEVER;
    while (ct_timers_pop(&state->timers, state->now_ms, &timer)) {
        on_timer(state, &timer);
    }
}

static void
on_log_append_done(struct ct_state *state, const struct ct_append_done *done)
{
    ct_refusal_log_on_append_done(state, done);
    ct_dispatch_on_append_done(state, done);
}

static void
on_load_report(struct ct_state *state, const struct ct_load_report *report)
{
    struct ct_handle upstream =
        ct_config_upstream(&state->config, &report->upstream);

    if (!ct_handle_is_none(upstream)) {
        state->balance->ops->reported(state->balance, upstream,
                                      report->running, report->waiting,
                                      state->now_ms - report->age_ms);
    }
}

static int
on_upstream_list(struct ct_state *state, const struct ct_event *event)
{
    int err = ct_config_list_upstreams(&state->config, event->rows);

    ct_requests_on_config_changed(state);
    return err;
}

static void
on_explain_requested(struct ct_state *state,
                     const struct ct_explain_request *request)
{
    const struct ct_refusal_row *row =
        ct_refusal_log_find(&state->refusals, &request->request_id);
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_REPLY_EXPLAIN);

    effect->u.explain.caller = request->caller;
    if (row) {
        ct_effect_set_rows(state->out, effect,
                           CT_ROWS((struct ct_refusal_row *)row, 1));
    }
}

/* The leader reads the tallies and the final figures, every host the rest. */
static void
on_store_read_done(struct ct_state *state,
                   const struct ct_store_read_done *read)
{
    switch (read->topic) {
    case CT_TOPIC_TALLIES:
    case CT_TOPIC_FINALS:
        ct_usage_report_on_read(state, read);
        return;
    case CT_TOPIC_PROMPT_PARTS:
        ct_quarantine_sync_on_read(state, read);
        return;
    default:
        if (ct_store_on_read(state, read)) {
            ct_quarantine_sync_on_store_back(state);
        }
        return;
    }
}

static void
on_store_append_done(struct ct_state *state,
                     const struct ct_store_append_done *done)
{
    if (done->topic == CT_TOPIC_PROMPT_PARTS) {
        ct_quarantine_sync_on_appended(state, done->result);
        return;
    }
    if (done->topic != CT_TOPIC_TALLIES) {
        ct_usage_report_on_appended(state, done);
        return;
    }
    if (ct_name_eq(&done->writer, &state->self.writer)) {
        ct_tallies_on_appended(state, done);
        return;
    }
    ct_forwarded_tallies_on_appended(state, done);
}

static void
on_duty_done(struct ct_state *state, const struct ct_duty_done *done)
{
    if (done->is_usage) {
        ct_usage_report_on_done(state, done);
        return;
    }
    ct_zone_orders_on_done(state, done);
}

static void
on_members_read(struct ct_state *state, const struct ct_event *event)
{
    ct_group_on_members_read(state, event->u.members.result, event->rows);
    if (event->u.members.result == CT_OK) {
        ct_replication_on_members_read(state, event->rows);
    }
}

static void
on_attempt_head(struct ct_state *state,
                const struct ct_relay_progress *progress)
{
    struct ct_handle upstream = ct_relay_attempt_upstream(state, progress);

    ct_upstream_notices_on_head(state, upstream, &progress->notice);
    ct_cold_upstreams_on_head(state, upstream, &progress->notice);
}

/* The connection of the attempt is established. */
static void
on_attempt_sent(struct ct_state *state,
                const struct ct_relay_progress *progress)
{
    const struct ct_upstream_row *upstream = ct_table_get(
        &state->config.upstreams, ct_relay_attempt_upstream(state, progress));

    if (upstream) {
        ct_zone_reachability_on_reached(state, &upstream->conf.zone);
    }
    ct_relay_on_sent(state, progress);
}

static void
on_attempt_done(struct ct_state *state,
                const struct ct_relay_progress *progress)
{
    const struct ct_relay_attempt *attempt =
        ct_table_get(&state->relays.attempts, progress->attempt);
    bool zone_lost =
        attempt && !attempt->sent &&
        progress->outcome == CT_OUTCOME_NOT_SENT &&
        ct_zone_reachability_on_failed(state, attempt->upstream,
                                       state->now_ms - attempt->started_ms);

    ct_relay_on_done(state, progress);
    if (zone_lost) {
        ct_relay_reroute_unsent(state);
    }
}

static void
on_evacuation(struct ct_state *state, const struct ct_store_evacuation *record)
{
    if (ct_evacuation_on_record(state, record)) {
        ct_relay_reroute_unsent(state);
        /* The other zones need time to boot what they take over. */
        ct_zone_orders_on_timer(state);
    }
}

/* Applies events of relayed calls and of the platform's store. */
static int
apply_relay_event(struct ct_state *state, const struct ct_event *event)
{
    switch (event->type) {
    case CT_EVENT_RELAY_HOST_STARTED:
        state->relaying = true;
        state->self.address = event->u.relay_address;
        ct_relay_host_start(state);
        return CT_OK;
    case CT_EVENT_RELAY_BOUNDS_CHANGED:
        state->self.bounds = event->u.relay_bounds;
        ct_emit_log(state, CT_LOG_BOUNDS_TAKEN, &state->self.host, NULL, 0);
        return CT_OK;
    case CT_EVENT_RELAY_ATTEMPT_SENT:
        on_attempt_sent(state, &event->u.progress);
        return CT_OK;
    case CT_EVENT_RELAY_ATTEMPT_HEAD:
        on_attempt_head(state, &event->u.progress);
        return CT_OK;
    case CT_EVENT_RELAY_ATTEMPT_HELD:
        ct_relay_on_held(state, &event->u.progress);
        return CT_OK;
    case CT_EVENT_RELAY_ATTEMPT_DATA:
        ct_relay_on_data(state, &event->u.progress);
        return CT_OK;
    case CT_EVENT_RELAY_ATTEMPT_DONE:
        on_attempt_done(state, &event->u.progress);
        return CT_OK;
    case CT_EVENT_STORE_CONFIG:
        ct_reduce_config(state, &event->u.store_config, event->rows);
        ct_replication_on_config_read(state, &event->u.store_config,
                                      event->rows);
        return CT_OK;
    case CT_EVENT_STORE_EVACUATION:
        on_evacuation(state, &event->u.store_evacuation);
        ct_replication_on_other_record_read(state);
        return CT_OK;
    case CT_EVENT_STORE_UPSTREAM:
        ct_upstream_registry_on_entry(state, &event->u.store_upstream);
        ct_replication_on_entry_read(state, &event->u.store_upstream);
        return CT_OK;
    case CT_EVENT_STORE_TALLY:
        ct_usage_report_on_tally(state, event);
        return CT_OK;
    case CT_EVENT_STORE_FINAL:
        ct_usage_report_on_final(state, event);
        return CT_OK;
    case CT_EVENT_STORE_PARTS:
        ct_prompt_quarantine_on_record(state, &event->u.part_record);
        return CT_OK;
    case CT_EVENT_STORE_INVALID_ENTRY:
        ct_store_on_invalid_entry(state, &event->u.store_invalid_entry);
        if (event->u.store_invalid_entry.topic == CT_TOPIC_CONFIG) {
            ct_replication_on_other_record_read(state);
        }
        return CT_OK;
    case CT_EVENT_STORE_READ_DONE:
        on_store_read_done(state, &event->u.store_read);
        return CT_OK;
    case CT_EVENT_STORE_APPEND_DONE:
        on_store_append_done(state, &event->u.store_append);
        return CT_OK;
    case CT_EVENT_STORE_JOIN_DONE:
        if (ct_leadership_on_join_done(state, &event->u.store_join)) {
            ct_group_refresh_soon(state);
        }
        return CT_OK;
    case CT_EVENT_STORE_MEMBERS_READ:
        on_members_read(state, event);
        return CT_OK;
    case CT_EVENT_DUTY_DONE:
        on_duty_done(state, &event->u.duty);
        return CT_OK;
    default:
        return ct_reduce_caller_event(state, event);
    }
}

/* Dispatches the event to the module that handles it. */
static int
apply_event(struct ct_state *state, const struct ct_event *event)
{
    switch (event->type) {
    case CT_EVENT_TICK:
        on_tick(state);
        return CT_OK;
    case CT_EVENT_CALL_ARRIVED:
        ct_requests_on_arrived(state, &event->u.call);
        return CT_OK;
    case CT_EVENT_CALL_REJECTED:
        ct_requests_on_rejected(state, &event->u.rejected);
        return CT_OK;
    case CT_EVENT_CALLER_DISCONNECTED:
        ct_requests_on_caller_disconnected(state, event->u.caller);
        ct_stored_response_on_caller_disconnected(state, event->u.caller);
        return CT_OK;
    case CT_EVENT_RESPONSE_REQUESTED:
        ct_stored_response_on_request(state, &event->u.response_request);
        return CT_OK;
    case CT_EVENT_ADDRESSES_REQUESTED:
        if (state->relaying) {
            ct_group_on_addresses_requested(state, event->u.caller);
            return CT_OK;
        }
        ct_addresses_on_request(state, event->u.caller);
        return CT_OK;
    case CT_EVENT_EXPLAIN_REQUESTED:
        on_explain_requested(state, &event->u.explain_request);
        return CT_OK;
    case CT_EVENT_ATTEMPT_SENT:
        ct_attempt_on_sent(state, &event->u.attempt);
        return CT_OK;
    case CT_EVENT_ATTEMPT_HEAD:
        ct_attempt_on_head(state, &event->u.attempt);
        return CT_OK;
    case CT_EVENT_ATTEMPT_DATA:
        ct_dispatch_on_attempt_data(state, &event->u.attempt);
        return CT_OK;
    case CT_EVENT_ATTEMPT_DONE:
        ct_dispatch_on_attempt_done(state, &event->u.attempt);
        return CT_OK;
    case CT_EVENT_LOAD_REPORT:
        on_load_report(state, &event->u.load);
        return CT_OK;
    case CT_EVENT_LOG_ENTRY:
        ct_log_on_entry(state, &event->u.entry);
        return CT_OK;
    case CT_EVENT_LOG_HEAD:
        ct_log_on_head(state, &event->u.head);
        return CT_OK;
    case CT_EVENT_LOG_FAILED:
        ct_log_on_failed(state);
        return CT_OK;
    case CT_EVENT_LOG_APPEND_DONE:
        on_log_append_done(state, &event->u.log_append);
        return CT_OK;
    case CT_EVENT_DRAIN:
        if (state->relaying) {
            ct_relay_host_drain(state);
            return CT_OK;
        }
        ct_drain_start(state);
        return CT_OK;
    case CT_EVENT_UPSTREAM_LIST:
        return on_upstream_list(state, event);
    case CT_EVENT_PEER_UP:
        ct_reduce_peer_link(state, &event->u.peer.peer, true);
        return CT_OK;
    case CT_EVENT_PEER_DOWN:
        ct_reduce_peer_link(state, &event->u.peer.peer, false);
        return CT_OK;
    case CT_EVENT_PEER_MESSAGE:
        ct_reduce_peer_message(state, &event->u.peer.message);
        return CT_OK;
    case CT_EVENT_HOST_LIST:
        ct_peer_status_on_host_list(state, event->rows);
        return CT_OK;
    case CT_EVENT_KEY_WITHDRAWAL_REQUESTED:
        ct_withdrawals_on_request(state, &event->u.key_withdrawal);
        return CT_OK;
    case CT_EVENT_USAGE_REPORT_DONE:
        ct_usage_finals_on_report_done(state, &event->u.usage_report);
        return CT_OK;
    case CT_EVENT_UPSTREAM_ORDER_DONE:
        ct_orders_on_done(state, &event->u.upstream_order);
        return CT_OK;
    default:
        return apply_relay_event(state, event);
    }
}

/* A host that became the leader begins its duties. */
static void
begin_duties(struct ct_state *state)
{
    if (ct_leadership_take_duties(state)) {
        ct_usage_report_begin(state);
        ct_zone_orders_begin(state);
    }
}

/* Requests a tick if the earliest due time changed. */
static void
schedule_tick(struct ct_state *state)
{
    ct_ms next_ms = ct_timers_next_ms(&state->timers);

    if (next_ms == state->next_tick_ms || next_ms == CT_MS_NEVER) {
        return;
    }
    state->next_tick_ms = next_ms;
    ct_emit_effect(state, CT_EFFECT_SCHEDULE_TICK)->u.at_ms = next_ms;
}

int
ct_reduce(struct ct_state *state, const struct ct_event *event,
          struct ct_effects *effects)
{
    int err;

    state->now_ms = event->now_ms;
    state->wall_ms = event->wall_ms;
    ct_wall_clock_update(&state->wall_clock, event->now_ms, event->wall_ms);
    state->out = effects;
    ct_cold_upstreams_update(state);
    err = apply_event(state, event);
    begin_duties(state);
    schedule_tick(state);
    state->out = NULL;
    if (err < 0) {
        return err;
    }
    return effects->err;
}
