#ifndef CT_SNAPSHOT_H
#define CT_SNAPSHOT_H

#include "record.h"

/*
 * The replicated state as a list of rows, from which a host can start without
 * the entries that the log has dropped. A snapshot names the offset up to
 * which it was taken; the entries after that offset are applied to it.
 */

struct ct_peer_message;
struct ct_state;

/* Returns the rows of a snapshot of the state; free with g_free(). */
struct ct_snapshot_row *ct_snapshot_export(const struct ct_state *state,
                                           uint32_t *n);

/* CT_PEER_STATE_REQUEST: sends the state to the peer, if the log was read. */
void ct_snapshot_on_state_request(struct ct_state *state,
                                  const struct ct_peer_message *message);

/*
 * Replaces the replicated state by that of a snapshot taken at offset.
 * Errors: CT_ERR_INVALID for rows of an unknown kind, errors of the modules.
 */
int ct_snapshot_import(struct ct_state *state, int64_t offset,
                       struct ct_rows rows);

/*
 * Called after an entry was applied or the log's offsets were read: if a new
 * snapshot is due, arms CT_TIMER_SNAPSHOT with a random delay. Every host does
 * so, but only the first one writes: the others read its record before their
 * delay ends.
 *
 * A snapshot is due if a quarter of the retained entries are newer than the
 * last one, or if the last one is itself in the oldest quarter of the log.
 */
void ct_snapshot_check(struct ct_state *state);

/* CT_TIMER_SNAPSHOT */
void ct_snapshot_on_timer(struct ct_state *state);

#endif
