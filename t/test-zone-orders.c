/*
 * Tests of zone-orders.h: how many upstreams of each kind are ordered per
 * zone, and when orders are repeated.
 */
#include <string.h>

#include "lib-relay.h"

#define ZONES 3
#define MAX_PER_ZONE 8
/* Upstreams per zone in a large deployment. */
#define LARGE_ZONE 200

/*
 * Simulates the platform: orders are carried out and appear as entries in the
 * store.
 */
struct platform {
    struct t_core core;
    uint32_t cheap[ZONES];
    uint32_t firm[ZONES];
    /* Zone in which no cheap upstreams are available; -1 for none. */
    int exhausted_zone;
    guint orders;
    int32_t result;
    /* Orders are accepted, but cheap upstreams do not appear. */
    bool boots_never;
    uint32_t max_per_zone;
};

static const char *const zones[ZONES] = {"za", "zb", "zc"};

static GArray *
make_config_rows(uint32_t max_per_zone)
{
    GArray *rows = t_relay_rows();
    struct ct_pool *engines;

    for (guint i = 0; i < ZONES; i++) {
        struct ct_config_row row = {.kind = CT_CONFIG_ORDER_ZONE};

        CT_TEXT_SET(row.u.order_zone.pool, "engines");
        CT_TEXT_SET(row.u.order_zone.zone, zones[i]);
        g_array_append_val(rows, row);
    }
    /* The engine pool is the first row. */
    engines = &g_array_index(rows, struct ct_config_row, 0).u.pool;
    g_assert_cmpstr(engines->name.text, ==, "engines");
    engines->min_upstreams = 1;
    engines->max_upstreams = max_per_zone;
    return rows;
}

static void
set_entries(struct platform *platform, guint zone, bool cheap, uint32_t n)
{
    for (uint32_t i = 0; i < platform->max_per_zone; i++) {
        struct ct_store_upstream entry = t_upstream("engines", i);

        g_snprintf(entry.upstream.name.text, sizeof(entry.upstream.name.text),
                   "%s-%d-%u", zones[zone], cheap, i);
        CT_TEXT_SET(entry.upstream.zone, zones[zone]);
        entry.upstream.cheap = cheap;
        entry.removed = i >= n;
        t_relay_post_upstream(&platform->core, &entry);
    }
    t_relay_read(&platform->core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    *(cheap ? &platform->cheap[zone] : &platform->firm[zone]) = n;
}

static void
execute_order(struct platform *platform, const struct ct_duty_order *order)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    guint zone = 0;

    while (zone + 1 < ZONES && strcmp(zones[zone], order->zone.text) != 0) {
        zone++;
    }
    platform->orders++;
    event.u.duty.order = order->order;
    event.u.duty.fence = order->fence;
    event.u.duty.result = platform->result;
    if (order->cheap && (int)zone == platform->exhausted_zone) {
        event.u.duty.result = CT_ERR_EXHAUSTED;
    }
    g_assert_cmpuint(order->upstreams, <=, platform->max_per_zone);
    t_core_post(&platform->core, &event);
    if (event.u.duty.result == CT_OK &&
        !(order->cheap && platform->boots_never)) {
        set_entries(platform, zone, order->cheap, order->upstreams);
    }
}

/* Carries out the orders that the last event caused; returns their number. */
static guint
execute_orders(struct platform *platform)
{
    struct ct_effects effects = platform->core.effects;
    guint n = 0;

    ct_effects_init(&platform->core.effects);
    for (uint32_t i = 0; i < effects.n; i++) {
        if (effects.items[i].type == CT_EFFECT_DUTY_ORDER_UPSTREAMS) {
            execute_order(platform, &effects.items[i].u.duty_order);
            n++;
        }
    }
    ct_effects_free(&effects);
    return n;
}

static void
run_platform(struct platform *platform, ct_ms duration_ms)
{
    for (ct_ms elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 50) {
        struct ct_event join = {.type = CT_EVENT_STORE_JOIN_DONE};

        if (elapsed_ms % 1000 == 0) {
            join.u.store_join.sent_ms = platform->core.now_ms;
            join.u.store_join.generation = 4;
            join.u.store_join.holds_leader_slot = true;
            t_core_post(&platform->core, &join);
            t_relay_confirm(&platform->core);
        }
        t_core_tick(&platform->core, 50);
        execute_orders(platform);
    }
}

static void
init_platform_with_max(struct platform *platform, uint32_t max_per_zone)
{
    GArray *config_rows = make_config_rows(max_per_zone);

    memset(platform, 0, sizeof(*platform));
    platform->max_per_zone = max_per_zone;
    platform->exhausted_zone = -1;
    t_relay_init(&platform->core);
    t_relay_post_config(&platform->core, 1, config_rows);
    t_relay_confirm(&platform->core);
    for (guint i = 0; i < ZONES; i++) {
        set_entries(platform, i, false, 4);
    }
    g_array_free(config_rows, TRUE);
}

