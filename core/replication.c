#include "replication.h"

#include <string.h>

#include "error.h"
#include "state.h"

/* Between questions to the source. */
#define PERIOD_MS 1000
/* A host that has not asked for this long is told nothing more. */
#define FOLLOWER_TIMEOUT_MS (3 * PERIOD_MS)
/* A source that was silent is not chosen again for this long. */
#define AVOID_MS 10000
/* Fewer hosts than this in an availability zone read the store themselves. */
#define HOSTS_MIN 4
/* Hosts of an availability zone for one that reads. */
#define HOSTS_A_SOURCE 16
/*
 * Part of the bound on leaving upstreams after which news are too old: what is
 * left must do for a read of the store.
 */
#define STALE_PERCENT 60
/* More entries than this are read from the store by everyone. */
#define ENTRIES_MAX 128

void
ct_replication_init(struct ct_replication *feed)
{
    memset(feed, 0, sizeof(*feed));
    ct_table_init(&feed->followers, sizeof(struct ct_replication_follower), 0,
                  NULL);
    ct_table_init(&feed->avoided, sizeof(struct ct_replication_avoided_source),
                  0, NULL);
    feed->entries =
        g_array_new(FALSE, FALSE, sizeof(struct ct_store_upstream));
}

void
ct_replication_free(struct ct_replication *feed)
{
    g_array_free(feed->entries, TRUE);
    ct_table_free(&feed->followers);
    ct_table_free(&feed->avoided);
}

ct_ms
ct_replication_stale_ms(const struct ct_state *state)
{
    return state->self.bounds.drain_ms * STALE_PERCENT / 100;
}

bool
ct_replication_has_followers(const struct ct_state *state)
{
    return state->replication.followers.live > 0;
}

bool
ct_replication_has_source(const struct ct_state *state)
{
    return state->replication.linked;
}

bool
ct_replication_source_is_fresh(const struct ct_state *state)
{
    const struct ct_replication *feed = &state->replication;

    return feed->linked && feed->heard_ms > 0 &&
           state->now_ms - feed->heard_ms < ct_replication_stale_ms(state);
}

static bool
is_avoided(const struct ct_state *state, const struct ct_name *host)
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
avoid(struct ct_state *state, const struct ct_name *host)
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
    avoided->until_ms = state->now_ms + AVOID_MS;
}

static void
forget_avoided(struct ct_state *state)
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
forget_followers(struct ct_state *state)
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

/* Choice of a source. */

static gint
by_name(gconstpointer a, gconstpointer b)
{
    const struct ct_member *const *first = a;
    const struct ct_member *const *second = b;

    return strcmp((*first)->host.text, (*second)->host.text);
}

/* Members of this host's availability zone by name; *self is this one's place,
 * -1 where it is not among them. */
static GPtrArray *
neighbours(const struct ct_state *state, int *self)
{
    GPtrArray *members = g_ptr_array_new();
    const struct ct_group_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        if (row->misses == 0 &&
            ct_name_eq(&row->member.zone, &state->self.zone)) {
            g_ptr_array_add(members, (gpointer)&row->member);
        }
    }
    g_ptr_array_sort(members, by_name);
    *self = -1;
    for (guint i = 0; i < members->len; i++) {
        const struct ct_member *member = g_ptr_array_index(members, i);

        if (ct_name_eq(&member->host, &state->self.host)) {
            *self = (int)i;
        }
    }
    return members;
}

/*
 * The first by name read the store; each host prefers one of them, and takes
 * the next in the same order when they are silent. Whoever is before no other
 * that answers reads the store, so that nobody waits for a host that waits.
 */
