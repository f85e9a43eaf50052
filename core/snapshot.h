#ifndef CT_SNAPSHOT_H
#define CT_SNAPSHOT_H

#include "record.h"

/*
 * The agreed state as a list of rows, so that a host can start without the
 * entries that the log has dropped. A snapshot names the offset up to which
 * it holds; entries after that offset still apply.
 */

/* Entries after which a new snapshot is appended. */
#define CT_SNAPSHOT_EVERY_OFFSETS 200

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

/* Appends a snapshot when this host has the duty and one is due. */
void ct_snapshot_maybe_append(struct ct_state *state);

#endif
