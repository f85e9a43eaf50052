#include "store-sync.h"

#include <string.h>

#include "error.h"
#include "state.h"

/*
 * The wait and the response time of a read together are shorter by this margin
 * than the time after which the bounds hold (steady_ms), because a waiting
 * read that is lost without an error has to be repeated within that time.
 */
#define STEADY_MARGIN_MS 500
/*
 * Share of the bound on withdrawn keys or on evacuations after which the data
 * is renewed.
 */
#define CONFIG_RENEW_PERCENT 55
/*
 * Response time limit in addition to the wait of a read; doubled after
 * failures, because the store may be slow while it serves the reads of all
 * hosts.
 */
#define READ_TIMEOUT_MS 700
#define READ_TIMEOUT_DOUBLINGS 1
/* Upstream entries are read in parts so that each part arrives in time. */
#define UPSTREAMS_PART_BYTES (64 * 1024)
/*
 * Upstream entries and configurations change in bursts: those written within
 * this time are read together. The time grows with the number of hosts that
 * read them, within the bound on leaving upstreams or the shorter one of those
 * on a new configuration and on an evacuation, which have the same topic.
 */
#define GATHER_MS 300
#define GATHER_PER_HOST_MS 10
#define GATHER_MAX_DRAIN_PERCENT 35
#define GATHER_MAX_CONFIG_PERCENT 25
#define FULL_READ_TIMEOUT_MS 1700
/* Delay after a failed read; doubled with each failure up to the limit. */
#define BACKOFF_MS 100
#define BACKOFF_MAX_MS 800
/*
 * Limit of the delay after CT_ERR_OVERLOADED: the store is overloaded by the
 * calls of all hosts, which must become fewer, or it refuses calls of this
 * host, whose data must soon be as recent as that of the others. The limit
 * also applies to a host with a source, which reports when the store has
 * recovered, and to a topic while reads of another one fail too: the first
 * read that succeeds repeats those of the other topics. Reads that time out
 * are rare enough by their timeout.
 */
#define OVERLOAD_BACKOFF_MAX_MS 1400
/*
 * Delay for a follower whose source says that its reads fail too: the source
 * tells when the store responds again. The follower still tries, since the
 * store may have turned away the source alone.
 */
#define FOLLOWER_BACKOFF_MS 4000
/* All hosts may start at once: their first reads are spread over this time. */
#define START_SPREAD_MS 150
/*
 * Reads of all followers of one source, after its loss or one of its updates,
 * are spread over this time.
 */
#define FOLLOWERS_SPREAD_MS 50
/*
 * Wait of a read by a source, as a share of the bound on leaving upstreams or
 * of a shorter one on evacuations: the responses show its followers that it is
 * alive.
 */
#define SOURCE_WAIT_DRAIN_PERCENT 33

ct_ms
ct_store_age_ms(const struct ct_state *state, enum ct_topic topic)
{
    ct_ms covered_until_ms = state->store.topics[topic].covered_until_ms;

    return covered_until_ms ? state->now_ms - covered_until_ms : CT_MS_NEVER;
}

static ct_ms
max_wait_ms(const struct ct_state *state, enum ct_topic topic)
{
    const struct ct_bounds *bounds = &state->self.bounds;
    ct_ms wait_ms =
        MAX(bounds->steady_ms - READ_TIMEOUT_MS - STEADY_MARGIN_MS, 0);

    if (ct_replication_has_followers(state)) {
        wait_ms =
            MIN(wait_ms, ct_bounds_with_evacuation(bounds, bounds->drain_ms) *
                             SOURCE_WAIT_DRAIN_PERCENT / 100);
    }
    return topic == CT_TOPIC_CONFIG
               ? MIN(wait_ms,
                     ct_bounds_with_evacuation(bounds, bounds->revoke_ms) *
                         CONFIG_RENEW_PERCENT / 100)
               : wait_ms;
}

/*
 * Returns the time that the store may wait for a record. It is shorter the
 * older the data is, because a response without records renews it. A host with
 * a fresh source reads only the records it lacks and does not wait.
 */
static ct_ms
read_wait_ms(const struct ct_state *state, enum ct_topic topic)
{
    ct_ms left_ms = max_wait_ms(state, topic) - ct_store_age_ms(state, topic);

    return ct_replication_source_is_fresh(state) ? 0 : MAX(left_ms, 0);
}

static void
begin_full_read(struct ct_state *state, enum ct_topic topic)
{
    if (topic == CT_TOPIC_UPSTREAMS) {
        ct_upstream_registry_begin_full_read(state);
    }
    else if (topic == CT_TOPIC_CONFIG) {
        ct_evacuation_begin_full_read(state);
    }
}

