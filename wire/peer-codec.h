#ifndef CT_PEER_CODEC_H
#define CT_PEER_CODEC_H

#include <glib.h>

#include "arena.h"
#include "peer-message.h"

/* Payloads of the frames on links between hosts; frame.h does the framing. */

#define CT_NONCE_BYTES 32
#define CT_HMAC_BYTES 32

enum ct_peer_frame_kind {
    CT_PEER_FRAME_HELLO = 1,
    CT_PEER_FRAME_PROOF,
    CT_PEER_FRAME_MESSAGE,
};

/* First frame in both directions. */
struct ct_hello {
    struct ct_name host;
    struct ct_name zone;
    uint8_t nonce[CT_NONCE_BYTES];
};

/* Second frame in both directions: proves knowledge of the shared secret. */
struct ct_proof {
    uint8_t hmac[CT_HMAC_BYTES];
};

struct ct_peer_frame {
    enum ct_peer_frame_kind kind;
    union {
        struct ct_hello hello;
        struct ct_proof proof;
        struct ct_peer_message message;
    } u;
};

/* The arena holds the rows of a message. */
struct ct_decoded_peer_frame {
    struct ct_peer_frame frame;
    struct ct_arena arena;
};

/* Appends the encoded payload. Errors: CT_ERR_INVALID, CT_ERR_NO_MEMORY. */
int ct_peer_encode(const struct ct_peer_frame *frame, GByteArray *out);

/*
 * Decodes one payload. The caller frees it with ct_decoded_peer_frame_free(),
 * also on failure. Errors: CT_ERR_DECODE.
 */
int ct_peer_decode(const uint8_t *bytes, size_t n,
                   struct ct_decoded_peer_frame *out);
void ct_decoded_peer_frame_free(struct ct_decoded_peer_frame *decoded);

#endif
