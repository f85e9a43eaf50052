#include "state.h"

#include <stdlib.h>

/* Limit on the queued requests of one pool. */
#define QUEUED_REQUESTS_MAX 4096
/*
 * Limit on the callers that wait for a response that another host may have
 * retained.
 */
#define RESPONSE_LOOKUPS_MAX 1024

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
    ct_evacuations_init(&state->evacuations);
    ct_zone_reachability_init(&state->zone_reachability);
    ct_group_init(&state->group);
    ct_replication_init(&state->replication);
    ct_load_sharing_init(&state->load_sharing);
    ct_speed_sharing_init(&state->speed_sharing);
    ct_forwarded_tallies_init(&state->forwarded_tallies);
    ct_relays_init(&state->relays);
    ct_bodies_init(&state->bodies);
    ct_unread_responses_init(&state->unread_responses);
    ct_upstream_notices_init(&state->upstream_notices);
    ct_cold_upstreams_init(&state->cold_upstreams);
    ct_upstream_speeds_init(&state->upstream_speeds);
    ct_prompt_quarantine_init(&state->prompt_quarantine);
    ct_tallies_init(&state->tallies);
    ct_usage_report_init(&state->usage_report);
    ct_zone_orders_init(&state->zone_orders);
    state->queue = ct_queue_tiered_new(QUEUED_REQUESTS_MAX);
    state->balance = ct_balance_affinity_new(self->seed);
    state->order_policy = ct_order_headroom_new();
    state->relay_balance = ct_balance_prefix_home_new(self->seed);
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
    ct_upstream_speeds_free(&state->upstream_speeds);
    ct_upstream_notices_free(&state->upstream_notices);
    ct_cold_upstreams_free(&state->cold_upstreams);
    ct_prompt_quarantine_free(&state->prompt_quarantine);
    ct_bodies_free(&state->bodies);
    ct_unread_responses_free(&state->unread_responses);
    ct_relays_free(&state->relays);
    ct_zone_reachability_free(&state->zone_reachability);
    ct_evacuations_free(&state->evacuations);
    ct_group_free(&state->group);
    ct_replication_free(&state->replication);
    ct_speed_sharing_free(&state->speed_sharing);
    ct_load_sharing_free(&state->load_sharing);
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
