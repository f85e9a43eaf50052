#include "index.h"

#include <string.h>

#include "name.h"

static guint
digest_hash(gconstpointer key)
{
    guint h;

    /* The bytes of a digest are uniformly distributed. */
    memcpy(&h, key, sizeof(h));
    return h;
}

static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
    return ct_digest_eq(a, b);
}

static guint
name_hash(gconstpointer key)
{
    const struct ct_name *name = key;

    return g_str_hash(name->text);
}

static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
    return ct_name_eq(a, b);
}

GHashTable *
ct_index_new_by_digest(void)
{
    return g_hash_table_new(digest_hash, digest_equal);
}

GHashTable *
ct_index_new_by_name(void)
{
    return g_hash_table_new(name_hash, name_equal);
}

GHashTable *
ct_index_new_by_text(void)
{
    return g_hash_table_new(g_str_hash, g_str_equal);
}

gpointer
ct_handle_pack(struct ct_handle handle)
{
    return GSIZE_TO_POINTER((gsize)handle.index << 32 | handle.generation);
}

struct ct_handle
ct_handle_unpack(gconstpointer value)
{
    gsize packed = GPOINTER_TO_SIZE(value);

    return (struct ct_handle){(uint32_t)(packed >> 32), (uint32_t)packed};
}

struct ct_handle
ct_index_get(GHashTable *index, gconstpointer key)
{
    return ct_handle_unpack(g_hash_table_lookup(index, key));
}

void
ct_index_add(GHashTable *index, gconstpointer key, struct ct_handle handle)
{
    g_hash_table_insert(index, (gpointer)key, ct_handle_pack(handle));
}

guint
ct_handle_hash(gconstpointer key)
{
    const struct ct_handle *handle = key;

    return handle->index * 31u + handle->generation;
}

gboolean
ct_handle_equal(gconstpointer a, gconstpointer b)
{
    return ct_handle_eq(*(const struct ct_handle *)a,
                        *(const struct ct_handle *)b);
}
