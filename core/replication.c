#include "replication.h"

#include <string.h>

#include "error.h"
#include "source-links.h"
#include "state.h"

/* Interval between update requests to the source. */
#define REQUEST_PERIOD_MS 1000
/* A follower that has sent no update request for this long is removed. */
#define FOLLOWER_TIMEOUT_MS (3 * REQUEST_PERIOD_MS)
/* A source that went stale is not chosen again for this long. */
#define SOURCE_AVOID_MS 10000
/*
 * Share of the bound on leaving upstreams, or of a shorter one on evacuations,
 * after which updates are stale: the rest of the bound has to suffice for a
 * read of the store.
 */
#define STALE_DRAIN_PERCENT 60
/*
 * An update carries at most this many entries; if more were read, every host
 * reads them from the store itself.
 */
#define UPDATE_ENTRIES_MAX 128
/*
 * Rows of a configuration that is sent to followers; a larger configuration is
 * read by every host. So many organisations with one key each nearly fill a
 * frame between hosts.
 */
#define UPDATE_CONFIG_ROWS_MAX 8192

void
ct_replication_init(struct ct_replication *replication)
{
    memset(replication, 0, sizeof(*replication));
    ct_table_init(&replication->followers,
                  sizeof(struct ct_replication_follower), 0, NULL);
    ct_table_init(&replication->avoided,
                  sizeof(struct ct_replication_avoided_source), 0, NULL);
    replication->entries =
        g_array_new(FALSE, FALSE, sizeof(struct ct_store_upstream));
    replication->config_rows =
        g_array_new(FALSE, FALSE, sizeof(struct ct_config_row));
    replication->links = g_array_new(FALSE, FALSE, sizeof(struct ct_host));
}

void
ct_replication_free(struct ct_replication *replication)
{
    g_array_free(replication->links, TRUE);
    g_array_free(replication->config_rows, TRUE);
    g_array_free(replication->entries, TRUE);
    ct_table_free(&replication->followers);
    ct_table_free(&replication->avoided);
}

ct_ms
ct_replication_stale_ms(const struct ct_state *state)
{
    const struct ct_bounds *bounds = &state->self.bounds;

    return ct_bounds_with_evacuation(bounds, bounds->drain_ms) *
           STALE_DRAIN_PERCENT / 100;
}

bool
ct_replication_has_followers(const struct ct_state *state)
{
    return state->replication.followers.live > 0;
}

bool
ct_replication_has_source(const struct ct_state *state)
{
    return state->replication.source_linked;
}

bool
ct_replication_source_is_fresh(const struct ct_state *state)
{
    const struct ct_replication *replication = &state->replication;

    return replication->source_linked && replication->last_update_ms > 0 &&
           state->now_ms - replication->last_update_ms <
               ct_replication_stale_ms(state);
}

bool
ct_replication_source_fails(const struct ct_state *state)
{
    const struct ct_replication *replication = &state->replication;

    return replication->source_linked && replication->source_failed_ms > 0 &&
           state->now_ms - replication->source_failed_ms <
               2 * ct_replication_stale_ms(state);
}

bool
ct_replication_is_outage(const struct ct_state *state)
{
    return ct_replication_source_fails(state) &&
           state->store.topics[CT_TOPIC_UPSTREAMS].failures > 0;
}

static bool
is_source_avoided(const struct ct_state *state, const struct ct_name *host)
{
    const struct ct_replication_avoided_source *avoided;
    uint32_t cursor = 0;

    while ((avoided =
                ct_table_next(&state->replication.avoided, &cursor, NULL))) {
        if (ct_name_eq(&avoided->host, host)) {
            return true;
        }
    }
    return false;
}

static void
avoid_source(struct ct_state *state, const struct ct_name *host)
{
    struct ct_replication_avoided_source *avoided;
    struct ct_handle handle;
    int err = ct_table_add(&state->replication.avoided, &handle);

    if (err < 0) {
        state->out->err = err;
        return;
    }
    avoided = ct_table_get(&state->replication.avoided, handle);
    avoided->host = *host;
    avoided->until_ms = state->now_ms + SOURCE_AVOID_MS;
}

static void
expire_avoided_sources(struct ct_state *state)
{
    const struct ct_replication_avoided_source *avoided;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((avoided = ct_table_next(&state->replication.avoided, &cursor,
                                    &handle))) {
        if (avoided->until_ms <= state->now_ms) {
            ct_table_unref(&state->replication.avoided, handle);
        }
    }
}

