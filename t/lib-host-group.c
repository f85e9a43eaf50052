#include "lib-host-group.h"

#include <string.h>

/* Time from sending a message to its arrival. */
#define TRANSIT_MS 10
/* A source confirms that it has read the store this often. */
#define STORE_READ_MS 300

struct t_group_arrival {
    ct_ms due_ms;
    uint32_t host;
    struct ct_event event;
    void *rows;
};

uint32_t
t_group_find(const struct t_group *group, const struct ct_name *name)
{
    uint32_t i = 0;

    while (!ct_name_eq(&group->hosts[i].state->self.host, name)) {
        i++;
    }
    return i;
}

static struct t_group_arrival *
add_arrival(struct t_group *group, uint32_t host, enum ct_event_type type,
            uint32_t peer)
{
    struct t_group_arrival *arrival = g_new0(struct t_group_arrival, 1);

    arrival->due_ms = group->now_ms + TRANSIT_MS;
    arrival->host = host;
    arrival->event.type = type;
    arrival->event.u.peer.peer = group->hosts[peer].state->self.host;
    g_queue_push_tail(group->arrivals, arrival);
    return arrival;
}

static void
set_link(struct t_group *group, uint32_t from, uint32_t to, bool up)
{
    /* A frozen host does not authenticate. */
    if (group->dialled[from][to] != up && !(up && group->frozen[to])) {
        group->dialled[from][to] = up;
        add_arrival(group, from, up ? CT_EVENT_PEER_UP : CT_EVENT_PEER_DOWN,
                    to);
        add_arrival(group, to, up ? CT_EVENT_PEER_UP : CT_EVENT_PEER_DOWN,
                    from);
    }
}

static void
set_links(struct t_group *group, uint32_t from, struct ct_rows rows)
{
    const struct ct_host *hosts = rows.data;

    for (uint32_t i = 0; i < group->n; i++) {
        bool listed = false;

        for (uint32_t k = 0; k < rows.n; k++) {
            listed |= t_group_find(group, &hosts[k].name) == i;
        }
        set_link(group, from, i, listed);
    }
}

static void
send_message(struct t_group *group, uint32_t from,
             const struct ct_effect *effect)
{
    uint32_t to = t_group_find(group, &effect->u.peer.peer);
    struct t_group_arrival *arrival;

    if (!group->dialled[from][to] && !group->dialled[to][from]) {
        return;
    }
    arrival = add_arrival(group, to, CT_EVENT_PEER_MESSAGE, from);
    arrival->event.u.peer.message = effect->u.peer.message;
    arrival->rows = g_memdup2(effect->rows.data,
                              (gsize)effect->rows.n * effect->rows.row_size);
    arrival->event.u.peer.message.rows =
        (struct ct_rows){arrival->rows, effect->rows.n, effect->rows.row_size};
    group->load_messages += effect->u.peer.message.type >= CT_PEER_LOAD;
}

void
t_group_post(struct t_group *group, uint32_t host, struct ct_event *event)
{
    struct t_core *core = &group->hosts[host];

    core->now_ms = group->now_ms;
    t_core_post(core, event);
    for (uint32_t i = 0; i < core->effects.n; i++) {
        const struct ct_effect *effect = &core->effects.items[i];

        if (effect->type == CT_EFFECT_SET_PEERS) {
            set_links(group, host, effect->rows);
        }
        else if (effect->type == CT_EFFECT_SEND_PEER_MESSAGE) {
            send_message(group, host, effect);
        }
    }
}

static void
deliver(struct t_group *group)
{
    GQueue *arrivals = group->arrivals;

    group->arrivals = g_queue_new();
    for (struct t_group_arrival *arrival;
         (arrival = g_queue_pop_head(arrivals));) {
        if (group->frozen[arrival->host] || arrival->due_ms > group->now_ms) {
            g_queue_push_tail(group->arrivals, arrival);
            continue;
        }
        t_group_post(group, arrival->host, &arrival->event);
        if (arrival->event.u.peer.message.type == CT_PEER_LOAD) {
            group->last_report = arrival->event;
            group->last_report.u.peer.message.rows = CT_NO_ROWS;
        }
        g_free(arrival->rows);
        g_free(arrival);
    }
    g_queue_free(arrivals);
}

