#ifndef CT_LOAD_BODY_H
#define CT_LOAD_BODY_H

#include <stddef.h>

#include "event.h"

/*
 * Parses an engine's load report; does not set the name of the upstream.
 * Errors: CT_ERR_JSON_SYNTAX, CT_ERR_FIELD_DOUBLED, CT_ERR_FIELD_MISSING,
 * CT_ERR_FIELD_TYPE, CT_ERR_FIELD_RANGE.
 */
int ct_load_body_parse(const char *text, size_t n,
                       struct ct_load_report *report);

#endif
