#include "token-bucket.h"

#include <glib.h>

int64_t
ct_token_bucket_tokens(const struct ct_token_bucket *bucket, ct_ms now_ms)
{
    int64_t added = bucket->tokens_per_ms * (now_ms - bucket->filled_ms);

    return MIN(bucket->tokens + added, CT_TOKEN);
}

void
ct_token_bucket_set(struct ct_token_bucket *bucket, int64_t tokens,
                    ct_ms now_ms)
{
    bucket->tokens = tokens;
    bucket->filled_ms = now_ms;
}

void
ct_token_bucket_take(struct ct_token_bucket *bucket, ct_ms now_ms)
{
    int64_t left = ct_token_bucket_tokens(bucket, now_ms) - CT_TOKEN;

    ct_token_bucket_set(bucket, MAX(left, -CT_TOKEN), now_ms);
}

ct_ms
ct_token_bucket_wait_ms(const struct ct_token_bucket *bucket, int64_t tokens)
{
    if (tokens >= CT_TOKEN) {
        return 1;
    }
    return bucket->tokens_per_ms > 0
               ? (CT_TOKEN - tokens) / bucket->tokens_per_ms + 1
               : CT_MS_NEVER;
}