static ct_ms
read_timeout_ms(const struct ct_topic_sync *sync)
{
    return sync->full_read_done
               ? READ_TIMEOUT_MS << MIN(sync->failures, READ_TIMEOUT_DOUBLINGS)
               : FULL_READ_TIMEOUT_MS;
}

static void
emit_read(struct ct_state *state, enum ct_topic topic)
{
    struct ct_topic_sync *sync = &state->store.topics[topic];
    struct ct_store_read_effect *read =
        &ct_emit_effect(state, CT_EFFECT_STORE_READ)->u.store_read;

    sync->next_read_ms = 0;
    sync->behind = false;
    read->topic = topic;
    read->newest = !sync->full_read_done;
    read->after = sync->after;
    if (read->newest && sync->after.text[0] == '\0') {
        begin_full_read(state, topic);
    }
    read->from = sync->next;
    if (sync->full_read_done) {
        read->wait_ms = read_wait_ms(state, topic);
    }
    if (topic == CT_TOPIC_UPSTREAMS && !sync->oversize) {
        read->max_bytes = UPSTREAMS_PART_BYTES;
    }
    read->timeout_ms = read->wait_ms + read_timeout_ms(sync);
}

static void
schedule_read(struct ct_state *state, enum ct_topic topic, ct_ms delay_ms)
{
    if (delay_ms == 0) {
        emit_read(state, topic);
        return;
    }
    state->store.topics[topic].next_read_ms = state->now_ms + delay_ms;
    ct_arm_timer(state, delay_ms, CT_TIMER_STORE, CT_NO_HANDLE);
}

/*
 * Returns the time for which updates from the source suffice; 0 or less if
 * they do not.
 */
static ct_ms
update_valid_ms(const struct ct_state *state, enum ct_topic topic)
{
    const struct ct_topic_sync *sync = &state->store.topics[topic];

    if (!sync->full_read_done || sync->behind ||
        !ct_replication_source_is_fresh(state)) {
        return 0;
    }
    return sync->covered_until_ms + ct_replication_stale_ms(state) -
           state->now_ms;
}

static ct_ms
random_delay_ms(struct ct_state *state, ct_ms max_ms)
{
    return 1 + (ct_ms)(ct_state_random(state) % (uint64_t)max_ms);
}

void
ct_store_sync_start(struct ct_state *state)
{
    static const enum ct_topic followed[] = {CT_TOPIC_CONFIG,
                                             CT_TOPIC_UPSTREAMS};

    for (uint32_t i = 0; i < G_N_ELEMENTS(followed); i++) {
        schedule_read(state, followed[i],
                      random_delay_ms(state, START_SPREAD_MS));
    }
}

/* Replaces the keys by those of the rows. */
static int
apply_keys(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_config_row *row = rows.data;
    int err = CT_OK;

    ct_keys_replace_begin(&state->keys);
    for (uint32_t i = 0; i < rows.n && err == CT_OK; i++) {
        if (row[i].kind == CT_CONFIG_KEY) {
            err = ct_keys_replace_add(&state->keys, &row[i].u.key);
        }
    }
    ct_keys_replace_end(&state->keys);
    return err;
}

void
ct_store_on_config(struct ct_state *state,
                   const struct ct_store_config *config, struct ct_rows rows)
{
    struct ct_store_sync *store = &state->store;
    int err;

    if (store->config_known && config->version <= store->config_version) {
        if (config->version < store->config_version) {
            ct_emit_log(state, CT_LOG_CONFIG_OLD, NULL, NULL, config->version);
        }
        return;
    }
    err = ct_config_apply(&state->config, config->version, rows);
    if (err == CT_OK) {
        err = apply_keys(state, rows);
    }
    if (err < 0) {
        ct_emit_log(state, CT_LOG_STORE_ODD, NULL, ct_err_name(err),
                    config->version);
        return;
    }
    store->config_known = true;
    store->config_version = config->version;
    store->keys_required = config->keys_required;
    store->config_partial = config->n_left_out > 0;
    if (config->has_bounds) {
        ct_emit_effect(state, CT_EFFECT_SET_CALLER_LIMITS)->u.bounds =
            config->bounds;
    }
    if (store->config_partial) {
        ct_emit_log(state, CT_LOG_CONFIG_PARTIAL, &config->left_out_name,
                    ct_err_name(config->left_out_reason), config->version);
    }
    ct_emit_log(state, CT_LOG_CONFIG_ACCEPTED, NULL, NULL, config->version);
}

void
ct_store_on_invalid_entry(struct ct_state *state,
                          const struct ct_store_invalid_entry *invalid)
{
    ct_emit_log(state, CT_LOG_STORE_ODD, &invalid->name,
                ct_err_name(invalid->reason), invalid->topic);
    if (invalid->topic == CT_TOPIC_UPSTREAMS) {
        ct_upstream_registry_mark_present(state, &invalid->name);
    }
}

