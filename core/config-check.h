#ifndef CT_CONFIG_CHECK_H
#define CT_CONFIG_CHECK_H

#include "rows.h"

/*
 * Checks the rows (struct ct_config_row) of a configuration: each item that
 * they refer to must be declared by the same rows.
 * Errors: CT_ERR_REFERENCE_UNKNOWN, CT_ERR_INVALID.
 */
int ct_config_check(struct ct_rows rows);

#endif
