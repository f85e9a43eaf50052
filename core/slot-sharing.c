#include "slot-sharing.h"

#include <string.h>

#include "peer-status.h"
#include "slot-loan.h"
#include "state.h"

/* Interval at which pools with busy or lent slots are checked. */
#define SHARING_PERIOD_MS CT_SLOT_REQUEST_INTERVAL_MS

void
ct_slot_sharing_configure(struct ct_state *state)
{
    GArray *names = g_array_new(FALSE, TRUE, sizeof(struct ct_name));
    const struct ct_host_conf_row *host;
    uint32_t cursor = 0;
    int err;

    while ((host = ct_table_next(&state->config.hosts, &cursor, NULL))) {
        if (host->configured) {
            g_array_append_val(names, host->conf.name);
        }
    }
    err = ct_slot_loans_set_hosts(
        &state->slot_loans, (const struct ct_name *)(void *)names->data,
        names->len, &state->self.host, state->now_ms);
    if (err < 0) {
        state->out->err = err;
    }
    g_array_free(names, TRUE);
}

int
ct_slot_sharing_held(struct ct_state *state, const struct ct_name *pool,
                     uint32_t firm, uint32_t cheap, uint32_t *held_firm,
                     uint32_t *held_cheap)
{
    int f = ct_slot_loans_set_pool(&state->slot_loans, pool, false, firm);
    int c = ct_slot_loans_set_pool(&state->slot_loans, pool, true, cheap);

    if (f < 0 || c < 0) {
        return f < 0 ? f : c;
    }
    *held_firm =
        ct_slot_loans_held(&state->slot_loans, (uint32_t)f, state->now_ms);
    *held_cheap =
        ct_slot_loans_held(&state->slot_loans, (uint32_t)c, state->now_ms);
    return 0;
}

/* Returns this host's use of the firm or the cheap slots of a pool. */
static struct ct_slot_demand
demand_of(const struct ct_state *state, struct ct_handle pool, bool cheap)
{
    struct ct_queue_totals totals = {0};
    struct ct_slot_demand demand;

    state->queue->ops->totals(state->queue, pool.index, &totals);
    memset(&demand, 0, sizeof(demand));
    demand.busy =
        cheap ? totals.cheap_running : totals.running - totals.cheap_running;
    memcpy(demand.waiting,
           cheap ? totals.cheap_queued_by_tier : totals.queued_by_tier,
           sizeof(demand.waiting));
    return demand;
}

static void
send_slot_message(struct ct_state *state,
                  const struct ct_slot_message *slot_message)
{
    struct ct_peer_message message;

    memset(&message, 0, sizeof(message));
    message.type = slot_message->type;
    message.u.slot_row = slot_message->row;
    ct_peer_status_send(state, &slot_message->peer, &message);
}

static int
find_loan_pool(const struct ct_state *state, struct ct_handle pool, bool cheap)
{
    const struct ct_pool_row *row = ct_table_get(&state->config.pools, pool);

    if (!row) {
        return -1;
    }
    return ct_slot_loans_find_pool(&state->slot_loans, &row->conf.name, cheap);
}

static void
send_slot_requests(struct ct_state *state, struct ct_handle pool, bool cheap)
{
    struct ct_slot_demand demand = demand_of(state, pool, cheap);
    int index = find_loan_pool(state, pool, cheap);
    struct ct_slot_message slot_message;

    while (index >= 0 &&
           ct_slot_loans_next_request(&state->slot_loans, (uint32_t)index,
                                      &demand, state->now_ms, &slot_message)) {
        send_slot_message(state, &slot_message);
    }
}

static void
arm_sharing_timer(struct ct_state *state)
{
    if (!state->slot_sharing_armed) {
        state->slot_sharing_armed = true;
        ct_arm_timer(state, SHARING_PERIOD_MS, CT_TIMER_SLOT_SHARING,
                     CT_NO_HANDLE);
    }
}

void
ct_slot_sharing_request_slots(struct ct_state *state, struct ct_handle pool)
{
    if (state->peer_status.n_up == 0) {
        return;
    }
    send_slot_requests(state, pool, false);
    send_slot_requests(state, pool, true);
    arm_sharing_timer(state);
}

bool
ct_slot_sharing_grant_owed(struct ct_state *state, struct ct_handle pool)
{
    struct ct_slot_message slot_message;
    bool sent = false;

    for (int cheap = 0; cheap < 2; cheap++) {
        struct ct_slot_demand demand = demand_of(state, pool, cheap);
        int index = find_loan_pool(state, pool, cheap);

        while (index >= 0 && ct_slot_loans_next_owed(
                                 &state->slot_loans, (uint32_t)index, &demand,
                                 state->now_ms, &slot_message)) {
            send_slot_message(state, &slot_message);
            sent = true;
        }
    }
    return sent;
}

void
ct_slot_sharing_on_link(struct ct_state *state, const struct ct_name *peer,
                        bool up)
{
    ct_slot_loans_on_link(&state->slot_loans, peer, up, state->now_ms);
}

struct ct_handle
ct_slot_sharing_on_message(struct ct_state *state,
                           const struct ct_peer_message *message)
{
    const struct ct_slot_row *row = &message->u.slot_row;
    struct ct_handle pool = ct_config_pool(&state->config, &row->pool);
    struct ct_slot_demand demand = demand_of(state, pool, row->cheap);
    struct ct_slot_message slot_message;

    if (ct_handle_is_none(pool)) {
        return CT_NO_HANDLE;
    }
    if (message->type == CT_PEER_SLOT_GRANT) {
        /* An error means a late grant, which is void on both hosts. */
        ct_slot_loans_on_grant(&state->slot_loans, &message->sender, row,
                               state->now_ms);
    }
    else if (ct_slot_loans_on_request(&state->slot_loans, &message->sender,
                                      row, &demand, state->now_ms,
                                      &slot_message) == 0) {
        send_slot_message(state, &slot_message);
    }
    arm_sharing_timer(state);
    return pool;
}

/*
 * Whether the pool needs the timer, because slots are lent, borrowed or owed
 * and terms end without a message, or because firm slots are busy.
 */
static bool
needs_timer(const struct ct_state *state, struct ct_handle pool)
{
    for (int cheap = 0; cheap < 2; cheap++) {
        int index = find_loan_pool(state, pool, cheap);
        const struct ct_slot_pool *loan_pool;

        if (index < 0) {
            continue;
        }
        loan_pool = &state->slot_loans.pools[index];
        for (uint32_t i = 0; i < state->slot_loans.n_hosts; i++) {
            if (loan_pool->loans[i].lent || loan_pool->loans[i].borrowed ||
                loan_pool->loans[i].owed) {
                return true;
            }
        }
    }
    return demand_of(state, pool, false).busy > 0;
}

void
ct_slot_sharing_on_timer(struct ct_state *state)
{
    state->slot_sharing_armed = false;
}

bool
ct_slot_sharing_next_active(struct ct_state *state, uint32_t *cursor,
                            struct ct_handle *pool)
{
    while (ct_table_next(&state->config.pools, cursor, pool)) {
        if (needs_timer(state, *pool)) {
            send_slot_requests(state, *pool, false);
            send_slot_requests(state, *pool, true);
            arm_sharing_timer(state);
            return true;
        }
    }
    return false;
}
