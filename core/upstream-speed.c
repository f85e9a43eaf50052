#include "upstream-speed.h"

#include <string.h>

#include "state.h"

/* Samples of the last CT_SPEED_SAMPLES periods count: those of 30 to 40 s. */
#define PERIOD_MS 10000
/*
 * Streams with fewer gaps, or shorter ones, are not measured: a host that
 * receives the first event late would find their mean gap too short.
 */
#define GAPS_MIN 4
#define STREAM_MIN_MS 500
/* Interval between comparisons. */
#define COMPARE_MS 1000
/* With fewer measured upstreams the median of a pool says nothing. */
#define MEASURED_MIN 3
/* Limits of a speed, so that a wrong measurement shifts few calls. */
#define SPEED_MIN_PERCENT 25
#define SPEED_MAX_PERCENT 200

void
ct_upstream_speeds_init(struct ct_upstream_speeds *speeds)
{
    memset(speeds, 0, sizeof(*speeds));
    speeds->rows = g_array_new(FALSE, TRUE, sizeof(struct ct_speed_row));
    speeds->gaps = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
ct_upstream_speeds_free(struct ct_upstream_speeds *speeds)
{
    g_array_free(speeds->gaps, TRUE);
    g_array_free(speeds->rows, TRUE);
}

/* Returns the row of an upstream; a new upstream gets a cleared one. */
static struct ct_speed_row *
get_row(struct ct_upstream_speeds *speeds, struct ct_handle upstream)
{
    struct ct_speed_row *row;

    if (upstream.index >= speeds->rows->len) {
        g_array_set_size(speeds->rows, upstream.index + 1);
    }
    row = &g_array_index(speeds->rows, struct ct_speed_row, upstream.index);
    if (!ct_handle_eq(row->upstream, upstream)) {
        *row = (struct ct_speed_row){
            .upstream = upstream,
            .speed_percent = CT_SPEED_UNKNOWN_PERCENT,
        };
    }
    return row;
}

/* Returns the row of an upstream of which something is known, or NULL. */
static struct ct_speed_row *
find_row(const struct ct_upstream_speeds *speeds, struct ct_handle upstream)
{
    struct ct_speed_row *row;

    if (upstream.index >= speeds->rows->len) {
        return NULL;
    }
    row = &g_array_index(speeds->rows, struct ct_speed_row, upstream.index);
    return ct_handle_eq(row->upstream, upstream) ? row : NULL;
}

void
ct_stream_timing_add(struct ct_stream_timing *timing, uint32_t events,
                     ct_ms now_ms)
{
    if (timing->last_ms == 0) {
        timing->first_ms = now_ms;
    }
    else {
        timing->gaps += events;
    }
    timing->last_ms = now_ms;
}

void
ct_upstream_speed_on_stream(struct ct_state *state, struct ct_handle upstream,
                            const struct ct_stream_timing *timing)
{
    ct_ms lasted_ms = timing->last_ms - timing->first_ms;
    int64_t period = state->now_ms / PERIOD_MS;
    struct ct_speed_sample *sample;
    uint32_t gap_us;

    if (!state->self.share_load || timing->resumes ||
        timing->gaps < GAPS_MIN || lasted_ms < STREAM_MIN_MS) {
        return;
    }
    gap_us = (uint32_t)CLAMP(lasted_ms * 1000 / timing->gaps, 1, UINT32_MAX);
    sample = &get_row(&state->upstream_speeds, upstream)
                  ->samples[period % CT_SPEED_SAMPLES];
    if (sample->period != period || sample->gap_us == 0 ||
        gap_us < sample->gap_us) {
        *sample = (struct ct_speed_sample){period, gap_us};
    }
}

/* Returns the shorter of two gaps, of which 0 stands for none. */
static uint32_t
shorter_gap(uint32_t a_us, uint32_t b_us)
{
    return a_us == 0 || (b_us > 0 && b_us < a_us) ? b_us : a_us;
}

static uint32_t
own_gap_us(const struct ct_speed_row *row, ct_ms now_ms)
{
    int64_t oldest = now_ms / PERIOD_MS - (CT_SPEED_SAMPLES - 1);
    uint32_t gap_us = 0;

    for (int i = 0; i < CT_SPEED_SAMPLES; i++) {
        if (row->samples[i].period >= oldest) {
            gap_us = shorter_gap(gap_us, row->samples[i].gap_us);
        }
    }
    return gap_us;
}

uint32_t
ct_upstream_speed_gap_us(const struct ct_state *state,
                         struct ct_handle upstream)
{
    const struct ct_speed_row *row =
        find_row(&state->upstream_speeds, upstream);

    return row ? own_gap_us(row, state->now_ms) : 0;
}

void
ct_upstream_speed_set_others(struct ct_state *state, struct ct_handle upstream,
                             uint32_t gap_us)
{
    struct ct_upstream_speeds *speeds = &state->upstream_speeds;

    if (gap_us > 0 || find_row(speeds, upstream)) {
        get_row(speeds, upstream)->others_gap_us = gap_us;
    }
}

static int
compare_gaps(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return (x > y) - (x < y);
}

/* Returns the gap of an upstream by all measurements; 0 if there is none. */
static uint32_t
measured_gap_us(const struct ct_speed_row *row, ct_ms now_ms)
{
    return shorter_gap(own_gap_us(row, now_ms), row->others_gap_us);
}

/* Returns the median of the gaps of a pool; 0 if too few are measured. */
static uint64_t
median_gap_us(struct ct_state *state, const struct ct_pool_row *pool)
{
    GArray *gaps = state->upstream_speeds.gaps;

    g_array_set_size(gaps, 0);
    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        const struct ct_speed_row *row =
            find_row(&state->upstream_speeds, pool->upstreams[i]);
        uint32_t gap_us = row ? measured_gap_us(row, state->now_ms) : 0;

        if (gap_us > 0) {
            g_array_append_val(gaps, gap_us);
        }
    }
    if (gaps->len < MEASURED_MIN) {
        return 0;
    }
    g_array_sort(gaps, compare_gaps);
    return g_array_index(gaps, uint32_t, gaps->len / 2);
}

