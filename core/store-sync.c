#include "store-sync.h"

#include <string.h>

#include "error.h"
#include "state.h"

/*
 * A read that waits at the end of a topic and is lost without a word has to be
 * made again before this host counts as undisturbed: its wait and the time
 * for its answer are so much shorter than that.
 */
#define STEADY_MARGIN_MS 500
/* Part of the bound on withdrawn keys after which knowledge is renewed. */
#define RENEWED_PERCENT 55
/*
 * Beyond its wait an answer takes this long at most; doubled with failures,
 * for a store that is slow with the reads of all hosts.
 */
#define READ_TIMEOUT_MS 700
#define READ_TIMEOUT_DOUBLINGS 1
/* Entries of upstreams are read in parts, so that each is there in time. */
#define UPSTREAMS_PART_BYTES (64 * 1024)
/*
 * Entries of upstreams come in bursts: those of this time are read at once.
 * Longer the more hosts read them, within the bound on leaving upstreams.
 */
#define GATHER_MS 300
#define GATHER_A_HOST_MS 10
#define GATHER_MAX_PERCENT 35
#define NEWEST_TIMEOUT_MS 1700
/* Between reads that failed; doubled up to the limit. */
#define BACKOFF_MS 100
#define BACKOFF_MAX_MS 800
/*
 * The store has too many calls of all hosts, which must become fewer, or turns
 * this one away: soon after that it must know what the others know. The same
 * for a host that another one tells when the store is back.
 */
#define OVERLOAD_BACKOFF_MAX_MS 1400
/* All hosts may start at once: the first reads are spread over this. */
#define START_SPREAD_MS 150
/* So are those of all hosts that were told by the same one. */
#define FOLLOWERS_SPREAD_MS 50
/*
 * Wait of a host that others rely on, as a part of the bound on leaving
 * upstreams: the answers show them that it lives.
 */
#define SOURCE_WAIT_PERCENT 33

ct_ms
ct_store_age_ms(const struct ct_state *state, enum ct_topic topic)
{
    ct_ms known_ms = state->store.topics[topic].known_ms;

    return known_ms ? state->now_ms - known_ms : CT_MS_NEVER;
}

static ct_ms
wait_of(const struct ct_state *state, enum ct_topic topic)
{
    const struct ct_bounds *bounds = &state->self.bounds;
    ct_ms wait_ms =
        MAX(bounds->steady_ms - READ_TIMEOUT_MS - STEADY_MARGIN_MS, 0);

    if (ct_replication_has_followers(state)) {
        wait_ms = MIN(wait_ms, bounds->drain_ms * SOURCE_WAIT_PERCENT / 100);
    }
    return topic == CT_TOPIC_CONFIG
               ? MIN(wait_ms, bounds->revoke_ms * RENEWED_PERCENT / 100)
               : wait_ms;
}

/*
 * Shorter the older the knowledge is: an answer without records renews it. A
 * host that is told by another one asks only for what it lacks.
 */
static ct_ms
wait_for(const struct ct_state *state, enum ct_topic topic)
{
    ct_ms left_ms = wait_of(state, topic) - ct_store_age_ms(state, topic);

    return ct_replication_source_is_fresh(state) ? 0 : MAX(left_ms, 0);
}

static void
begin_pages(struct ct_state *state, enum ct_topic topic)
{
    if (topic == CT_TOPIC_UPSTREAMS) {
        ct_upstream_registry_begin_full_read(state);
    }
}

static ct_ms
timeout_of(const struct ct_topic_sync *sync)
{
    return sync->known
               ? READ_TIMEOUT_MS << MIN(sync->failures, READ_TIMEOUT_DOUBLINGS)
               : NEWEST_TIMEOUT_MS;
}

static void
emit_read(struct ct_state *state, enum ct_topic topic)
{
    struct ct_topic_sync *sync = &state->store.topics[topic];
    struct ct_store_read_effect *read =
        &ct_emit_effect(state, CT_EFFECT_STORE_READ)->u.store_read;

    sync->read_at_ms = 0;
    sync->behind = false;
    read->topic = topic;
    read->newest = !sync->known;
    read->after = sync->after;
    if (read->newest && sync->after.text[0] == '\0') {
        begin_pages(state, topic);
    }
    read->from = sync->next;
    if (sync->known) {
        read->wait_ms = wait_for(state, topic);
    }
    if (topic == CT_TOPIC_UPSTREAMS && !sync->oversize) {
        read->max_bytes = UPSTREAMS_PART_BYTES;
    }
    read->timeout_ms = read->wait_ms + timeout_of(sync);
}

