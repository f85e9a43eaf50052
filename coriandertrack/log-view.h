#ifndef CT_LOG_VIEW_H
#define CT_LOG_VIEW_H

#include "arguments.h"
#include "state.h"

/*
 * The state that results from the log, as on a host: entries are read and
 * passed to the reducer. Of its effects only CT_EFFECT_READ_LOG is used, which
 * sets the offset to read from; the view is not a host and has no duties.
 */
struct ct_log_view {
    struct ct_state *state;
    struct ct_effects effects;
    const char *platform;
    ct_ms timeout_ms;
    int64_t next_offset;
    /*
     * Sequence number and offset of the last appended record; the offset is 0
     * until the record is read back.
     */
    uint64_t sequence;
    int64_t appended_offset;
    /* Offset of the configuration in force once that record was applied. */
    int64_t config_offset_after;
};

/*
 * Reads the log to its head. The caller closes the view, also on failure.
 * Errors: CT_ERR_LOG_UNAVAILABLE, CT_ERR_NO_MEMORY.
 */
int ct_log_view_open(struct ct_log_view *view,
                     const struct ct_arguments *arguments);
void ct_log_view_close(struct ct_log_view *view);

/*
 * Appends a record and reads it back, which sets appended_offset and
 * config_offset_after. The record's writer, sequence and time are set here. If
 * the response is lost, the log is read until the record is found or the
 * timeout expires. Errors: CT_ERR_LOG_UNAVAILABLE if nothing was appended,
 * CT_ERR_TIMEOUT if the record was sent but not found, those of
 * ct_append_body().
 */
int ct_log_view_append(struct ct_log_view *view, struct ct_record *record);

#endif
