/*
 * Tests of refusal-body.h: the Retry-After value and the JSON and event-stream
 * bodies.
 */
#include <glib.h>

#include "refusal-body.h"

static void
test_retry_after(void)
{
    g_assert_cmpint(ct_retry_after_s(0), ==, 0);
    g_assert_cmpint(ct_retry_after_s(1), ==, 1);
    g_assert_cmpint(ct_retry_after_s(1000), ==, 1);
    g_assert_cmpint(ct_retry_after_s(1001), ==, 2);
}

static void
test_body(void)
{
    struct ct_request_id id = {"0190-ab\"\\\n"};
    GString *out = g_string_new(NULL);

    ct_refusal_body(CT_REFUSAL_OVERLOAD, CT_NOT_RUN, &id, 250, out);
    g_assert_cmpstr(out->str, ==,
                    "{\"error\":{\"type\":\"overload\",\"run_state\":"
                    "\"not-run\",\"request_id\":\"0190-ab\","
                    "\"retry_after_ms\":250}}");
    g_string_truncate(out, 0);
    ct_refusal_stream_event(CT_REFUSAL_UPSTREAM_SILENT, CT_MAY_HAVE_RUN, &id,
                            0, out);
    g_assert_cmpstr(out->str, ==,
                    "event: error\ndata: {\"error\":{\"type\":"
                    "\"upstream-silent\",\"run_state\":\"may-have-run\","
                    "\"request_id\":\"0190-ab\",\"retry_after_ms\":0}}\n\n");
    g_string_free(out, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/refusal-body/retry-after", test_retry_after);
    g_test_add_func("/refusal-body/body", test_body);
    return g_test_run();
}