static void
read_after(struct ct_state *state, enum ct_topic topic, ct_ms delay_ms)
{
    if (delay_ms == 0) {
        emit_read(state, topic);
        return;
    }
    state->store.topics[topic].read_at_ms = state->now_ms + delay_ms;
    ct_arm_timer(state, delay_ms, CT_TIMER_STORE, CT_NO_HANDLE);
}

/* How long another host's news still do; 0 or less where they do not. */
static ct_ms
fed_for_ms(const struct ct_state *state, enum ct_topic topic)
{
    const struct ct_topic_sync *sync = &state->store.topics[topic];

    if (!sync->known || sync->behind ||
        !ct_replication_source_is_fresh(state)) {
        return 0;
    }
    return sync->known_ms + ct_replication_stale_ms(state) - state->now_ms;
}

static ct_ms
spread(struct ct_state *state, ct_ms over_ms)
{
    return 1 + (ct_ms)(ct_state_random(state) % (uint64_t)over_ms);
}

void
ct_store_sync_start(struct ct_state *state)
{
    static const enum ct_topic followed[] = {CT_TOPIC_CONFIG,
                                             CT_TOPIC_UPSTREAMS};

    for (uint32_t i = 0; i < G_N_ELEMENTS(followed); i++) {
        state->store.topics[followed[i]].started = true;
        read_after(state, followed[i], spread(state, START_SPREAD_MS));
    }
}

/* Keys of the rows, in place of those before. */
static int
apply_keys(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;
    int err = CT_OK;

    ct_keys_begin(&state->keys);
    for (uint32_t i = 0; i < rows.n && err == CT_OK; i++) {
        if (row[i].kind == CT_CONFIG_KEY) {
            err = ct_keys_assign(&state->keys, &row[i].u.key);
        }
    }
    ct_keys_end(&state->keys);
    return err;
}

void
ct_store_on_config(struct ct_state *state, const struct ct_event *event)
{
    const struct ct_store_config *config = &event->u.store_config;
    struct ct_store_sync *store = &state->store;
    int err;

    if (store->config_known && config->version <= store->config_version) {
        if (config->version < store->config_version) {
            ct_emit_log(state, CT_LOG_CONFIG_OLD, NULL, NULL, config->version);
        }
        return;
    }
    err = ct_config_apply(&state->config, config->version, event->rows);
    if (err == CT_OK) {
        err = apply_keys(state, event->rows);
    }
    if (err < 0) {
        ct_emit_log(state, CT_LOG_STORE_ODD, NULL, ct_err_name(err),
                    config->version);
        return;
    }
    store->config_known = true;
    store->config_version = config->version;
    ct_emit_effect(state, CT_EFFECT_SET_CALLER_LIMITS)->u.bounds =
        config->bounds;
    ct_emit_log(state, CT_LOG_CONFIG_ACCEPTED, NULL, NULL, config->version);
    ct_zone_orders_configure(state);
}

void
ct_store_on_invalid_entry(struct ct_state *state,
                          const struct ct_store_invalid_entry *odd)
{
    ct_emit_log(state, CT_LOG_STORE_ODD, &odd->name, ct_err_name(odd->reason),
                odd->topic);
    if (odd->topic == CT_TOPIC_UPSTREAMS) {
        ct_upstream_registry_keep_entry(state, &odd->name);
    }
}

/* The pages of the newest records are read: what they lack is missing. */
static void
end_pages(struct ct_state *state, enum ct_topic topic)
{
    if (topic == CT_TOPIC_UPSTREAMS) {
        ct_upstream_registry_end_full_read(state);
    }
}

static ct_ms
gather_ms(const struct ct_state *state)
{
    return MIN(GATHER_MS + GATHER_A_HOST_MS * (ct_ms)ct_group_size(state),
               state->self.bounds.drain_ms * GATHER_MAX_PERCENT / 100);
}

static void
on_failure(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];
    ct_ms max_ms =
        read->result == CT_ERR_OVERLOADED || ct_replication_has_source(state)
            ? OVERLOAD_BACKOFF_MAX_MS
            : BACKOFF_MAX_MS;
    ct_ms delay_ms = BACKOFF_MS;

    for (uint32_t i = 0; i < sync->failures && delay_ms < max_ms; i++) {
        delay_ms = MIN(2 * delay_ms, max_ms);
    }
    if (sync->failures++ == 0) {
        ct_emit_log(state, CT_LOG_STORE_LOST, NULL, ct_err_name(read->result),
                    read->topic);
    }
    read_after(state, read->topic, delay_ms / 2 + spread(state, delay_ms));
}

/* The store was away until then: entries may have lapsed. */
static void
note_back(struct ct_state *state, enum ct_topic topic, ct_ms back_ms)
{
    struct ct_topic_sync *sync = &state->store.topics[topic];

    sync->back_ms = MAX(sync->back_ms, back_ms);
}

