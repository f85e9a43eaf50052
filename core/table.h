#ifndef CT_TABLE_H
#define CT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Rows of one type, addressed by handles. A handle is an index and a
 * generation; the generation changes when the row is freed, so an old handle
 * is detected. Each row holds a reference count.
 *
 * Row pointers stay valid until the row is freed: rows live in blocks that
 * are never moved.
 */

struct ct_handle {
    uint32_t index;
    /* 0 is never a live generation, so a zeroed handle refers to no row. */
    uint32_t generation;
};

#define CT_NO_HANDLE ((struct ct_handle){0, 0})

struct ct_row_meta {
    uint32_t generation;
    uint32_t refs;
    uint32_t next_free;
};

struct ct_table {
    size_t row_size;
    uint32_t max_rows;
    uint32_t used;
    uint32_t live;
    uint32_t first_free;
    struct ct_row_meta *meta;
    uint32_t n_blocks;
    uint8_t **blocks;
    /*
     * Releases what a row owns when its last reference is dropped; may be
     * NULL.
     */
    void (*clear)(void *row);
};

/* max_rows bounds the table; with 0 only the index type bounds it. */
void ct_table_init(struct ct_table *t, size_t row_size, uint32_t max_rows,
                   void (*clear)(void *row));
void ct_table_free(struct ct_table *t);

/*
 * Adds a zeroed row with one reference and stores its handle.
 * Errors: CT_ERR_TABLE_FULL, CT_ERR_NO_MEMORY.
 */
int ct_table_add(struct ct_table *t, struct ct_handle *handle);

/* Returns the row, or NULL if the handle is stale. */
void *ct_table_get(const struct ct_table *t, struct ct_handle handle);

/* Take or drop one reference. Errors: CT_ERR_STALE_HANDLE. */
int ct_table_ref(struct ct_table *t, struct ct_handle handle);
int ct_table_unref(struct ct_table *t, struct ct_handle handle);

/*
 * Iterates over the live rows in index order. Start with *cursor = 0; returns
 * NULL after the last row. Rows may be freed or added during the iteration.
 */
void *ct_table_next(const struct ct_table *t, uint32_t *cursor,
                    struct ct_handle *handle);

/* Returns the number of heap bytes that the table uses. */
size_t ct_table_bytes(const struct ct_table *t);

static inline bool
ct_handle_eq(struct ct_handle a, struct ct_handle b)
{
    return a.index == b.index && a.generation == b.generation;
}

static inline bool
ct_handle_is_none(struct ct_handle handle)
{
    return handle.generation == 0;
}

#endif
