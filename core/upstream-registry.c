#include "upstream-registry.h"

#include <string.h>

#include "index.h"
#include "state.h"

/*
 * Time after a store outage within which a live upstream writes its expired
 * entry again.
 */
#define MISSING_GRACE_MS 2000
#define SWEEP_MS 250

void
ct_upstream_registry_init(struct ct_upstream_registry *registry)
{
    memset(registry, 0, sizeof(*registry));
    ct_table_init(&registry->entries, sizeof(struct ct_upstream_entry), 0,
                  NULL);
    registry->by_name = ct_index_new_by_name();
}

void
ct_upstream_registry_free(struct ct_upstream_registry *registry)
{
    g_hash_table_destroy(registry->by_name);
    ct_table_free(&registry->entries);
}

static struct ct_upstream_entry *
find_entry(const struct ct_upstream_registry *registry,
           const struct ct_name *name)
{
    return ct_table_get(&registry->entries,
                        ct_index_get(registry->by_name, name));
}

static void
add_entry(struct ct_state *state, const struct ct_upstream_entry *new_entry)
{
    struct ct_upstream_entry *entry;
    struct ct_handle handle;
    int err = ct_table_add(&state->upstream_registry.entries, &handle);

    if (err < 0) {
        state->out->err = err;
        return;
    }
    entry = ct_table_get(&state->upstream_registry.entries, handle);
    *entry = *new_entry;
    ct_index_add(state->upstream_registry.by_name,
                 &entry->listed.upstream.name, handle);
}

/* Passes the upstreams to the configuration's tables. */
static void
publish_upstreams(struct ct_state *state)
{
    const struct ct_table *entries = &state->upstream_registry.entries;
    GArray *rows = g_array_sized_new(
        FALSE, TRUE, sizeof(struct ct_listed_upstream), entries->live);
    const struct ct_upstream_entry *entry;
    uint32_t cursor = 0;
    int err;

    while ((entry = ct_table_next(entries, &cursor, NULL))) {
        g_array_append_val(rows, entry->listed);
    }
    err = ct_config_list_upstreams(
        &state->config,
        CT_ROWS((struct ct_listed_upstream *)(void *)rows->data, rows->len));
    if (err < 0) {
        state->out->err = err;
    }
    g_array_free(rows, TRUE);
    state->upstream_registry.changed = false;
    state->upstream_registry.revision++;
}

static void
remove_entry(struct ct_state *state, const struct ct_upstream_entry *entry,
             const char *reason)
{
    struct ct_upstream_registry *registry = &state->upstream_registry;
    const struct ct_name *name = &entry->listed.upstream.name;
    struct ct_handle handle = ct_index_get(registry->by_name, name);

    ct_emit_log(state, CT_LOG_UPSTREAM_GONE, name, reason, entry->missing_ms);
    g_hash_table_remove(registry->by_name, name);
    ct_table_unref(&registry->entries, handle);
    state->upstream_registry.changed = true;
}

/* Whether the store recovered from an outage a moment ago. */
static bool
is_recovering(const struct ct_state *state)
{
    const struct ct_topic_sync *sync =
        &state->store.topics[CT_TOPIC_UPSTREAMS];

    return sync->recovered_ms &&
           state->now_ms - sync->recovered_ms < MISSING_GRACE_MS;
}

static void
arm_sweep(struct ct_state *state)
{
    if (!state->upstream_registry.sweep_armed) {
        state->upstream_registry.sweep_armed = true;
        ct_arm_timer(state, SWEEP_MS, CT_TIMER_STORE, CT_NO_HANDLE);
    }
}

static void
mark_missing(struct ct_state *state, struct ct_upstream_entry *entry)
{
    if (!entry->missing_ms) {
        entry->missing_ms = state->now_ms;
        entry->listed.unconfirmed = true;
        state->upstream_registry.changed = true;
    }
    arm_sweep(state);
}

/* Removes missing entries, except shortly after an outage of the store. */
static void
remove_missing(struct ct_state *state)
{
    bool recovering = is_recovering(state);
    const struct ct_upstream_entry *entry;
    uint32_t cursor = 0;

    while ((entry = ct_table_next(&state->upstream_registry.entries, &cursor,
                                  NULL))) {
        if (entry->missing_ms && !recovering) {
            remove_entry(state, entry, "missing");
        }
        else if (entry->missing_ms) {
            arm_sweep(state);
        }
    }
}

void
ct_upstream_registry_publish(struct ct_state *state)
{
    remove_missing(state);
    if (state->upstream_registry.changed) {
        publish_upstreams(state);
    }
    state->upstream_registry.revision += state->upstream_registry.cold_changed;
    state->upstream_registry.cold_changed = false;
}

