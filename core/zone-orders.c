#include "zone-orders.h"

#include <string.h>

#include "error.h"
#include "state.h"

/*
 * Number of calls in flight per upstream, in tenths, that leaves room for a
 * burst.
 */
#define CALLS_PER_UPSTREAM_TENTHS 35
/*
 * Number of calls in flight per upstream, in tenths, above which firm
 * upstreams are ordered besides the cheap ones: they cost several times as
 * much.
 */
#define CALLS_PER_COVERED_TENTHS 75
/* Time constants of the load: it rises quickly and falls slowly. */
#define RISE_MS 2500
#define FALL_MS 20000
/*
 * Share of a pool's upper bound that runs regardless of the load: bursts come
 * faster than upstreams boot.
 */
#define FLOOR_PERCENT 75
/*
 * Share of the planned cheap upstreams; if fewer of them run, firm ones are
 * ordered for the rest of this share.
 */
#define CHEAP_COVER_PERCENT 60
#define ORDER_RETRY_MS 1000
/*
 * Limit on the upstreams of a kind and zone that one order removes, because
 * every host must read each entry that changes within the bound on leaving
 * upstreams.
 */
#define REMOVED_MAX 25
/*
 * Cheap upstreams that were not available are ordered again after this time.
 */
#define EXHAUSTED_RETRY_MS 3000
/*
 * Upstreams that were ordered are expected to run within this time. Until then
 * no firm ones are ordered in place of cheap ones: they would boot no sooner.
 */
#define BOOT_MS 6000
/*
 * The other zones keep the part of a restored zone for this time: its
 * upstreams may have been lost, and then boot, or take less than their full
 * load for a while.
 */
#define RESTORE_HOLD_MS 20000

void
ct_zone_orders_init(struct ct_zone_orders *orders)
{
    memset(orders, 0, sizeof(*orders));
    orders->rows = g_array_new(FALSE, TRUE, sizeof(struct ct_zone_order_row));
    orders->next_order = 1;
}

void
ct_zone_orders_free(struct ct_zone_orders *orders)
{
    g_array_free(orders->rows, TRUE);
}

static struct ct_zone_order_row *
row_at(const struct ct_zone_orders *orders, guint i)
{
    return &g_array_index(orders->rows, struct ct_zone_order_row, i);
}

static void
add_row(struct ct_zone_orders *orders, struct ct_handle pool,
        const struct ct_name *zone)
{
    struct ct_zone_order_row row;

    for (guint i = 0; i < orders->rows->len; i++) {
        struct ct_zone_order_row *existing = row_at(orders, i);

        if (ct_handle_eq(existing->pool, pool) &&
            ct_name_eq(&existing->zone, zone)) {
            existing->configured = true;
            return;
        }
    }
    memset(&row, 0, sizeof(row));
    row.pool = pool;
    row.zone = *zone;
    row.configured = true;
    g_array_append_val(orders->rows, row);
}

void
ct_zone_orders_configure(struct ct_state *state)
{
    struct ct_zone_orders *orders = &state->zone_orders;
    const struct ct_pool_row *pool;
    struct ct_handle handle;
    uint32_t cursor = 0;

    for (guint i = 0; i < orders->rows->len; i++) {
        row_at(orders, i)->configured = false;
    }
    while ((pool = ct_table_next(&state->config.pools, &cursor, &handle))) {
        for (uint32_t i = 0; pool->configured && pool->order_zones &&
                             i < pool->order_zones->len;
             i++) {
            add_row(orders, handle,
                    &g_array_index(pool->order_zones, struct ct_order_zone, i)
                         .zone);
        }
    }
    for (guint i = orders->rows->len; i > 0; i--) {
        if (!row_at(orders, i - 1)->configured) {
            g_array_remove_index(orders->rows, i - 1);
        }
    }
}

void
ct_zone_orders_begin(struct ct_state *state)
{
    for (guint i = 0; i < state->zone_orders.rows->len; i++) {
        struct ct_zone_order_row *row = row_at(&state->zone_orders, i);

        row->firm = (struct ct_zone_order_kind){0};
        row->cheap = (struct ct_zone_order_kind){0};
    }
}

/*
 * Returns the number of the pool's upstreams in the zone that accept requests.
 */
