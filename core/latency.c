#include "latency.h"

static const ct_ms bucket_bounds_ms[CT_LATENCY_BUCKETS] = {
    10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000, 16000, CT_MS_NEVER,
};

void
ct_latency_add(struct ct_latency *latency, ct_ms value_ms)
{
    int bucket = 0;

    while (value_ms > bucket_bounds_ms[bucket]) {
        bucket++;
    }
    latency->counts[bucket]++;
    latency->sum_ms += value_ms > 0 ? (uint64_t)value_ms : 0;
}

ct_ms
ct_latency_bound_ms(int bucket)
{
    return bucket_bounds_ms[bucket];
}

const char *
ct_latency_text(enum ct_latency_kind kind)
{
    return kind == CT_LATENCY_FIRST ? "relay_first_ms" : "relay_whole_ms";
}
