#ifndef CT_UUID_H
#define CT_UUID_H

#include "clock.h"
#include "name.h"

/* UUIDs of version 7 (RFC 9562): request ids and idempotency keys. */

#define CT_UUID7_RANDOM_BYTES 10

void ct_uuid7_format(ct_ms wall_ms,
                     const uint8_t random[CT_UUID7_RANDOM_BYTES],
                     struct ct_request_id *id);

/*
 * Extracts the timestamp of a UUIDv7 in text form.
 * Errors: CT_ERR_INVALID for any other text.
 */
int ct_uuid7_parse(const char *text, ct_ms *wall_ms);

#endif
