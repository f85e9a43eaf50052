#include "peer-status.h"

#include <string.h>

#include "error.h"
#include "snapshot.h"
#include "state.h"

#define HEARTBEAT_MS 1000

void
ct_peer_status_init(struct ct_peer_status *status)
{
    memset(status, 0, sizeof(*status));
    ct_table_init(&status->peers, sizeof(struct ct_peer_row), 0, NULL);
    status->was_current = true;
}

void
ct_peer_status_free(struct ct_peer_status *status)
{
    ct_table_free(&status->peers);
}

struct ct_peer_row *
ct_peer_status_find(const struct ct_state *state, const struct ct_name *name)
{
    struct ct_peer_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        if (ct_name_eq(&row->conf.name, name)) {
            return row;
        }
    }
    return NULL;
}

bool
ct_peer_status_is_avoided(const struct ct_state *state,
                          const struct ct_name *name)
{
    const struct ct_peer_row *row = ct_peer_status_find(state, name);

    if (!row) {
        return false;
    }
    return row->listed_leaving || row->heartbeat.draining ||
           (!row->up && state->peer_status.n_up > 0);
}

void
ct_peer_status_send(struct ct_state *state, const struct ct_name *peer,
                    const struct ct_peer_message *message)
{
    const struct ct_peer_row *row = ct_peer_status_find(state, peer);
    struct ct_effect *effect;

    if (!row || !row->up) {
        return;
    }
    effect = ct_emit_effect(state, CT_EFFECT_SEND_PEER_MESSAGE);
    effect->u.peer.peer = *peer;
    effect->u.peer.message = *message;
    effect->u.peer.message.sender = state->self.host;
    effect->u.peer.message.rows = CT_NO_ROWS;
    ct_effect_set_rows(state->out, effect, message->rows);
}

void
ct_peer_status_send_all(struct ct_state *state,
                        const struct ct_peer_message *message,
                        const struct ct_name *except)
{
    const struct ct_peer_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        if (!except || !ct_name_eq(&row->conf.name, except)) {
            ct_peer_status_send(state, &row->conf.name, message);
        }
    }
}

static void
arm_heartbeat(struct ct_state *state)
{
    if (!state->peer_status.armed) {
        state->peer_status.armed = true;
        ct_arm_timer(state, HEARTBEAT_MS, CT_TIMER_HEARTBEAT, CT_NO_HANDLE);
    }
}

static void
remove_unconfigured(struct ct_state *state)
{
    struct ct_peer_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (
        (row = ct_table_next(&state->peer_status.peers, &cursor, &handle))) {
        if (!row->configured && !row->up) {
            ct_table_unref(&state->peer_status.peers, handle);
        }
    }
}

static struct ct_peer_row *
add_peer(struct ct_state *state, const struct ct_host *host)
{
    struct ct_peer_row *row = ct_peer_status_find(state, &host->name);
    struct ct_handle handle;
    int err;

    if (!row) {
        err = ct_table_add(&state->peer_status.peers, &handle);
        if (err < 0) {
            state->out->err = err;
            return NULL;
        }
        row = ct_table_get(&state->peer_status.peers, handle);
    }
    row->conf = *host;
    return row;
}

void
ct_peer_status_configure(struct ct_state *state)
{
    GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct ct_host));
    const struct ct_host_conf_row *host;
    struct ct_peer_row *row;
    struct ct_effect *effect;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        row->configured = false;
    }
    state->peer_status.n_configured = 0;
    cursor = 0;
    while ((host = ct_table_next(&state->config.hosts, &cursor, NULL))) {
        if (host->configured &&
            !ct_name_eq(&host->conf.name, &state->self.host)) {
            row = add_peer(state, &host->conf);
            if (row) {
                row->configured = true;
                state->peer_status.n_configured++;
            }
            g_array_append_val(hosts, host->conf);
        }
    }
    remove_unconfigured(state);
    effect = ct_emit_effect(state, CT_EFFECT_SET_PEERS);
    ct_effect_set_rows(
        state->out, effect,
        CT_ROWS((struct ct_host *)(void *)hosts->data, hosts->len));
    g_array_free(hosts, TRUE);
    arm_heartbeat(state);
}

static void
fill_heartbeat(const struct ct_state *state, struct ct_peer_message *message)
{
    ct_ms age_ms = ct_log_age_ms(state);

    memset(message, 0, sizeof(*message));
    message->type = CT_PEER_HEARTBEAT;
    message->u.heartbeat = (struct ct_peer_heartbeat){
        .applied_offset = state->log.applied,
        .known_head = state->log.head,
        .log_age_ms = age_ms == CT_MS_NEVER ? state->now_ms : age_ms,
        .direct_withdrawals = state->keys.direct_count,
        .draining = state->draining,
    };
}

void
ct_peer_status_on_link_up(struct ct_state *state, const struct ct_name *peer)
{
    struct ct_peer_row *row = ct_peer_status_find(state, peer);
    struct ct_peer_message message;
    struct ct_host host;

    if (!row) {
        /*
         * The peer knows this host, which may not have read its configuration
         * yet.
         */
        memset(&host, 0, sizeof(host));
        host.name = *peer;
        row = add_peer(state, &host);
    }
    if (!row) {
        return;
    }
    if (!row->up) {
        state->peer_status.n_up++;
    }
    row->up = true;
    row->last_seen_ms = state->now_ms;
    arm_heartbeat(state);
    ct_emit_log(state, CT_LOG_PEER_UP, peer, NULL, 0);
    fill_heartbeat(state, &message);
    ct_peer_status_send(state, peer, &message);
}

