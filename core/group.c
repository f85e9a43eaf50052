#include "group.h"

#include <string.h>

#include "addresses.h"
#include "error.h"
#include "relay-ready.h"
#include "state.h"

/*
 * Interval between reads while the group changes, or while joins fail and so
 * do not show a change.
 */
#define READ_PERIOD_MS 2000
/* Interval between reads while the group stays the same. */
#define STABLE_READ_PERIOD_MS 10000
/*
 * A host that has received no member list from its source for this long reads
 * the list from the store.
 */
#define UPDATE_TIMEOUT_MS (STABLE_READ_PERIOD_MS + READ_PERIOD_MS)
/* Random delay that spreads the reads of the hosts. */
#define JITTER_MS 400
#define JITTER_PER_HOST_MS 5
/* A host missing from this many consecutive member lists is removed. */
#define MISSED_LISTS_MAX 2

void
ct_group_init(struct ct_group *group)
{
    memset(group, 0, sizeof(*group));
    ct_table_init(&group->rows, sizeof(struct ct_group_row), 0, NULL);
}

void
ct_group_free(struct ct_group *group)
{
    ct_table_free(&group->rows);
}

uint32_t
ct_group_size(const struct ct_state *state)
{
    return MAX(state->group.rows.live, 1);
}

bool
ct_group_is_known(const struct ct_state *state)
{
    return state->group.rows.live > 0;
}

ct_ms
ct_group_list_age_ms(const struct ct_state *state)
{
    const struct ct_group *group = &state->group;
    const struct ct_leadership *leadership = &state->leadership;
    ct_ms list_ms = group->list_ms;

    if (list_ms == 0) {
        return CT_MS_NEVER;
    }
    if (group->list_generation == leadership->generation) {
        list_ms = MAX(list_ms, leadership->joined_ms);
    }
    return state->now_ms - list_ms;
}

static uint64_t
rank_hash(uint64_t seed, const struct ct_name *host)
{
    return ct_hash_bytes(seed, host->text, (uint32_t)strlen(host->text));
}

bool
ct_group_is_among_first(const struct ct_state *state, uint64_t seed,
                        uint32_t n)
{
    uint64_t own = rank_hash(seed, &state->self.host);
    const struct ct_group_row *row;
    uint32_t before = 0;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        before += rank_hash(seed, &row->member.host) > own;
    }
    return before < n;
}

bool
ct_group_lists_self(const struct ct_state *state)
{
    const struct ct_group_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        if (ct_name_eq(&row->member.host, &state->self.host)) {
            return true;
        }
    }
    return false;
}

/* Schedules a read after the delay plus jitter, unless one is due sooner. */
static void
schedule_read(struct ct_state *state, ct_ms delay_ms)
{
    struct ct_group *group = &state->group;
    uint64_t jitter_ms =
        JITTER_MS + JITTER_PER_HOST_MS * (uint64_t)ct_group_size(state);

    delay_ms += (ct_ms)(ct_state_random(state) % jitter_ms);
    if (group->next_read_ms &&
        group->next_read_ms <= state->now_ms + delay_ms) {
        return;
    }
    group->next_read_ms = state->now_ms + delay_ms;
    ct_arm_timer(state, delay_ms, CT_TIMER_MEMBERS, CT_NO_HANDLE);
}

void
ct_group_read_members(struct ct_state *state)
{
    struct ct_group *group = &state->group;

    ct_emit_effect(state, CT_EFFECT_STORE_READ_MEMBERS);
    group->last_read_ms = state->now_ms;
    group->read_generation = state->leadership.generation;
    group->next_read_ms = 0;
    schedule_read(state, ct_leadership_sees_group_changes(state)
                             ? STABLE_READ_PERIOD_MS
                             : READ_PERIOD_MS);
}

/*
 * Whether the source sent the member list recently, so that the list need not
 * be read from the store.
 */
static bool
has_recent_update(const struct ct_state *state)
{
    const struct ct_group *group = &state->group;

    return group->updated_ms > 0 && ct_replication_source_is_fresh(state) &&
           state->now_ms - group->updated_ms < UPDATE_TIMEOUT_MS;
}

