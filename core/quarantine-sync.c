#include "quarantine-sync.h"

#include <string.h>

#include "error.h"
#include "state.h"

/* The store allows a wait of 30 s. */
#define READ_WAIT_MS 28000
/* Response time limit in addition to the wait. */
#define READ_TIMEOUT_MS 900
/*
 * Records that follow each other within this time are read together. It grows
 * with the number of hosts that read them.
 */
#define GATHER_MS 100
#define GATHER_PER_HOST_MS 10
#define GATHER_MAX_MS 1000
/*
 * All hosts may start at once: their first reads of this topic are spread over
 * this time, after those without which they cannot serve.
 */
#define START_SPREAD_MS 2000
/* Delay after a failed read; doubled with each failure up to the limit. */
#define BACKOFF_MS 200
#define BACKOFF_MAX_MS 1600
/* The same while this host's source says that its reads fail as well. */
#define FOLLOWER_BACKOFF_MS 4000
/*
 * The source of many hosts tells them at the same time that the store is back:
 * their reads are spread over this time.
 */
#define BACK_SPREAD_MS 500
/*
 * Each topic reports that the store is back: a read sent within this time was
 * sent after the outage.
 */
#define RECENT_READ_MS 1000
/* Time within which a record of this host returns by the waiting read. */
#define READ_BACK_MS 500

static void
read_at(struct ct_state *state, ct_ms delay_ms)
{
    state->quarantine_sync.next_read_ms = state->now_ms + delay_ms;
    ct_arm_timer(state, delay_ms, CT_TIMER_QUARANTINE, CT_NO_HANDLE);
}

static void
emit_read(struct ct_state *state)
{
    struct ct_quarantine_sync *sync = &state->quarantine_sync;
    struct ct_store_read_effect *read =
        &ct_emit_effect(state, CT_EFFECT_STORE_READ)->u.store_read;

    sync->reading = true;
    sync->sent_ms = state->now_ms;
    read->topic = CT_TOPIC_PROMPT_PARTS;
    read->read_id = ++sync->read_id;
    read->newest = !sync->listed;
    read->after = sync->after;
    read->from = sync->next;
    read->wait_ms = sync->listed ? READ_WAIT_MS : 0;
    read->timeout_ms = read->wait_ms + READ_TIMEOUT_MS;
}

void
ct_quarantine_sync_start(struct ct_state *state)
{
    read_at(state, 1 + (ct_ms)(ct_state_random(state) % START_SPREAD_MS));
}

/* Gives up the read in progress, whose response may never come. */
static void
replace_read(struct ct_state *state)
{
    state->quarantine_sync.expected_by_ms = 0;
    state->quarantine_sync.reading = false;
    read_at(state, 1);
}

void
ct_quarantine_sync_on_store_back(struct ct_state *state)
{
    const struct ct_quarantine_sync *sync = &state->quarantine_sync;

    if (sync->reading && state->now_ms - sync->sent_ms > RECENT_READ_MS) {
        replace_read(state);
    }
    else if (!sync->reading && sync->failures > 0) {
        read_at(state, 1 + (ct_ms)(ct_state_random(state) % BACK_SPREAD_MS));
    }
}

void
ct_quarantine_sync_on_appended(struct ct_state *state, int32_t result)
{
    struct ct_quarantine_sync *sync = &state->quarantine_sync;

    if (result == CT_OK && sync->reading && sync->expected_by_ms == 0) {
        sync->expected_by_ms = state->now_ms + READ_BACK_MS;
        ct_arm_timer(state, READ_BACK_MS, CT_TIMER_QUARANTINE, CT_NO_HANDLE);
    }
}

void
ct_quarantine_sync_on_timer(struct ct_state *state)
{
    struct ct_quarantine_sync *sync = &state->quarantine_sync;

    if (sync->expected_by_ms && sync->expected_by_ms <= state->now_ms) {
        replace_read(state);
        return;
    }
    if (!sync->reading && sync->next_read_ms <= state->now_ms) {
        emit_read(state);
    }
}

static void
on_failure(struct ct_state *state, int32_t result)
{
    struct ct_quarantine_sync *sync = &state->quarantine_sync;
    ct_ms delay_ms = BACKOFF_MS;

    for (uint32_t i = 0; i < sync->failures && delay_ms < BACKOFF_MAX_MS;
         i++) {
        delay_ms *= 2;
    }
    if (ct_replication_source_fails(state)) {
        delay_ms = FOLLOWER_BACKOFF_MS;
    }
    if (sync->failures++ == 0) {
        ct_emit_log(state, CT_LOG_STORE_LOST, NULL, ct_err_name(result),
                    CT_TOPIC_PROMPT_PARTS);
    }
    read_at(state, delay_ms / 2 +
                       (ct_ms)(ct_state_random(state) % (uint64_t)delay_ms));
}

/* Reads all keys again: the records from the next offset on were removed. */
static void
begin_listing(struct ct_quarantine_sync *sync)
{
    sync->listed = false;
    memset(&sync->after, 0, sizeof(sync->after));
}

static ct_ms
gather_ms(const struct ct_state *state)
{
    return MIN(GATHER_MS + GATHER_PER_HOST_MS * (ct_ms)ct_group_size(state),
               GATHER_MAX_MS);
}

static void
on_page(struct ct_quarantine_sync *sync, const struct ct_store_read_done *read)
{
    if (sync->after.text[0] == '\0') {
        sync->next = read->next;
    }
    memset(&sync->after, 0, sizeof(sync->after));
    sync->listed = !read->more;
    if (read->more) {
        sync->after = read->after;
    }
}

void
ct_quarantine_sync_on_read(struct ct_state *state,
                           const struct ct_store_read_done *read)
{
    struct ct_quarantine_sync *sync = &state->quarantine_sync;

    if (read->read_id != sync->read_id) {
        return;
    }
    sync->reading = false;
    sync->expected_by_ms = 0;
    if (read->result == CT_ERR_LOG_TRUNCATED) {
        begin_listing(sync);
        read_at(state, 1);
        return;
    }
    if (read->result < 0) {
        on_failure(state, read->result);
        return;
    }
    if (sync->failures > 0) {
        sync->failures = 0;
        ct_emit_log(state, CT_LOG_STORE_BACK, NULL, NULL,
                    CT_TOPIC_PROMPT_PARTS);
    }
    if (read->newest) {
        on_page(sync, read);
        read_at(state, 1);
        return;
    }
    sync->next = read->next;
    read_at(state, read->entries > 0 && !read->more ? gather_ms(state) : 1);
}
