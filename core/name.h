#ifndef CT_NAME_H
#define CT_NAME_H

#include <stdbool.h>
#include <stdint.h>

/* Fixed-size strings and digests, so that events and rows are flat values. */

#define CT_NAME_MAX 256
#define CT_PATH_MAX 96
#define CT_CALL_PATH_MAX 512
#define CT_AUTHORITY_MAX 256
#define CT_ADDRESS_MAX 56
#define CT_DIGEST_BYTES 32
#define CT_REQUEST_ID_MAX 40

/*
 * The name of a host, organisation, class, pool, upstream or availability
 * zone, or the key of a store's record; NUL padded.
 */
struct ct_name {
    char text[CT_NAME_MAX];
};

struct ct_path {
    char text[CT_PATH_MAX];
};

/* Path of a relayed call, or a prefix of such paths. */
struct ct_call_path {
    char text[CT_CALL_PATH_MAX];
};

/* Host name of a call or route, see ct_authority_set(). */
struct ct_authority {
    char text[CT_AUTHORITY_MAX];
};

/* "IP:port" */
struct ct_address {
    char text[CT_ADDRESS_MAX];
};

/* SHA-256 of a caller's key or of an idempotency key. */
struct ct_digest {
    uint8_t bytes[CT_DIGEST_BYTES];
};

/* UUIDv7 in text form. */
struct ct_request_id {
    char text[CT_REQUEST_ID_MAX];
};

/*
 * Copies text into a fixed-size field and pads it with NUL bytes.
 * Errors: CT_ERR_TOO_LARGE, which leaves the field empty.
 */
int ct_text_set(char *field, uint32_t size, const char *text);

#define CT_TEXT_SET(field, value)                                             \
    ct_text_set((field).text, sizeof((field).text), (value))

/*
 * Sets the authority to a host name in lower case, since case does not tell
 * host names apart, without a port and the dot of the root.
 * Errors: CT_ERR_TOO_LARGE, which leaves the field empty.
 */
int ct_authority_set(struct ct_authority *authority, const char *host);

bool ct_name_eq(const struct ct_name *a, const struct ct_name *b);
bool ct_digest_eq(const struct ct_digest *a, const struct ct_digest *b);

/*
 * Returns the 64-bit FNV-1a hash of the bytes, with further mixing; used for
 * rendezvous hashing.
 */
uint64_t ct_hash_bytes(uint64_t seed, const void *bytes, uint32_t n);
#define CT_HASH_SEED UINT64_C(14695981039346656037)

/*
 * Hashes and proofs that hosts compare cover a text with its padding up to
 * these sizes, whatever the size of its field: hosts of different versions
 * have to agree on them.
 */
#define CT_NAME_HASH_BYTES_MIN 48
#define CT_PATH_HASH_BYTES_MIN 96

/*
 * Returns the number of bytes of a padded text to hash: its length, but at
 * least min.
 */
uint32_t ct_text_hash_bytes(const char *text, uint32_t min);

/* Returns ct_hash_bytes() of a name. */
uint64_t ct_name_hash(uint64_t seed, const struct ct_name *name);

#endif
