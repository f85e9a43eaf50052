/* Tests of token-bucket.h. */
#include <glib.h>

#include "token-bucket.h"

/* Five requests a second. */
#define RATE (CT_TOKEN / 200)

/*
 * Guards against a burst after a quiet time, and against requests that are
 * owed for longer than one request's time after too many were taken.
 */
static void
test_limits(void)
{
    struct ct_token_bucket bucket = {.tokens_per_ms = RATE};

    g_assert_cmpint(ct_token_bucket_tokens(&bucket, 100), ==, CT_TOKEN / 2);
    g_assert_cmpint(ct_token_bucket_tokens(&bucket, 10000), ==, CT_TOKEN);
    for (int i = 0; i < 5; i++) {
        ct_token_bucket_take(&bucket, 10000);
    }
    g_assert_cmpint(ct_token_bucket_tokens(&bucket, 10000), ==, -CT_TOKEN);
    g_assert_cmpint(ct_token_bucket_tokens(&bucket, 10400), ==, CT_TOKEN);
}

/* After the time that is named there is a whole request. */
static void
test_wait(void)
{
    struct ct_token_bucket bucket = {.tokens_per_ms = RATE};

    for (int64_t tokens = -CT_TOKEN; tokens <= CT_TOKEN;
         tokens += CT_TOKEN / 7) {
        ct_ms wait_ms = ct_token_bucket_wait_ms(&bucket, tokens);

        g_assert_cmpint(wait_ms, >=, 1);
        ct_token_bucket_set(&bucket, tokens, 50);
        g_assert_cmpint(ct_token_bucket_tokens(&bucket, 50 + wait_ms), ==,
                        CT_TOKEN);
    }
    bucket.tokens_per_ms = 0;
    g_assert_cmpint(ct_token_bucket_wait_ms(&bucket, 0), ==, CT_MS_NEVER);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/token-bucket/limits", test_limits);
    g_test_add_func("/token-bucket/wait", test_wait);
    return g_test_run();
}
