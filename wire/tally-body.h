#ifndef CT_TALLY_BODY_H
#define CT_TALLY_BODY_H

#include <glib.h>

#include "store-types.h"

/* A process's tally, or the final figures of a window, as JSON. */

/* rows: struct ct_tally_row */
void ct_tally_body(const struct ct_tally *tally, struct ct_rows rows,
                   GString *out);

/*
 * Fills in the tally except its offset, and appends struct ct_tally_row to
 * rows. Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_DOUBLED,
 * CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE, CT_ERR_FIELD_RANGE,
 * CT_ERR_TOO_LARGE.
 */
int ct_tally_body_parse(const char *text, size_t n, struct ct_tally *tally,
                        GArray *rows);

#endif