static uint32_t
count_running(const struct ct_state *state, const struct ct_pool_row *pool,
              const struct ct_name *zone, bool cheap)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        n += upstream && upstream->state == CT_UPSTREAM_RUNNING &&
             upstream->conf.cheap == cheap &&
             ct_name_eq(&upstream->conf.zone, zone);
    }
    return n;
}

/*
 * Returns the number of the pool's upstreams of a kind in the zone that do not
 * leave, including those whose entries are missing after a store outage.
 */
static uint32_t
count_present(const struct ct_state *state, const struct ct_pool_row *pool,
              const struct ct_name *zone, bool cheap)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        n += upstream && upstream->state != CT_UPSTREAM_LEAVING &&
             upstream->conf.cheap == cheap &&
             ct_name_eq(&upstream->conf.zone, zone);
    }
    return n;
}

/* Limits the decrease per order from the running to the wanted number. */
static uint32_t
limit_decrease(uint32_t wanted, uint32_t n_running)
{
    return MAX(wanted, n_running - MIN(n_running, REMOVED_MAX));
}

static void
order_upstreams(struct ct_state *state, const struct ct_zone_order_row *row,
                const struct ct_pool_row *pool, bool cheap,
                struct ct_zone_order_kind *kind, uint32_t wanted,
                uint32_t n_running)
{
    struct ct_duty_order *effect;

    wanted = limit_decrease(wanted, n_running);
    if (kind->order || state->now_ms < kind->next_ms ||
        (kind->confirmed && kind->ordered == wanted)) {
        return;
    }
    effect =
        &ct_emit_effect(state, CT_EFFECT_DUTY_ORDER_UPSTREAMS)->u.duty_order;
    effect->order = state->zone_orders.next_order++;
    effect->pool = pool->conf.name;
    effect->zone = row->zone;
    effect->cheap = cheap;
    effect->upstreams = wanted;
    effect->fence = state->leadership.generation;
    effect->not_after_ms = ct_leadership_valid_until_ms(state);
    kind->order = effect->order;
    kind->ordered = wanted;
    kind->added = wanted - MIN(n_running, wanted);
    kind->ordered_ms = state->now_ms;
    kind->confirmed = false;
    ct_increment_counter(state, CT_COUNTER_ORDERS);
    ct_emit_log(state, CT_LOG_ORDER_SENT, &row->zone, cheap ? "cheap" : "firm",
                wanted);
}

/* Zones of the pool, and its cheap upstreams in those that carry load. */
struct pool_count {
    uint32_t zones;
    /* Zones that carry load; all other members count only these. */
    uint32_t open;
    /* Zones in which cheap upstreams have run and none runs now. */
    uint32_t lost;
    /* Zones with fewer cheap upstreams than the pool's upper bound. */
    uint32_t with_room;
    /* Those that accept requests, and others that will soon. */
    uint32_t running;
    uint32_t booting;
};

/* Returns the number of ordered upstreams that are expected to boot soon. */
static uint32_t
count_booting(const struct ct_state *state,
              const struct ct_zone_order_kind *kind, uint32_t n_running)
{
    bool expected = kind->confirmed && kind->ordered > n_running &&
                    state->now_ms - kind->ordered_ms < BOOT_MS;

    return expected ? MIN(kind->ordered - n_running, kind->added) : 0;
}

/* Records which zones are evacuated, and when an evacuation ended. */
static void
track_evacuations(struct ct_state *state)
{
    for (guint i = 0; i < state->zone_orders.rows->len; i++) {
        struct ct_zone_order_row *row = row_at(&state->zone_orders, i);
        bool evacuated = ct_evacuation_has_zone(state, &row->zone);

        if (row->evacuated && !evacuated) {
            row->restored_ms = state->now_ms;
        }
        row->evacuated = evacuated;
    }
}

static bool
is_restored_lately(const struct ct_state *state,
                   const struct ct_zone_order_row *row)
{
    return row->restored_ms > 0 &&
           state->now_ms - row->restored_ms < RESTORE_HOLD_MS;
}

/*
 * Counts the upstreams of a pool. Zones restored lately carry load only if
 * with_restored is set.
 */
