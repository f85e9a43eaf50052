#ifndef CT_PART_RECORD_BODY_H
#define CT_PART_RECORD_BODY_H

#include <glib.h>

#include "store-types.h"

/*
 * Records of CT_TOPIC_PROMPT_PARTS. The key is "crashed" or the part's id; the
 * value is JSON, and empty for a part that was answered, which removes the
 * key.
 */

void ct_part_record_key(const struct ct_part_record *record, GString *out);
void ct_part_record_body(const struct ct_part_record *record, GString *out);

/*
 * Errors: those of ct_json_parse(), CT_ERR_INVALID for an unknown key,
 * CT_ERR_FIELD_MISSING, CT_ERR_FIELD_TYPE, CT_ERR_FIELD_RANGE,
 * CT_ERR_TOO_LARGE for too many parts.
 */
int ct_part_record_parse(const char *key, const char *value, size_t n,
                         struct ct_part_record *record);

#endif
