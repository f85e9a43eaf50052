#ifndef CT_ARENA_H
#define CT_ARENA_H

#include <stddef.h>

/*
 * An allocator whose memory is freed all at once. Decoders allocate only from
 * an arena whose limit is derived from the length of the input, so that a
 * short message cannot make them allocate much memory.
 */
struct ct_arena_block;

struct ct_arena {
    struct ct_arena_block *blocks;
    /* Bytes that may still be allocated. */
    size_t left;
};

void ct_arena_init(struct ct_arena *arena, size_t limit);
void ct_arena_free(struct ct_arena *arena);

/* Returns zeroed memory, or NULL if the limit is exceeded or calloc fails. */
void *ct_arena_alloc(struct ct_arena *arena, size_t n);

#endif
