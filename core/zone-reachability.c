#include "zone-reachability.h"

#include <string.h>

#include "candidates.h"
#include "state.h"

/*
 * A connection that fails sooner was refused: a machine that refuses is
 * reached.
 */
#define TIMED_OUT_MS 300
/* Failures that lie further apart say nothing about the zone. */
#define FAILURES_WITHIN_MS 3000
/*
 * Time between two tests of an unreachable zone. Each costs a call the
 * connection time-out while the zone stays away.
 */
#define TEST_PERIOD_MS 3000

void
ct_zone_reachability_init(struct ct_zone_reachability *zones)
{
    memset(zones, 0, sizeof(*zones));
    ct_table_init(&zones->rows, sizeof(struct ct_zone_reachability_row), 0,
                  NULL);
}

void
ct_zone_reachability_free(struct ct_zone_reachability *zones)
{
    ct_table_free(&zones->rows);
}

static struct ct_zone_reachability_row *
find_row(const struct ct_state *state, const struct ct_name *zone,
         struct ct_handle *handle)
{
    const struct ct_table *rows = &state->zone_reachability.rows;
    struct ct_zone_reachability_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(rows, &cursor, handle))) {
        if (ct_name_eq(&row->zone, zone)) {
            return row;
        }
    }
    return NULL;
}

static struct ct_zone_reachability_row *
add_row(struct ct_state *state, const struct ct_name *zone)
{
    struct ct_table *rows = &state->zone_reachability.rows;
    struct ct_zone_reachability_row *row;
    struct ct_handle handle;
    int err = ct_table_add(rows, &handle);

    if (err < 0) {
        state->out->err = err;
        return NULL;
    }
    row = ct_table_get(rows, handle);
    row->zone = *zone;
    return row;
}

/* Records the failure; returns how many upstreams failed of late. */
static uint32_t
record_failure(struct ct_zone_reachability_row *row, struct ct_handle upstream,
               ct_ms now_ms)
{
    uint32_t oldest = 0;
    uint32_t recent = 0;

    for (uint32_t i = 0; i < CT_ZONE_FAILURES; i++) {
        if (ct_handle_eq(row->failed[i], upstream)) {
            oldest = i;
            break;
        }
        if (row->failed_ms[i] < row->failed_ms[oldest]) {
            oldest = i;
        }
    }
    row->failed[oldest] = upstream;
    row->failed_ms[oldest] = now_ms;
    for (uint32_t i = 0; i < CT_ZONE_FAILURES; i++) {
        recent += row->failed_ms[i] > 0 &&
                  now_ms - row->failed_ms[i] < FAILURES_WITHIN_MS;
    }
    return recent;
}

bool
ct_zone_reachability_on_failed(struct ct_state *state,
                               struct ct_handle upstream, ct_ms elapsed_ms)
{
    const struct ct_upstream_row *failed =
        ct_table_get(&state->config.upstreams, upstream);
    struct ct_zone_reachability_row *row;

    if (!state->self.skip_unreachable_zones || elapsed_ms < TIMED_OUT_MS ||
        !failed) {
        return false;
    }
    row = find_row(state, &failed->conf.zone, NULL);
    if (!row) {
        row = add_row(state, &failed->conf.zone);
    }
    if (!row ||
        record_failure(row, upstream, state->now_ms) < CT_ZONE_FAILURES ||
        row->unreachable) {
        return false;
    }
    row->unreachable = true;
    row->since_ms = row->tested_ms = state->now_ms;
    state->zone_reachability.n_unreachable++;
    ct_increment_counter(state, CT_COUNTER_ZONES_UNREACHABLE);
    ct_emit_log(state, CT_LOG_ZONE_UNREACHABLE, &row->zone, NULL, 0);
    return true;
}

void
ct_zone_reachability_on_reached(struct ct_state *state,
                                const struct ct_name *zone)
{
    struct ct_zone_reachability *zones = &state->zone_reachability;
    const struct ct_zone_reachability_row *row;
    struct ct_handle handle;

    if (zones->rows.live == 0) {
        return;
    }
    row = find_row(state, zone, &handle);
    if (!row) {
        return;
    }
    if (row->unreachable) {
        zones->n_unreachable--;
        ct_emit_log(state, CT_LOG_ZONE_REACHED, zone, NULL,
                    state->now_ms - row->since_ms);
    }
    ct_table_unref(&zones->rows, handle);
}

/* Returns the row of the upstream's zone if that is unreachable, or NULL. */
static struct ct_zone_reachability_row *
find_unreachable(const struct ct_state *state, struct ct_handle upstream)
{
    const struct ct_upstream_row *row =
        ct_table_get(&state->config.upstreams, upstream);
    struct ct_zone_reachability_row *zone =
        row ? find_row(state, &row->conf.zone, NULL) : NULL;

    return zone && zone->unreachable ? zone : NULL;
}

bool
ct_zone_reachability_bars(const struct ct_state *state,
                          struct ct_handle upstream)
{
    return state->zone_reachability.n_unreachable > 0 &&
           find_unreachable(state, upstream) != NULL;
}

static bool
is_usable(const struct ct_candidate *candidate)
{
    return !candidate->excluded && !candidate->barred;
}

/* Returns the zone that is to be tested now and has a usable candidate. */
static struct ct_zone_reachability_row *
find_untested(const struct ct_state *state,
              const struct ct_candidate *candidates, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        struct ct_zone_reachability_row *zone =
            is_usable(&candidates[i])
                ? find_unreachable(state, candidates[i].upstream)
                : NULL;

        if (zone && state->now_ms - zone->tested_ms >= TEST_PERIOD_MS) {
            return zone;
        }
    }
    return NULL;
}

static bool
has_reachable(const struct ct_state *state,
              const struct ct_candidate *candidates, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        if (is_usable(&candidates[i]) &&
            !find_unreachable(state, candidates[i].upstream)) {
            return true;
        }
    }
    return false;
}

void
ct_zone_reachability_filter(struct ct_state *state, bool may_test,
                            struct ct_candidate *candidates, uint32_t n)
{
    struct ct_zone_reachability_row *tested;

    if (state->zone_reachability.n_unreachable == 0 ||
        !has_reachable(state, candidates, n)) {
        return;
    }
    tested = may_test ? find_untested(state, candidates, n) : NULL;
    if (tested) {
        tested->tested_ms = state->now_ms;
    }
    for (uint32_t i = 0; i < n; i++) {
        const struct ct_zone_reachability_row *zone =
            find_unreachable(state, candidates[i].upstream);

        candidates[i].barred |= tested ? zone != tested : zone != NULL;
    }
}