static struct pool_count
count_pool(struct ct_state *state, struct ct_handle handle, bool with_restored)
{
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, handle);
    struct pool_count count = {.zones = pool->order_zones->len};

    for (guint i = 0; i < state->zone_orders.rows->len; i++) {
        struct ct_zone_order_row *row = row_at(&state->zone_orders, i);
        uint32_t cheap;

        if (!ct_handle_eq(row->pool, handle)) {
            continue;
        }
        cheap = count_running(state, pool, &row->zone, true);
        row->had_cheap |= cheap > 0;
        if (row->evacuated ||
            (!with_restored && is_restored_lately(state, row))) {
            continue;
        }
        count.open++;
        count.lost += row->had_cheap && cheap == 0;
        count.with_room += cheap < pool->conf.max_upstreams;
        count.running += cheap;
        count.booting += count_booting(state, &row->cheap, cheap);
    }
    return count;
}

/*
 * Returns the number of upstreams for the load of all hosts, estimated from
 * this host's load, with this number of calls at each.
 */
static uint32_t
upstreams_needed(const struct ct_state *state, const struct ct_pool_row *pool,
                 uint64_t calls_tenths)
{
    uint64_t load = pool->load_milli * ct_group_size(state);

    return (uint32_t)((load * 10 + calls_tenths * 1000 - 1) /
                      (calls_tenths * 1000));
}

static uint32_t
per_zone(uint32_t n, uint32_t zones)
{
    return (n + zones - 1) / zones;
}

/* Whether no call has arrived since the deployment was first started. */
static bool
awaits_first_call(const struct ct_state *state)
{
    return state->self.first_start && state->relays.arrived_ms == 0;
}

/*
 * Returns the number of cheap upstreams to order in each zone: for the load,
 * at least the part that runs regardless of it. The other zones cover a zone
 * that is evacuated or whose cheap upstreams were reclaimed.
 */
static uint32_t
cheap_per_zone(const struct ct_pool_row *pool, const struct pool_count *count,
               uint32_t needed_per_zone)
{
    uint32_t cheap =
        MAX(pool->conf.max_upstreams * FLOOR_PERCENT / 100, needed_per_zone);
    uint32_t covering =
        count->lost < count->open ? count->open - count->lost : count->open;

    if (covering > 0) {
        cheap = per_zone(cheap * count->zones, covering);
    }
    return CLAMP(cheap, pool->conf.min_upstreams, pool->conf.max_upstreams);
}

/*
 * Returns the number of upstreams below which firm ones take the place of
 * cheap ones: a part of the cheap ones that are planned, or what a high load
 * needs. Without any caller the lower bound is enough until the cheap ones
 * have booted.
 */
static uint32_t
covered_upstreams(const struct ct_state *state, const struct ct_pool_row *pool,
                  uint32_t zones, uint32_t cheap_planned)
{
    uint32_t needed = upstreams_needed(state, pool, CALLS_PER_COVERED_TENTHS);

    if (awaits_first_call(state)) {
        return pool->conf.min_upstreams * zones;
    }
    return MAX(cheap_planned * zones * CHEAP_COVER_PERCENT / 100,
               MIN(needed, pool->conf.max_upstreams * zones));
}

/* Returns the zone's part of the upstreams that n_cheap do not cover. */
static uint32_t
firm_part(const struct pool_count *count, uint32_t covered, uint32_t n_cheap)
{
    return n_cheap < covered && count->with_room > 0
               ? per_zone(covered - n_cheap, count->with_room)
               : 0;
}

/*
 * Returns how many firm upstreams the zone gets. Those that run leave when
 * enough cheap ones run; none are added in place of cheap ones that boot.
 */
static uint32_t
firm_for_zone(const struct ct_state *state,
              const struct ct_zone_order_row *row,
              const struct ct_pool_row *pool, const struct pool_count *count,
              uint32_t covered)
{
    uint32_t cheap = count_running(state, pool, &row->zone, true);
    uint32_t firm = count_running(state, pool, &row->zone, false);
    uint32_t most = firm_part(count, covered, count->running);
    uint32_t least =
        firm_part(count, covered, count->running + count->booting);
    uint32_t room =
        pool->conf.max_upstreams - MIN(cheap, pool->conf.max_upstreams);

    firm += count_booting(state, &row->firm, firm);
    return MIN(CLAMP(firm, least, most), room);
}

