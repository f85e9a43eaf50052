#include "log-replay.h"

#include <string.h>

#include "error.h"
#include "request.h"
#include "refusal-log.h"
#include "snapshot.h"
#include "state.h"

static const struct ct_name *
record_writer(const struct ct_record *record)
{
    return &record->writer;
}

static void
apply_config(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_record *record = &entry->record;
    int err = CT_ERR_LOG_LOST_RACE;

    if (record->base_offset == state->config.offset) {
        err = ct_config_apply(&state->config, entry->offset, record->rows);
    }
    if (err < 0) {
        ct_increment_counter(state, CT_COUNTER_LOG_REJECTED);
        ct_emit_log(state, CT_LOG_CONFIG_REJECTED, record_writer(record),
                    ct_err_name(err), entry->offset);
        return;
    }
    ct_emit_log(state, CT_LOG_CONFIG_ACCEPTED, record_writer(record), NULL,
                entry->offset);
    ct_requests_on_config_changed(state);
    ct_peer_status_configure(state);
}

static void
apply_grant(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_key *key = &entry->record.u.key;

    if (ct_keys_grant(&state->keys, key, entry->offset) == 1) {
        ct_emit_log(state, CT_LOG_KEY_GRANTED, &key->label, NULL,
                    entry->offset);
    }
}

static void
apply_withdraw(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_key *key = &entry->record.u.key;

    if (ct_keys_withdraw(&state->keys, &key->digest) == 1) {
        ct_emit_log(state, CT_LOG_KEY_WITHDRAWN, &key->label, NULL,
                    entry->offset);
        ct_requests_on_key_withdrawn(state,
                                     ct_keys_find(&state->keys, &key->digest));
    }
}

static void
apply_claim(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_claim *claim = &entry->record.u.claim;
    int result = ct_claims_apply(&state->claims, claim, entry->offset);

    if (result < 0) {
        state->out->err = result;
        return;
    }
    ct_requests_on_claim_read(state, &entry->record,
                              (enum ct_claim_result)result);
}

static void
apply_snapshot(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_record *record = &entry->record;

    /* This host has applied the entries itself and needs only the offsets. */
    if (record->base_offset > state->log.snapshot_base) {
        state->log.snapshot_base = record->base_offset;
        state->log.snapshot_offset = entry->offset;
    }
}

/* Counts a record that was rejected; it has no effect on any host. */
static void
count_rejected(struct ct_state *state, int err)
{
    if (err < 0) {
        ct_increment_counter(state, CT_COUNTER_LOG_REJECTED);
    }
}

static void
apply_record(struct ct_state *state, const struct ct_log_entry *entry)
{
    switch (entry->record.type) {
    case CT_RECORD_CONFIG:
        apply_config(state, entry);
        return;
    case CT_RECORD_KEY_GRANT:
        apply_grant(state, entry);
        return;
    case CT_RECORD_KEY_WITHDRAW:
        apply_withdraw(state, entry);
        return;
    case CT_RECORD_CLAIM:
        apply_claim(state, entry);
        return;
    case CT_RECORD_CLAIM_DONE:
        ct_claims_apply_result(&state->claims, &entry->record.u.claim);
        return;
    case CT_RECORD_REFUSALS:
        ct_refusal_log_apply(state, &entry->record);
        return;
    case CT_RECORD_SNAPSHOT:
        apply_snapshot(state, entry);
        return;
    case CT_RECORD_LEASE:
        count_rejected(state, ct_leases_apply(state, entry));
        return;
    case CT_RECORD_USAGE_FINAL:
        count_rejected(state, ct_usage_final_apply(state, entry));
        return;
    case CT_RECORD_USAGE_ACCEPTED:
        count_rejected(
            state, ct_usage_accepted_apply(state, &entry->record.u.window));
        return;
    case CT_RECORD_ORDER_INTENT:
        count_rejected(state, ct_order_intent_apply(state, entry));
        return;
    case CT_RECORD_ORDER_DONE:
        count_rejected(state,
                       ct_order_done_apply(state, &entry->record.u.order));
        return;
    default:
        /* Unknown type: every host of this version skips the record. */
        ct_increment_counter(state, CT_COUNTER_LOG_REJECTED);
        ct_emit_log(state, CT_LOG_RECORD_BAD, record_writer(&entry->record),
                    ct_err_name(CT_ERR_LOG_BAD_RECORD), entry->offset);
        return;
    }
}

