#include "order-plan.h"

#include <glib.h>
#include <string.h>

#include "error.h"
#include "state.h"

#define PLAN_PERIOD_MS 5000
/* A host that reported no demand for this long has none. */
#define DEMAND_TIMEOUT_MS 20000
/* Limit on the start orders of one kind in one plan for a pool. */
#define ORDERS_MAX 8

/* Upstreams in one zone, by kind: firm and cheap. */
struct zone_count {
    struct ct_name zone;
    uint32_t n[2];
};

static void
add_demand_row(const struct ct_state *state, struct ct_handle handle,
               const struct ct_pool_row *pool, bool cheap, GArray *out)
{
    struct ct_queue_totals totals = {0};
    struct ct_slot_row row;
    uint32_t tier;

    state->queue->ops->totals(state->queue, handle.index, &totals);
    memset(&row, 0, sizeof(row));
    row.pool = pool->conf.name;
    row.cheap = cheap;
    row.slots_busy =
        cheap ? totals.cheap_running : totals.running - totals.cheap_running;
    for (tier = 0; tier < CT_TIERS; tier++) {
        row.waiting[tier] = cheap ? totals.cheap_queued_by_tier[tier]
                                  : totals.queued_by_tier[tier] -
                                        totals.cheap_queued_by_tier[tier];
    }
    g_array_append_val(out, row);
}

static bool
is_ordered(const struct ct_pool_row *pool)
{
    return pool->configured && pool->conf.max_upstreams > 0;
}

static GArray *
own_demand(const struct ct_state *state)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ct_slot_row));
    const struct ct_pool_row *pool;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((pool = ct_table_next(&state->config.pools, &cursor, &handle))) {
        if (is_ordered(pool)) {
            add_demand_row(state, handle, pool, false, rows);
            add_demand_row(state, handle, pool, true, rows);
        }
    }
    return rows;
}

static bool
is_idle(const GArray *rows)
{
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct ct_slot_row *row =
            &g_array_index(rows, struct ct_slot_row, i);
        uint32_t tier;

        for (tier = 0; tier < CT_TIERS; tier++) {
            if (row->waiting[tier]) {
                return false;
            }
        }
        if (row->slots_busy) {
            return false;
        }
    }
    return true;
}

void
ct_order_plan_send_demand(struct ct_state *state)
{
    const struct ct_name *holder = &state->leases.roles[CT_ROLE_ORDERS].holder;
    struct ct_peer_message message;
    GArray *rows = own_demand(state);

    if (!is_idle(rows) && !ct_name_eq(holder, &state->self.host)) {
        memset(&message, 0, sizeof(message));
        message.type = CT_PEER_DEMAND;
        message.rows =
            CT_ROWS((struct ct_slot_row *)(void *)rows->data, rows->len);
        ct_peer_status_send(state, holder, &message);
    }
    g_array_free(rows, TRUE);
}

static void
set_demand(struct ct_state *state, const struct ct_name *host,
           const struct ct_slot_row *row)
{
    struct ct_table *table = &state->orders.demands;
    struct ct_host_demand *demand;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((demand = ct_table_next(table, &cursor, NULL))) {
        if (ct_name_eq(&demand->host, host) &&
            ct_name_eq(&demand->row.pool, &row->pool) &&
            demand->row.cheap == row->cheap) {
            break;
        }
    }
    if (!demand) {
        if (ct_table_add(table, &handle) < 0) {
            return;
        }
        demand = ct_table_get(table, handle);
        demand->host = *host;
    }
    demand->row = *row;
    demand->received_ms = state->now_ms;
}

void
ct_order_plan_on_demand(struct ct_state *state,
                        const struct ct_peer_message *message)
{
    const struct ct_slot_row *rows = message->rows.data;
    uint32_t i;

    for (i = 0; i < message->rows.n; i++) {
        set_demand(state, &message->sender, &rows[i]);
    }
}