static void
init_platform(struct platform *platform)
{
    init_platform_with_max(platform, MAX_PER_ZONE);
}

/* Cheap upstreams replace the firm ones, and then no more orders are sent. */
static void
test_cheap_replace_firm(void)
{
    struct platform platform;
    guint orders;

    init_platform(&platform);
    run_platform(&platform, 10000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, MAX_PER_ZONE * 3 / 4);
        g_assert_cmpuint(platform.firm[i], ==, 0);
    }
    orders = platform.orders;
    run_platform(&platform, 10000);
    g_assert_cmpuint(platform.orders, ==, orders);
    t_core_free(&platform.core);
}

/*
 * The cheap upstreams of a zone are reclaimed and not available for a while.
 */
static void
test_lost_zones(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 10000);
    platform.exhausted_zone = 0;
    set_entries(&platform, 0, true, 0);
    /*
     * The other zones have enough capacity; the lost upstreams are ordered
     * again.
     */
    run_platform(&platform, 10000);
    g_assert_cmpuint(platform.cheap[0], ==, 0);
    g_assert_cmpuint(platform.firm[0] + platform.firm[1] + platform.firm[2],
                     ==, 0);
    /* When a second zone loses its cheap upstreams, firm ones are ordered. */
    set_entries(&platform, 1, true, 0);
    run_platform(&platform, 500);
    g_assert_cmpuint(platform.firm[0] + platform.firm[1] + platform.firm[2], >,
                     0);
    t_core_free(&platform.core);
}

/*
 * An order with an unknown result is sent again, not considered carried out.
 */
static void
test_unknown_result(void)
{
    struct platform platform;

    init_platform(&platform);
    platform.result = CT_ERR_IO;
    run_platform(&platform, 8000);
    g_assert_cmpuint(platform.orders, >=, 12);
    g_assert_cmpuint(platform.orders, <=, 60);
    platform.result = CT_OK;
    run_platform(&platform, 5000);
    g_assert_cmpuint(platform.cheap[0], ==, MAX_PER_ZONE * 3 / 4);
    t_core_free(&platform.core);
}

/*
 * Many upstreams are removed in steps, so that every host learns of each step
 * in time.
 */
static void
test_removal_in_steps(void)
{
    uint32_t largest_step = 0;
    struct platform platform;

    init_platform_with_max(&platform, LARGE_ZONE);
    set_entries(&platform, 0, false, LARGE_ZONE);
    for (uint32_t old_firm = LARGE_ZONE; platform.firm[0] > 0;
         old_firm = platform.firm[0]) {
        run_platform(&platform, 50);
        largest_step = MAX(largest_step, old_firm - platform.firm[0]);
        g_assert_cmpuint(platform.orders, <, 100);
    }
    g_assert_cmpuint(largest_step, >, 0);
    g_assert_cmpuint(largest_step, <=, 30);
    g_assert_cmpuint(platform.cheap[0], ==, LARGE_ZONE * 3 / 4);
    t_core_free(&platform.core);
}

/* With many calls in flight more upstreams are ordered, up to the maximum. */
static void
test_load_increase(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 6000);
    for (guint i = 0; i < 200; i++) {
        t_relay_call(&platform.core, 1, T_STREAM_PATH);
    }
    run_platform(&platform, 6000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, MAX_PER_ZONE);
    }
    t_core_free(&platform.core);
}

/*
 * At the first start no call is served yet: the firm upstreams above the lower
 * bound leave as soon as the cheap ones are ordered, not when these have
 * booted. With the first call the load is covered as on any other day.
 */
static void
test_first_start(void)
{
    struct platform platform;

    init_platform(&platform);
    platform.core.state->self.first_start = true;
    platform.boots_never = true;
    run_platform(&platform, 6000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, 0);
        g_assert_cmpuint(platform.firm[i], ==, 1);
    }
    t_relay_call(&platform.core, 1, T_STREAM_PATH);
    run_platform(&platform, 3000);
    g_assert_cmpuint(platform.firm[0], >=, MAX_PER_ZONE / 3);
    t_core_free(&platform.core);
}

/* Firm upstreams stay in a zone that has no cheap ones, also before calls. */
static void
test_first_start_without_cheap(void)
{
    struct platform platform;

    init_platform(&platform);
    platform.core.state->self.first_start = true;
    platform.boots_never = true;
    platform.exhausted_zone = 0;
    run_platform(&platform, 10000);
    g_assert_cmpuint(platform.firm[0], ==, 4);
    g_assert_cmpuint(platform.firm[1], ==, 1);
    t_core_free(&platform.core);
}

