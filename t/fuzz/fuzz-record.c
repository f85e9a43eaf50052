/* Any bytes are a record or refused; what is a record is written the same. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "record-codec.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct ct_decoded_record first;
    struct ct_decoded_record second;
    GByteArray *once = g_byte_array_new();
    GByteArray *twice = g_byte_array_new();

    if (ct_record_decode(bytes, n, &first) == CT_OK) {
        g_assert_cmpint(ct_record_encode(&first.record, once), ==, CT_OK);
        g_assert_cmpint(ct_record_decode(once->data, once->len, &second), ==,
                        CT_OK);
        g_assert_cmpint(ct_record_encode(&second.record, twice), ==, CT_OK);
        g_assert_cmpmem(once->data, once->len, twice->data, twice->len);
        ct_decoded_record_free(&second);
    }
    ct_decoded_record_free(&first);
    g_byte_array_unref(once);
    g_byte_array_unref(twice);
    return 0;
}
