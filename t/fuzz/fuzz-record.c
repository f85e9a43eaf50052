/*
 * Any bytes are decoded as a record or rejected; encoding a decoded record is
 * stable.
 */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "record-codec.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct ct_decoded_record decoded;
    struct ct_decoded_record redecoded;
    GByteArray *encoded = g_byte_array_new();
    GByteArray *reencoded = g_byte_array_new();

    if (ct_record_decode(bytes, n, &decoded) == CT_OK) {
        g_assert_cmpint(ct_record_encode(&decoded.record, encoded), ==, CT_OK);
        g_assert_cmpint(
            ct_record_decode(encoded->data, encoded->len, &redecoded), ==,
            CT_OK);
        g_assert_cmpint(ct_record_encode(&redecoded.record, reencoded), ==,
                        CT_OK);
        g_assert_cmpmem(encoded->data, encoded->len, reencoded->data,
                        reencoded->len);
        ct_decoded_record_free(&redecoded);
    }
    ct_decoded_record_free(&decoded);
    g_byte_array_unref(encoded);
    g_byte_array_unref(reencoded);
    return 0;
}
