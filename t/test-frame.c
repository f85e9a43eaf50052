/* Tests of frame.h: input in pieces of any size, and the payload limit. */
#include <glib.h>
#include <string.h>

#include "error.h"
#include "frame.h"

static void
add_frame(GByteArray *out, guint n)
{
    guint start = ct_frame_begin(out);
    guint offset = out->len;

    g_byte_array_set_size(out, offset + n);
    memset(out->data + offset, (int)(n & 0xff), n);
    g_assert_cmpint(ct_frame_end(out, start), ==, CT_OK);
}

static void
test_pieces(void)
{
    static const guint sizes[] = {0, 1, 300, 0, 5000, CT_FRAME_PAYLOAD_MAX};
    static const gsize pieces[] = {1, 3, 4, 5, 4096, 2 * CT_FRAME_PAYLOAD_MAX};
    GByteArray *stream = g_byte_array_new();

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        add_frame(stream, sizes[i]);
    }
    for (size_t i = 1; i < G_N_ELEMENTS(pieces); i++) {
        struct ct_frame_reader reader;
        const uint8_t *payload;
        size_t n_frames = 0;
        size_t n;

        ct_frame_reader_init(&reader);
        /* Small pieces only for the small frames, to limit the run time. */
        for (gsize offset = 0; offset < stream->len;) {
            gsize piece = offset > 6000 ? 65536 : pieces[i];

            piece = MIN(piece, stream->len - offset);
            ct_frame_reader_push(&reader, stream->data + offset, piece);
            offset += piece;
            while (ct_frame_next(&reader, &payload, &n) == 1) {
                g_assert_cmpuint(n, ==, sizes[n_frames]);
                g_assert_true(n == 0 || payload[n - 1] == (n & 0xff));
                n_frames++;
            }
        }
        g_assert_cmpuint(n_frames, ==, G_N_ELEMENTS(sizes));
        ct_frame_reader_free(&reader);
    }
    g_byte_array_unref(stream);
}

static void
test_payload_limit(void)
{
    static const uint8_t head[] = {0x00, 0x10, 0x00, 0x01};
    GByteArray *out = g_byte_array_new();
    struct ct_frame_reader reader;
    const uint8_t *payload;
    guint start;
    size_t n;

    ct_frame_reader_init(&reader);
    ct_frame_reader_push(&reader, head, 3);
    g_assert_cmpint(ct_frame_next(&reader, &payload, &n), ==, 0);
    ct_frame_reader_push(&reader, head + 3, 1);
    g_assert_cmpint(ct_frame_next(&reader, &payload, &n), ==,
                    CT_ERR_FRAME_TOO_LARGE);
    ct_frame_reader_free(&reader);

    add_frame(out, 5);
    start = ct_frame_begin(out);
    g_byte_array_set_size(out, out->len + CT_FRAME_PAYLOAD_MAX + 1);
    g_assert_cmpint(ct_frame_end(out, start), ==, CT_ERR_FRAME_TOO_LARGE);
    g_assert_cmpuint(out->len, ==, CT_FRAME_HEAD_BYTES + 5);
    g_byte_array_unref(out);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/frame/pieces", test_pieces);
    g_test_add_func("/frame/payload-limit", test_payload_limit);
    return g_test_run();
}
