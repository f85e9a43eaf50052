#ifndef CT_LOG_REPLAY_H
#define CT_LOG_REPLAY_H

#include "event.h"

/*
 * Replay of the platform's log. Every host applies the entries in offset
 * order, and the state that the earlier records produced decides what a record
 * may change. All hosts reject a record that names an outdated base.
 *
 * Every record can be applied twice or late without harm: configuration and
 * leases compare the base offset, keys have tombstones, claims a horizon, and
 * usage has one final record for each window.
 */

struct ct_log {
    /* Newest entry that was applied, rejected or skipped. */
    int64_t applied;
    /* Newest offset known to exist, and oldest known to be retained. */
    int64_t head;
    int64_t first;
    /* The log was read to its head at least once. */
    bool ready;
    bool failing;
    /*
     * Reading the log for a snapshot, because the log no longer holds the
     * entry after the newest applied one.
     */
    bool seeking_snapshot;
    /* Monotonic time at which the newest successful read was sent. */
    ct_ms last_read_sent_ms;
    /* Base of the newest snapshot in the log, and its own offset. */
    int64_t snapshot_base;
    int64_t snapshot_offset;
    bool snapshot_armed;
    /* Sequence number of this host's last record. */
    uint64_t next_sequence;
};

struct ct_state;

void ct_log_on_head(struct ct_state *state, const struct ct_log_head *head);
void ct_log_on_entry(struct ct_state *state, const struct ct_log_entry *entry);
void ct_log_on_failed(struct ct_state *state);

/*
 * Applies the state of a peer while the log is down, for a host that starts or
 * that missed the last entries. State older than the host's own is ignored.
 */
void ct_log_on_peer_state(struct ct_state *state, int64_t offset,
                          struct ct_rows rows);

#endif
