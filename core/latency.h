#ifndef CT_LATENCY_H
#define CT_LATENCY_H

#include <stdint.h>

#include "clock.h"

/* Histogram of response times since the process started, for the metrics. */

/* The last bucket counts times above all bounds. */
#define CT_LATENCY_BUCKETS 12

enum ct_latency_kind {
    /* Until the first event of a stream or the end of another response. */
    CT_LATENCY_FIRST,
    CT_LATENCY_COMPLETE,
    CT_LATENCY_KINDS,
};

struct ct_latency {
    uint64_t counts[CT_LATENCY_BUCKETS];
    uint64_t sum_ms;
};

void ct_latency_add(struct ct_latency *latency, ct_ms value_ms);

/* Returns the upper bound of a bucket; CT_MS_NEVER for the last bucket. */
ct_ms ct_latency_bound_ms(int bucket);
const char *ct_latency_text(enum ct_latency_kind kind);

#endif
