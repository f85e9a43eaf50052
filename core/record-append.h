#ifndef CT_RECORD_APPEND_H
#define CT_RECORD_APPEND_H

#include "record.h"

/* Appends to the platform's log, and the age of what was read from it. */

struct ct_state;

/*
 * Appends a record of this host and returns its sequence number. The caller
 * sets base offset, payload and rows; the function sets writer, sequence
 * number and time.
 */
uint64_t ct_log_append(struct ct_state *state, const struct ct_record *record,
                       ct_ms not_after_ms);

/*
 * Returns the time since the newest successful read was sent; CT_MS_NEVER if
 * there was none.
 */
ct_ms ct_log_age_ms(const struct ct_state *state);

#endif
