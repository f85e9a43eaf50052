#ifndef CT_SNAPSHOT_H
#define CT_SNAPSHOT_H

#include "record.h"

/*
 * The agreed state as a list of rows, so that a host can start without the
 * entries that the log has dropped. A snapshot names the offset up to which
 * it holds; entries after that offset still apply.
 */

struct ct_state;

/* All rows; free with g_free(). */
struct ct_snapshot_row *ct_snapshot_export(const struct ct_state *state,
                                           uint32_t *n);

/*
 * Replaces the agreed state by that of a snapshot which holds up to offset.
 * Errors: CT_ERR_INVALID for rows of an unknown kind, errors of the modules.
 */
int ct_snapshot_import(struct ct_state *state, int64_t offset,
                       struct ct_rows rows);

/*
 * Looks, after an entry was applied or the log told its bounds, whether a new
 * snapshot is due, and arms CT_TIMER_SNAPSHOT. Every host does so after a
 * random delay; the first record that is read saves the others theirs.
 *
 * Due means: a quarter of what the log keeps lies behind the last one, or the
 * last one itself is in the oldest quarter.
 */
void ct_snapshot_check(struct ct_state *state);

/* CT_TIMER_SNAPSHOT */
void ct_snapshot_on_timer(struct ct_state *state);

#endif
