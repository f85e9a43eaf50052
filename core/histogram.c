#include "histogram.h"

#include <string.h>

/* Total at which all counts are halved, which keeps them within 16 bits. */
#define HISTOGRAM_MAX_TOTAL 4096

/*
 * Returns the bucket of a value. Each value below 8 has its own bucket; above,
 * each power of two has 8.
 */
static uint32_t
bucket_of(uint64_t value)
{
    uint32_t power;
    uint32_t bucket;

    if (value < CT_HISTOGRAM_SUB_BUCKETS) {
        return (uint32_t)value;
    }
    power = 63 - (uint32_t)__builtin_clzll(value);
    bucket = (power - 2) * CT_HISTOGRAM_SUB_BUCKETS +
             (uint32_t)((value >> (power - 3)) & 7);
    if (bucket >= CT_HISTOGRAM_BUCKETS) {
        return CT_HISTOGRAM_BUCKETS - 1;
    }
    return bucket;
}

/* Returns the largest value of a bucket. */
static uint64_t
upper_bound(uint32_t bucket)
{
    uint32_t power = bucket / CT_HISTOGRAM_SUB_BUCKETS + 2;
    uint64_t sub = bucket % CT_HISTOGRAM_SUB_BUCKETS;

    if (bucket < CT_HISTOGRAM_SUB_BUCKETS) {
        return bucket;
    }
    return ((CT_HISTOGRAM_SUB_BUCKETS + sub + 1) << (power - 3)) - 1;
}

static void
halve_counts(struct ct_histogram *h)
{
    h->total = 0;
    for (uint32_t i = 0; i < CT_HISTOGRAM_BUCKETS; i++) {
        h->counts[i] /= 2;
        h->total += h->counts[i];
    }
    h->sum /= 2;
}

void
ct_histogram_add(struct ct_histogram *h, uint64_t value)
{
    uint32_t bucket = bucket_of(value);

    if (h->total >= HISTOGRAM_MAX_TOTAL) {
        halve_counts(h);
    }
    h->counts[bucket]++;
    h->total++;
    if (bucket == CT_HISTOGRAM_BUCKETS - 1) {
        value = upper_bound(bucket);
    }
    h->sum += value;
}

uint64_t
ct_histogram_quantile(const struct ct_histogram *h, uint32_t permille)
{
    uint64_t cumulative = 0;
    uint32_t last = 0;

    for (uint32_t i = 0; i < CT_HISTOGRAM_BUCKETS; i++) {
        if (h->counts[i] == 0) {
            continue;
        }
        cumulative += h->counts[i];
        last = i;
        if (cumulative * 1000 >= (uint64_t)h->total * permille) {
            break;
        }
    }
    return upper_bound(last);
}

uint64_t
ct_histogram_mean(const struct ct_histogram *h)
{
    if (h->total == 0) {
        return 0;
    }
    return h->sum / h->total;
}