/* The time up to which the answer tells all that was written. */
static ct_ms
known_until(const struct ct_store_read_done *read)
{
    /* After its wait the store had still nothing new. */
    return read->sent_ms + (read->entries == 0 ? read->idle_ms : 0);
}

/* One page of the newest records: the first one's end is where to go on. */
static void
on_page(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];

    if (sync->after.text[0] == '\0') {
        sync->next = read->next;
        sync->pages_ms = read->sent_ms;
    }
    memset(&sync->after, 0, sizeof(sync->after));
    if (read->more) {
        sync->after = read->after;
        return;
    }
    end_pages(state, read->topic);
    sync->known = true;
    sync->known_ms = MAX(sync->known_ms, sync->pages_ms);
}

static void
on_records(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];

    sync->next = read->next;
    sync->oversize = read->more && read->entries == 0;
    if (!read->more) {
        sync->known_ms = MAX(sync->known_ms, known_until(read));
    }
}

static ct_ms
pause_after(const struct ct_state *state,
            const struct ct_store_read_done *read)
{
    ct_ms pause_ms;

    if (read->more) {
        return read->newest || read->entries > 0 ? 0 : BACKOFF_MS;
    }
    pause_ms = read->topic == CT_TOPIC_UPSTREAMS && read->entries > 0
                   ? gather_ms(state)
                   : 0;
    return MAX(pause_ms, fed_for_ms(state, read->topic));
}

void
ct_store_on_read(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];

    if (!sync->started) {
        ct_usage_report_on_read(state, read);
        return;
    }
    if (read->result == CT_ERR_LOG_TRUNCATED) {
        ct_emit_log(state, CT_LOG_STORE_TRIMMED, NULL, NULL, read->topic);
        sync->known = false;
        memset(&sync->after, 0, sizeof(sync->after));
        read_after(state, read->topic, 0);
        return;
    }
    if (read->result < 0) {
        on_failure(state, read);
        return;
    }
    if (sync->failures > 0) {
        sync->failures = 0;
        note_back(state, read->topic, state->now_ms);
        ct_emit_log(state, CT_LOG_STORE_BACK, NULL, NULL, read->topic);
    }
    if (read->newest) {
        on_page(state, read);
    }
    else {
        on_records(state, read);
    }
    ct_upstream_registry_publish(state);
    ct_replication_on_read_done(state, read);
    read_after(state, read->topic, pause_after(state, read));
}

/* The next read of a topic is due soon, whatever others tell. */
static void
read_soon(struct ct_state *state, enum ct_topic topic)
{
    state->store.topics[topic].behind = true;
    read_after(state, topic, spread(state, FOLLOWERS_SPREAD_MS));
}

void
ct_store_on_update(struct ct_state *state, const struct ct_store_update *news,
                   struct ct_rows rows)
{
    struct ct_topic_sync *sync = &state->store.topics[news->topic];
    const struct ct_store_upstream *entry = rows.data;

    if (!sync->known || sync->behind || sync->read_at_ms == 0) {
        return;
    }
    if (news->from > sync->next ||
        (news->next > sync->next && news->topic == CT_TOPIC_CONFIG)) {
        read_soon(state, news->topic);
        return;
    }
    if (news->back_age_ms < CT_MS_NEVER) {
        note_back(state, news->topic, state->now_ms - news->back_age_ms);
    }
    for (uint32_t i = 0; i < rows.n; i++) {
        if (entry[i].offset >= sync->next) {
            ct_upstream_registry_on_entry(state, &entry[i]);
        }
    }
    sync->next = MAX(sync->next, news->next);
    ct_upstream_registry_publish(state);
    sync->known_ms = MAX(sync->known_ms,
                         MIN(news->asked_ms + news->lead_ms, state->now_ms));
}

void
ct_store_on_source_lost(struct ct_state *state)
{
    for (uint32_t i = 0; i <= CT_TOPIC_UPSTREAMS; i++) {
        if (state->store.topics[i].read_at_ms != 0) {
            read_soon(state, (enum ct_topic)i);
        }
    }
}

void
ct_store_on_timer(struct ct_state *state)
{
    ct_upstream_registry_on_timer(state);
    for (uint32_t i = 0; i < CT_TOPIC_COUNT; i++) {
        const struct ct_topic_sync *sync = &state->store.topics[i];
        ct_ms fed_ms = fed_for_ms(state, (enum ct_topic)i);

        if (!sync->read_at_ms || sync->read_at_ms > state->now_ms) {
            continue;
        }
        if (fed_ms > 0) {
            read_after(state, (enum ct_topic)i, fed_ms);
            continue;
        }
        emit_read(state, (enum ct_topic)i);
    }
}
