#ifndef CT_TOKEN_BUCKET_H
#define CT_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/*
 * A rate limit that saves up one request at most. Zeroed memory is a bucket
 * without tokens that gets none.
 */

/* One request; buckets count in millionths of one. */
#define CT_TOKEN INT64_C(1000000)

struct ct_token_bucket {
    /* As of filled_ms. */
    int64_t tokens;
    int64_t tokens_per_ms;
    ct_ms filled_ms;
};

/* Returns the tokens now, at most one request's. */
int64_t ct_token_bucket_tokens(const struct ct_token_bucket *bucket,
                               ct_ms now_ms);
void ct_token_bucket_set(struct ct_token_bucket *bucket, int64_t tokens,
                         ct_ms now_ms);
/*
 * Takes one request's tokens, also if there are too few, but leaves no more
 * than one request to be made up for.
 */
void ct_token_bucket_take(struct ct_token_bucket *bucket, ct_ms now_ms);
/* Returns the time until these tokens have become one request's, at least 1.
 */
ct_ms ct_token_bucket_wait_ms(const struct ct_token_bucket *bucket,
                              int64_t tokens);

#endif
