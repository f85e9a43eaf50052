#ifndef CT_LOG_VIEW_H
#define CT_LOG_VIEW_H

#include "arguments.h"
#include "state.h"

/*
 * The state that the log agrees on, as a host would have it: entries are read
 * and given to the reducer. Of its effects only the wish to read from another
 * offset is followed; the view is no host and has no duties.
 */
struct ct_log_view {
    struct ct_state *state;
    struct ct_effects effects;
    const char *platform;
    ct_ms timeout_ms;
    int64_t next_offset;
    /* Sequence of the record last appended, and where it was read back. */
    uint64_t sequence;
    int64_t own_offset;
    /* Configuration in force right after the own record was applied. */
    int64_t config_after;
};

/*
 * Reads the log to its head. The caller closes the view, also on failure.
 * Errors: CT_ERR_LOG_UNAVAILABLE, CT_ERR_NO_MEMORY.
 */
int ct_log_view_open(struct ct_log_view *view,
                     const struct ct_arguments *arguments);
void ct_log_view_close(struct ct_log_view *view);

/*
 * Appends a record and reads it back, which sets own_offset and config_after.
 * The record's writer, sequence and time are set here. Where the answer was
 * lost, the log is read for the record until the time-out.
 * Errors: CT_ERR_LOG_UNAVAILABLE where nothing was appended, CT_ERR_TIMEOUT
 * where the record was sent but not found yet, errors of ct_append_body().
 */
int ct_log_view_append(struct ct_log_view *view, struct ct_record *record);

#endif
