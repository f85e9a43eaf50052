#include "state.h"

#include <stdlib.h>

/* Limit on the queued requests of one pool. */
#define QUEUED_REQUESTS_MAX 4096
/*
 * Limit on the callers that wait for a response that another host may have
 * retained.
 */
#define RESPONSE_LOOKUPS_MAX 1024

uint64_t
ct_state_random(struct ct_state *state)
{
    /* splitmix64 */
    uint64_t z = (state->random += UINT64_C(0x9e3779b97f4a7c15));

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

struct ct_effect *
ct_emit_effect(struct ct_state *state, enum ct_effect_type type)
{
    return ct_effects_add(state->out, type);
}

void
ct_emit_log(struct ct_state *state, enum ct_log_event event,
            const struct ct_name *name, const char *reason, int64_t number)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_LOG_EVENT);

    effect->u.log.event = event;
    if (name) {
        effect->u.log.name = *name;
    }
    if (reason) {
        CT_TEXT_SET(effect->u.log.reason, reason);
    }
    effect->u.log.number = number;
}

void
ct_emit_refusal(struct ct_state *state, uint64_t caller,
                const struct ct_request_id *id, enum ct_refusal reason,
                enum ct_run_state run_state, ct_ms retry_after_ms)
{
    struct ct_refuse_effect *refuse =
        &ct_emit_effect(state, CT_EFFECT_REFUSE_REQUEST)->u.refuse;

    refuse->caller = caller;
    refuse->request_id = *id;
    refuse->reason = reason;
    refuse->run_state = run_state;
    refuse->retry_after_ms = retry_after_ms;
}

struct ct_peer_message *
ct_peer_message_to(struct ct_state *state, const struct ct_name *host,
                   enum ct_peer_message_type type, struct ct_rows rows)
{
    struct ct_effect *effect =
        ct_emit_effect(state, CT_EFFECT_SEND_PEER_MESSAGE);
    int err;

    effect->u.peer.peer = *host;
    effect->u.peer.message.type = type;
    effect->u.peer.message.sender = state->self.host;
    if (rows.n > 0) {
        err = ct_effect_set_rows(state->out, effect, rows);
        if (err < 0) {
            state->out->err = err;
        }
    }
    return &effect->u.peer.message;
}

void
ct_arm_timer(struct ct_state *state, ct_ms delay_ms, enum ct_timer_kind kind,
             struct ct_handle handle)
{
    int err;

    err =
        ct_timers_add(&state->timers, state->now_ms + delay_ms, kind, handle);
    if (err < 0) {
        state->out->err = err;
    }
}

struct ct_state *
ct_state_new(const struct ct_host_identity *self)
{
    struct ct_state *state = calloc(1, sizeof(*state));

    if (!state) {
        return NULL;
    }
    state->self = *self;
    state->random = self->seed;
    state->next_tick_ms = CT_MS_NEVER;
    ct_timers_init(&state->timers);
    ct_config_init(&state->config);
    ct_keys_init(&state->keys);
    ct_claims_init(&state->claims);
    ct_peer_status_init(&state->peer_status);
    ct_orders_init(&state->orders);
    ct_usage_finals_init(&state->usage_finals);
    ct_usage_init(&state->usage);
    ct_withdrawals_init(&state->withdrawals);
    ct_requests_init(&state->requests);
    ct_refusal_log_init(&state->refusals);
    ct_table_init(&state->response_lookups, sizeof(struct ct_response_lookup),
                  RESPONSE_LOOKUPS_MAX, NULL);
    ct_slot_loans_init(&state->slot_loans);
    ct_upstream_registry_init(&state->upstream_registry);
    ct_group_init(&state->group);
    ct_replication_init(&state->replication);
    ct_forwarded_tallies_init(&state->forwarded_tallies);
    ct_relays_init(&state->relays);
    ct_tallies_init(&state->tallies);
    ct_usage_report_init(&state->usage_report);
    ct_zone_orders_init(&state->zone_orders);
    state->queue = ct_queue_tiered_new(QUEUED_REQUESTS_MAX);
    state->balance = ct_balance_affinity_new(self->seed);
    state->order_policy = ct_order_headroom_new();
    state->relay_balance = ct_balance_prefix_home_new();
    if (!state->relay_balance || !state->queue || !state->balance ||
        !state->order_policy) {
        ct_state_free(state);
        return NULL;
    }
    return state;
}

void
ct_state_free(struct ct_state *state)
{
    if (!state) {
        return;
    }
    if (state->order_policy) {
        state->order_policy->ops->free(state->order_policy);
    }
    if (state->balance) {
        state->balance->ops->free(state->balance);
    }
    if (state->relay_balance) {
        state->relay_balance->ops->free(state->relay_balance);
    }
    ct_zone_orders_free(&state->zone_orders);
    ct_usage_report_free(&state->usage_report);
    ct_tallies_free(&state->tallies);
    ct_relays_free(&state->relays);
    ct_group_free(&state->group);
    ct_replication_free(&state->replication);
    ct_forwarded_tallies_free(&state->forwarded_tallies);
    ct_upstream_registry_free(&state->upstream_registry);
    if (state->queue) {
        state->queue->ops->free(state->queue);
    }
    ct_slot_loans_free(&state->slot_loans);
    ct_table_free(&state->response_lookups);
    ct_refusal_log_free(&state->refusals);
    ct_requests_free(&state->requests);
    ct_usage_free(&state->usage);
    ct_usage_finals_free(&state->usage_finals);
    ct_orders_free(&state->orders);
    ct_withdrawals_free(&state->withdrawals);
    ct_peer_status_free(&state->peer_status);
    ct_claims_free(&state->claims);
    ct_keys_free(&state->keys);
    ct_config_free(&state->config);
    ct_timers_free(&state->timers);
    free(state);
}