static void
expire_followers(struct ct_state *state)
{
    struct ct_table *followers = &state->replication.followers;
    const struct ct_replication_follower *follower;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((follower = ct_table_next(followers, &cursor, &handle))) {
        if (state->now_ms - follower->received_ms >= FOLLOWER_TIMEOUT_MS) {
            ct_table_unref(followers, handle);
        }
    }
}

static struct ct_replication_follower *
find_follower(const struct ct_state *state, const struct ct_name *host,
              struct ct_handle *handle)
{
    struct ct_replication_follower *follower;
    uint32_t cursor = 0;

    while ((follower = ct_table_next(&state->replication.followers, &cursor,
                                     handle))) {
        if (ct_name_eq(&follower->host, host)) {
            return follower;
        }
    }
    return NULL;
}

/* Source selection. */

/*
 * Returns the host to follow, or NULL if this host has to read the store. The
 * first hosts by name read the store. Every other host prefers one of them and
 * tries the next in the same order when a source is stale. A host that finds
 * no usable source before it in the order reads the store itself, so that no
 * host waits for one that itself waits.
 */
static const struct ct_member *
choose_source(const struct ct_state *state, const GPtrArray *members, int self)
{
    uint32_t n_sources = ct_sources_in_zone(members->len);
    uint64_t hash = ct_name_hash(CT_HASH_SEED, &state->self.host);

    if (members->len < CT_ZONE_HOSTS_MIN || self < (int)n_sources) {
        return NULL;
    }
    for (uint32_t i = 0; i < (uint32_t)self; i++) {
        uint32_t index =
            i < n_sources ? (uint32_t)((hash + i) % n_sources) : i;
        const struct ct_member *member = g_ptr_array_index(members, index);

        if (!is_source_avoided(state, &member->host)) {
            return member;
        }
    }
    return NULL;
}

/*
 * Returns the hosts to open links to, struct ct_host: the source, or for a
 * host without one other sources to share load with.
 */
static GArray *
wanted_links(const struct ct_state *state, const struct ct_member *source)
{
    GArray *links;
    struct ct_host host;

    if (source == NULL && state->self.share_load) {
        return ct_source_links(state);
    }
    links = g_array_new(FALSE, FALSE, sizeof(struct ct_host));
    if (source != NULL) {
        memset(&host, 0, sizeof(host));
        host.name = source->host;
        host.zone = source->zone;
        host.peer_address = source->peer_address;
        g_array_append_val(links, host);
    }
    return links;
}

/* Takes ownership of the links. */
static void
set_links(struct ct_state *state, GArray *links)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_SET_PEERS);
    int err = ct_effect_set_rows(
        state->out, effect,
        CT_ROWS((const struct ct_host *)(const void *)links->data,
                links->len));

    if (err < 0) {
        state->out->err = err;
    }
    g_array_free(state->replication.links, TRUE);
    state->replication.links = links;
}

/* Follows changes of the other sources while this host has no source. */
static void
update_links(struct ct_state *state)
{
    const GArray *current = state->replication.links;
    GArray *links = wanted_links(state, NULL);

    if (links->len == current->len &&
        (links->len == 0 ||
         memcmp(links->data, current->data,
                links->len * sizeof(struct ct_host)) == 0)) {
        g_array_free(links, TRUE);
        return;
    }
    set_links(state, links);
}

static void
set_source(struct ct_state *state, const struct ct_member *member)
{
    struct ct_replication *replication = &state->replication;

    set_links(state, wanted_links(state, member));
    memset(&replication->source, 0, sizeof(replication->source));
    replication->source_linked = false;
    replication->last_update_ms = 0;
    replication->source_failed_ms = 0;
    replication->source_chosen_ms = state->now_ms;
    if (member == NULL) {
        ct_emit_log(state, CT_LOG_FEED_LOST, NULL, NULL, 0);
        return;
    }
    replication->source = member->host;
    ct_emit_log(state, CT_LOG_FEED_FOLLOWED, &member->host, NULL, 0);
}

static bool
has_chosen_source(const struct ct_replication *replication)
{
    return replication->source.text[0] != '\0';
}

/* Avoids a source that has sent no update for too long. */
static void
avoid_stale_source(struct ct_state *state)
{
    struct ct_replication *replication = &state->replication;
    ct_ms last_update_ms =
        MAX(replication->source_chosen_ms, replication->last_update_ms);

    if (has_chosen_source(replication) && !ct_replication_is_outage(state) &&
        state->now_ms - last_update_ms >= 2 * ct_replication_stale_ms(state)) {
        avoid_source(state, &replication->source);
    }
}

