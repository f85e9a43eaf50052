#include "name.h"

#include <string.h>

#include <glib.h>

#include "error.h"

#define FNV_PRIME UINT64_C(1099511628211)

int
ct_text_set(char *field, uint32_t size, const char *text)
{
    size_t n = strlen(text);

    memset(field, 0, size);
    if (n >= size) {
        return CT_ERR_TOO_LARGE;
    }
    memcpy(field, text, n + 1);
    return CT_OK;
}

int
ct_authority_set(struct ct_authority *authority, const char *host)
{
    /* The colons of an IPv6 number in brackets are no ports. */
    size_t n = host[0] == '[' ? strcspn(host, "]") : strcspn(host, ":");

    memset(authority, 0, sizeof(*authority));
    if (n > 0 && host[n - 1] == '.') {
        n--;
    }
    if (n >= sizeof(authority->text)) {
        return CT_ERR_TOO_LARGE;
    }
    for (size_t i = 0; i < n; i++) {
        authority->text[i] = g_ascii_tolower(host[i]);
    }
    return CT_OK;
}

bool
ct_name_eq(const struct ct_name *a, const struct ct_name *b)
{
    return strncmp(a->text, b->text, sizeof(a->text)) == 0;
}

bool
ct_digest_eq(const struct ct_digest *a, const struct ct_digest *b)
{
    return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

uint64_t
ct_hash_bytes(uint64_t seed, const void *bytes, uint32_t n)
{
    const uint8_t *p = bytes;
    uint64_t h = seed;
    uint32_t i;

    for (i = 0; i < n; i++) {
        h = (h ^ p[i]) * FNV_PRIME;
    }
    /* FNV mixes the high bits poorly for short inputs; mix them further. */
    h ^= h >> 33;
    h *= UINT64_C(0xff51afd7ed558ccd);
    h ^= h >> 33;
    return h;
}

uint32_t
ct_text_hash_bytes(const char *text, uint32_t min)
{
    size_t n = strlen(text);

    return n > min ? (uint32_t)n : min;
}

uint64_t
ct_name_hash(uint64_t seed, const struct ct_name *name)
{
    return ct_hash_bytes(
        seed, name->text,
        ct_text_hash_bytes(name->text, CT_NAME_HASH_BYTES_MIN));
}
