#ifndef CT_LOG_REPLAY_H
#define CT_LOG_REPLAY_H

#include "event.h"

/*
 * Replay of the platform's log. Entries are applied in offset order only, by
 * every host alike; what a record may change is decided by the state that its
 * predecessors left. A record that names an outdated base is rejected by all.
 *
 * Every record can be applied twice or late without harm: configuration and
 * leases by comparing the base offset, keys by tombstones, claims by their
 * horizon, usage by one final record a window.
 */

struct ct_log {
    /* Newest entry that was applied, rejected or skipped. */
    int64_t applied;
    /* Newest offset known to exist, and oldest known to be kept. */
    int64_t head;
    int64_t first;
    /* The log was read to its head at least once. */
    bool ready;
    bool failing;
    /* Looking for a snapshot because older entries are gone. */
    bool seeking_snapshot;
    /* When the newest read that was answered had been sent, monotonic. */
    ct_ms heard_ms;
    /* Base of the newest snapshot in the log, and its own offset. */
    int64_t snapshot_base;
    int64_t snapshot_offset;
    bool snapshot_armed;
    /* Sequence of this host's own records. */
    uint64_t next_sequence;
};

struct ct_state;

void ct_log_on_head(struct ct_state *state, const struct ct_log_head *head);
void ct_log_on_entry(struct ct_state *state, const struct ct_log_entry *entry);
void ct_log_on_failed(struct ct_state *state);

/*
 * State from a peer while the log is down, for a host that starts or that
 * missed the last entries. Older state than the host's own is ignored.
 */
void ct_log_on_peer_state(struct ct_state *state, int64_t offset,
                          struct ct_rows rows);

/*
 * Appends a record of this host and returns its sequence number. Base offset,
 * payload and rows are the caller's; writer, sequence and time are set here.
 */
uint64_t ct_log_append(struct ct_state *state, const struct ct_record *record,
                       ct_ms not_after_ms);

/* Time since the log last answered; CT_MS_NEVER where it never did. */
ct_ms ct_log_age_ms(const struct ct_state *state);

#endif