static void
update_source(struct ct_state *state)
{
    struct ct_replication *replication = &state->replication;
    int self;
    GPtrArray *members = ct_zone_members(state, &state->self.zone, &self);
    const struct ct_member *member = ct_replication_has_followers(state)
                                         ? NULL
                                         : choose_source(state, members, self);

    if (member != NULL ? !ct_name_eq(&member->host, &replication->source)
                       : has_chosen_source(replication)) {
        set_source(state, member);
    }
    else if (member == NULL) {
        update_links(state);
    }
    g_ptr_array_free(members, TRUE);
}

struct ct_peer_message *
ct_replication_message_to_source(struct ct_state *state,
                                 enum ct_peer_message_type type,
                                 struct ct_rows rows)
{
    return ct_peer_message_to(state, &state->replication.source, type, rows);
}

static void
request_updates(struct ct_state *state)
{
    if (state->replication.source_linked) {
        ct_replication_message_to_source(state, CT_PEER_STORE_UPDATE_REQUEST,
                                         CT_NO_ROWS)
            ->u.requested_ms = state->now_ms;
    }
}

void
ct_replication_start(struct ct_state *state)
{
    ct_arm_timer(state, REQUEST_PERIOD_MS, CT_TIMER_REPLICATION, CT_NO_HANDLE);
}

void
ct_replication_on_timer(struct ct_state *state)
{
    expire_followers(state);
    expire_avoided_sources(state);
    avoid_stale_source(state);
    update_source(state);
    request_updates(state);
    ct_arm_timer(state, REQUEST_PERIOD_MS, CT_TIMER_REPLICATION, CT_NO_HANDLE);
}

bool
ct_replication_on_link(struct ct_state *state, const struct ct_name *peer,
                       bool up)
{
    struct ct_replication *replication = &state->replication;
    struct ct_handle handle;

    if (!up && find_follower(state, peer, &handle)) {
        ct_table_unref(&replication->followers, handle);
    }
    if (!ct_name_eq(peer, &replication->source)) {
        return false;
    }
    replication->source_linked = up;
    if (up) {
        request_updates(state);
    }
    return !up;
}

/* Sending updates. */

static void
send_update(struct ct_state *state,
            const struct ct_replication_follower *follower,
            const struct ct_store_update *update, struct ct_rows rows)
{
    const struct ct_topic_sync *sync = &state->store.topics[update->topic];
    struct ct_store_update *sent =
        &ct_peer_message_to(state, &follower->host, CT_PEER_STORE_UPDATE, rows)
             ->u.store_update;

    *sent = *update;
    sent->requested_ms = follower->requested_ms;
    sent->known_after_ms = sync->covered_until_ms - follower->received_ms;
    sent->recovered_age_ms = sync->recovered_ms > 0
                                 ? state->now_ms - sync->recovered_ms
                                 : CT_MS_NEVER;
}

void
ct_replication_on_members_read(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_replication_follower *follower;
    uint32_t cursor = 0;

    while ((follower =
                ct_table_next(&state->replication.followers, &cursor, NULL))) {
        ct_peer_message_to(state, &follower->host, CT_PEER_MEMBERS_UPDATE,
                           rows);
    }
}

/* Returns an update with the state of a topic, without entries. */
static struct ct_store_update
topic_state(const struct ct_state *state, enum ct_topic topic)
{
    int64_t next = state->store.topics[topic].next;

    return (struct ct_store_update){
        .topic = topic, .from = next, .next = next};
}

void
ct_replication_on_update_request(struct ct_state *state,
                                 const struct ct_peer_message *message)
{
    struct ct_replication *replication = &state->replication;
    struct ct_replication_follower *follower =
        find_follower(state, &message->sender, NULL);
    struct ct_handle handle;
    int err;

    if (!state->relaying) {
        return;
    }
    if (follower) {
        follower->requested_ms = message->u.requested_ms;
        follower->received_ms = state->now_ms;
        return;
    }
    err = ct_table_add(&replication->followers, &handle);
    if (err < 0) {
        state->out->err = err;
        return;
    }
    follower = ct_table_get(&replication->followers, handle);
    follower->host = message->sender;
    follower->requested_ms = message->u.requested_ms;
    follower->received_ms = state->now_ms;
    for (uint32_t i = 0; i <= CT_TOPIC_UPSTREAMS; i++) {
        if (state->store.topics[i].covered_until_ms > 0) {
            struct ct_store_update update =
                topic_state(state, (enum ct_topic)i);

            send_update(state, follower, &update, CT_NO_ROWS);
        }
    }
}