static void
expire_demand(struct ct_state *state)
{
    struct ct_table *table = &state->orders.demands;
    const struct ct_host_demand *demand;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((demand = ct_table_next(table, &cursor, &handle))) {
        if (state->now_ms >= demand->received_ms + DEMAND_TIMEOUT_MS) {
            ct_table_unref(table, handle);
        }
    }
}

static struct ct_order_demand
sum_demand(const struct ct_state *state, const struct ct_name *pool,
           bool cheap)
{
    struct ct_order_demand sum = {0};
    const struct ct_host_demand *demand;
    uint32_t cursor = 0;
    uint32_t tier;

    while ((demand = ct_table_next(&state->orders.demands, &cursor, NULL))) {
        if (demand->row.cheap != cheap ||
            !ct_name_eq(&demand->row.pool, pool)) {
            continue;
        }
        sum.running += demand->row.slots_busy;
        for (tier = 0; tier < CT_TIERS; tier++) {
            sum.waiting += demand->row.waiting[tier];
        }
    }
    return sum;
}

static struct zone_count *
find_or_add_zone(GArray *zones, const struct ct_name *name)
{
    struct zone_count zone;
    guint i;

    for (i = 0; i < zones->len; i++) {
        if (ct_name_eq(&g_array_index(zones, struct zone_count, i).zone,
                       name)) {
            return &g_array_index(zones, struct zone_count, i);
        }
    }
    memset(&zone, 0, sizeof(zone));
    zone.zone = *name;
    g_array_append_val(zones, zone);
    return &g_array_index(zones, struct zone_count, zones->len - 1);
}

/*
 * Whether the platform's list may not yet show the result of an order for the
 * pool.
 */
static bool
is_settling(const struct ct_state *state, const struct ct_pool_row *pool)
{
    const struct ct_order_row *order;
    uint32_t cursor = 0;

    while ((order = ct_table_next(&state->orders.rows, &cursor, NULL))) {
        if (ct_name_eq(&order->order.pool, &pool->conf.name) &&
            (!order->order.done ||
             state->now_ms < order->done_ms + CT_ORDER_SETTLE_MS)) {
            return true;
        }
    }
    return false;
}

/* Returns all zones of the deployment with the pool's upstreams by kind. */
static GArray *
count_zones(const struct ct_state *state, const struct ct_pool_row *pool)
{
    GArray *zones = g_array_new(FALSE, TRUE, sizeof(struct zone_count));
    const struct ct_host_conf_row *host;
    uint32_t cursor = 0;
    uint32_t i;

    while ((host = ct_table_next(&state->config.hosts, &cursor, NULL))) {
        if (host->configured) {
            find_or_add_zone(zones, &host->conf.zone);
        }
    }
    for (i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *row =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        if (row && row->state == CT_UPSTREAM_RUNNING) {
            find_or_add_zone(zones, &row->conf.zone)->n[row->conf.cheap]++;
        }
    }
    return zones;
}

static uint32_t
count_upstreams(const GArray *zones, bool cheap)
{
    uint32_t n = 0;
    guint i;

    for (i = 0; i < zones->len; i++) {
        n += g_array_index(zones, struct zone_count, i).n[cheap];
    }
    return n;
}

/* Returns the zone with the fewest, or the most, upstreams of a kind. */
static struct zone_count *
find_extreme_zone(GArray *zones, bool cheap, bool most)
{
    struct zone_count *best = &g_array_index(zones, struct zone_count, 0);
    guint i;

    for (i = 1; i < zones->len; i++) {
        struct zone_count *zone = &g_array_index(zones, struct zone_count, i);

        if (most ? zone->n[cheap] > best->n[cheap]
                 : zone->n[cheap] < best->n[cheap]) {
            best = zone;
        }
    }
    return best;
}

