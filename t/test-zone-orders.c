/* Tests of zone-orders.h: how many of each kind, and when again. */
#include <string.h>

#include "lib-relay.h"

#define ZONES 3
#define MAX_A_ZONE 8
/* A zone of a large deployment. */
#define MANY 200

/* The platform: what is ordered stands, with entries in the store. */
struct platform {
    struct t_core core;
    uint32_t cheap[ZONES];
    uint32_t firm[ZONES];
    /* No cheap ones are to be had in this zone; -1 for none. */
    int dry;
    guint orders;
    int32_t result;
    uint32_t max_a_zone;
};

static const char *const zones[ZONES] = {"za", "zb", "zc"};

static GArray *
rows(uint32_t max_a_zone)
{
    GArray *rows = t_relay_rows();
    struct ct_pool *engines;

    for (guint i = 0; i < ZONES; i++) {
        struct ct_config_row row = {.kind = CT_CONFIG_ORDER_ZONE};

        CT_TEXT_SET(row.u.order_zone.pool, "engines");
        CT_TEXT_SET(row.u.order_zone.zone, zones[i]);
        g_array_append_val(rows, row);
    }
    /* The pool of engines is the first row. */
    engines = &g_array_index(rows, struct ct_config_row, 0).u.pool;
    g_assert_cmpstr(engines->name.text, ==, "engines");
    engines->min_upstreams = 1;
    engines->max_upstreams = max_a_zone;
    return rows;
}

static void
set_entries(struct platform *p, guint zone, bool cheap, uint32_t n)
{
    for (uint32_t i = 0; i < p->max_a_zone; i++) {
        struct ct_store_upstream entry = t_upstream("engines", i);

        g_snprintf(entry.upstream.name.text, sizeof(entry.upstream.name.text),
                   "%s-%d-%u", zones[zone], cheap, i);
        CT_TEXT_SET(entry.upstream.zone, zones[zone]);
        entry.upstream.cheap = cheap;
        entry.gone = i >= n;
        t_relay_upstream(&p->core, &entry);
    }
    t_relay_read(&p->core, CT_TOPIC_UPSTREAMS, CT_OK, 1, 0, 0);
    *(cheap ? &p->cheap[zone] : &p->firm[zone]) = n;
}

static void
carry_out(struct platform *p, const struct ct_duty_order *order)
{
    struct ct_event event = {.type = CT_EVENT_DUTY_DONE};
    guint zone = 0;

    while (zone + 1 < ZONES && strcmp(zones[zone], order->zone.text) != 0) {
        zone++;
    }
    p->orders++;
    event.u.duty.order = order->order;
    event.u.duty.fence = order->fence;
    event.u.duty.result = p->result;
    if (order->cheap && (int)zone == p->dry) {
        event.u.duty.result = CT_ERR_EXHAUSTED;
    }
    g_assert_cmpuint(order->upstreams, <=, p->max_a_zone);
    t_core_post(&p->core, &event);
    if (event.u.duty.result == CT_OK) {
        set_entries(p, zone, order->cheap, order->upstreams);
    }
}

static void
run(struct platform *p, ct_ms for_ms)
{
    for (ct_ms at = 0; at < for_ms; at += 50) {
        struct ct_event joined = {.type = CT_EVENT_STORE_JOIN_DONE};
        struct ct_effects effects;

        if (at % 1000 == 0) {
            joined.u.store_join.sent_ms = p->core.now_ms;
            joined.u.store_join.generation = 4;
            joined.u.store_join.holds_leader_slot = true;
            t_core_post(&p->core, &joined);
            t_relay_confirm(&p->core);
        }
        t_core_tick(&p->core, 50);
        effects = p->core.effects;
        ct_effects_init(&p->core.effects);
        for (uint32_t i = 0; i < effects.n; i++) {
            if (effects.items[i].type == CT_EFFECT_DUTY_ORDER_UPSTREAMS) {
                carry_out(p, &effects.items[i].u.duty_order);
            }
        }
        ct_effects_free(&effects);
    }
}

static void
setup_zones(struct platform *p, uint32_t max_a_zone)
{
    GArray *config = rows(max_a_zone);

    memset(p, 0, sizeof(*p));
    p->max_a_zone = max_a_zone;
    p->dry = -1;
    t_relay_init(&p->core);
    t_relay_post_config(&p->core, 1, config);
    t_relay_confirm(&p->core);
    for (guint i = 0; i < ZONES; i++) {
        set_entries(p, i, false, 4);
    }
    g_array_free(config, TRUE);
}

static void
setup(struct platform *p)
{
    setup_zones(p, MAX_A_ZONE);
}

/* Cheap ones take the place of firm ones, and orders come to rest. */
static void
test_settles(void)
{
    struct platform p;
    guint orders;

    setup(&p);
    run(&p, 10000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(p.cheap[i], ==, MAX_A_ZONE * 3 / 4);
        g_assert_cmpuint(p.firm[i], ==, 0);
    }
    orders = p.orders;
    run(&p, 10000);
    g_assert_cmpuint(p.orders, ==, orders);
    t_core_free(&p.core);
}

