#include "withdrawal.h"

#include <string.h>

#include "error.h"
#include "state.h"

#define CONFIRM_TIMEOUT_MS 2000
/*
 * Number of heartbeats between two attempts to append direct withdrawals to
 * the log.
 */
#define RECORD_HEARTBEATS 5
#define APPEND_TIMEOUT_MS 3000

static void
clear_withdrawal(void *row)
{
    struct ct_withdrawal_row *withdrawal = row;

    if (withdrawal->confirmed) {
        g_array_free(withdrawal->confirmed, TRUE);
    }
}

void
ct_withdrawals_init(struct ct_withdrawals *withdrawals)
{
    memset(withdrawals, 0, sizeof(*withdrawals));
    ct_table_init(&withdrawals->rows, sizeof(struct ct_withdrawal_row), 0,
                  clear_withdrawal);
}

void
ct_withdrawals_free(struct ct_withdrawals *withdrawals)
{
    ct_table_free(&withdrawals->rows);
}

void
ct_withdrawals_on_peer_up(struct ct_state *state, const struct ct_name *peer)
{
    struct ct_peer_message message;
    const struct ct_key_row *key;
    uint32_t cursor = 0;

    memset(&message, 0, sizeof(message));
    message.type = CT_PEER_WITHDRAW;
    while ((key = ct_table_next(&state->keys.rows, &cursor, NULL))) {
        if (key->direct) {
            message.u.digest = key->key.digest;
            ct_peer_status_send(state, peer, &message);
        }
    }
}

/* Returns 1 if the key was usable before, 0 if not, or an error. */
static int
withdraw_key(struct ct_state *state, const struct ct_digest *digest)
{
    int result = ct_keys_withdraw_direct(&state->keys, digest);

    if (result < 0) {
        state->out->err = result;
    }
    if (result == 1) {
        ct_emit_log(state, CT_LOG_KEY_WITHDRAWN, NULL, "direct", 0);
        ct_requests_on_key_withdrawn(state,
                                     ct_keys_find(&state->keys, digest));
    }
    return result;
}

void
ct_withdrawals_on_withdraw(struct ct_state *state,
                           const struct ct_peer_message *message)
{
    struct ct_peer_message reply = *message;

    if (withdraw_key(state, &message->u.digest) == 1) {
        ct_peer_status_send_all(state, message, &message->sender);
    }
    reply.type = CT_PEER_WITHDRAWN;
    ct_peer_status_send(state, &message->sender, &reply);
}

/*
 * Adds a host to the reply once; leaving is set if the host did not confirm.
 */
static void
add_host(struct ct_withdrawal_row *row, const struct ct_name *name,
         bool leaving)
{
    struct ct_host_row host;
    guint i;

    for (i = 0; i < row->confirmed->len; i++) {
        if (ct_name_eq(
                &g_array_index(row->confirmed, struct ct_host_row, i).name,
                name)) {
            return;
        }
    }
    memset(&host, 0, sizeof(host));
    host.name = *name;
    host.leaving = leaving;
    g_array_append_val(row->confirmed, host);
}

