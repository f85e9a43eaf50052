#include "lease.h"

#include <string.h>

#include "error.h"
#include "state.h"

#define LEASE_MS 10000
/* Allowance for clocks at other rates, in percent of a lease. */
#define DRIFT_PERCENT 2
#define CLAIM_MARGIN_MS 300
#define RENEW_AFTER_MS (LEASE_MS / 3)
/* An append that was not read back is repeated after this time. */
#define APPEND_REPEAT_MS 1000
#define CHECK_PERIOD_MS 500
/* Each host claims this much later than the one ranked before it. */
#define RANK_DELAY_MS 700

static ct_ms
claim_delay_ms(ct_ms duration_ms)
{
    return duration_ms + duration_ms * DRIFT_PERCENT / 100 + CLAIM_MARGIN_MS;
}

static uint64_t
claim_weight(enum ct_role role, const struct ct_name *host)
{
    uint8_t seed = (uint8_t)role;

    return ct_name_hash(ct_hash_bytes(CT_HASH_SEED, &seed, 1), host);
}

uint32_t
ct_lease_rank(const struct ct_state *state, enum ct_role role)
{
    uint64_t own = claim_weight(role, &state->self.host);
    const struct ct_host_conf_row *row;
    uint32_t cursor = 0;
    uint32_t rank = 0;

    while ((row = ct_table_next(&state->config.hosts, &cursor, NULL))) {
        if (row->configured && claim_weight(role, &row->conf.name) > own) {
            rank++;
        }
    }
    return rank;
}

static void
lose_lease(struct ct_state *state, enum ct_role role)
{
    struct ct_lease_state *lease = &state->leases.roles[role];

    lease->valid_until_ms = 0;
    lease->own_term = 0;
    if (lease->held) {
        lease->held = false;
        ct_emit_log(state, CT_LOG_LEASE_LOST, &state->self.host, NULL, role);
    }
}

static void
hold_lease(struct ct_state *state, enum ct_role role, ct_ms duration_ms)
{
    struct ct_lease_state *lease = &state->leases.roles[role];
    ct_ms until_ms = lease->claim_sent_ms + duration_ms;

    lease->own_term = lease->term;
    if (until_ms <= state->now_ms) {
        return;
    }
    lease->valid_until_ms = until_ms;
    if (!lease->held) {
        lease->held = true;
        lease->held_since_ms = state->now_ms;
        ct_emit_log(state, CT_LOG_LEASE_TAKEN, &state->self.host, NULL, role);
    }
}

/*
 * Sets the state that all hosts derive from an accepted record, and when this
 * host may claim the role if it does not hold it.
 */
static void
set_agreed_state(struct ct_state *state, const struct ct_lease *record,
                 int64_t offset)
{
    struct ct_lease_state *lease = &state->leases.roles[record->role];
    ct_ms delay_ms = 0;

    lease->base_offset = offset;
    if (record->duration_ms == 0) {
        memset(&lease->holder, 0, sizeof(lease->holder));
        lease->term = 0;
    }
    else {
        /* Only the process that wrote the term's records continues it. */
        if (record->term == 0 || record->term != lease->term) {
            lease->term = offset;
        }
        lease->holder = record->holder;
        delay_ms = claim_delay_ms(record->duration_ms);
    }
    lease->claim_after_ms =
        state->now_ms + delay_ms +
        RANK_DELAY_MS * (ct_ms)ct_lease_rank(state, record->role);
}

int
ct_leases_apply(struct ct_state *state, const struct ct_log_entry *entry)
{
    const struct ct_record *record = &entry->record;
    struct ct_lease_state *lease;
    bool own;

    if ((uint32_t)record->u.lease.role >= CT_ROLE_COUNT ||
        record->u.lease.duration_ms < 0) {
        return CT_ERR_INVALID;
    }
    lease = &state->leases.roles[record->u.lease.role];
    if (record->base_offset != lease->base_offset) {
        return CT_ERR_LOG_LOST_RACE;
    }
    set_agreed_state(state, &record->u.lease, entry->offset);
    own = ct_name_eq(&record->writer, &state->self.writer);
    if (!own || record->u.lease.duration_ms == 0) {
        lose_lease(state, record->u.lease.role);
    }
    else if (lease->claim_sequence &&
             record->sequence >= lease->claim_sequence) {
        hold_lease(state, record->u.lease.role, record->u.lease.duration_ms);
    }
    else {
        /*
         * An earlier claim that arrived late. Its time of sending is not
         * known, so it continues the term but does not extend the lease.
         */
        lease->own_term = lease->term;
    }
    lease->claim_sequence = 0;
    return CT_OK;
}

