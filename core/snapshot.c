#include "snapshot.h"

#include <glib.h>
#include <string.h>

#include "error.h"
#include "refusal-log.h"
#include "state.h"

/*
 * Number of entries before the first snapshot of a log that has dropped no
 * entries yet.
 */
#define SNAPSHOT_FIRST_OFFSETS 200
/* No snapshot is written for fewer entries than this. */
#define SNAPSHOT_MIN_OFFSETS 8
/*
 * Upper bound of the random delay of a due snapshot, so that one host writes
 * it and the others read it before their delay ends.
 */
#define SNAPSHOT_JITTER_MS 10000
#define APPEND_LIMIT_MS 5000

static void
add_config_rows(const struct ct_state *state, GArray *out)
{
    struct ct_config_row *rows;
    struct ct_snapshot_row row;
    uint32_t n;
    uint32_t i;

    rows = ct_config_export(&state->config, &n);
    for (i = 0; i < n; i++) {
        memset(&row, 0, sizeof(row));
        row.kind = CT_SNAPSHOT_CONFIG;
        row.offset = state->config.offset;
        row.u.config = rows[i];
        g_array_append_val(out, row);
    }
    g_free(rows);
}

static void
add_key_rows(const struct ct_state *state, GArray *out)
{
    const struct ct_key_row *key;
    struct ct_snapshot_row row;
    uint32_t cursor = 0;

    while ((key = ct_table_next(&state->keys.rows, &cursor, NULL))) {
        memset(&row, 0, sizeof(row));
        row.kind = CT_SNAPSHOT_KEY;
        row.offset = key->offset;
        row.u.key = key->key;
        g_array_append_val(out, row);
    }
}

static void
add_claim_rows(const struct ct_state *state, GArray *out)
{
    const struct ct_claim_row *claim;
    struct ct_snapshot_row row;
    uint32_t cursor = 0;

    while ((claim = ct_table_next(&state->claims.rows, &cursor, NULL))) {
        memset(&row, 0, sizeof(row));
        row.kind = CT_SNAPSHOT_CLAIM;
        row.offset = claim->offset;
        row.u.claim = claim->claim;
        g_array_append_val(out, row);
    }
}

static void
add_lease_rows(const struct ct_state *state, GArray *out)
{
    struct ct_snapshot_row row;
    uint32_t role;

    for (role = 0; role < CT_ROLE_COUNT; role++) {
        memset(&row, 0, sizeof(row));
        row.kind = CT_SNAPSHOT_LEASE;
        if (ct_leases_export(state, (enum ct_role)role, &row.u.lease,
                             &row.offset)) {
            g_array_append_val(out, row);
        }
    }
}

struct ct_snapshot_row *
ct_snapshot_export(const struct ct_state *state, uint32_t *n)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(struct ct_snapshot_row));

    add_config_rows(state, out);
    add_key_rows(state, out);
    add_claim_rows(state, out);
    add_lease_rows(state, out);
    ct_usage_finals_export(state, out);
    ct_orders_export(state, out);
    *n = out->len;
    return (struct ct_snapshot_row *)(void *)g_array_free(out, FALSE);
}

void
ct_snapshot_on_state_request(struct ct_state *state,
                             const struct ct_peer_message *message)
{
    struct ct_snapshot_row *rows;
    struct ct_peer_message reply;
    uint32_t n;

    if (!state->log.ready) {
        return;
    }
    rows = ct_snapshot_export(state, &n);
    memset(&reply, 0, sizeof(reply));
    reply.type = CT_PEER_STATE;
    reply.u.offset = state->log.applied;
    reply.rows = CT_ROWS(rows, n);
    ct_peer_status_send(state, &message->sender, &reply);
    g_free(rows);
}