static void
read_store(struct t_group *group, uint32_t host)
{
    struct t_core *core = &group->hosts[host];

    if (group->now_ms % STORE_READ_MS == 0 &&
        !ct_replication_has_source(core->state)) {
        for (int topic = 0; topic <= CT_TOPIC_UPSTREAMS; topic++) {
            const struct ct_topic_sync *sync =
                &core->state->store.topics[topic];
            struct ct_event event = {.type = CT_EVENT_STORE_READ_DONE};

            event.u.store_read = (struct ct_store_read_done){
                .topic = (enum ct_topic)topic,
                .sent_ms = group->now_ms,
                .from = sync->next,
                .next = sync->next,
            };
            t_group_post(group, host, &event);
        }
    }
}

void
t_group_step(struct t_group *group)
{
    struct ct_event tick = {.type = CT_EVENT_TICK};

    group->now_ms += T_GROUP_STEP_MS;
    deliver(group);
    for (uint32_t i = 0; i < group->n; i++) {
        if (!group->frozen[i]) {
            read_store(group, i);
            t_group_post(group, i, &tick);
        }
    }
}

void
t_group_run(struct t_group *group, ct_ms for_ms)
{
    for (ct_ms until_ms = group->now_ms + for_ms; group->now_ms < until_ms;) {
        t_group_step(group);
    }
}

void
t_group_post_members(struct t_group *group)
{
    struct ct_event event = {.type = CT_EVENT_STORE_MEMBERS_READ};
    struct ct_member *members = g_new0(struct ct_member, group->n);
    uint32_t n = 0;

    for (uint32_t i = 0; i < group->n; i++) {
        if (!group->frozen[i]) {
            members[n].host = group->hosts[i].state->self.host;
            members[n].zone = group->hosts[i].state->self.zone;
            members[n++].address = group->hosts[i].state->self.address;
        }
    }
    event.rows = CT_ROWS(members, n);
    for (uint32_t i = 0; i < group->n; i++) {
        if (!group->frozen[i]) {
            t_group_post(group, i, &event);
        }
    }
    g_free(members);
}

struct t_group *
t_group_new(uint32_t n, uint32_t zone_size, uint32_t n_sharing)
{
    struct t_group *group = g_new0(struct t_group, 1);

    group->n = n;
    group->arrivals = g_queue_new();
    for (uint32_t i = 0; i < n; i++) {
        struct t_core *core = &group->hosts[i];
        struct ct_name name;

        g_snprintf(name.text, sizeof(name.text), "h%02u", i);
        if (i < n_sharing) {
            t_relay_init_sharing(core, name.text, i + 1);
        }
        else {
            t_relay_init_seeded(core, name.text, i + 1);
        }
        g_snprintf(core->state->self.zone.text,
                   sizeof(core->state->self.zone.text), "z%05u",
                   i / zone_size);
        g_snprintf(core->state->self.address.text,
                   sizeof(core->state->self.address.text), "10.0.0.%u:80", i);
        t_relay_configure(core, 5, 2);
    }
    group->now_ms = group->hosts[0].now_ms;
    t_group_post_members(group);
    return group;
}

void
t_group_free(struct t_group *group)
{
    for (struct t_group_arrival *arrival;
         (arrival = g_queue_pop_head(group->arrivals));) {
        g_free(arrival->rows);
        g_free(arrival);
    }
    g_queue_free(group->arrivals);
    for (uint32_t i = 0; i < group->n; i++) {
        t_core_free(&group->hosts[i]);
    }
    g_free(group);
}
