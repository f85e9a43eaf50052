#include "keys.h"

#include <string.h>

#include "error.h"
#include "index.h"

void
ct_keys_init(struct ct_keys *keys)
{
    memset(keys, 0, sizeof(*keys));
    ct_table_init(&keys->rows, sizeof(struct ct_key_row), 0, NULL);
    keys->by_digest = ct_index_new_by_digest();
}

void
ct_keys_free(struct ct_keys *keys)
{
    g_hash_table_destroy(keys->by_digest);
    ct_table_free(&keys->rows);
}

struct ct_handle
ct_keys_find(const struct ct_keys *keys, const struct ct_digest *digest)
{
    return ct_index_get(keys->by_digest, digest);
}

static struct ct_key_row *
find_or_add_key(struct ct_keys *keys, const struct ct_digest *digest)
{
    struct ct_handle handle = ct_keys_find(keys, digest);
    struct ct_key_row *row = ct_table_get(&keys->rows, handle);

    if (row) {
        return row;
    }
    if (ct_table_add(&keys->rows, &handle) < 0) {
        return NULL;
    }
    row = ct_table_get(&keys->rows, handle);
    row->key.digest = *digest;
    ct_index_add(keys->by_digest, &row->key.digest, handle);
    return row;
}

int
ct_keys_grant(struct ct_keys *keys, const struct ct_key *key, int64_t offset)
{
    struct ct_key_row *row = find_or_add_key(keys, &key->digest);
    bool withdrawn;

    if (!row) {
        return CT_ERR_NO_MEMORY;
    }
    if (row->offset) {
        return 0;
    }
    withdrawn = row->key.withdrawn;
    row->key = *key;
    row->key.withdrawn = withdrawn;
    row->offset = offset;
    return 1;
}

int
ct_keys_withdraw(struct ct_keys *keys, const struct ct_digest *digest)
{
    struct ct_key_row *row = find_or_add_key(keys, digest);

    if (!row) {
        return CT_ERR_NO_MEMORY;
    }
    if (row->direct) {
        row->direct = false;
        keys->direct_count--;
    }
    if (row->key.withdrawn) {
        return 0;
    }
    row->key.withdrawn = true;
    return 1;
}

int
ct_keys_withdraw_direct(struct ct_keys *keys, const struct ct_digest *digest)
{
    struct ct_key_row *row = find_or_add_key(keys, digest);

    if (!row) {
        return CT_ERR_NO_MEMORY;
    }
    if (row->key.withdrawn) {
        return 0;
    }
    row->key.withdrawn = true;
    row->direct = true;
    keys->direct_count++;
    return 1;
}

void
ct_keys_replace_begin(struct ct_keys *keys)
{
    struct ct_key_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&keys->rows, &cursor, NULL))) {
        row->in_config = false;
    }
}

int
ct_keys_replace_add(struct ct_keys *keys, const struct ct_config_key *key)
{
    struct ct_key_row *row = find_or_add_key(keys, &key->digest);

    if (!row) {
        return CT_ERR_NO_MEMORY;
    }
    row->key.organisation = key->organisation;
    row->key.withdrawn = false;
    row->offset = 1;
    row->in_config = true;
    return CT_OK;
}

void
ct_keys_replace_end(struct ct_keys *keys)
{
    struct ct_key_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&keys->rows, &cursor, &handle))) {
        if (!row->in_config) {
            g_hash_table_remove(keys->by_digest, &row->key.digest);
            ct_table_unref(&keys->rows, handle);
        }
    }
}

bool
ct_keys_usable(const struct ct_keys *keys, struct ct_handle handle)
{
    const struct ct_key_row *row = ct_table_get(&keys->rows, handle);

    return row && row->offset && !row->key.withdrawn;
}
