#include "lib-replication.h"

#include <string.h>

void
t_replication_host(struct t_core *core, guint n)
{
    t_relay_setup(core, 1);
    g_snprintf(core->state->self.host.text,
               sizeof(core->state->self.host.text), "h%u", n);
    g_snprintf(core->state->self.writer.text,
               sizeof(core->state->self.writer.text), "h%u-1", n);
    CT_TEXT_SET(core->state->self.zone, "zone-a");
    g_snprintf(core->state->self.address.text,
               sizeof(core->state->self.address.text), "10.0.0.%u:80", n);
}

void
t_replication_members(struct t_core *core, guint n, guint other)
{
    struct ct_event event = {.type = CT_EVENT_STORE_MEMBERS_READ};
    struct ct_member members[T_REPLICATION_HOSTS];

    memset(members, 0, sizeof(members));
    for (guint i = 0; i < n; i++) {
        g_snprintf(members[i].host.text, sizeof(members[i].host.text), "h%u",
                   i + 1);
        g_snprintf(members[i].address.text, sizeof(members[i].address.text),
                   "10.0.0.%u:80", i + 1);
        g_snprintf(members[i].peer_address.text,
                   sizeof(members[i].peer_address.text), "10.0.0.%u:7340",
                   i + 1);
        CT_TEXT_SET(members[i].zone, i + 1 < other ? "zone-a" : "zone-b");
    }
    event.rows = CT_ROWS(members, n);
    t_core_post(core, &event);
}

void
t_replication_link(struct t_core *core, const char *peer, bool up)
{
    struct ct_event event = {.type =
                                 up ? CT_EVENT_PEER_UP : CT_EVENT_PEER_DOWN};

    CT_TEXT_SET(event.u.peer.peer, peer);
    t_core_post(core, &event);
}

bool
t_replication_deliver(struct t_core *from, uint32_t nth, struct t_core *to)
{
    struct ct_event event = {.type = CT_EVENT_PEER_MESSAGE};
    const struct ct_effect *effect =
        t_core_effect(from, CT_EFFECT_SEND_PEER_MESSAGE, nth);

    if (effect == NULL) {
        return false;
    }
    event.u.peer.peer = from->state->self.host;
    event.u.peer.message = effect->u.peer.message;
    event.u.peer.message.rows = effect->rows;
    t_core_post(to, &event);
    return true;
}

void
t_replication_deliver_all(struct t_core *from, struct t_core *to)
{
    for (uint32_t i = 0; t_replication_deliver(from, i, to); i++) {
    }
}

const struct ct_host *
t_replication_requested_peer(const struct t_core *core)
{
    const struct ct_effect *effect =
        t_core_effect(core, CT_EFFECT_SET_PEERS, 0);

    return effect != NULL && effect->rows.n == 1 ? effect->rows.data : NULL;
}

bool
t_replication_is_reading(const struct t_core *core, enum ct_topic topic)
{
    for (uint32_t i = 0;; i++) {
        const struct ct_effect *effect =
            t_core_effect(core, CT_EFFECT_STORE_READ, i);

        if (effect == NULL || effect->u.store_read.topic == topic) {
            return effect != NULL;
        }
    }
}

void
t_replication_complete_reads(struct t_core *core)
{
    t_relay_confirm(core);
}

/* The steady clocks of follower and source differ by this much. */
#define CLOCK_AHEAD_MS 50000

void
t_replication_init(struct t_replication_pair *pair)
{
    t_replication_host(&pair->source, 1);
    t_replication_host(&pair->follower, 2);
    pair->follower.now_ms += CLOCK_AHEAD_MS;
    t_replication_complete_reads(&pair->follower);
    t_replication_members(&pair->follower, 4, T_REPLICATION_HOSTS + 1);
    t_core_tick(&pair->follower, 1000);
    g_assert_cmpstr(t_replication_requested_peer(&pair->follower)->name.text,
                    ==, "h1");
    t_replication_link(&pair->follower, "h1", true);
    g_assert_true(t_replication_deliver(&pair->follower, 0, &pair->source));
    t_replication_deliver_all(&pair->source, &pair->follower);
    /* Completes the reads that the follower has in progress. */
    t_replication_complete_reads(&pair->follower);
}

void
t_replication_free(struct t_replication_pair *pair)
{
    t_core_free(&pair->source);
    t_core_free(&pair->follower);
}

void
t_replication_tick(struct t_replication_pair *pair, ct_ms by_ms)
{
    t_core_tick(&pair->source, by_ms);
    t_core_tick(&pair->follower, by_ms);
}

void
t_replication_confirm(struct t_replication_pair *pair, enum ct_topic topic)
{
    t_relay_read(&pair->source, topic, CT_OK, 0, 0, 0);
    t_replication_deliver_all(&pair->source, &pair->follower);
}