/* Ends a full read: entries that none of its pages contained are missing. */
static void
end_full_read(struct ct_state *state, enum ct_topic topic)
{
    if (topic == CT_TOPIC_UPSTREAMS) {
        ct_upstream_registry_end_full_read(state);
    }
    else if (topic == CT_TOPIC_CONFIG) {
        ct_evacuation_end_full_read(state);
    }
}

/* A host that does not know the group yet assumes a large one. */
static ct_ms
gather_delay_ms(const struct ct_state *state, enum ct_topic topic)
{
    const struct ct_bounds *bounds = &state->self.bounds;
    ct_ms max_ms = topic == CT_TOPIC_CONFIG
                       ? ct_bounds_with_evacuation(bounds, bounds->config_ms) *
                             GATHER_MAX_CONFIG_PERCENT / 100
                       : bounds->drain_ms * GATHER_MAX_DRAIN_PERCENT / 100;

    if (!ct_group_is_known(state)) {
        return max_ms;
    }
    return MIN(GATHER_MS + GATHER_PER_HOST_MS * (ct_ms)ct_group_size(state),
               max_ms);
}

/* Whether reads of another topic fail as well. */
static bool
fails_elsewhere(const struct ct_state *state, enum ct_topic topic)
{
    for (uint32_t i = 0; i < CT_TOPIC_COUNT; i++) {
        if (i != topic && state->store.topics[i].failures > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the delay before a failed read is repeated, without jitter. */
static ct_ms
backoff_ms(const struct ct_state *state, const struct ct_store_read_done *read)
{
    bool rarely = read->result == CT_ERR_OVERLOADED ||
                  ct_replication_has_source(state) ||
                  (read->result != CT_ERR_TIMEOUT &&
                   fails_elsewhere(state, read->topic));
    ct_ms max_ms = rarely ? OVERLOAD_BACKOFF_MAX_MS : BACKOFF_MAX_MS;
    ct_ms delay_ms = BACKOFF_MS;

    if (ct_replication_source_fails(state)) {
        return FOLLOWER_BACKOFF_MS;
    }
    for (uint32_t i = 0;
         i < state->store.topics[read->topic].failures && delay_ms < max_ms;
         i++) {
        delay_ms = MIN(2 * delay_ms, max_ms);
    }
    return delay_ms;
}

static void
on_read_failed(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];
    ct_ms delay_ms = backoff_ms(state, read);

    if (sync->failures++ == 0) {
        ct_emit_log(state, CT_LOG_STORE_LOST, NULL, ct_err_name(read->result),
                    read->topic);
    }
    schedule_read(state, read->topic,
                  delay_ms / 2 + random_delay_ms(state, delay_ms));
}

/*
 * Records that the store was unavailable until the given time, so that entries
 * may have expired.
 */
static void
mark_recovered(struct ct_state *state, enum ct_topic topic, ct_ms recovered_ms)
{
    struct ct_topic_sync *sync = &state->store.topics[topic];

    sync->recovered_ms = MAX(sync->recovered_ms, recovered_ms);
}

/*
 * Returns the time up to which the response covers all records. A response
 * without records that took the whole wait says that the store had none until
 * its end; an earlier one does not say when the store looked.
 */
static ct_ms
response_covers_until_ms(const struct ct_state *state,
                         const struct ct_store_read_done *read)
{
    bool waited =
        read->entries == 0 && state->now_ms - read->sent_ms >= read->idle_ms;

    return read->sent_ms + (waited ? read->idle_ms : 0);
}

/*
 * Handles a page of the newest records. After the last page, reads continue
 * from the end offset of the first.
 */
static void
on_page(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];

    if (sync->after.text[0] == '\0') {
        sync->next = read->next;
        sync->full_read_ms = read->sent_ms;
    }
    memset(&sync->after, 0, sizeof(sync->after));
    if (read->more) {
        sync->after = read->after;
        return;
    }
    end_full_read(state, read->topic);
    sync->full_read_done = true;
    sync->covered_until_ms = MAX(sync->covered_until_ms, sync->full_read_ms);
}

static void
on_records(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];

    sync->next = read->next;
    sync->oversize = read->more && read->entries == 0;
    if (!read->more) {
        sync->covered_until_ms =
            MAX(sync->covered_until_ms, response_covers_until_ms(state, read));
    }
}

static ct_ms
next_read_delay_ms(const struct ct_state *state,
                   const struct ct_store_read_done *read)
{
    ct_ms delay_ms;

    if (read->more) {
        return read->newest || read->entries > 0 ? 0 : BACKOFF_MS;
    }
    delay_ms = read->entries > 0 ? gather_delay_ms(state, read->topic) : 0;
    return MAX(delay_ms, update_valid_ms(state, read->topic));
}

