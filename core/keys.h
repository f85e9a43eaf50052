#ifndef CT_KEYS_H
#define CT_KEYS_H

#include <glib.h>

#include "config-row.h"
#include "record.h"
#include "table.h"

/*
 * Callers' keys, by digest. A withdrawal is final: the row stays as a
 * tombstone, so a grant that lands in the log later cannot revive the key.
 */

struct ct_key_row {
    struct ct_key key;
    /* Offset of the grant; 0 where only a withdrawal was seen. */
    int64_t offset;
    /* Named by the configuration that is being taken over. */
    bool named;
    /* Withdrawn by an operator directly; the log may not know it yet. */
    bool direct;
};

struct ct_keys {
    struct ct_table rows;
    GHashTable *by_digest;
    uint32_t direct_count;
};

void ct_keys_init(struct ct_keys *keys);
void ct_keys_free(struct ct_keys *keys);

/*
 * Apply records of the log. Return 1 where the state changed, 0 where the
 * record repeats what is known. Errors: CT_ERR_NO_MEMORY.
 */
int ct_keys_grant(struct ct_keys *keys, const struct ct_key *key,
                  int64_t offset);
int ct_keys_withdraw(struct ct_keys *keys, const struct ct_digest *digest);

/* A withdrawal that did not come through the log. Returns as above. */
int ct_keys_withdraw_direct(struct ct_keys *keys,
                            const struct ct_digest *digest);

/*
 * Takes over the keys of a configuration that names all of them: begin,
 * assign each, end. A key that is not named is forgotten. Errors:
 * CT_ERR_NO_MEMORY.
 */
void ct_keys_begin(struct ct_keys *keys);
int ct_keys_assign(struct ct_keys *keys, const struct ct_config_key *key);
void ct_keys_end(struct ct_keys *keys);

/* CT_NO_HANDLE for a key that was never granted nor withdrawn. */
struct ct_handle ct_keys_find(const struct ct_keys *keys,
                              const struct ct_digest *digest);

/* Whether the key of this row may be used now. */
bool ct_keys_usable(const struct ct_keys *keys, struct ct_handle handle);

#endif