void
ct_peer_status_on_link_down(struct ct_state *state, const struct ct_name *peer)
{
    struct ct_peer_row *row = ct_peer_status_find(state, peer);

    if (!row || !row->up) {
        return;
    }
    row->up = false;
    state->peer_status.n_up--;
    ct_emit_log(state, CT_LOG_PEER_DOWN, peer, NULL, 0);
    remove_unconfigured(state);
}

static void
on_heartbeat(struct ct_state *state, struct ct_peer_row *row,
             const struct ct_peer_heartbeat *heartbeat)
{
    row->heartbeat = *heartbeat;
    state->peer_status.known_head =
        MAX(state->peer_status.known_head, heartbeat->known_head);
    if (heartbeat->applied_offset > state->log.applied &&
        state->peer_status.behind_since_ms == 0) {
        state->peer_status.behind_since_ms = state->now_ms;
    }
}

static bool
is_log_fresh(const struct ct_state *state, ct_ms now_ms)
{
    return ct_log_age_ms(state) != CT_MS_NEVER &&
           state->log.applied >= state->log.head &&
           now_ms - state->log.last_read_sent_ms < CT_CURRENT_LIMIT_MS;
}

bool
ct_peer_status_needs_state(const struct ct_state *state, int64_t offset)
{
    return !is_log_fresh(state, state->now_ms) &&
           offset >= state->peer_status.known_head;
}

bool
ct_peer_status_on_message(struct ct_state *state,
                          const struct ct_peer_message *message)
{
    struct ct_peer_row *row = ct_peer_status_find(state, &message->sender);

    if (!row) {
        return false;
    }
    ct_increment_counter(state, CT_COUNTER_PEER_MESSAGES);
    row->last_seen_ms = state->now_ms;
    if (message->type == CT_PEER_HEARTBEAT) {
        on_heartbeat(state, row, &message->u.heartbeat);
    }
    return true;
}

void
ct_peer_status_on_host_list(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_host_row *hosts = rows.data;
    struct ct_peer_row *row;
    uint32_t i;

    for (i = 0; i < rows.n; i++) {
        row = ct_peer_status_find(state, &hosts[i].name);
        if (row) {
            row->listed_leaving = hosts[i].leaving;
        }
    }
}

static int
newest_first(gconstpointer a, gconstpointer b)
{
    ct_ms left = *(const ct_ms *)a;
    ct_ms right = *(const ct_ms *)b;

    return left < right ? 1 : left > right ? -1 : 0;
}

/*
 * Returns the time until which a majority of the hosts, including this one,
 * counts as reached.
 */
static ct_ms
peers_fresh_until(const struct ct_state *state)
{
    GArray *last_seen = g_array_new(FALSE, FALSE, sizeof(ct_ms));
    const struct ct_peer_row *row;
    uint32_t cursor = 0;
    /* Number of peers that form a majority together with this host. */
    uint32_t needed = (state->peer_status.n_configured + 1) / 2;
    ct_ms until_ms = state->now_ms;

    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        if (row->configured) {
            g_array_append_val(last_seen, row->last_seen_ms);
        }
    }
    g_array_sort(last_seen, newest_first);
    if (needed > 0) {
        until_ms = g_array_index(last_seen, ct_ms, needed - 1);
    }
    g_array_free(last_seen, TRUE);
    return until_ms ? until_ms + CT_CURRENT_LIMIT_MS : 0;
}

static void
update_current(struct ct_state *state)
{
    struct ct_peer_status *status = &state->peer_status;
    const struct ct_peer_row *row;
    bool behind = false;
    uint32_t cursor = 0;
    bool current;

    while ((row = ct_table_next(&status->peers, &cursor, NULL))) {
        behind |= row->heartbeat.applied_offset > state->log.applied;
    }
    if (!behind) {
        status->behind_since_ms = 0;
    }
    status->peers_fresh_until_ms = peers_fresh_until(state);
    current = ct_peer_status_is_current(state, state->now_ms);
    if (status->was_current && !current) {
        ct_emit_log(state, CT_LOG_NOT_CURRENT, &state->self.host, NULL,
                    state->log.applied);
    }
    status->was_current = current;
}

bool
ct_peer_status_is_current(const struct ct_state *state, ct_ms now_ms)
{
    const struct ct_peer_status *status = &state->peer_status;

    if (is_log_fresh(state, now_ms)) {
        return true;
    }
    if (status->behind_since_ms &&
        now_ms - status->behind_since_ms >= CT_CURRENT_LIMIT_MS) {
        return false;
    }
    return now_ms < status->peers_fresh_until_ms;
}

/*
 * Requests state from the peer that applied the most of the log. A host does
 * so during an outage of the log, if it starts or if it missed the last
 * entries before the outage.
 */
static void
request_state(struct ct_state *state)
{
    const struct ct_peer_row *best = NULL;
    const struct ct_peer_row *row;
    struct ct_peer_message message;
    uint32_t cursor = 0;

    if (is_log_fresh(state, state->now_ms) ||
        (state->log.ready && !state->peer_status.behind_since_ms)) {
        return;
    }
    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        if (row->up && (!best || row->heartbeat.applied_offset >
                                     best->heartbeat.applied_offset)) {
            best = row;
        }
    }
    if (best) {
        memset(&message, 0, sizeof(message));
        message.type = CT_PEER_STATE_REQUEST;
        ct_peer_status_send(state, &best->conf.name, &message);
    }
}

void
ct_peer_status_on_timer(struct ct_state *state)
{
    struct ct_peer_message message;

    update_current(state);
    fill_heartbeat(state, &message);
    ct_peer_status_send_all(state, &message, NULL);
    request_state(state);
    ct_arm_timer(state, HEARTBEAT_MS, CT_TIMER_HEARTBEAT, CT_NO_HANDLE);
}