/* Schedules the next read of a topic soon, regardless of updates. */
static void
schedule_read_soon(struct ct_state *state, enum ct_topic topic)
{
    state->store.topics[topic].behind = true;
    schedule_read(state, topic, random_delay_ms(state, FOLLOWERS_SPREAD_MS));
}

/* The store is back: repeats the failed reads that wait. */
static void
repeat_failed_reads(struct ct_state *state)
{
    for (uint32_t i = 0; i < CT_TOPIC_COUNT; i++) {
        const struct ct_topic_sync *sync = &state->store.topics[i];

        if (sync->failures > 0 && sync->next_read_ms != 0) {
            schedule_read_soon(state, (enum ct_topic)i);
        }
    }
}

bool
ct_store_on_read(struct ct_state *state, const struct ct_store_read_done *read)
{
    struct ct_topic_sync *sync = &state->store.topics[read->topic];
    bool is_back = read->result >= 0 && sync->failures > 0;

    if (read->result == CT_ERR_LOG_TRUNCATED) {
        ct_emit_log(state, CT_LOG_STORE_TRIMMED, NULL, NULL, read->topic);
        sync->full_read_done = false;
        memset(&sync->after, 0, sizeof(sync->after));
        schedule_read(state, read->topic, 0);
        return false;
    }
    if (read->result < 0) {
        on_read_failed(state, read);
        ct_replication_on_read_failed(state, read->topic);
        return false;
    }
    if (is_back) {
        sync->failures = 0;
        mark_recovered(state, read->topic, state->now_ms);
        ct_emit_log(state, CT_LOG_STORE_BACK, NULL, NULL, read->topic);
        repeat_failed_reads(state);
    }
    if (read->newest) {
        on_page(state, read);
    }
    else {
        on_records(state, read);
    }
    ct_upstream_registry_publish(state);
    ct_replication_on_read_done(state, read);
    schedule_read(state, read->topic, next_read_delay_ms(state, read));
    return is_back;
}

/*
 * Whether updates can be applied: a read in progress would apply older records
 * after them.
 */
static bool
accepts_updates(const struct ct_topic_sync *sync)
{
    return sync->full_read_done && !sync->behind && sync->next_read_ms != 0;
}

bool
ct_store_take_config(struct ct_state *state,
                     const struct ct_store_config_update *update)
{
    struct ct_topic_sync *sync = &state->store.topics[CT_TOPIC_CONFIG];

    if (!accepts_updates(sync) || update->from > sync->next ||
        update->next <= sync->next) {
        return false;
    }
    sync->next = update->next;
    return true;
}

void
ct_store_on_update(struct ct_state *state,
                   const struct ct_store_update *update, struct ct_rows rows)
{
    struct ct_topic_sync *sync = &state->store.topics[update->topic];
    const struct ct_store_upstream *entry = rows.data;

    if (!accepts_updates(sync)) {
        return;
    }
    if (update->from > sync->next ||
        (update->next > sync->next && update->topic == CT_TOPIC_CONFIG)) {
        schedule_read_soon(state, update->topic);
        return;
    }
    if (update->recovered_age_ms < CT_MS_NEVER) {
        mark_recovered(state, update->topic,
                       state->now_ms - update->recovered_age_ms);
    }
    for (uint32_t i = 0; i < rows.n; i++) {
        if (entry[i].offset >= sync->next) {
            ct_upstream_registry_on_entry(state, &entry[i]);
        }
    }
    sync->next = MAX(sync->next, update->next);
    ct_upstream_registry_publish(state);
    sync->covered_until_ms =
        MAX(sync->covered_until_ms,
            MIN(update->requested_ms + update->known_after_ms, state->now_ms));
}

void
ct_store_on_source_lost(struct ct_state *state)
{
    for (uint32_t i = 0; i <= CT_TOPIC_UPSTREAMS; i++) {
        if (state->store.topics[i].next_read_ms != 0) {
            schedule_read_soon(state, (enum ct_topic)i);
        }
    }
}

void
ct_store_on_timer(struct ct_state *state)
{
    ct_upstream_registry_on_timer(state);
    for (uint32_t i = 0; i < CT_TOPIC_COUNT; i++) {
        const struct ct_topic_sync *sync = &state->store.topics[i];
        ct_ms valid_ms = update_valid_ms(state, (enum ct_topic)i);

        if (!sync->next_read_ms || sync->next_read_ms > state->now_ms) {
            continue;
        }
        if (valid_ms > 0) {
            schedule_read(state, (enum ct_topic)i, valid_ms);
            continue;
        }
        emit_read(state, (enum ct_topic)i);
    }
}
