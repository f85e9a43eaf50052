/*
 * The frames read from a stream do not depend on how it is split into pieces.
 * The first byte of the input sets the length of the pieces.
 */
#include <glib.h>

#include "frame.h"

/* Returns a hash over all frames, so that two reads can be compared. */
static guint
hash_frames(const uint8_t *bytes, size_t n, size_t piece)
{
    struct ct_frame_reader reader;
    const uint8_t *payload;
    size_t length;
    guint hash = 5381;
    int result = 0;

    ct_frame_reader_init(&reader);
    for (size_t offset = 0; offset < n && result >= 0; offset += piece) {
        ct_frame_reader_push(&reader, bytes + offset, MIN(piece, n - offset));
        while ((result = ct_frame_next(&reader, &payload, &length)) == 1) {
            hash = hash * 33 + (guint)length;
            for (size_t i = 0; i < length; i++) {
                hash = hash * 33 + payload[i];
            }
        }
    }
    ct_frame_reader_free(&reader);
    return hash * 33 + (guint)(result < 0);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    if (n < 2) {
        return 0;
    }
    g_assert_cmpuint(hash_frames(bytes + 1, n - 1, n), ==,
                     hash_frames(bytes + 1, n - 1, 1 + bytes[0] % 16));
    return 0;
}
