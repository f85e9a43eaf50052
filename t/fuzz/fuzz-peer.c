/* Any bytes are a peer frame or refused; a frame is written the same. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "peer-codec.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct ct_decoded_peer_frame first;
    struct ct_decoded_peer_frame second;
    GByteArray *once = g_byte_array_new();
    GByteArray *twice = g_byte_array_new();

    if (ct_peer_decode(bytes, n, &first) == CT_OK) {
        g_assert_cmpint(ct_peer_encode(&first.frame, once), ==, CT_OK);
        g_assert_cmpint(ct_peer_decode(once->data, once->len, &second), ==,
                        CT_OK);
        g_assert_cmpint(ct_peer_encode(&second.frame, twice), ==, CT_OK);
        g_assert_cmpmem(once->data, once->len, twice->data, twice->len);
        ct_decoded_peer_frame_free(&second);
    }
    ct_decoded_peer_frame_free(&first);
    g_byte_array_unref(once);
    g_byte_array_unref(twice);
    return 0;
}
