/* Tests of response-body.h: event streams split at every position. */
#include <glib.h>
#include <string.h>

#include "response-body.h"
#include "error.h"

static const char stream[] =
    "data: {\"choices\":[{\"delta\":{\"role\":\"a\",\"content\":\"\"}}]}\n\n"
    ": comment\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\": "
    "\"\\\"usage\\\":\"}}]}\r\n\r\n"
    "data:{\"choices\":[{\"finish_reason\":\"stop\"}],"
    "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n"
    "data: [DONE]\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"late\"}}]}\n\n";

static void
test_any_split(void)
{
    size_t n = sizeof(stream) - 1;

    for (size_t split = 0; split <= n; split++) {
        struct ct_sse_scan scan;
        uint32_t tokens;

        ct_sse_scan_init(&scan);
        tokens = ct_sse_scan_push(&scan, stream, split);
        tokens += ct_sse_scan_push(&scan, stream + split, n - split);
        g_assert_cmpuint(tokens, ==, 2);
        g_assert_true(scan.done);
        g_assert_cmpuint(scan.usage.prompt_tokens, ==, 7);
        g_assert_cmpuint(scan.usage.completion_tokens, ==, 2);
        ct_sse_scan_free(&scan);
    }
}

static void
test_not_done(void)
{
    static const char *const parts[] = {
        "data: [DONE]",
        "data: {\"choices\":[{\"delta\":{\"content\":\"[DONE]\"}}]}\n\n",
        "event: [DONE]\n\n",
        "\n\n\n",
        "",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        struct ct_sse_scan scan;

        ct_sse_scan_init(&scan);
        ct_sse_scan_push(&scan, parts[i], strlen(parts[i]));
        g_assert_false(scan.done);
        ct_sse_scan_free(&scan);
    }
}

/* A line without an end must not grow the buffer without bound. */
static void
test_overlong_line(void)
{
    static const char tail[] = "\ndata: [DONE]\n";
    struct ct_sse_scan scan;
    char part[4096];

    memset(part, 'x', sizeof(part));
    ct_sse_scan_init(&scan);
    for (int i = 0; i < 1024; i++) {
        ct_sse_scan_push(&scan, part, sizeof(part));
    }
    g_assert_cmpuint(scan.cap, <=, 1024 * 1024);
    ct_sse_scan_push(&scan, tail, sizeof(tail) - 1);
    g_assert_true(scan.done);
    ct_sse_scan_free(&scan);
}

static void
test_usage(void)
{
    static const struct {
        const char *json;
        int result;
        uint32_t prompt, completion;
    } cases[] = {
        {"{\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}", CT_OK, 3,
         4},
        {"{\"usage\":{\"prompt_tokens\":-3}}", CT_OK, 0, 0},
        {"{\"usage\":{\"prompt_tokens\":\"3\"}}", CT_OK, 0, 0},
        {"{\"usage\":null}", CT_ERR_FIELD_MISSING, 0, 0},
        {"[]", CT_ERR_FIELD_MISSING, 0, 0},
        {"{\"usage\":", CT_ERR_JSON_SYNTAX, 0, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ct_response_usage usage = {0, 0};

        g_assert_cmpint(ct_response_usage_parse(cases[i].json,
                                                strlen(cases[i].json), &usage),
                        ==, cases[i].result);
        g_assert_cmpuint(usage.prompt_tokens, ==, cases[i].prompt);
        g_assert_cmpuint(usage.completion_tokens, ==, cases[i].completion);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-body/any-split", test_any_split);
    g_test_add_func("/response-body/not-done", test_not_done);
    g_test_add_func("/response-body/overlong-line", test_overlong_line);
    g_test_add_func("/response-body/usage", test_usage);
    return g_test_run();
}
