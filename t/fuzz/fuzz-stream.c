/*
 * What is read from an event stream does not depend on how its bytes are
 * split. The first byte of the input sets the length of the pieces.
 */
#include <glib.h>

#include "response-body.h"
#include "sse-split.h"

struct reading {
    struct ct_sse_split split;
    struct ct_sse_scan scan;
    uint64_t tokens;
};

static void
read_stream(const char *data, size_t n, size_t piece, struct reading *reading)
{
    *reading = (struct reading){0};
    ct_sse_scan_init(&reading->scan);
    for (size_t offset = 0; offset < n; offset += piece) {
        size_t length = MIN(piece, n - offset);

        ct_sse_split_push(&reading->split, data + offset, length);
        reading->tokens +=
            ct_sse_scan_push(&reading->scan, data + offset, length);
    }
    ct_sse_scan_free(&reading->scan);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t n)
{
    struct ct_response_usage usage;
    struct reading whole;
    struct reading pieces;
    const char *data = (const char *)bytes + 1;

    if (n < 2) {
        return 0;
    }
    read_stream(data, n - 1, n, &whole);
    read_stream(data, n - 1, 1 + bytes[0] % 16, &pieces);
    g_assert_cmpuint(whole.split.complete_bytes, ==,
                     pieces.split.complete_bytes);
    g_assert_cmpuint(whole.split.complete_bytes, <=, n - 1);
    g_assert_cmpuint(whole.split.events, ==, pieces.split.events);
    g_assert_cmpuint(whole.split.last_id, ==, pieces.split.last_id);
    g_assert_cmpuint(whole.tokens, ==, pieces.tokens);
    g_assert_cmpint(whole.scan.done, ==, pieces.scan.done);
    ct_response_usage_parse(data, n - 1, &usage);
    return 0;
}
