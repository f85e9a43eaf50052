#ifndef CT_HISTOGRAM_H
#define CT_HISTOGRAM_H

#include <stdint.h>

/*
 * Histogram of positive integers with logarithmic buckets: eight buckets for
 * each power of two, so a quantile is at most one eighth too large. Counts
 * are halved when their total reaches a bound, so that old values lose weight.
 */

#define CT_HISTOGRAM_SUB_BUCKETS 8
#define CT_HISTOGRAM_POWERS 21
#define CT_HISTOGRAM_BUCKETS (CT_HISTOGRAM_SUB_BUCKETS * CT_HISTOGRAM_POWERS)

struct ct_histogram {
    uint16_t counts[CT_HISTOGRAM_BUCKETS];
    uint32_t total;
    /* Sum of the counted values. */
    uint64_t sum;
};

/* Adds a value; values past the last bucket count as its upper bound. */
void ct_histogram_add(struct ct_histogram *h, uint64_t value);

/*
 * Returns the upper bound of the first bucket at which at least
 * permille / 1000 of the values are counted; 0 for an empty histogram.
 */
uint64_t ct_histogram_quantile(const struct ct_histogram *h,
                               uint32_t permille);

/* Returns the mean of the values, 0 for an empty histogram. */
uint64_t ct_histogram_mean(const struct ct_histogram *h);

#endif