void
ct_upstream_registry_on_timer(struct ct_state *state)
{
    state->upstream_registry.sweep_armed = false;
    ct_upstream_registry_publish(state);
}

void
ct_upstream_registry_begin_full_read(struct ct_state *state)
{
    struct ct_upstream_entry *entry;
    uint32_t cursor = 0;

    while ((entry = ct_table_next(&state->upstream_registry.entries, &cursor,
                                  NULL))) {
        entry->seen = false;
    }
}

void
ct_upstream_registry_end_full_read(struct ct_state *state)
{
    struct ct_upstream_entry *entry;
    uint32_t cursor = 0;

    while ((entry = ct_table_next(&state->upstream_registry.entries, &cursor,
                                  NULL))) {
        if (!entry->seen) {
            mark_missing(state, entry);
        }
    }
    state->upstream_registry.first_read_done = true;
}

static void
log_listed(struct ct_state *state, const struct ct_upstream_entry *entry)
{
    const struct ct_listed_upstream *listed = &entry->listed;

    ct_emit_log(
        state,
        listed->leaving ? CT_LOG_UPSTREAM_LEAVING : CT_LOG_UPSTREAM_LISTED,
        &listed->upstream.name, listed->upstream.zone.text, entry->started_ms);
}

/*
 * Returns until when the upstream is cold, counted from the arrival of its
 * entry: what it took to arrive makes the time longer, not shorter.
 */
static ct_ms
cold_until_ms(const struct ct_state *state,
              const struct ct_store_upstream *record)
{
    return record->cold_left_ms > 0 ? state->now_ms + record->cold_left_ms : 0;
}

/* An entry that says less than an earlier one may be the older of the two. */
static void
keep_cold_until(struct ct_upstream_registry *registry,
                struct ct_upstream_entry *entry, ct_ms until_ms)
{
    if (until_ms > entry->cold_until_ms) {
        entry->cold_until_ms = until_ms;
        registry->cold_changed = true;
    }
}

/* Whether the store carried out the report after a newer one. */
static bool
is_outdated(const struct ct_upstream_entry *entry,
            const struct ct_store_upstream *record)
{
    return record->sequence > 0 && record->sequence < entry->sequence;
}

void
ct_upstream_registry_on_entry(struct ct_state *state,
                              const struct ct_store_upstream *record)
{
    struct ct_upstream_registry *registry = &state->upstream_registry;
    struct ct_upstream_entry *entry =
        find_entry(registry, &record->upstream.name);
    struct ct_upstream_entry new_entry;

    if (record->removed) {
        if (entry) {
            mark_missing(state, entry);
        }
        return;
    }
    if (entry && entry->started_ms != record->started_ms) {
        /*
         * A new process under the same name has none of the old one's state.
         */
        remove_entry(state, entry, "restarted");
        publish_upstreams(state);
        entry = NULL;
    }
    memset(&new_entry, 0, sizeof(new_entry));
    new_entry.listed.upstream = record->upstream;
    new_entry.listed.leaving = record->leaving;
    new_entry.started_ms = record->started_ms;
    new_entry.sequence = record->sequence;
    new_entry.seen = true;
    new_entry.cold_until_ms = cold_until_ms(state, record);
    new_entry.added_ms = registry->first_read_done ? state->now_ms : 0;
    if (entry) {
        new_entry.added_ms = entry->added_ms;
        keep_cold_until(registry, entry, new_entry.cold_until_ms);
        new_entry.cold_until_ms = entry->cold_until_ms;
        if (is_outdated(entry, record)) {
            new_entry.listed.leaving = entry->listed.leaving;
            new_entry.sequence = entry->sequence;
        }
    }
    if (entry && entry->listed.leaving == new_entry.listed.leaving &&
        !entry->missing_ms) {
        entry->sequence = new_entry.sequence;
        entry->seen = true;
        return;
    }
    log_listed(state, &new_entry);
    registry->changed = true;
    if (entry) {
        *entry = new_entry;
        return;
    }
    add_entry(state, &new_entry);
}

const struct ct_upstream_entry *
ct_upstream_registry_entry(const struct ct_state *state,
                           const struct ct_name *name)
{
    return find_entry(&state->upstream_registry, name);
}

ct_ms
ct_upstream_registry_started_ms(const struct ct_state *state,
                                const struct ct_name *name)
{
    const struct ct_upstream_entry *entry =
        find_entry(&state->upstream_registry, name);

    return entry ? entry->started_ms : 0;
}

void
ct_upstream_registry_mark_present(struct ct_state *state,
                                  const struct ct_name *name)
{
    struct ct_upstream_entry *entry =
        find_entry(&state->upstream_registry, name);

    if (entry) {
        entry->seen = true;
    }
}
