#ifndef CT_FRAME_H
#define CT_FRAME_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Frames on a byte stream: a 4-byte big-endian length and the payload. The
 * reader takes bytes in pieces of any size.
 */

#define CT_FRAME_HEAD_BYTES 4
#define CT_FRAME_PAYLOAD_MAX (1024 * 1024)

struct ct_frame_reader {
    GByteArray *buffer;
    /* Bytes at the start of the buffer that were already returned. */
    size_t used;
};

void ct_frame_reader_init(struct ct_frame_reader *reader);
void ct_frame_reader_free(struct ct_frame_reader *reader);

/* Takes received bytes. Pointers from ct_frame_next() become invalid. */
void ct_frame_reader_push(struct ct_frame_reader *reader, const void *bytes,
                          size_t n);

/*
 * Returns 1 and the next payload, or 0 while it is not complete. Errors:
 * CT_ERR_FRAME_TOO_LARGE, as soon as the length is known; the stream is then
 * of no use.
 */
int ct_frame_next(struct ct_frame_reader *reader, const uint8_t **payload,
                  size_t *n);

/*
 * Start a frame, append its payload to out, then end it with the value that
 * ct_frame_begin() returned. Errors of ct_frame_end():
 * CT_ERR_FRAME_TOO_LARGE; out is then as before ct_frame_begin().
 */
guint ct_frame_begin(GByteArray *out);
int ct_frame_end(GByteArray *out, guint start);

#endif
