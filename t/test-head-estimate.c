/* Tests of head-estimate.h: the memory that the head of a request needs. */
#include <string.h>

#include <glib.h>

#include "head-estimate.h"

#define REQUEST_LINE "GET /x HTTP/1.1\r\n"

static struct ct_head_estimate
estimate(const char *text)
{
    return ct_head_estimate(text, strlen(text));
}

/*
 * Guards against a wait for the end of a head that has arrived, and against
 * taking a part of a head for all of it.
 */
static void
test_end(void)
{
    g_assert_false(estimate("").complete);
    g_assert_false(estimate("\r\n").complete);
    g_assert_false(estimate(REQUEST_LINE).complete);
    g_assert_false(estimate(REQUEST_LINE "Host: a\r\n").complete);
    g_assert_true(estimate(REQUEST_LINE "Host: a\r\n\r\n").complete);
    g_assert_true(estimate(REQUEST_LINE "Host: a\n\n").complete);
}

/* Guards against counting the body as a part of the head. */
static void
test_body(void)
{
    struct ct_head_estimate head = estimate(REQUEST_LINE "Host: a\r\n\r\n");
    struct ct_head_estimate body =
        estimate(REQUEST_LINE "Host: a\r\n\r\na=1&b=2\n\n\n");

    g_assert_cmpuint(body.pool_bytes, ==, head.pool_bytes);
}

/* Each kind of short field needs several times its own size. */
static void
test_short_fields(void)
{
    static const char *const fields[] = {"A: 1\r\n", "a=1&", "a=1; "};

    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        GString *text = g_string_new(NULL);

        for (int n = 0; n < 1000; n++) {
            g_string_append(text, fields[i]);
        }
        g_assert_cmpuint(estimate(text->str).pool_bytes, >, 10 * text->len);
        g_assert_cmpuint(estimate(text->str).pool_bytes, <=,
                         ct_head_pool_max(text->len));
        g_string_free(text, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/head-estimate/end", test_end);
    g_test_add_func("/head-estimate/body", test_body);
    g_test_add_func("/head-estimate/short-fields", test_short_fields);
    return g_test_run();
}