/*
 * While cheap upstreams boot no firm ones are ordered in their place; firm
 * ones follow if the cheap ones do not appear.
 */
static void
test_booting(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 10000);
    for (guint i = 0; i < 400; i++) {
        t_relay_call(&platform.core, 1, T_STREAM_PATH);
    }
    platform.boots_never = true;
    run_platform(&platform, 4000);
    g_assert_cmpuint(platform.firm[0] + platform.firm[1] + platform.firm[2],
                     ==, 0);
    run_platform(&platform, 5000);
    g_assert_cmpuint(platform.firm[0], ==, MAX_PER_ZONE / 4);
    t_core_free(&platform.core);
}

/*
 * If the load needs more than the upper bound, firm upstreams fill a zone
 * whose cheap ones are not available; they leave when the load is gone.
 */
static void
test_load_fills_lost_zone(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 6000);
    platform.exhausted_zone = 0;
    set_entries(&platform, 0, true, 0);
    for (guint i = 0; i < 400; i++) {
        t_relay_call(&platform.core, 1, T_STREAM_PATH);
    }
    run_platform(&platform, 6000);
    g_assert_cmpuint(platform.firm[0], ==, MAX_PER_ZONE);
    g_assert_cmpuint(platform.firm[1] + platform.firm[2], ==, 0);
    t_core_tick(&platform.core, T_RELAY_TIMEOUT_MS);
    run_platform(&platform, 60000);
    g_assert_cmpuint(platform.firm[0], ==, 0);
    t_core_free(&platform.core);
}

/*
 * A load that the cheap upstreams of the other zones carry orders no firm ones
 * for a lost zone.
 */
static void
test_load_without_firm(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 6000);
    platform.exhausted_zone = 0;
    set_entries(&platform, 0, true, 0);
    for (guint i = 0; i < 110; i++) {
        t_relay_call(&platform.core, 1, T_STREAM_PATH);
    }
    run_platform(&platform, 8000);
    g_assert_cmpuint(platform.cheap[1] + platform.cheap[2], ==,
                     2 * MAX_PER_ZONE);
    g_assert_cmpuint(platform.firm[0] + platform.firm[1] + platform.firm[2],
                     ==, 0);
    t_core_free(&platform.core);
}

/*
 * Configuring the same zones again preserves their rows; a zone that the
 * configuration no longer names gets no orders.
 */
static void
test_reconfigured(void)
{
    GArray *config_rows = make_config_rows(MAX_PER_ZONE);
    struct platform platform;
    guint orders;

    init_platform(&platform);
    run_platform(&platform, 10000);
    orders = platform.orders;
    t_relay_post_config(&platform.core, 2, config_rows);
    g_assert_cmpuint(platform.core.state->zone_orders.rows->len, ==, ZONES);
    run_platform(&platform, 3000);
    g_assert_cmpuint(platform.orders, ==, orders);
    /* The last row is the one of the last zone. */
    g_array_set_size(config_rows, config_rows->len - 1);
    t_relay_post_config(&platform.core, 3, config_rows);
    g_assert_cmpuint(platform.core.state->zone_orders.rows->len, ==,
                     ZONES - 1);
    set_entries(&platform, ZONES - 1, true, 0);
    run_platform(&platform, 3000);
    g_assert_cmpuint(platform.cheap[ZONES - 1], ==, 0);
    t_core_free(&platform.core);
    g_array_free(config_rows, TRUE);
}

/* Returns the number that was ordered last for a zone. */
static uint32_t
ordered_last(const struct platform *platform, guint zone, bool cheap)
{
    const struct ct_zone_order_row *row =
        &g_array_index(platform->core.state->zone_orders.rows,
                       struct ct_zone_order_row, zone);

    return cheap ? row->cheap.ordered : row->firm.ordered;
}

/*
 * An evacuated zone gets no new upstreams, not even in place of those that it
 * loses; the other zones are ordered its part at once, before the load is
 * there. The restored zone is ordered as before, and the other zones once its
 * upstreams had time to boot.
 */
static void
test_evacuated(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 10000);
    t_relay_post_evacuation(&platform.core, zones[0], false);
    g_assert_cmpuint(execute_orders(&platform), >=, 2);
    run_platform(&platform, 3000);
    g_assert_cmpuint(platform.cheap[0], ==, MAX_PER_ZONE * 3 / 4);
    g_assert_cmpuint(platform.cheap[1], ==, MAX_PER_ZONE);
    g_assert_cmpuint(platform.cheap[2], ==, MAX_PER_ZONE);
    set_entries(&platform, 0, true, 4);
    run_platform(&platform, 10000);
    g_assert_cmpuint(platform.cheap[0], ==, 4);
    t_relay_post_evacuation(&platform.core, zones[0], true);
    run_platform(&platform, 5000);
    g_assert_cmpuint(platform.cheap[0], ==, MAX_PER_ZONE * 3 / 4);
    g_assert_cmpuint(platform.cheap[1], ==, MAX_PER_ZONE);
    run_platform(&platform, 20000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, MAX_PER_ZONE * 3 / 4);
        g_assert_cmpuint(platform.firm[i], ==, 0);
    }
    t_core_free(&platform.core);
}