/* Adds the hosts that did not confirm to the reply to the operator. */
static void
add_unconfirmed(const struct ct_state *state, struct ct_withdrawal_row *row)
{
    const struct ct_peer_row *peer;
    uint32_t cursor = 0;

    while ((peer = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        if (peer->configured) {
            add_host(row, &peer->conf.name, true);
        }
    }
}

static void
reply_withdrawn(struct ct_state *state, struct ct_handle handle)
{
    struct ct_withdrawal_row *row =
        ct_table_get(&state->withdrawals.rows, handle);
    struct ct_effect *effect =
        ct_emit_effect(state, CT_EFFECT_REPLY_WITHDRAWAL);

    add_unconfirmed(state, row);
    effect->u.caller = row->caller;
    ct_effect_set_rows(
        state->out, effect,
        CT_ROWS((struct ct_host_row *)(void *)row->confirmed->data,
                row->confirmed->len));
    ct_table_unref(&state->withdrawals.rows, handle);
}

static void
reply_if_complete(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_withdrawal_row *row =
        ct_table_get(&state->withdrawals.rows, handle);

    if (row->confirmed->len > state->peer_status.n_configured ||
        state->now_ms >= row->deadline_ms) {
        reply_withdrawn(state, handle);
    }
}

void
ct_withdrawals_on_withdrawn(struct ct_state *state,
                            const struct ct_peer_message *message)
{
    struct ct_withdrawal_row *row;
    struct ct_handle handle;
    const struct ct_peer_row *peer =
        ct_peer_status_find(state, &message->sender);
    uint32_t cursor = 0;

    if (!peer->configured) {
        return;
    }
    while ((row = ct_table_next(&state->withdrawals.rows, &cursor, &handle))) {
        if (ct_digest_eq(&row->digest, &message->u.digest)) {
            add_host(row, &message->sender, false);
            reply_if_complete(state, handle);
        }
    }
}

/* Appends a direct withdrawal to the log, so that it is permanent. */
static void
record_withdrawal(struct ct_state *state, const struct ct_key *key)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_KEY_WITHDRAW;
    record.u.key = *key;
    record.u.key.withdrawn = true;
    ct_log_append(state, &record, state->now_ms + APPEND_TIMEOUT_MS);
}

void
ct_withdrawals_on_request(struct ct_state *state,
                          const struct ct_key_withdrawal_request *request)
{
    struct ct_withdrawal_row *row;
    struct ct_peer_message message;
    struct ct_handle handle;
    const struct ct_key_row *key;
    int err;

    withdraw_key(state, &request->key);
    err = ct_table_add(&state->withdrawals.rows, &handle);
    if (err < 0) {
        state->out->err = err;
        return;
    }
    row = ct_table_get(&state->withdrawals.rows, handle);
    row->caller = request->caller;
    row->digest = request->key;
    row->deadline_ms = state->now_ms + CONFIRM_TIMEOUT_MS;
    row->confirmed = g_array_new(FALSE, TRUE, sizeof(struct ct_host_row));
    add_host(row, &state->self.host, false);

    memset(&message, 0, sizeof(message));
    message.type = CT_PEER_WITHDRAW;
    message.u.digest = request->key;
    ct_peer_status_send_all(state, &message, NULL);
    key = ct_table_get(&state->keys.rows,
                       ct_keys_find(&state->keys, &request->key));
    if (key && key->direct) {
        record_withdrawal(state, &key->key);
    }
    reply_if_complete(state, handle);
}

/*
 * Whether this host appends for all: the first by name of those that are up
 * does.
 */
static bool
is_recorder(const struct ct_state *state)
{
    const struct ct_peer_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->peer_status.peers, &cursor, NULL))) {
        if (row->up &&
            strcmp(row->conf.name.text, state->self.host.text) < 0) {
            return false;
        }
    }
    return true;
}

static void
record_withdrawals(struct ct_state *state)
{
    const struct ct_key_row *key;
    uint32_t cursor = 0;

    if (state->keys.direct_count == 0 || !state->log.ready ||
        state->log.failing || !is_recorder(state) ||
        state->withdrawals.heartbeats % RECORD_HEARTBEATS) {
        return;
    }
    while ((key = ct_table_next(&state->keys.rows, &cursor, NULL))) {
        if (key->direct) {
            record_withdrawal(state, &key->key);
        }
    }
}

void
ct_withdrawals_on_heartbeat(struct ct_state *state)
{
    struct ct_handle handle;
    uint32_t cursor = 0;

    state->withdrawals.heartbeats++;
    while (ct_table_next(&state->withdrawals.rows, &cursor, &handle)) {
        reply_if_complete(state, handle);
    }
    record_withdrawals(state);
}
