#ifndef CT_ARENA_H
#define CT_ARENA_H

#include <stddef.h>

/*
 * Memory that is freed all at once. Decoders take everything from an arena
 * whose limit follows from the length of the input, so that a short message
 * cannot make them allocate much.
 */
struct ct_arena_block;

struct ct_arena {
    struct ct_arena_block *blocks;
    /* Bytes that may still be allocated. */
    size_t left;
};

void ct_arena_init(struct ct_arena *arena, size_t limit);
void ct_arena_free(struct ct_arena *arena);

/* Returns zeroed memory, or NULL past the limit. */
void *ct_arena_alloc(struct ct_arena *arena, size_t n);

#endif
