#ifndef CT_INDEX_H
#define CT_INDEX_H

#include <glib.h>

#include "table.h"

/*
 * Hash tables from a key to the handle of a row. Keys are not copied: each is
 * a member of the row that it refers to.
 */

/* Keys are struct ct_digest, struct ct_name or NUL-terminated strings. */
GHashTable *ct_index_new_by_digest(void);
GHashTable *ct_index_new_by_name(void);
GHashTable *ct_index_new_by_text(void);

/* Hash and compare handles that are used as keys. */
guint ct_handle_hash(gconstpointer key);
gboolean ct_handle_equal(gconstpointer a, gconstpointer b);

/* Convert a handle to a value of GLib's containers and back. */
gpointer ct_handle_pack(struct ct_handle handle);
struct ct_handle ct_handle_unpack(gconstpointer value);

/* Returns CT_NO_HANDLE if the index has no such key. */
struct ct_handle ct_index_get(GHashTable *index, gconstpointer key);

/* Adds a key that is not in the index yet. */
void ct_index_add(GHashTable *index, gconstpointer key,
                  struct ct_handle handle);

#endif
