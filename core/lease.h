#ifndef CT_LEASE_H
#define CT_LEASE_H

#include "event.h"

/*
 * Leases through the log, one a role. A record is accepted only if it builds
 * on the last accepted record of its role, so of two claims that race the
 * first in the log wins everywhere.
 *
 * The holder counts its lease from before it sent the append and believes
 * only after it has read its record back. All others count from when they
 * read that record and wait longer than the lease before they claim. A
 * process that was stopped for a while finds its lease gone.
 *
 * A term is an unbroken run of leases of one process; its number is the
 * offset of the first record and fences orders and reports.
 */

struct ct_lease_state {
    /* Agreed by replay; holder is empty after a release. */
    struct ct_name holder;
    int64_t term;
    /* Last accepted record, on which the next one has to build. */
    int64_t base_offset;

    /* This host's belief: it may act before this monotonic time. */
    ct_ms valid_until_ms;
    /* The term whose records this process itself wrote; 0 for none. */
    int64_t own_term;
    /* When this host took its term over. */
    ct_ms taken_ms;
    /* Before this time this host does not claim. */
    ct_ms claim_after_ms;
    /* Claims on base_offset on their way; the first of them, 0 for none. */
    uint64_t claim_sequence;
    ct_ms claim_sent_ms;
    ct_ms claim_repeat_ms;
    bool believed;
};

struct ct_leases {
    struct ct_lease_state roles[CT_ROLE_COUNT];
    bool armed;
};

struct ct_state;

/*
 * Applies a lease record in log order. Errors: CT_ERR_LOG_LOST_RACE where it
 * does not build on the last accepted one, CT_ERR_INVALID.
 */
int ct_leases_apply(struct ct_state *state, const struct ct_log_entry *entry);

/* Takes over a row of a snapshot. Errors: CT_ERR_INVALID. */
int ct_leases_import(struct ct_state *state, const struct ct_lease *lease,
                     int64_t offset);
/* Fills the row of a role; false where the role was never claimed. */
bool ct_leases_export(const struct ct_state *state, enum ct_role role,
                      struct ct_lease *lease, int64_t *offset);

/* Starts CT_TIMER_LEASE once the log was read to its head. */
void ct_leases_start(struct ct_state *state);
/* CT_TIMER_LEASE: renews, claims and, in a drain, releases. */
void ct_leases_on_timer(struct ct_state *state);

/* End of this host's belief, monotonic; 0 where it does not hold the role. */
ct_ms ct_lease_valid_until_ms(const struct ct_state *state, enum ct_role role);

/* Replay rule for records of a holder: is this the accepted term? */
bool ct_lease_is_term(const struct ct_state *state, enum ct_role role,
                      int64_t term);

/* How many configured hosts come before this one in claiming the role. */
uint32_t ct_lease_rank(const struct ct_state *state, enum ct_role role);

#endif