/*
 * What was ordered for a zone and has not booted when it is evacuated is
 * cancelled. Firm upstreams take its place in the other zones only.
 */
static void
test_evacuated_while_booting(void)
{
    struct platform platform;

    init_platform(&platform);
    platform.boots_never = true;
    run_platform(&platform, 3000);
    g_assert_cmpuint(ordered_last(&platform, 0, true), ==,
                     MAX_PER_ZONE * 3 / 4);
    t_relay_post_evacuation(&platform.core, zones[0], false);
    execute_orders(&platform);
    run_platform(&platform, 10000);
    g_assert_cmpuint(ordered_last(&platform, 0, true), ==, 0);
    g_assert_cmpuint(platform.firm[0], ==, 4);
    g_assert_cmpuint(platform.firm[1] + platform.firm[2], >, 8);
    t_core_free(&platform.core);
}

/* With all zones evacuated nothing is ordered until they are restored. */
static void
test_all_evacuated(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 10000);
    for (guint i = 0; i < ZONES; i++) {
        t_relay_post_evacuation(&platform.core, zones[i], false);
        execute_orders(&platform);
        set_entries(&platform, i, true, 2);
    }
    run_platform(&platform, 10000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, 2);
        g_assert_cmpuint(platform.firm[i], ==, 0);
    }
    for (guint i = 0; i < ZONES; i++) {
        t_relay_post_evacuation(&platform.core, zones[i], true);
    }
    run_platform(&platform, 5000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, MAX_PER_ZONE * 3 / 4);
    }
    t_core_free(&platform.core);
}

/*
 * If an order is refused because of an outdated fencing token, this host stops
 * ordering.
 */
static void
test_fenced(void)
{
    struct platform platform;
    guint orders;

    init_platform(&platform);
    platform.result = CT_ERR_FENCED;
    run_platform(&platform, 5000);
    orders = platform.orders;
    g_assert_cmpuint(orders, >=, 1);
    run_platform(&platform, 5000);
    g_assert_cmpuint(platform.orders, ==, orders);
    t_core_free(&platform.core);
}

/*
 * The other zones cover for a zone that lost its cheap upstreams, until it has
 * them again.
 */
static void
test_covering_zones(void)
{
    struct platform platform;

    init_platform(&platform);
    run_platform(&platform, 15000);
    g_assert_cmpuint(platform.cheap[0], ==, 6);
    g_assert_cmpuint(platform.cheap[1], ==, 6);
    platform.exhausted_zone = 0;
    set_entries(&platform, 0, true, 0);
    run_platform(&platform, 3000);
    g_assert_cmpuint(platform.cheap[1], ==, MAX_PER_ZONE);
    g_assert_cmpuint(platform.cheap[2], ==, MAX_PER_ZONE);
    platform.exhausted_zone = -1;
    run_platform(&platform, 15000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(platform.cheap[i], ==, 6);
    }
    t_core_free(&platform.core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zone-orders/cheap-replace-firm",
                    test_cheap_replace_firm);
    g_test_add_func("/zone-orders/lost-zones", test_lost_zones);
    g_test_add_func("/zone-orders/unknown-result", test_unknown_result);
    g_test_add_func("/zone-orders/removal-in-steps", test_removal_in_steps);
    g_test_add_func("/zone-orders/load-increase", test_load_increase);
    g_test_add_func("/zone-orders/first-start", test_first_start);
    g_test_add_func("/zone-orders/first-start-without-cheap",
                    test_first_start_without_cheap);
    g_test_add_func("/zone-orders/booting", test_booting);
    g_test_add_func("/zone-orders/load-fills-lost-zone",
                    test_load_fills_lost_zone);
    g_test_add_func("/zone-orders/load-without-firm", test_load_without_firm);
    g_test_add_func("/zone-orders/reconfigured", test_reconfigured);
    g_test_add_func("/zone-orders/covering-zones", test_covering_zones);
    g_test_add_func("/zone-orders/fenced", test_fenced);
    g_test_add_func("/zone-orders/evacuated", test_evacuated);
    g_test_add_func("/zone-orders/evacuated-while-booting",
                    test_evacuated_while_booting);
    g_test_add_func("/zone-orders/all-evacuated", test_all_evacuated);
    return g_test_run();
}
