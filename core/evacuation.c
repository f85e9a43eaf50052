#include "evacuation.h"

#include <string.h>

#include "state.h"

/* Interval at which calls in evacuated zones are counted. */
#define DRAIN_CHECK_MS 1000

void
ct_evacuations_init(struct ct_evacuations *evacuations)
{
    memset(evacuations, 0, sizeof(*evacuations));
    ct_table_init(&evacuations->rows, sizeof(struct ct_evacuation_row), 0,
                  NULL);
}

void
ct_evacuations_free(struct ct_evacuations *evacuations)
{
    ct_table_free(&evacuations->rows);
}

static struct ct_evacuation_row *
find_row(const struct ct_state *state, const struct ct_name *zone,
         struct ct_handle *handle)
{
    struct ct_evacuation_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->evacuations.rows, &cursor, handle))) {
        if (ct_name_eq(&row->zone, zone)) {
            return row;
        }
    }
    return NULL;
}

/* Returns this host's attempts in flight at the zone's upstreams. */
static uint32_t
count_in_flight(const struct ct_state *state, const struct ct_name *zone,
                bool *has_upstream)
{
    const struct ct_upstream_row *upstream;
    uint32_t in_flight = 0;
    uint32_t cursor = 0;

    *has_upstream = false;
    while (
        (upstream = ct_table_next(&state->config.upstreams, &cursor, NULL))) {
        if (ct_name_eq(&upstream->conf.zone, zone)) {
            *has_upstream = true;
            in_flight += upstream->in_flight;
        }
    }
    return in_flight;
}

static void
arm_timer(struct ct_state *state)
{
    if (!state->evacuations.timer_armed) {
        state->evacuations.timer_armed = true;
        ct_arm_timer(state, DRAIN_CHECK_MS, CT_TIMER_EVACUATION, CT_NO_HANDLE);
    }
}

static void
evacuate_zone(struct ct_state *state, const struct ct_name *zone)
{
    struct ct_evacuation_row *row;
    struct ct_handle handle;
    bool has_upstream;
    int err = ct_table_add(&state->evacuations.rows, &handle);

    if (err < 0) {
        state->out->err = err;
        return;
    }
    row = ct_table_get(&state->evacuations.rows, handle);
    row->zone = *zone;
    row->since_ms = state->now_ms;
    row->seen = true;
    ct_emit_log(state, CT_LOG_ZONE_EVACUATED, zone, NULL,
                count_in_flight(state, zone, &has_upstream));
    arm_timer(state);
}

static void
restore_zone(struct ct_state *state, struct ct_handle handle,
             const char *reason)
{
    const struct ct_evacuation_row *row =
        ct_table_get(&state->evacuations.rows, handle);

    ct_emit_log(state, CT_LOG_ZONE_RESTORED, &row->zone, reason,
                state->now_ms - row->since_ms);
    ct_table_unref(&state->evacuations.rows, handle);
}

bool
ct_evacuation_on_record(struct ct_state *state,
                        const struct ct_store_evacuation *record)
{
    struct ct_handle handle;
    struct ct_evacuation_row *row = find_row(state, &record->zone, &handle);

    if (record->ends) {
        if (row) {
            restore_zone(state, handle, "removed");
        }
        return false;
    }
    if (row) {
        row->seen = true;
        return false;
    }
    evacuate_zone(state, &record->zone);
    return true;
}

void
ct_evacuation_begin_full_read(struct ct_state *state)
{
    struct ct_evacuation_row *row;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->evacuations.rows, &cursor, NULL))) {
        row->seen = false;
    }
}

void
ct_evacuation_end_full_read(struct ct_state *state)
{
    const struct ct_evacuation_row *row;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while ((row = ct_table_next(&state->evacuations.rows, &cursor, &handle))) {
        if (!row->seen) {
            restore_zone(state, handle, "missing");
        }
    }
}

/* Returns whether the row needs no further check. */
static bool
report_drain(struct ct_state *state, const struct ct_evacuation_row *row)
{
    bool has_upstream;
    uint32_t in_flight = count_in_flight(state, &row->zone, &has_upstream);

    if (!has_upstream) {
        if (!state->store.topics[CT_TOPIC_UPSTREAMS].full_read_done) {
            return false;
        }
        ct_emit_log(state, CT_LOG_EVACUATION_UNKNOWN_ZONE, &row->zone, NULL,
                    0);
        return true;
    }
    if (in_flight > 0) {
        return false;
    }
    ct_emit_log(state, CT_LOG_ZONE_DRAINED, &row->zone, NULL,
                state->now_ms - row->since_ms);
    return true;
}

void
ct_evacuation_on_timer(struct ct_state *state)
{
    struct ct_evacuation_row *row;
    uint32_t cursor = 0;

    state->evacuations.timer_armed = false;
    while ((row = ct_table_next(&state->evacuations.rows, &cursor, NULL))) {
        row->reported = row->reported || report_drain(state, row);
        if (!row->reported) {
            arm_timer(state);
        }
    }
}

bool
ct_evacuation_has_zone(const struct ct_state *state,
                       const struct ct_name *zone)
{
    struct ct_handle handle;

    return find_row(state, zone, &handle) != NULL;
}

bool
ct_evacuation_bars(const struct ct_state *state, struct ct_handle upstream)
{
    const struct ct_upstream_row *row;

    if (state->evacuations.rows.live == 0) {
        return false;
    }
    row = ct_table_get(&state->config.upstreams, upstream);
    return row && ct_evacuation_has_zone(state, &row->conf.zone);
}

bool
ct_evacuation_bars_pool(const struct ct_state *state, struct ct_handle pool)
{
    const struct ct_pool_row *row = ct_table_get(&state->config.pools, pool);
    bool barred = false;

    for (uint32_t i = 0; row && i < row->n_upstreams; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, row->upstreams[i]);

        if (!upstream || upstream->state == CT_UPSTREAM_LEAVING) {
            continue;
        }
        if (!ct_evacuation_bars(state, row->upstreams[i])) {
            return false;
        }
        barred = true;
    }
    return barred;
}
