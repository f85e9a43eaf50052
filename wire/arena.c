#include "arena.h"

#include <stdalign.h>
#include <stdint.h>
#include <stdlib.h>

#define BLOCK_BYTES 4096

struct ct_arena_block {
    struct ct_arena_block *next;
    size_t used;
    size_t size;
    alignas(max_align_t) uint8_t bytes[];
};

void
ct_arena_init(struct ct_arena *arena, size_t limit)
{
    arena->blocks = NULL;
    arena->left = limit;
}

void
ct_arena_free(struct ct_arena *arena)
{
    struct ct_arena_block *block = arena->blocks;

    while (block) {
        struct ct_arena_block *next = block->next;

        free(block);
        block = next;
    }
    arena->blocks = NULL;
}

static struct ct_arena_block *
add_block(struct ct_arena *arena, size_t n)
{
    size_t size = n > BLOCK_BYTES ? n : BLOCK_BYTES;
    struct ct_arena_block *block = calloc(1, sizeof(*block) + size);

    if (block) {
        block->size = size;
        block->next = arena->blocks;
        arena->blocks = block;
    }
    return block;
}

void *
ct_arena_alloc(struct ct_arena *arena, size_t n)
{
    const size_t mask = alignof(max_align_t) - 1;
    struct ct_arena_block *block = arena->blocks;
    void *p;

    if (n > arena->left || n > SIZE_MAX / 2) {
        return NULL;
    }
    n = (n + mask) & ~mask;
    if (!block || block->size - block->used < n) {
        block = add_block(arena, n);
    }
    if (!block) {
        return NULL;
    }
    arena->left = n < arena->left ? arena->left - n : 0;
    p = block->bytes + block->used;
    block->used += n;
    return p;
}