static const struct ct_member *
choose(const struct ct_state *state, const GPtrArray *members, int self)
{
    uint32_t sources = (members->len + HOSTS_A_SOURCE - 1) / HOSTS_A_SOURCE;
    uint64_t hash = ct_hash_bytes(CT_HASH_SEED, state->self.host.text,
                                  sizeof(state->self.host.text));

    if (members->len < HOSTS_MIN || self < (int)sources) {
        return NULL;
    }
    for (uint32_t i = 0; i < (uint32_t)self; i++) {
        uint32_t at = i < sources ? (uint32_t)((hash + i) % sources) : i;
        const struct ct_member *member = g_ptr_array_index(members, at);

        if (!is_avoided(state, &member->host)) {
            return member;
        }
    }
    return NULL;
}

static void
set_source(struct ct_state *state, const struct ct_member *member)
{
    struct ct_replication *feed = &state->replication;
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_SET_PEERS);
    struct ct_host host;
    int err;

    memset(&feed->source, 0, sizeof(feed->source));
    feed->linked = false;
    feed->heard_ms = 0;
    feed->since_ms = state->now_ms;
    if (member == NULL) {
        ct_emit_log(state, CT_LOG_FEED_LOST, NULL, NULL, 0);
        return;
    }
    feed->source = member->host;
    memset(&host, 0, sizeof(host));
    host.name = member->host;
    host.zone = member->zone;
    host.peer_address = member->peer_address;
    err = ct_effect_set_rows(state->out, effect, CT_ROWS(&host, 1));
    if (err < 0) {
        state->out->err = err;
    }
    ct_emit_log(state, CT_LOG_FEED_FOLLOWED, &member->host, NULL, 0);
}

static bool
follows(const struct ct_replication *feed)
{
    return feed->source.text[0] != '\0';
}

/* Gives up a source of which nothing was heard for too long. */
static void
check_source(struct ct_state *state)
{
    struct ct_replication *feed = &state->replication;
    ct_ms heard_ms = MAX(feed->since_ms, feed->heard_ms);

    if (follows(feed) &&
        state->now_ms - heard_ms >= 2 * ct_replication_stale_ms(state)) {
        avoid(state, &feed->source);
    }
}