/*
 * Orders what the evacuated zone has: nothing new boots there, and what runs
 * is there when the zone is restored.
 */
static void
hold_zone(struct ct_state *state, struct ct_zone_order_row *row,
          const struct ct_pool_row *pool)
{
    for (int cheap = 0; cheap < 2; cheap++) {
        uint32_t present = count_present(state, pool, &row->zone, cheap);

        order_upstreams(state, row, pool, cheap,
                        cheap ? &row->cheap : &row->firm, present, present);
    }
}

static void
plan_zone(struct ct_state *state, struct ct_zone_order_row *row)
{
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, row->pool);
    struct pool_count count;
    uint32_t needed;
    uint32_t covered;
    uint32_t cheap;

    if (!pool) {
        return;
    }
    if (row->evacuated) {
        hold_zone(state, row, pool);
        return;
    }
    count = count_pool(state, row->pool, is_restored_lately(state, row));
    needed = upstreams_needed(state, pool, CALLS_PER_UPSTREAM_TENTHS);
    cheap = cheap_per_zone(pool, &count, per_zone(needed, count.zones));
    covered = covered_upstreams(state, pool, count.open, cheap);
    order_upstreams(state, row, pool, true, &row->cheap, cheap,
                    count_running(state, pool, &row->zone, true));
    if (awaits_first_call(state) && !row->cheap.confirmed) {
        /* Cheap upstreams may not be available: firm ones stay. */
        return;
    }
    order_upstreams(state, row, pool, false, &row->firm,
                    firm_for_zone(state, row, pool, &count, covered),
                    count_running(state, pool, &row->zone, false));
}

/* Tracks the number of calls in flight at the pool's upstreams. */
static void
track_load(struct ct_state *state, struct ct_pool_row *pool, ct_ms step_ms)
{
    uint64_t calls = 0;
    ct_ms constant_ms;
    int64_t change;

    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        calls += upstream ? upstream->in_flight : 0;
    }
    change = (int64_t)calls * 1000 - (int64_t)pool->load_milli;
    constant_ms = change > 0 ? RISE_MS : FALL_MS;
    pool->load_milli =
        (uint64_t)((int64_t)pool->load_milli + change * step_ms / constant_ms);
}

void
ct_zone_orders_track_load(struct ct_state *state)
{
    ct_ms step_ms = state->now_ms - state->zone_orders.tracked_ms;
    struct ct_pool_row *pool;
    uint32_t cursor = 0;

    track_evacuations(state);
    while ((pool = ct_table_next(&state->config.pools, &cursor, NULL))) {
        if (pool->configured && pool->order_zones) {
            track_load(state, pool, MIN(step_ms, RISE_MS));
        }
    }
    state->zone_orders.tracked_ms = state->now_ms;
}

void
ct_zone_orders_on_timer(struct ct_state *state)
{
    track_evacuations(state);
    if (!ct_leadership_is_held(state)) {
        return;
    }
    for (guint i = 0; i < state->zone_orders.rows->len; i++) {
        plan_zone(state, row_at(&state->zone_orders, i));
    }
}

void
ct_zone_orders_on_done(struct ct_state *state, const struct ct_duty_done *done)
{
    if (done->result == CT_ERR_FENCED) {
        ct_leadership_on_fenced(state, done->fence);
    }
    for (guint i = 0; i < state->zone_orders.rows->len; i++) {
        struct ct_zone_order_row *row = row_at(&state->zone_orders, i);
        struct ct_zone_order_kind *kind =
            row->cheap.order == done->order ? &row->cheap : &row->firm;

        if (kind->order != done->order) {
            continue;
        }
        kind->order = 0;
        kind->confirmed = done->result == CT_OK;
        kind->next_ms = state->now_ms + (done->result == CT_ERR_EXHAUSTED
                                             ? EXHAUSTED_RETRY_MS
                                             : ORDER_RETRY_MS);
        ct_emit_log(state, CT_LOG_ORDER_RESULT, &row->zone,
                    ct_err_name(done->result), kind->ordered);
        return;
    }
}