void
ct_group_on_timer(struct ct_state *state)
{
    struct ct_group *group = &state->group;

    if (!group->next_read_ms || group->next_read_ms > state->now_ms) {
        return;
    }
    if (has_recent_update(state)) {
        group->next_read_ms = 0;
        schedule_read(state,
                      group->updated_ms + UPDATE_TIMEOUT_MS - state->now_ms);
        return;
    }
    ct_group_read_members(state);
}

void
ct_group_refresh_soon(struct ct_state *state)
{
    ct_ms since_ms = state->now_ms - state->group.last_read_ms;

    schedule_read(state, MAX(READ_PERIOD_MS - since_ms, 0));
}

static struct ct_group_row *
find_row(const struct ct_state *state, const struct ct_member *member)
{
    struct ct_group_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        if (ct_name_eq(&row->member.host, &member->host) &&
            strcmp(row->member.address.text, member->address.text) == 0) {
            return row;
        }
    }
    return NULL;
}

static void
set_row(struct ct_state *state, const struct ct_member *member)
{
    struct ct_group_row *row = find_row(state, member);
    struct ct_handle handle;
    int err;

    if (!row) {
        err = ct_table_add(&state->group.rows, &handle);
        if (err < 0) {
            state->out->err = err;
            return;
        }
        row = ct_table_get(&state->group.rows, handle);
        ct_emit_log(state, CT_LOG_MEMBER_UP, &member->host, NULL, 0);
    }
    row->member = *member;
    row->listed = true;
}

/* Applies a list that holds for the time and the group's generation. */
static void
apply_list(struct ct_state *state, struct ct_rows rows, ct_ms list_ms,
           int64_t generation)
{
    const struct ct_member *members = rows.data;
    struct ct_group_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    state->group.list_ms = list_ms;
    state->group.list_generation = generation;
    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        row->listed = false;
    }
    for (uint32_t i = 0; i < rows.n; i++) {
        set_row(state, &members[i]);
    }
    cursor = 0;
    while ((row = ct_table_next(&state->group.rows, &cursor, &handle))) {
        row->missed_lists = row->listed ? 0 : row->missed_lists + 1;
        if (row->missed_lists >= MISSED_LISTS_MAX) {
            ct_emit_log(state, CT_LOG_MEMBER_DOWN, &row->member.host, NULL, 0);
            ct_table_unref(&state->group.rows, handle);
        }
        else if (row->missed_lists > 0) {
            ct_group_refresh_soon(state);
        }
    }
}

void
ct_group_on_members_update(struct ct_state *state, struct ct_rows rows)
{
    state->group.updated_ms = state->now_ms;
    /* An empty list: the group expired while the store was unavailable. */
    if (rows.n == 0) {
        ct_group_refresh_soon(state);
        return;
    }
    apply_list(state, rows, state->now_ms, state->leadership.generation);
}

void
ct_group_on_members_read(struct ct_state *state, int32_t result,
                         struct ct_rows rows)
{
    if (result < 0 || rows.n == 0) {
        ct_group_refresh_soon(state);
        return;
    }
    apply_list(state, rows, state->group.last_read_ms,
               state->group.read_generation);
}

static bool
is_self(const struct ct_state *state, const struct ct_member *member)
{
    return strcmp(member->address.text, state->self.address.text) == 0;
}

static void
add_host(GArray *hosts, const struct ct_member *member)
{
    struct ct_host host;

    memset(&host, 0, sizeof(host));
    host.name = member->host;
    host.caller_address = member->address;
    g_array_append_val(hosts, host);
}

void
ct_group_on_addresses_requested(struct ct_state *state, uint64_t caller)
{
    GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct ct_host));
    const struct ct_group_row *row;
    struct ct_member self;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        if (row->missed_lists == 0 && !is_self(state, &row->member)) {
            add_host(hosts, &row->member);
        }
    }
    if (ct_relay_is_ready(state, state->now_ms)) {
        self.host = state->self.host;
        self.address = state->self.address;
        add_host(hosts, &self);
    }
    ct_addresses_reply(state, caller, state->self.bounds.address_ttl_ms,
                       hosts);
}