int
ct_leases_import(struct ct_state *state, const struct ct_lease *lease,
                 int64_t offset)
{
    if ((uint32_t)lease->role >= CT_ROLE_COUNT) {
        return CT_ERR_INVALID;
    }
    state->leases.roles[lease->role].term = lease->term;
    set_agreed_state(state, lease, offset);
    lose_lease(state, lease->role);
    state->leases.roles[lease->role].claim_sequence = 0;
    return CT_OK;
}

bool
ct_leases_export(const struct ct_state *state, enum ct_role role,
                 struct ct_lease *lease, int64_t *offset)
{
    const struct ct_lease_state *from = &state->leases.roles[role];

    memset(lease, 0, sizeof(*lease));
    lease->role = role;
    lease->holder = from->holder;
    lease->term = from->term;
    lease->duration_ms = from->holder.text[0] ? LEASE_MS : 0;
    *offset = from->base_offset;
    return from->base_offset > 0;
}

static void
append_lease(struct ct_state *state, enum ct_role role, ct_ms duration_ms)
{
    struct ct_lease_state *lease = &state->leases.roles[role];
    struct ct_record record;
    uint64_t sequence;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_LEASE;
    record.base_offset = lease->base_offset;
    record.u.lease.role = role;
    record.u.lease.holder = state->self.host;
    record.u.lease.duration_ms = duration_ms;
    /* The term that the record continues; 0 starts a new one. */
    record.u.lease.term = lease->own_term;
    sequence = ct_log_append(state, &record, state->now_ms + APPEND_REPEAT_MS);
    if (duration_ms == 0) {
        return;
    }
    if (lease->claim_sequence == 0 ||
        state->now_ms >= lease->claim_sent_ms + LEASE_MS) {
        lease->claim_sequence = sequence;
        lease->claim_sent_ms = state->now_ms;
    }
    lease->claim_repeat_ms = state->now_ms + APPEND_REPEAT_MS;
}

static bool
may_claim(const struct ct_state *state, const struct ct_lease_state *lease)
{
    if (lease->own_term && lease->own_term == lease->term) {
        return lease->valid_until_ms - state->now_ms <=
               LEASE_MS - RENEW_AFTER_MS;
    }
    return state->now_ms >= lease->claim_after_ms;
}

static void
check_role(struct ct_state *state, enum ct_role role, bool call_in_flight)
{
    struct ct_lease_state *lease = &state->leases.roles[role];

    if (lease->held && state->now_ms >= lease->valid_until_ms) {
        int64_t own_term = lease->own_term;

        lose_lease(state, role);
        lease->own_term = own_term;
    }
    if (state->draining) {
        if (lease->held && !call_in_flight) {
            lose_lease(state, role);
            append_lease(state, role, 0);
        }
        return;
    }
    if (lease->claim_sequence && state->now_ms < lease->claim_repeat_ms) {
        return;
    }
    if (may_claim(state, lease)) {
        append_lease(state, role, LEASE_MS);
    }
}

void
ct_leases_on_timer(struct ct_state *state,
                   const bool call_in_flight[CT_ROLE_COUNT])
{
    uint32_t role;

    ct_arm_timer(state, CHECK_PERIOD_MS, CT_TIMER_LEASE, CT_NO_HANDLE);
    if (!state->log.ready ||
        ct_handle_is_none(ct_config_host(&state->config, &state->self.host))) {
        return;
    }
    for (role = 0; role < CT_ROLE_COUNT; role++) {
        check_role(state, (enum ct_role)role, call_in_flight[role]);
    }
}

void
ct_leases_start(struct ct_state *state)
{
    uint32_t role;

    if (state->leases.armed) {
        return;
    }
    state->leases.armed = true;
    for (role = 0; role < CT_ROLE_COUNT; role++) {
        struct ct_lease_state *lease = &state->leases.roles[role];

        if (lease->base_offset == 0) {
            lease->claim_after_ms =
                state->now_ms + RANK_DELAY_MS * (ct_ms)ct_lease_rank(
                                                    state, (enum ct_role)role);
        }
    }
    ct_arm_timer(state, CHECK_PERIOD_MS, CT_TIMER_LEASE, CT_NO_HANDLE);
}

ct_ms
ct_lease_valid_until_ms(const struct ct_state *state, enum ct_role role)
{
    const struct ct_lease_state *lease = &state->leases.roles[role];

    if (!lease->held || state->now_ms >= lease->valid_until_ms) {
        return 0;
    }
    return lease->valid_until_ms;
}

bool
ct_lease_is_current_term(const struct ct_state *state, enum ct_role role,
                         int64_t term)
{
    return term > 0 && state->leases.roles[role].term == term;
}