void
ct_replication_on_entry_read(struct ct_state *state,
                             const struct ct_store_upstream *entry)
{
    struct ct_replication *replication = &state->replication;

    if (!ct_replication_has_followers(state) ||
        replication->entries->len == UPDATE_ENTRIES_MAX) {
        replication->entries_incomplete = true;
        return;
    }
    g_array_append_val(replication->entries, *entry);
}

void
ct_replication_on_config_read(struct ct_state *state,
                              const struct ct_store_config *config,
                              struct ct_rows rows)
{
    struct ct_replication *replication = &state->replication;

    if (!state->self.share_config || !ct_replication_has_followers(state) ||
        rows.n > UPDATE_CONFIG_ROWS_MAX) {
        replication->config_incomplete = true;
        return;
    }
    replication->config = *config;
    replication->config_read = true;
    g_array_set_size(replication->config_rows, 0);
    g_array_append_vals(replication->config_rows, rows.data, rows.n);
}

void
ct_replication_on_other_record_read(struct ct_state *state)
{
    state->replication.config_incomplete = true;
}

/* Sends the followers the configuration that was read from an offset on. */
static void
send_config(struct ct_state *state, int64_t from)
{
    struct ct_replication *replication = &state->replication;
    const struct ct_replication_follower *follower;
    struct ct_store_config_update *update;
    bool sent = false;
    uint32_t cursor = 0;

    while (
        (follower = ct_table_next(&replication->followers, &cursor, NULL))) {
        if (sent) {
            ct_peer_message_repeat_to(state, &follower->host);
            continue;
        }
        update =
            &ct_peer_message_to(state, &follower->host, CT_PEER_STORE_CONFIG,
                                CT_ROWS((struct ct_config_row *)(void *)
                                            replication->config_rows->data,
                                        replication->config_rows->len))
                 ->u.store_config;
        update->from = from;
        update->next = state->store.topics[CT_TOPIC_CONFIG].next;
        update->config = replication->config;
        sent = true;
    }
}

/* Frees the rows: they are many, and configurations are rare. */
static void
forget_config(struct ct_replication *replication)
{
    if (replication->config_read) {
        g_array_free(replication->config_rows, TRUE);
        replication->config_rows =
            g_array_new(FALSE, FALSE, sizeof(struct ct_config_row));
    }
    replication->config_read = false;
    replication->config_incomplete = false;
}

void
ct_replication_on_read_done(struct ct_state *state,
                            const struct ct_store_read_done *read)
{
    struct ct_replication *replication = &state->replication;
    struct ct_store_update update = topic_state(state, read->topic);
    const struct ct_replication_follower *follower;
    struct ct_rows rows = CT_NO_ROWS;
    uint32_t cursor = 0;

    if (read->topic == CT_TOPIC_UPSTREAMS && !read->newest &&
        !replication->entries_incomplete) {
        update.from = read->from;
        rows = CT_ROWS(
            (struct ct_store_upstream *)(void *)replication->entries->data,
            replication->entries->len);
    }
    if (read->topic == CT_TOPIC_CONFIG && !read->newest &&
        replication->config_read && !replication->config_incomplete) {
        send_config(state, read->from);
    }
    while (
        (follower = ct_table_next(&replication->followers, &cursor, NULL))) {
        send_update(state, follower, &update, rows);
    }
    if (read->topic == CT_TOPIC_UPSTREAMS) {
        g_array_set_size(replication->entries, 0);
        replication->entries_incomplete = false;
    }
    else {
        forget_config(replication);
    }
}

void
ct_replication_on_read_failed(struct ct_state *state, enum ct_topic topic)
{
    struct ct_store_update update = topic_state(state, topic);
    const struct ct_replication_follower *follower;
    uint32_t cursor = 0;

    update.failed = true;
    while ((follower =
                ct_table_next(&state->replication.followers, &cursor, NULL))) {
        send_update(state, follower, &update, CT_NO_ROWS);
    }
}

/* Receiving updates. */

bool
ct_replication_is_from_source(const struct ct_state *state,
                              const struct ct_peer_message *message)
{
    const struct ct_replication *replication = &state->replication;

    return replication->source_linked &&
           ct_name_eq(&message->sender, &replication->source);
}

bool
ct_replication_on_update(struct ct_state *state,
                         const struct ct_peer_message *message)
{
    if (!ct_replication_is_from_source(state, message)) {
        return false;
    }
    if (message->u.store_update.failed) {
        state->replication.source_failed_ms = state->now_ms;
        return false;
    }
    state->replication.last_update_ms = state->now_ms;
    state->replication.source_failed_ms = 0;
    return true;
}
