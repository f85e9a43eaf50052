#include "table.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"

#define ROWS_PER_BLOCK 64
#define NO_INDEX UINT32_MAX

void
ct_table_init(struct ct_table *t, size_t row_size, uint32_t max_rows,
              void (*clear)(void *row))
{
    memset(t, 0, sizeof(*t));
    t->row_size = (row_size + 7) & ~(size_t)7;
    t->max_rows = max_rows ? max_rows : NO_INDEX - 1;
    t->first_free = NO_INDEX;
    t->clear = clear;
}

static void *
row_at(const struct ct_table *t, uint32_t index)
{
    uint8_t *block = t->blocks[index / ROWS_PER_BLOCK];

    return block + (index % ROWS_PER_BLOCK) * t->row_size;
}

void
ct_table_free(struct ct_table *t)
{
    uint32_t i;

    for (i = 0; i < t->used; i++) {
        if (t->meta[i].refs && t->clear) {
            t->clear(row_at(t, i));
        }
    }
    for (i = 0; i < t->n_blocks; i++) {
        free(t->blocks[i]);
    }
    free(t->blocks);
    free(t->meta);
    memset(t, 0, sizeof(*t));
    t->first_free = NO_INDEX;
}

static int
add_block(struct ct_table *t)
{
    uint32_t n = t->n_blocks + 1;
    struct ct_row_meta *meta;
    uint8_t **blocks;
    uint8_t *block;

    blocks = realloc(t->blocks, n * sizeof(*blocks));
    if (!blocks) {
        return CT_ERR_NO_MEMORY;
    }
    t->blocks = blocks;
    meta = realloc(t->meta, (size_t)n * ROWS_PER_BLOCK * sizeof(*meta));
    if (!meta) {
        return CT_ERR_NO_MEMORY;
    }
    t->meta = meta;
    block = calloc(ROWS_PER_BLOCK, t->row_size);
    if (!block) {
        return CT_ERR_NO_MEMORY;
    }
    t->blocks[t->n_blocks] = block;
    memset(meta + (size_t)t->n_blocks * ROWS_PER_BLOCK, 0,
           ROWS_PER_BLOCK * sizeof(*meta));
    t->n_blocks = n;
    return CT_OK;
}

static int
allocate_index(struct ct_table *t, uint32_t *index)
{
    int err;

    if (t->first_free != NO_INDEX) {
        *index = t->first_free;
        t->first_free = t->meta[*index].next_free;
        return CT_OK;
    }
    if (t->used >= t->max_rows) {
        return CT_ERR_TABLE_FULL;
    }
    if (t->used == t->n_blocks * ROWS_PER_BLOCK) {
        err = add_block(t);
        if (err < 0) {
            return err;
        }
    }
    *index = t->used++;
    return CT_OK;
}

int
ct_table_add(struct ct_table *t, struct ct_handle *handle)
{
    struct ct_row_meta *meta;
    uint32_t index;
    int err;

    err = allocate_index(t, &index);
    if (err < 0) {
        return err;
    }
    meta = &t->meta[index];
    if (meta->generation == 0) {
        meta->generation = 1;
    }
    meta->refs = 1;
    memset(row_at(t, index), 0, t->row_size);
    t->live++;
    handle->index = index;
    handle->generation = meta->generation;
    return CT_OK;
}

static struct ct_row_meta *
live_meta(const struct ct_table *t, struct ct_handle handle)
{
    struct ct_row_meta *meta;

    if (handle.generation == 0 || handle.index >= t->used) {
        return NULL;
    }
    meta = &t->meta[handle.index];
    if (meta->refs == 0 || meta->generation != handle.generation) {
        return NULL;
    }
    return meta;
}

void *
ct_table_get(const struct ct_table *t, struct ct_handle handle)
{
    return live_meta(t, handle) ? row_at(t, handle.index) : NULL;
}

int
ct_table_ref(struct ct_table *t, struct ct_handle handle)
{
    struct ct_row_meta *meta = live_meta(t, handle);

    if (!meta) {
        return CT_ERR_STALE_HANDLE;
    }
    meta->refs++;
    return CT_OK;
}

int
ct_table_unref(struct ct_table *t, struct ct_handle handle)
{
    struct ct_row_meta *meta = live_meta(t, handle);

    if (!meta) {
        return CT_ERR_STALE_HANDLE;
    }
    if (meta->refs > 1) {
        meta->refs--;
        return CT_OK;
    }
    if (t->clear) {
        t->clear(row_at(t, handle.index));
    }
    /* clear() may have added rows and moved the meta array. */
    meta = &t->meta[handle.index];
    meta->refs = 0;
    if (++meta->generation == 0) {
        meta->generation = 1;
    }
    meta->next_free = t->first_free;
    t->first_free = handle.index;
    t->live--;
    return CT_OK;
}

void *
ct_table_next(const struct ct_table *t, uint32_t *cursor,
              struct ct_handle *handle)
{
    while (*cursor < t->used) {
        uint32_t i = (*cursor)++;

        if (t->meta[i].refs == 0) {
            continue;
        }
        if (handle) {
            handle->index = i;
            handle->generation = t->meta[i].generation;
        }
        return row_at(t, i);
    }
    return NULL;
}

size_t
ct_table_bytes(const struct ct_table *t)
{
    size_t rows = (size_t)t->n_blocks * ROWS_PER_BLOCK;

    return rows * (t->row_size + sizeof(*t->meta)) +
           t->n_blocks * sizeof(*t->blocks);
}
