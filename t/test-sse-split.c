/*
 * Tests of sse-split.h: complete events are found however the input is
 * divided.
 */
#include <glib.h>
#include <string.h>

#include "sse-split.h"

static const struct {
    const char *text;
    uint64_t complete_bytes;
    uint32_t events;
    uint64_t last_id;
} cases[] = {
    {"id: 1\ndata: a\n\n", 15, 1, 1},
    {"id: 1\ndata: a\n", 0, 0, 0},
    {"id: 1\ndata: a\n\nid: 2\nda", 15, 1, 1},
    {"id: 1\ndata: a\n\nid: 12\ndata: b\n\n", 31, 2, 12},
    {"id:7\r\ndata: a\r\n\r\n", 17, 1, 7},
    {"id: 3\rdata: a\r\r", 15, 1, 3},
    {"versions: 4\nid: 9\ndata: x\n\n", 27, 1, 9},
    {"data: a\n\n", 9, 1, 0},
    {"id: 18446744073709551615999\n\n", 29, 1, UINT64_MAX},
    {"\n\nid: 1\n\n", 9, 1, 1},
    {"", 0, 0, 0},
};

static void
check_split(const struct ct_sse_split *split, guint i)
{
    g_assert_cmpuint(split->complete_bytes, ==, cases[i].complete_bytes);
    g_assert_cmpuint(split->events, ==, cases[i].events);
    g_assert_cmpuint(split->last_id, ==, cases[i].last_id);
}

static void
test_one_part(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_sse_split split = {0};

        ct_sse_split_push(&split, cases[i].text, strlen(cases[i].text));
        check_split(&split, i);
    }
}

static void
test_parts(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (size_t step = 1; step < 5; step++) {
            size_t n = strlen(cases[i].text);
            struct ct_sse_split split = {0};

            for (size_t offset = 0; offset < n; offset += step) {
                ct_sse_split_push(&split, cases[i].text + offset,
                                  MIN(step, n - offset));
            }
            check_split(&split, i);
        }
    }
}

/* A line longer than any id is skipped, not truncated to one. */
static void
test_long_line(void)
{
    struct ct_sse_split split = {0};
    char *line = g_strnfill(100000, 'x');

    ct_sse_split_push(&split, "data: ", 6);
    ct_sse_split_push(&split, line, 100000);
    ct_sse_split_push(&split, "\nid: 5\n\n", 8);
    g_assert_cmpuint(split.last_id, ==, 5);
    g_assert_cmpuint(split.complete_bytes, ==, 100014);
    g_free(line);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sse-split/one-part", test_one_part);
    g_test_add_func("/sse-split/parts", test_parts);
    g_test_add_func("/sse-split/long-line", test_long_line);
    return g_test_run();
}