static void
update_source(struct ct_state *state)
{
    struct ct_replication *feed = &state->replication;
    int self;
    GPtrArray *members = neighbours(state, &self);
    const struct ct_member *member = ct_replication_has_followers(state)
                                         ? NULL
                                         : choose(state, members, self);

    if (member != NULL ? !ct_name_eq(&member->host, &feed->source)
                       : follows(feed)) {
        set_source(state, member);
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
ask(struct ct_state *state)
{
    if (state->replication.linked) {
        ct_replication_message_to_source(state, CT_PEER_STORE_UPDATE_REQUEST,
                                         CT_NO_ROWS)
            ->u.asked_ms = state->now_ms;
    }
}

void
ct_replication_start(struct ct_state *state)
{
    ct_arm_timer(state, PERIOD_MS, CT_TIMER_REPLICATION, CT_NO_HANDLE);
}

void
ct_replication_on_timer(struct ct_state *state)
{
    forget_followers(state);
    forget_avoided(state);
    check_source(state);
    update_source(state);
    ask(state);
    ct_arm_timer(state, PERIOD_MS, CT_TIMER_REPLICATION, CT_NO_HANDLE);
}

void
ct_replication_on_link(struct ct_state *state, const struct ct_name *peer,
                       bool up)
{
    struct ct_replication *feed = &state->replication;
    struct ct_handle handle;

    if (!up && find_follower(state, peer, &handle)) {
        ct_table_unref(&feed->followers, handle);
    }
    if (!ct_name_eq(peer, &feed->source)) {
        return;
    }
    feed->linked = up;
    if (up) {
        ask(state);
        return;
    }
    ct_store_on_source_lost(state);
}

/* Telling others. */

static void
tell(struct ct_state *state, const struct ct_replication_follower *follower,
     const struct ct_store_update *news, struct ct_rows rows)
{
    const struct ct_topic_sync *sync = &state->store.topics[news->topic];
    struct ct_store_update *copy =
        &ct_peer_message_to(state, &follower->host, CT_PEER_STORE_UPDATE, rows)
             ->u.news;

    *copy = *news;
    copy->asked_ms = follower->asked_ms;
    copy->lead_ms = sync->known_ms - follower->received_ms;
    copy->back_age_ms =
        sync->back_ms > 0 ? state->now_ms - sync->back_ms : CT_MS_NEVER;
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

/* What is known of a topic, without the entries. */
static struct ct_store_update
state_of(const struct ct_state *state, enum ct_topic topic)
{
    int64_t next = state->store.topics[topic].next;

    return (struct ct_store_update){
        .topic = topic, .from = next, .next = next};
}

void
ct_replication_on_update_request(struct ct_state *state,
                                 const struct ct_peer_message *message)
{
    struct ct_replication *feed = &state->replication;
    struct ct_replication_follower *follower =
        find_follower(state, &message->sender, NULL);
    struct ct_handle handle;
    int err;

    if (!state->relaying) {
        return;
    }
    if (follower) {
        follower->asked_ms = message->u.asked_ms;
        follower->received_ms = state->now_ms;
        return;
    }
    err = ct_table_add(&feed->followers, &handle);
    if (err < 0) {
        state->out->err = err;
        return;
    }
    follower = ct_table_get(&feed->followers, handle);
    follower->host = message->sender;
    follower->asked_ms = message->u.asked_ms;
    follower->received_ms = state->now_ms;
    for (uint32_t i = 0; i <= CT_TOPIC_UPSTREAMS; i++) {
        if (state->store.topics[i].known_ms > 0) {
            struct ct_store_update news = state_of(state, (enum ct_topic)i);

            tell(state, follower, &news, CT_NO_ROWS);
        }
    }
}

void
ct_replication_on_entry_read(struct ct_state *state,
                             const struct ct_store_upstream *entry)
{
    struct ct_replication *feed = &state->replication;

    if (!ct_replication_has_followers(state) ||
        feed->entries->len == ENTRIES_MAX) {
        feed->partial = true;
        return;
    }
    g_array_append_val(feed->entries, *entry);
}

void
ct_replication_on_read_done(struct ct_state *state,
                            const struct ct_store_read_done *read)
{
    struct ct_replication *feed = &state->replication;
    struct ct_store_update news = state_of(state, read->topic);
    const struct ct_replication_follower *follower;
    struct ct_rows rows = CT_NO_ROWS;
    uint32_t cursor = 0;

    if (read->topic == CT_TOPIC_UPSTREAMS && !read->newest && !feed->partial) {
        news.from = read->from;
        rows = CT_ROWS((struct ct_store_upstream *)(void *)feed->entries->data,
                       feed->entries->len);
    }
    while ((follower = ct_table_next(&feed->followers, &cursor, NULL))) {
        tell(state, follower, &news, rows);
    }
    if (read->topic == CT_TOPIC_UPSTREAMS) {
        g_array_set_size(feed->entries, 0);
        feed->partial = false;
    }
}

/* Being told. */

/* Not said before this host chose another source. */
static bool
is_from_source(const struct ct_replication *feed,
               const struct ct_peer_message *message)
{
    return feed->linked && ct_name_eq(&message->sender, &feed->source);
}

void
ct_replication_on_update(struct ct_state *state,
                         const struct ct_peer_message *message)
{
    struct ct_replication *feed = &state->replication;
    const struct ct_store_update *news = &message->u.news;

    if (!is_from_source(feed, message)) {
        return;
    }
    feed->heard_ms = state->now_ms;
    ct_store_on_update(state, news, message->rows);
}

void
ct_replication_on_members_update(struct ct_state *state,
                                 const struct ct_peer_message *message)
{
    if (is_from_source(&state->replication, message)) {
        ct_group_on_members_update(state, message->rows);
    }
}