/* Returns an idle upstream of this kind and zone that was ordered. */
static const struct ct_upstream_row *
find_spare_upstream(const struct ct_state *state,
                    const struct ct_pool_row *pool, const struct ct_name *zone,
                    bool cheap)
{
    uint32_t i;

    for (i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *row =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        if (row && row->listed && !row->declared && row->in_flight == 0 &&
            row->state == CT_UPSTREAM_RUNNING && row->conf.cheap == cheap &&
            ct_name_eq(&row->conf.zone, zone)) {
            return row;
        }
    }
    return NULL;
}

static void
order_starts(struct ct_state *state, const struct ct_pool_row *pool,
             GArray *zones, bool cheap, uint32_t wanted)
{
    uint32_t n;

    for (n = 0; n < ORDERS_MAX && count_upstreams(zones, cheap) < wanted;
         n++) {
        struct zone_count *zone = find_extreme_zone(zones, cheap, false);
        struct ct_order order;

        memset(&order, 0, sizeof(order));
        order.kind = CT_ORDER_START;
        order.pool = pool->conf.name;
        order.zone = zone->zone;
        order.cheap = cheap;
        ct_order_queue_intent(state, &order);
        zone->n[cheap]++;
    }
}

/* Stops one upstream at a time: the next plan sees the effect. */
static void
order_stop(struct ct_state *state, const struct ct_pool_row *pool,
           GArray *zones, bool cheap, uint32_t wanted)
{
    const struct zone_count *zone = find_extreme_zone(zones, cheap, true);
    const struct ct_upstream_row *spare;
    struct ct_order order;

    if (count_upstreams(zones, cheap) <= wanted) {
        return;
    }
    spare = find_spare_upstream(state, pool, &zone->zone, cheap);
    if (!spare) {
        return;
    }
    memset(&order, 0, sizeof(order));
    order.kind = CT_ORDER_STOP;
    order.pool = pool->conf.name;
    order.zone = zone->zone;
    order.upstream = spare->conf.name;
    order.cheap = cheap;
    ct_order_queue_intent(state, &order);
}

static uint32_t
slots_per_upstream(const struct ct_state *state,
                   const struct ct_pool_row *pool)
{
    const struct ct_upstream_row *row =
        pool->n_upstreams
            ? ct_table_get(&state->config.upstreams, pool->upstreams[0])
            : NULL;

    return row ? row->conf.slots : 1;
}

static void
plan_pool(struct ct_state *state, struct ct_handle handle,
          const struct ct_pool_row *pool)
{
    GArray *zones = count_zones(state, pool);
    struct ct_order_policy_input input = {
        .now_ms = state->now_ms,
        .pool = handle.index,
        .min_upstreams = pool->conf.min_upstreams,
        .max_upstreams = pool->conf.max_upstreams,
        .slots = slots_per_upstream(state, pool),
        .n_zones = zones->len,
        .firm = sum_demand(state, &pool->conf.name, false),
        .cheap = sum_demand(state, &pool->conf.name, true),
    };
    struct ct_order_plan plan;

    if (zones->len > 0) {
        plan = state->order_policy->ops->plan(state->order_policy, &input);
        order_starts(state, pool, zones, false, plan.firm);
        order_starts(state, pool, zones, true, plan.cheap);
        order_stop(state, pool, zones, false, plan.firm);
        order_stop(state, pool, zones, true, plan.cheap);
    }
    g_array_free(zones, TRUE);
}

void
ct_order_plan(struct ct_state *state)
{
    const struct ct_pool_row *pool;
    struct ct_handle handle;
    uint32_t cursor = 0;
    GArray *own;
    guint i;

    if (state->now_ms < state->orders.plan_ms) {
        return;
    }
    state->orders.plan_ms = state->now_ms + PLAN_PERIOD_MS;
    own = own_demand(state);
    for (i = 0; i < own->len; i++) {
        set_demand(state, &state->self.host,
                   &g_array_index(own, struct ct_slot_row, i));
    }
    g_array_free(own, TRUE);
    expire_demand(state);
    while ((pool = ct_table_next(&state->config.pools, &cursor, &handle))) {
        if (is_ordered(pool) && !is_settling(state, pool)) {
            plan_pool(state, handle, pool);
        }
    }
}
