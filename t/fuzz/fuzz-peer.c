/*
 * Any bytes are decoded as a peer frame or rejected; encoding a decoded frame
 * is stable.
 */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "peer-codec.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct ct_decoded_peer_frame decoded;
    struct ct_decoded_peer_frame redecoded;
    GByteArray *encoded = g_byte_array_new();
    GByteArray *reencoded = g_byte_array_new();

    if (ct_peer_decode(bytes, n, &decoded) == CT_OK) {
        g_assert_cmpint(ct_peer_encode(&decoded.frame, encoded), ==, CT_OK);
        g_assert_cmpint(
            ct_peer_decode(encoded->data, encoded->len, &redecoded), ==,
            CT_OK);
        g_assert_cmpint(ct_peer_encode(&redecoded.frame, reencoded), ==,
                        CT_OK);
        g_assert_cmpmem(encoded->data, encoded->len, reencoded->data,
                        reencoded->len);
        ct_decoded_peer_frame_free(&redecoded);
    }
    ct_decoded_peer_frame_free(&decoded);
    g_byte_array_unref(encoded);
    g_byte_array_unref(reencoded);
    return 0;
}
