#ifndef CT_RECORD_CODEC_H
#define CT_RECORD_CODEC_H

#include <glib.h>

#include "arena.h"
#include "record.h"

/* Log records as protobuf messages. */

/* Largest size of an encoded record. */
#define CT_RECORD_BYTES_MAX (1024 * 1024)

/* The arena holds the rows of the record. */
struct ct_decoded_record {
    struct ct_record record;
    struct ct_arena arena;
};

/*
 * Appends the encoded record. Errors: CT_ERR_INVALID for an unknown type,
 * CT_ERR_TOO_LARGE, CT_ERR_NO_MEMORY.
 */
int ct_record_encode(const struct ct_record *record, GByteArray *out);

/*
 * Decodes one record. The caller frees it with ct_decoded_record_free(), also
 * on failure. Errors: CT_ERR_DECODE if the bytes are not a record or if a
 * field of it is out of range.
 */
int ct_record_decode(const uint8_t *bytes, size_t n,
                     struct ct_decoded_record *out);
void ct_decoded_record_free(struct ct_decoded_record *decoded);

#endif
