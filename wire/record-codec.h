#ifndef CT_RECORD_CODEC_H
#define CT_RECORD_CODEC_H

#include <glib.h>

#include "arena.h"
#include "record.h"

/* Log records as protobuf messages. */

/* Longest encoded record. */
#define CT_RECORD_BYTES_MAX (1024 * 1024)

/* The rows of the record live in the arena. */
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
 * on failure. Errors: CT_ERR_DECODE for anything that is not a record whose
 * every field is in range.
 */
int ct_record_decode(const uint8_t *bytes, size_t n,
                     struct ct_decoded_record *out);
void ct_decoded_record_free(struct ct_decoded_record *decoded);

#endif
