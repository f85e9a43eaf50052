#include "group.h"

#include <string.h>

#include "addresses.h"
#include "error.h"
#include "relay-host.h"
#include "state.h"

/* Between questions while the group changes, or nothing tells whether. */
#define PERIOD_MS 2000
/* Between questions while it is the same. */
#define CALM_MS 10000
/* Without word from the host that asks for others they ask again. */
#define TOLD_MS (CALM_MS + PERIOD_MS)
/* Spread of the hosts' questions, so that they do not come all at once. */
#define SPREAD_MS 400
#define SPREAD_A_HOST_MS 5
/* Answers in a row without a host after which it is dropped. */
#define MISSES_MAX 2

void
ct_group_init(struct ct_group *roster)
{
    memset(roster, 0, sizeof(*roster));
    ct_table_init(&roster->rows, sizeof(struct ct_group_row), 0, NULL);
}

void
ct_group_free(struct ct_group *roster)
{
    ct_table_free(&roster->rows);
}

uint32_t
ct_group_size(const struct ct_state *state)
{
    return MAX(state->group.rows.live, 1);
}

/* Asks after the delay and some more, unless that is to be done sooner. */
static void
ask_after(struct ct_state *state, ct_ms delay_ms)
{
    struct ct_group *roster = &state->group;
    uint64_t spread_ms =
        SPREAD_MS + SPREAD_A_HOST_MS * (uint64_t)ct_group_size(state);

    delay_ms += (ct_ms)(ct_state_random(state) % spread_ms);
    if (roster->ask_at_ms && roster->ask_at_ms <= state->now_ms + delay_ms) {
        return;
    }
    roster->ask_at_ms = state->now_ms + delay_ms;
    ct_arm_timer(state, delay_ms, CT_TIMER_MEMBERS, CT_NO_HANDLE);
}

void
ct_group_start(struct ct_state *state)
{
    struct ct_group *roster = &state->group;

    ct_emit_effect(state, CT_EFFECT_STORE_READ_MEMBERS);
    roster->asked_ms = state->now_ms;
    roster->ask_at_ms = 0;
    ask_after(state,
              ct_leadership_sees_group_changes(state) ? CALM_MS : PERIOD_MS);
}

/* Whether another host asks for this one, and tells it soon of a change. */
static bool
is_told(const struct ct_state *state)
{
    const struct ct_group *roster = &state->group;

    return roster->told_ms > 0 && ct_replication_source_is_fresh(state) &&
           state->now_ms - roster->told_ms < TOLD_MS;
}

void
ct_group_on_timer(struct ct_state *state)
{
    struct ct_group *roster = &state->group;

    if (!roster->ask_at_ms || roster->ask_at_ms > state->now_ms) {
        return;
    }
    if (is_told(state)) {
        roster->ask_at_ms = 0;
        ask_after(state, roster->told_ms + TOLD_MS - state->now_ms);
        return;
    }
    ct_group_start(state);
}

void
ct_group_refresh_soon(struct ct_state *state)
{
    ct_ms since_ms = state->now_ms - state->group.asked_ms;

    ask_after(state, MAX(PERIOD_MS - since_ms, 0));
}

static struct ct_group_row *
find(const struct ct_state *state, const struct ct_member *member)
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
note(struct ct_state *state, const struct ct_member *member)
{
    struct ct_group_row *row = find(state, member);
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

void
ct_group_on_members_update(struct ct_state *state, struct ct_rows rows)
{
    state->group.told_ms = state->now_ms;
    ct_group_on_members_read(state, CT_OK, rows);
}

void
ct_group_on_members_read(struct ct_state *state, int32_t result,
                         struct ct_rows rows)
{
    const struct ct_member *members = rows.data;
    struct ct_group_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    /* Nobody at all: the group lapsed while the store was away. */
    if (result < 0 || rows.n == 0) {
        ct_group_refresh_soon(state);
        return;
    }
    while ((row = ct_table_next(&state->group.rows, &cursor, NULL))) {
        row->listed = false;
    }
    for (uint32_t i = 0; i < rows.n; i++) {
        note(state, &members[i]);
    }
    cursor = 0;
    while ((row = ct_table_next(&state->group.rows, &cursor, &handle))) {
        row->misses = row->listed ? 0 : row->misses + 1;
        if (row->misses >= MISSES_MAX) {
            ct_emit_log(state, CT_LOG_MEMBER_DOWN, &row->member.host, NULL, 0);
            ct_table_unref(&state->group.rows, handle);
        }
        else if (row->misses > 0) {
            ct_group_refresh_soon(state);
        }
    }
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
        if (row->misses == 0 && !is_self(state, &row->member)) {
            add_host(hosts, &row->member);
        }
    }
    if (ct_relay_host_is_ready(state, state->now_ms)) {
        self.host = state->self.host;
        self.address = state->self.address;
        add_host(hosts, &self);
    }
    ct_addresses_reply(state, caller, state->self.bounds.address_ttl_ms,
                       hosts);
}
