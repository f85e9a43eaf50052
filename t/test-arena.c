/* Tests of arena.h: the size limit, and zeroed and aligned memory. */
#include <glib.h>
#include <stdalign.h>
#include <stdint.h>

#include "arena.h"

static void
test_limit(void)
{
    struct ct_arena arena;
    size_t allocated = 0;

    ct_arena_init(&arena, 100000);
    while (ct_arena_alloc(&arena, 1000)) {
        allocated += 1000;
    }
    g_assert_cmpuint(allocated, >, 90000);
    g_assert_cmpuint(allocated, <=, 100000);
    g_assert_null(ct_arena_alloc(&arena, 50000));
    ct_arena_free(&arena);
    ct_arena_init(&arena, SIZE_MAX);
    g_assert_null(ct_arena_alloc(&arena, SIZE_MAX - 8));
    ct_arena_free(&arena);
}

static void
test_memory(void)
{
    struct ct_arena arena;

    ct_arena_init(&arena, SIZE_MAX);
    for (size_t n = 0; n < 9000; n += 7) {
        uint8_t *p = ct_arena_alloc(&arena, n);

        g_assert_nonnull(p);
        g_assert_cmpuint((uintptr_t)p % alignof(max_align_t), ==, 0);
        for (size_t i = 0; i < n; i++) {
            g_assert_cmpuint(p[i], ==, 0);
            p[i] = 0xff;
        }
    }
    ct_arena_free(&arena);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/arena/limit", test_limit);
    g_test_add_func("/arena/memory", test_memory);
    return g_test_run();
}
