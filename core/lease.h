#ifndef CT_LEASE_H
#define CT_LEASE_H

#include "event.h"

/*
 * Leases through the log, one per role. A record is accepted only if it builds
 * on the last accepted record of its role, so of two claims that race the
 * first in the log wins everywhere.
 *
 * The holder counts its lease from before it sent the append and relies on it
 * only after it has read its record back. All others count from when they read
 * that record and wait longer than the lease before they claim. A process that
 * was suspended for a while finds its lease expired.
 *
 * A term is an unbroken run of leases of one process; its number is the offset
 * of the first record and is the fencing token of orders and reports.
 */

struct ct_lease_state {
    /* Agreed by replay of the log; holder is empty after a release. */
    struct ct_name holder;
    int64_t term;
    /*
     * Offset of the last accepted record, which the next one must name as its
     * base.
     */
    int64_t base_offset;

    /* This host holds the role until this monotonic time. */
    ct_ms valid_until_ms;
    /* The term whose records this process itself wrote; 0 for none. */
    int64_t own_term;
    /* When this host acquired the lease that it holds. */
    ct_ms held_since_ms;
    /* This host does not claim the role before this time. */
    ct_ms claim_after_ms;
    /*
     * Sequence number of the first claim on base_offset in flight; 0 for none.
     */
    uint64_t claim_sequence;
    ct_ms claim_sent_ms;
    ct_ms claim_repeat_ms;
    bool held;
};

struct ct_leases {
    struct ct_lease_state roles[CT_ROLE_COUNT];
    bool armed;
};

struct ct_state;

/*
 * Applies a lease record in log order. Errors: CT_ERR_LOG_LOST_RACE if it does
 * not build on the last accepted one, CT_ERR_INVALID.
 */
int ct_leases_apply(struct ct_state *state, const struct ct_log_entry *entry);

/* Imports a row of a snapshot. Errors: CT_ERR_INVALID. */
int ct_leases_import(struct ct_state *state, const struct ct_lease *lease,
                     int64_t offset);
/* Fills in the row of a role; returns false if it was never claimed. */
bool ct_leases_export(const struct ct_state *state, enum ct_role role,
                      struct ct_lease *lease, int64_t *offset);

/* Starts CT_TIMER_LEASE once the log has been read to its head. */
void ct_leases_start(struct ct_state *state);
/*
 * CT_TIMER_LEASE: renews, claims and, in a drain, releases leases, but none
 * under which a call of this host may still be in flight.
 */
void ct_leases_on_timer(struct ct_state *state,
                        const bool call_in_flight[CT_ROLE_COUNT]);

/*
 * Returns the monotonic end of this host's lease; 0 if the host does not hold
 * the role.
 */
ct_ms ct_lease_valid_until_ms(const struct ct_state *state, enum ct_role role);

/*
 * Whether this is the current term of the role. Replay rejects order and usage
 * records of any other term.
 */
bool ct_lease_is_current_term(const struct ct_state *state, enum ct_role role,
                              int64_t term);

/* Returns how many configured hosts claim the role before this one. */
uint32_t ct_lease_rank(const struct ct_state *state, enum ct_role role);

#endif
