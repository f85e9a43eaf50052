#ifndef CT_FRAME_H
#define CT_FRAME_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Framing of a byte stream: each frame is a 4-byte big-endian length and the
 * payload. The reader accepts input that is split at any byte.
 */

#define CT_FRAME_HEAD_BYTES 4
#define CT_FRAME_PAYLOAD_MAX (1024 * 1024)

struct ct_frame_reader {
    GByteArray *buffer;
    /* Bytes at the start of the buffer that ct_frame_next() has consumed. */
    size_t used;
};

void ct_frame_reader_init(struct ct_frame_reader *reader);
void ct_frame_reader_free(struct ct_frame_reader *reader);

/* Appends received bytes; payloads from ct_frame_next() become invalid. */
void ct_frame_reader_push(struct ct_frame_reader *reader, const void *bytes,
                          size_t n);

/*
 * Returns 1 and the next payload, or 0 if the frame is incomplete. Errors:
 * CT_ERR_FRAME_TOO_LARGE, returned as soon as the length is known; the stream
 * cannot be read any further then.
 */
int ct_frame_next(struct ct_frame_reader *reader, const uint8_t **payload,
                  size_t *n);

/*
 * To write a frame, call ct_frame_begin(), append the payload to out, and pass
 * the returned value to ct_frame_end(), which fills in the length. Errors of
 * ct_frame_end(): CT_ERR_FRAME_TOO_LARGE; the frame is removed from out then.
 */
guint ct_frame_begin(GByteArray *out);
int ct_frame_end(GByteArray *out, guint start);

#endif
