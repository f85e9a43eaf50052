#include "reduce-peers.h"

#include "dispatch.h"
#include "slot-sharing.h"
#include "snapshot.h"
#include "state.h"
#include "stored-response.h"

static void
on_message_of_known_peer(struct ct_state *state,
                         const struct ct_peer_message *message)
{
    switch (message->type) {
    case CT_PEER_WITHDRAW:
        ct_withdrawals_on_withdraw(state, message);
        return;
    case CT_PEER_WITHDRAWN:
        ct_withdrawals_on_withdrawn(state, message);
        return;
    case CT_PEER_STATE_REQUEST:
        ct_snapshot_on_state_request(state, message);
        return;
    case CT_PEER_STATE:
        if (ct_peer_status_needs_state(state, message->u.offset)) {
            ct_log_on_peer_state(state, message->u.offset, message->rows);
        }
        return;
    default:
        return;
    }
}

static void
on_store_update(struct ct_state *state, const struct ct_peer_message *message)
{
    bool failed = ct_replication_source_fails(state);

    if (!ct_replication_on_update(state, message)) {
        return;
    }
    ct_store_on_update(state, &message->u.store_update, message->rows);
    if (failed) {
        ct_quarantine_sync_on_store_back(state);
    }
}

void
ct_reduce_config(struct ct_state *state, const struct ct_store_config *config,
                 struct ct_rows rows)
{
    ct_store_on_config(state, config, rows);
    if (config->has_bounds) {
        ct_bodies_set_head_timeout(state, config->bounds.head_timeout_ms);
    }
    ct_zone_orders_configure(state);
}

void
ct_reduce_peer_message(struct ct_state *state,
                       const struct ct_peer_message *message)
{
    switch (message->type) {
    case CT_PEER_SLOT_REQUEST:
    case CT_PEER_SLOT_GRANT:
        ct_dispatch_on_slot_message(state, message);
        return;
    case CT_PEER_DEMAND:
        ct_order_plan_on_demand(state, message);
        return;
    case CT_PEER_USAGE_COPY:
        ct_usage_on_copy(state, message);
        return;
    case CT_PEER_RESPONSE_LOOKUP:
        ct_stored_response_on_peer_lookup(state, message);
        return;
    case CT_PEER_RESPONSE_FOUND:
        ct_stored_response_on_peer_found(state, message);
        return;
    case CT_PEER_STORE_UPDATE_REQUEST:
        ct_replication_on_update_request(state, message);
        return;
    case CT_PEER_STORE_UPDATE:
        on_store_update(state, message);
        return;
    case CT_PEER_STORE_CONFIG:
        if (ct_replication_is_from_source(state, message) &&
            ct_store_take_config(state, &message->u.store_config)) {
            ct_reduce_config(state, &message->u.store_config.config,
                             message->rows);
        }
        return;
    case CT_PEER_TALLY:
        ct_forwarded_tallies_on_tally(state, message);
        return;
    case CT_PEER_TALLY_DONE:
        ct_tallies_on_forward_done(state, message->u.sequence);
        return;
    case CT_PEER_MEMBERS_UPDATE:
        if (ct_replication_is_from_source(state, message)) {
            ct_group_on_members_update(state, message->rows);
        }
        return;
    case CT_PEER_LOAD:
    case CT_PEER_LOAD_SUM:
    case CT_PEER_LOAD_LIST:
    case CT_PEER_LOAD_GAPS:
        ct_load_sharing_on_message(state, message);
        return;
    default:
        if (ct_peer_status_on_message(state, message)) {
            on_message_of_known_peer(state, message);
        }
        return;
    }
}

void
ct_reduce_peer_link(struct ct_state *state, const struct ct_name *peer,
                    bool up)
{
    if (state->relaying) {
        if (ct_replication_on_link(state, peer, up)) {
            ct_store_on_source_lost(state);
        }
        ct_load_sharing_on_link(state, peer, up);
        return;
    }
    if (up) {
        ct_peer_status_on_link_up(state, peer);
        ct_withdrawals_on_peer_up(state, peer);
    }
    else {
        ct_peer_status_on_link_down(state, peer);
    }
    ct_slot_sharing_on_link(state, peer, up);
}
