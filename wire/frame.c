#include "frame.h"

#include <string.h>

#include "error.h"

void
ct_frame_reader_init(struct ct_frame_reader *reader)
{
    reader->buffer = g_byte_array_new();
    reader->used = 0;
}

void
ct_frame_reader_free(struct ct_frame_reader *reader)
{
    g_clear_pointer(&reader->buffer, g_byte_array_unref);
}

void
ct_frame_reader_push(struct ct_frame_reader *reader, const void *bytes,
                     size_t n)
{
    if (reader->used > 0) {
        g_byte_array_remove_range(reader->buffer, 0, (guint)reader->used);
        reader->used = 0;
    }
    g_byte_array_append(reader->buffer, bytes, (guint)n);
}

int
ct_frame_next(struct ct_frame_reader *reader, const uint8_t **payload,
              size_t *n)
{
    const uint8_t *head = reader->buffer->data + reader->used;
    size_t left = reader->buffer->len - reader->used;
    uint32_t length;

    if (left < CT_FRAME_HEAD_BYTES) {
        return 0;
    }
    memcpy(&length, head, sizeof(length));
    length = GUINT32_FROM_BE(length);
    if (length > CT_FRAME_PAYLOAD_MAX) {
        return CT_ERR_FRAME_TOO_LARGE;
    }
    if (left - CT_FRAME_HEAD_BYTES < length) {
        return 0;
    }
    *payload = head + CT_FRAME_HEAD_BYTES;
    *n = length;
    reader->used += CT_FRAME_HEAD_BYTES + length;
    return 1;
}

guint
ct_frame_begin(GByteArray *out)
{
    guint start = out->len;

    g_byte_array_set_size(out, start + CT_FRAME_HEAD_BYTES);
    return start;
}

int
ct_frame_end(GByteArray *out, guint start)
{
    uint32_t length = out->len - start - CT_FRAME_HEAD_BYTES;

    if (length > CT_FRAME_PAYLOAD_MAX) {
        g_byte_array_set_size(out, start);
        return CT_ERR_FRAME_TOO_LARGE;
    }
    length = GUINT32_TO_BE(length);
    memcpy(out->data + start, &length, sizeof(length));
    return CT_OK;
}