static void
compare_pool(struct ct_state *state, const struct ct_pool_row *pool)
{
    uint64_t median_us = median_gap_us(state, pool);

    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        struct ct_speed_row *row =
            find_row(&state->upstream_speeds, pool->upstreams[i]);
        uint32_t gap_us;

        if (!row) {
            continue;
        }
        gap_us = measured_gap_us(row, state->now_ms);
        row->speed_percent = CT_SPEED_UNKNOWN_PERCENT;
        if (median_us > 0 && gap_us > 0) {
            row->speed_percent =
                (uint32_t)CLAMP(median_us * 100 / gap_us, SPEED_MIN_PERCENT,
                                SPEED_MAX_PERCENT);
        }
    }
}

void
ct_upstream_speed_compare(struct ct_state *state)
{
    struct ct_upstream_speeds *speeds = &state->upstream_speeds;
    const struct ct_pool_row *pool;
    uint32_t cursor = 0;

    if (!state->self.share_load ||
        (speeds->compared_ms &&
         state->now_ms - speeds->compared_ms < COMPARE_MS)) {
        return;
    }
    speeds->compared_ms = state->now_ms;
    while ((pool = ct_table_next(&state->config.pools, &cursor, NULL))) {
        compare_pool(state, pool);
    }
}

uint32_t
ct_upstream_speed_percent(const struct ct_state *state,
                          struct ct_handle upstream)
{
    const struct ct_speed_row *row =
        find_row(&state->upstream_speeds, upstream);

    return row ? row->speed_percent : CT_SPEED_UNKNOWN_PERCENT;
}