static int
import_config(struct ct_state *state, struct ct_rows rows)
{
    const struct ct_snapshot_row *row = rows.data;
    GArray *config = g_array_new(FALSE, TRUE, sizeof(struct ct_config_row));
    int64_t offset = 0;
    uint32_t i;
    int err;

    for (i = 0; i < rows.n; i++) {
        if (row[i].kind == CT_SNAPSHOT_CONFIG) {
            g_array_append_val(config, row[i].u.config);
            offset = row[i].offset;
        }
    }
    err = ct_config_apply(
        &state->config, offset,
        CT_ROWS((struct ct_config_row *)(void *)config->data, config->len));
    g_array_free(config, TRUE);
    return err;
}

static int
import_row(struct ct_state *state, const struct ct_snapshot_row *row)
{
    int err;

    switch (row->kind) {
    case CT_SNAPSHOT_KEY:
        err = ct_keys_grant(&state->keys, &row->u.key, row->offset);
        if (err >= 0 && row->u.key.withdrawn) {
            err = ct_keys_withdraw(&state->keys, &row->u.key.digest);
        }
        return err;
    case CT_SNAPSHOT_CLAIM:
        err = ct_claims_apply(&state->claims, &row->u.claim, row->offset);
        if (err >= 0 && row->u.claim.done) {
            ct_claims_apply_result(&state->claims, &row->u.claim);
        }
        return err;
    case CT_SNAPSHOT_LEASE:
        return ct_leases_import(state, &row->u.lease, row->offset);
    case CT_SNAPSHOT_CONFIG:
    case CT_SNAPSHOT_USAGE_WINDOW:
    case CT_SNAPSHOT_USAGE_ROW:
    case CT_SNAPSHOT_ORDER:
        return CT_OK;
    default:
        return CT_ERR_INVALID;
    }
}

int
ct_snapshot_import(struct ct_state *state, int64_t offset, struct ct_rows rows)
{
    const struct ct_snapshot_row *row = rows.data;
    uint32_t i;
    int err;

    (void)offset;
    if (rows.n && rows.row_size != sizeof(*row)) {
        return CT_ERR_INVALID;
    }
    err = import_config(state, rows);
    for (i = 0; i < rows.n && err >= 0; i++) {
        err = import_row(state, &row[i]);
    }
    if (err >= 0) {
        err = ct_usage_finals_import(state, rows);
    }
    if (err >= 0) {
        err = ct_orders_import(state, rows);
    }
    if (err < 0) {
        return err;
    }
    ct_refusal_log_on_skipped(state);
    return CT_OK;
}

static bool
snapshot_is_due(const struct ct_log *log)
{
    int64_t quarter = (log->head - log->first) / 4;
    int64_t interval = quarter;

    /* The log has dropped nothing yet, so its retention is unknown. */
    if (log->first <= 1) {
        interval = MAX(quarter, SNAPSHOT_FIRST_OFFSETS);
    }
    if (log->applied - log->snapshot_base >
        MAX(interval, SNAPSHOT_MIN_OFFSETS)) {
        return true;
    }
    return log->first > 1 && log->snapshot_offset < log->first + quarter &&
           log->applied > log->snapshot_offset;
}

void
ct_snapshot_check(struct ct_state *state)
{
    struct ct_log *log = &state->log;

    if (!log->ready || log->snapshot_armed || !snapshot_is_due(log)) {
        return;
    }
    log->snapshot_armed = true;
    ct_arm_timer(state, (ct_ms)(ct_state_random(state) % SNAPSHOT_JITTER_MS),
                 CT_TIMER_SNAPSHOT, CT_NO_HANDLE);
}

void
ct_snapshot_on_timer(struct ct_state *state)
{
    struct ct_snapshot_row *rows;
    struct ct_record record;
    uint32_t n;

    state->log.snapshot_armed = false;
    if (!state->log.ready || !snapshot_is_due(&state->log)) {
        return;
    }
    rows = ct_snapshot_export(state, &n);
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_SNAPSHOT;
    record.base_offset = state->log.applied;
    record.rows = CT_ROWS(rows, n);
    ct_log_append(state, &record, state->now_ms + APPEND_LIMIT_MS);
    g_free(rows);
}
