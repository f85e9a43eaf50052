/*
 * Tests of slot-sharing.h: slots are lent between hosts before a request is
 * shed.
 */
#include <string.h>

#include "lib-core.h"
#include "slot-sharing.h"

#define SLOTS 4

static void
post_slot_message(struct t_core *core, enum ct_peer_message_type type,
                  const struct ct_slot_row *row)
{
    struct ct_event event;

    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_PEER_MESSAGE;
    CT_TEXT_SET(event.u.peer.peer, "h2");
    event.u.peer.message.type = type;
    CT_TEXT_SET(event.u.peer.message.sender, "h2");
    event.u.peer.message.u.slot_row = *row;
    t_core_post(core, &event);
}

/*
 * The slot row of the message of this type that the last event sent, or NULL.
 */
static const struct ct_slot_row *
sent_slot_row(const struct t_core *core, enum ct_peer_message_type type)
{
    const struct ct_effect *effect;

    for (uint32_t i = 0;
         (effect = t_core_effect(core, CT_EFFECT_SEND_PEER_MESSAGE, i)); i++) {
        if (effect->u.peer.message.type == type) {
            return &effect->u.peer.message.u.slot_row;
        }
    }
    return NULL;
}

static void
init_host(struct t_core *core)
{
    t_core_init(core);
    t_core_configure(core, 1, SLOTS);
    t_core_peer_up(core, "h2");
}

static uint32_t
slots_held(const struct t_core *core)
{
    struct ct_name name;
    const struct ct_pool_row *pool;

    CT_TEXT_SET(name, "engines");
    pool = ct_table_get(&core->state->config.pools,
                        ct_config_pool(&core->state->config, &name));
    return pool->slots_held;
}

/*
 * Each of two hosts holds half of the slots, so that upstreams never get more
 * requests than they have slots.
 */
static void
test_base_share(void)
{
    struct t_core core;
    uint32_t started = 0;

    init_host(&core);
    g_assert_cmpuint(slots_held(&core), ==, SLOTS / 2);
    for (int i = 0; i < SLOTS; i++) {
        t_core_call(&core, 1, T_CHAT_PATH);
        started += t_core_count(&core, CT_EFFECT_START_ATTEMPT);
    }
    g_assert_cmpuint(started, ==, SLOTS / 2);
    t_core_free(&core);
}

/* Queued requests start in slots that the peer lends. */
static void
test_borrow(void)
{
    struct t_core core;
    struct ct_slot_row grant;

    init_host(&core);
    for (int i = 0; i < SLOTS / 2; i++) {
        t_core_call(&core, 1, T_CHAT_PATH);
    }
    t_core_call(&core, 1, T_CHAT_PATH);
    g_assert_null(t_core_effect(&core, CT_EFFECT_START_ATTEMPT, 0));
    g_assert_null(t_core_effect(&core, CT_EFFECT_REFUSE_REQUEST, 0));
    g_assert_nonnull(sent_slot_row(&core, CT_PEER_SLOT_REQUEST));
    grant = *sent_slot_row(&core, CT_PEER_SLOT_REQUEST);
    g_assert_cmpuint(grant.slots, >=, 1);
    grant.slots = 1;
    post_slot_message(&core, CT_PEER_SLOT_GRANT, &grant);
    g_assert_cmpuint(t_core_count(&core, CT_EFFECT_START_ATTEMPT), ==, 1);
    t_core_free(&core);
}

/*
 * An idle host lends a slot and holds fewer slots itself until the loan ends.
 */
static void
test_lend(void)
{
    struct t_core core;
    struct ct_slot_row request;

    init_host(&core);
    memset(&request, 0, sizeof(request));
    CT_TEXT_SET(request.pool, "engines");
    request.slots_held = SLOTS / 2;
    request.slots_busy = SLOTS / 2;
    request.waiting[1] = 1;
    request.slots = 1;
    request.request_number = 7;
    post_slot_message(&core, CT_PEER_SLOT_REQUEST, &request);
    g_assert_nonnull(sent_slot_row(&core, CT_PEER_SLOT_GRANT));
    g_assert_cmpuint(sent_slot_row(&core, CT_PEER_SLOT_GRANT)->slots, ==, 1);
    g_assert_cmpuint(sent_slot_row(&core, CT_PEER_SLOT_GRANT)->request_number,
                     ==, 7);
    g_assert_cmpuint(slots_held(&core), ==, SLOTS / 2 - 1);
    /* The borrower never renews the loan, so it expires. */
    for (int i = 0; i < 100; i++) {
        t_core_tick(&core, 100);
    }
    g_assert_cmpuint(slots_held(&core), ==, SLOTS / 2);
    t_core_free(&core);
}

/* The base share of a host that stays down goes to the other hosts. */
static void
test_dead_host(void)
{
    struct t_core core;
    struct ct_event event;

    init_host(&core);
    memset(&event, 0, sizeof(event));
    event.type = CT_EVENT_PEER_DOWN;
    CT_TEXT_SET(event.u.peer.peer, "h2");
    t_core_post(&core, &event);
    for (int i = 0; i < 200; i++) {
        t_core_tick(&core, 100);
    }
    g_assert_cmpuint(slots_held(&core), ==, SLOTS);
    t_core_free(&core);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slot-sharing/base-share", test_base_share);
    g_test_add_func("/slot-sharing/borrow", test_borrow);
    g_test_add_func("/slot-sharing/lend", test_lend);
    g_test_add_func("/slot-sharing/dead-host", test_dead_host);
    return g_test_run();
}