static void
mark_available(struct ct_state *state)
{
    if (state->log.failing) {
        state->log.failing = false;
        ct_emit_log(state, CT_LOG_LOG_BACK, NULL, NULL, state->log.applied);
    }
}

static void
start_serving(struct ct_state *state)
{
    state->log.ready = true;
    ct_emit_log(state, CT_LOG_READY, &state->self.host, NULL,
                state->log.applied);
    ct_leases_start(state);
    ct_usage_start(state);
    ct_orders_start(state);
}

static void
update_ready(struct ct_state *state)
{
    struct ct_log *log = &state->log;

    if (log->ready || log->seeking_snapshot || log->applied < log->head) {
        return;
    }
    start_serving(state);
}

static void
request_read(struct ct_state *state, int64_t offset)
{
    ct_emit_effect(state, CT_EFFECT_READ_LOG)->u.offset = offset;
}

void
ct_log_on_head(struct ct_state *state, const struct ct_log_head *head)
{
    struct ct_log *log = &state->log;

    /*
     * The response may have been received long after the read was sent, if
     * this process was suspended.
     */
    log->last_read_sent_ms =
        MAX(log->last_read_sent_ms, state->now_ms - head->age_ms);
    mark_available(state);
    if (head->head > log->head) {
        log->head = head->head;
    }
    log->first = head->first;
    if (head->first > log->applied + 1 && !log->seeking_snapshot) {
        log->seeking_snapshot = true;
        log->ready = false;
        request_read(state, head->first);
        return;
    }
    update_ready(state);
    ct_snapshot_check(state);
}

/*
 * Loads a snapshot and resumes the replay after it. Ignores a snapshot that is
 * older than the applied state or whose next entry the log has dropped.
 */
static void
load_snapshot(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_record *record = &entry->record;
    struct ct_log *log = &state->log;
    int err;

    if (record->base_offset + 1 < log->first ||
        record->base_offset < log->applied) {
        return;
    }
    err = ct_snapshot_import(state, record->base_offset, record->rows);
    if (err < 0) {
        ct_emit_log(state, CT_LOG_RECORD_BAD, record_writer(record),
                    ct_err_name(err), entry->offset);
        return;
    }
    log->applied = record->base_offset;
    log->snapshot_base = record->base_offset;
    log->snapshot_offset = entry->offset;
    log->seeking_snapshot = false;
    ct_emit_log(state, CT_LOG_SNAPSHOT_USED, record_writer(record), NULL,
                record->base_offset);
    ct_requests_on_config_changed(state);
    ct_peer_status_configure(state);
    request_read(state, log->applied + 1);
}

void
ct_log_on_peer_state(struct ct_state *state, int64_t offset,
                     struct ct_rows rows)
{
    struct ct_log *log = &state->log;
    int err;

    if (offset < log->head || offset < log->applied ||
        (log->ready && offset == log->applied)) {
        return;
    }
    err = ct_snapshot_import(state, offset, rows);
    if (err < 0) {
        ct_emit_log(state, CT_LOG_RECORD_BAD, NULL, ct_err_name(err), offset);
        return;
    }
    log->applied = offset;
    log->head = offset;
    log->seeking_snapshot = false;
    ct_emit_log(state, CT_LOG_SNAPSHOT_USED, NULL, "peer", offset);
    ct_requests_on_config_changed(state);
    ct_peer_status_configure(state);
    request_read(state, offset + 1);
    if (!log->ready) {
        start_serving(state);
    }
}

void
ct_log_on_entry(struct ct_state *state, const struct ct_log_entry *entry)
{
    struct ct_log *log = &state->log;

    mark_available(state);
    if (entry->offset > log->head) {
        log->head = entry->offset;
    }
    if (log->seeking_snapshot) {
        if (entry->record.type == CT_RECORD_SNAPSHOT) {
            load_snapshot(state, entry);
        }
        return;
    }
    if (entry->offset <= log->applied) {
        return;
    }
    if (entry->offset != log->applied + 1) {
        request_read(state, log->applied + 1);
        return;
    }
    log->applied = entry->offset;
    ct_increment_counter(state, CT_COUNTER_LOG_ENTRIES);
    ct_claims_advance(&state->claims, entry->record.wall_ms);
    apply_record(state, entry);
    update_ready(state);
    ct_snapshot_check(state);
}

void
ct_log_on_failed(struct ct_state *state)
{
    if (state->log.failing) {
        return;
    }
    state->log.failing = true;
    ct_emit_log(state, CT_LOG_LOG_OUTAGE, NULL, NULL, state->log.applied);
}
