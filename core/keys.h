#ifndef CT_KEYS_H
#define CT_KEYS_H

#include <glib.h>

#include "config-row.h"
#include "record.h"
#include "table.h"

/*
 * Callers' keys, by digest. A withdrawal recorded in the log or by an operator
 * is final: the row stays as a tombstone, so that a grant later in the log
 * cannot make the key valid again.
 */

struct ct_key_row {
    struct ct_key key;
    /* Offset of the grant; 0 if only a withdrawal was read. */
    int64_t offset;
    /* Named by the configuration that is being applied. */
    bool in_config;
    /* Withdrawn by an operator directly; not yet read from the log. */
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
 * Apply records of the log. Return 1 if the state changed, 0 if the record
 * repeats an earlier one. Errors: CT_ERR_NO_MEMORY.
 */
int ct_keys_grant(struct ct_keys *keys, const struct ct_key *key,
                  int64_t offset);
int ct_keys_withdraw(struct ct_keys *keys, const struct ct_digest *digest);

/* Applies a withdrawal that was not read from the log. Returns as above. */
int ct_keys_withdraw_direct(struct ct_keys *keys,
                            const struct ct_digest *digest);

/*
 * Replace all keys by those of a configuration: call ct_keys_replace_begin(),
 * then ct_keys_replace_add() for each key, then ct_keys_replace_end(), which
 * removes the keys that were not added. Errors: CT_ERR_NO_MEMORY.
 */
void ct_keys_replace_begin(struct ct_keys *keys);
int ct_keys_replace_add(struct ct_keys *keys, const struct ct_config_key *key);
void ct_keys_replace_end(struct ct_keys *keys);

/* Returns CT_NO_HANDLE for a key that was neither granted nor withdrawn. */
struct ct_handle ct_keys_find(const struct ct_keys *keys,
                              const struct ct_digest *digest);

/* Whether the key was granted and not withdrawn. */
bool ct_keys_usable(const struct ct_keys *keys, struct ct_handle handle);

#endif