/* A zone's cheap ones are taken away and not to be had for a while. */
static void
test_zone_lost(void)
{
    struct platform p;

    setup(&p);
    run(&p, 10000);
    p.dry = 0;
    set_entries(&p, 0, true, 0);
    /* The other zones cover enough; the lost ones are asked for again. */
    run(&p, 10000);
    g_assert_cmpuint(p.cheap[0], ==, 0);
    g_assert_cmpuint(p.firm[0] + p.firm[1] + p.firm[2], ==, 0);
    /* A second one goes: firm ones stand in. */
    set_entries(&p, 1, true, 0);
    run(&p, 500);
    g_assert_cmpuint(p.firm[0] + p.firm[1] + p.firm[2], >, 0);
    t_core_free(&p.core);
}

/* An order without an answer is given again, not held for carried out. */
static void
test_unknown_result(void)
{
    struct platform p;

    setup(&p);
    p.result = CT_ERR_IO;
    run(&p, 8000);
    g_assert_cmpuint(p.orders, >=, 12);
    g_assert_cmpuint(p.orders, <=, 60);
    p.result = CT_OK;
    run(&p, 5000);
    g_assert_cmpuint(p.cheap[0], ==, MAX_A_ZONE * 3 / 4);
    t_core_free(&p.core);
}

/* Many go in steps: every host must hear of each of them in time. */
static void
test_steps(void)
{
    uint32_t most = 0;
    struct platform p;

    setup_zones(&p, MANY);
    set_entries(&p, 0, false, MANY);
    for (uint32_t before = MANY; p.firm[0] > 0; before = p.firm[0]) {
        run(&p, 50);
        most = MAX(most, before - p.firm[0]);
        g_assert_cmpuint(p.orders, <, 100);
    }
    g_assert_cmpuint(most, >, 0);
    g_assert_cmpuint(most, <=, 30);
    g_assert_cmpuint(p.cheap[0], ==, MANY * 3 / 4);
    t_core_free(&p.core);
}

/* With many calls in flight more are ordered, up to the bound. */
static void
test_load(void)
{
    struct platform p;

    setup(&p);
    run(&p, 6000);
    for (guint i = 0; i < 200; i++) {
        t_relay_call(&p.core, 1, T_STREAM_PATH);
    }
    run(&p, 6000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(p.cheap[i], ==, MAX_A_ZONE);
    }
    t_core_free(&p.core);
}

/*
 * The same zones again are the same rows; a zone that a configuration no more
 * names is not ordered for.
 */
static void
test_configured_again(void)
{
    GArray *config = rows(MAX_A_ZONE);
    struct platform p;
    guint orders;

    setup(&p);
    run(&p, 10000);
    orders = p.orders;
    t_relay_post_config(&p.core, 2, config);
    g_assert_cmpuint(p.core.state->zone_orders.rows->len, ==, ZONES);
    run(&p, 3000);
    g_assert_cmpuint(p.orders, ==, orders);
    /* The last row is that of the last zone. */
    g_array_set_size(config, config->len - 1);
    t_relay_post_config(&p.core, 3, config);
    g_assert_cmpuint(p.core.state->zone_orders.rows->len, ==, ZONES - 1);
    set_entries(&p, ZONES - 1, true, 0);
    run(&p, 3000);
    g_assert_cmpuint(p.cheap[ZONES - 1], ==, 0);
    t_core_free(&p.core);
    g_array_free(config, TRUE);
}

/* An order that is refused as an old holder's ends the part of this host. */
static void
test_fenced(void)
{
    struct platform p;
    guint orders;

    setup(&p);
    p.result = CT_ERR_FENCED;
    run(&p, 5000);
    orders = p.orders;
    g_assert_cmpuint(orders, >=, 1);
    run(&p, 5000);
    g_assert_cmpuint(p.orders, ==, orders);
    t_core_free(&p.core);
}

/* The other zones stand in for one that lost its cheap ones, and no longer. */
static void
test_stand_in(void)
{
    struct platform p;

    setup(&p);
    run(&p, 15000);
    g_assert_cmpuint(p.cheap[0], ==, 6);
    g_assert_cmpuint(p.cheap[1], ==, 6);
    p.dry = 0;
    set_entries(&p, 0, true, 0);
    run(&p, 3000);
    g_assert_cmpuint(p.cheap[1], ==, MAX_A_ZONE);
    g_assert_cmpuint(p.cheap[2], ==, MAX_A_ZONE);
    p.dry = -1;
    run(&p, 15000);
    for (guint i = 0; i < ZONES; i++) {
        g_assert_cmpuint(p.cheap[i], ==, 6);
    }
    t_core_free(&p.core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/zone-orders/settles", test_settles);
    g_test_add_func("/zone-orders/zone-lost", test_zone_lost);
    g_test_add_func("/zone-orders/unknown-result", test_unknown_result);
    g_test_add_func("/zone-orders/steps", test_steps);
    g_test_add_func("/zone-orders/load", test_load);
    g_test_add_func("/zone-orders/configured-again", test_configured_again);
    g_test_add_func("/zone-orders/stand-in", test_stand_in);
    g_test_add_func("/zone-orders/fenced", test_fenced);
    return g_test_run();
}
