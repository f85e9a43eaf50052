#include "cold-upstreams.h"

#include <string.h>

#include "state.h"

#define PERMILLE 1000
/* Most hosts that are responsible for a cold upstream. */
#define HOSTS_MAX 6
/*
 * The bound allows as many requests of other hosts that consider themselves
 * responsible: their member lists may differ.
 */
#define LIST_VERSIONS 2
/*
 * Requests sent within this time may arrive within one second, because the
 * network delays some of them.
 */
#define WINDOW_MS 1100
#define SECOND_MS 1000
#define UPDATE_PERIOD_MS 1000
/* A host that is not responsible tells callers to retry after this time. */
#define NOT_RESPONSIBLE_RETRY_MS 1000
/* A start before this wall time, the begin of 2020, is no time of day. */
#define STARTED_MIN_MS INT64_C(1577836800000)

void
ct_cold_upstreams_init(struct ct_cold_upstreams *cold)
{
    memset(cold, 0, sizeof(*cold));
    cold->rows = g_array_new(FALSE, TRUE, sizeof(struct ct_cold_row));
}

void
ct_cold_upstreams_free(struct ct_cold_upstreams *cold)
{
    g_array_free(cold->rows, TRUE);
}

/* Returns the row of an upstream, or NULL if it has none. */
static struct ct_cold_row *
find_row(const struct ct_cold_upstreams *cold, struct ct_handle upstream)
{
    struct ct_cold_row *row;

    if (ct_handle_is_none(upstream) || upstream.index >= cold->rows->len) {
        return NULL;
    }
    row = &g_array_index(cold->rows, struct ct_cold_row, upstream.index);
    return ct_handle_eq(row->upstream, upstream) ? row : NULL;
}

/* Returns the pool of an upstream if its upstreams can be cold, else NULL. */
static const struct ct_pool_row *
cold_pool(const struct ct_state *state, const struct ct_upstream_row *upstream)
{
    const struct ct_pool_row *pool =
        upstream ? ct_table_get(&state->config.pools, upstream->pool) : NULL;

    return pool && pool->conf.cold_ms > 0 && pool->conf.cold_permille > 0
               ? pool
               : NULL;
}

static ct_ms
cold_until_ms(const struct ct_cold_row *row, const struct ct_pool_row *pool)
{
    ct_ms warmed_ms =
        row->start_known ? row->started_ms + pool->conf.cold_ms : 0;

    return MAX(row->told_until_ms, warmed_ms);
}

/* Responsible hosts of a cold upstream and the rate of each. */
struct cold_plan {
    uint32_t hosts;
    int64_t tokens_per_ms;
};

/*
 * Returns how many hosts are responsible for a cold upstream of the pool, and
 * the rate of each. One set of these hosts keeps to the pool's rate;
 * LIST_VERSIONS sets, by member lists that differ, keep to the bound in each
 * window.
 */
static struct cold_plan
plan_hosts(const struct ct_state *state, const struct ct_pool_row *pool)
{
    const struct ct_bounds *bounds = &state->self.bounds;
    int64_t rate_permille = pool->conf.cold_permille;
    int64_t bound =
        (rate_permille * bounds->cold_overshoot_permille / PERMILLE +
         (int64_t)bounds->cold_burst * PERMILLE) /
        PERMILLE;
    int64_t hosts = CLAMP(bound / LIST_VERSIONS, 1, HOSTS_MAX);
    int64_t per_window;

    hosts = MIN(hosts, (int64_t)ct_group_size(state));
    per_window = MAX(bound / (LIST_VERSIONS * hosts), 1);
    return (struct cold_plan){
        .hosts = (uint32_t)hosts,
        /* Thousandths per second are millionths per millisecond. */
        .tokens_per_ms = MIN(rate_permille / hosts,
                             per_window * PERMILLE * SECOND_MS / WINDOW_MS),
    };
}

/* Whether another upstream of the pool takes calls without a limit. */
static bool
has_warm(const struct ct_state *state, const struct ct_pool_row *pool)
{
    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);
        const struct ct_cold_row *row =
            find_row(&state->cold_upstreams, pool->upstreams[i]);

        if (upstream && upstream->state == CT_UPSTREAM_RUNNING && row &&
            cold_until_ms(row, pool) <= state->now_ms &&
            !ct_evacuation_bars(state, pool->upstreams[i])) {
            return true;
        }
    }
    return false;
}

static bool
is_list_current(const struct ct_state *state)
{
    return ct_group_list_age_ms(state) <= state->self.bounds.steady_ms;
}

/*
 * Whether this host may send the upstream requests. With an old member list it
 * does only if the pool's calls cannot go elsewhere.
 */
static bool
is_responsible(const struct ct_state *state,
               const struct ct_upstream_row *upstream,
               const struct ct_pool_row *pool, const struct cold_plan *plan)
{
    return ct_group_lists_self(state) &&
           ct_group_is_among_first(state, upstream->name_hash, plan->hosts) &&
           (is_list_current(state) || !has_warm(state, pool));
}

/*
 * Returns the tokens now, at most one request's. None are added while a
 * request waits to be sent: the next one follows it at the bucket's rate.
 */
static int64_t
tokens_now(const struct ct_cold_row *row, ct_ms now_ms)
{
    return row->unsent > 0 ? row->bucket.tokens
                           : ct_token_bucket_tokens(&row->bucket, now_ms);
}

/*
 * Makes the bucket's next request wait until requests of this host from
 * before, and hosts that do not know the last change of the group, do not
 * count any more.
 */
static void
delay_first_token(struct ct_state *state, struct ct_cold_row *row)
{
    ct_ms agreed_ms =
        state->leadership.changed_ms + state->self.bounds.steady_ms;
    ct_ms delay_ms = MAX(agreed_ms - state->now_ms, WINDOW_MS);

    ct_token_bucket_set(&row->bucket,
                        CT_TOKEN - row->bucket.tokens_per_ms * delay_ms,
                        state->now_ms);
}

/* Sets whether this host is responsible, and its rate. */
static void
set_rate(struct ct_state *state, struct ct_cold_row *row,
         const struct ct_upstream_row *upstream,
         const struct ct_pool_row *pool, bool becomes_cold)
{
    struct cold_plan plan = plan_hosts(state, pool);
    bool was_responsible = row->bucket.tokens_per_ms > 0 && !becomes_cold;

    ct_token_bucket_set(&row->bucket, tokens_now(row, state->now_ms),
                        state->now_ms);
    row->bucket.tokens_per_ms =
        is_responsible(state, upstream, pool, &plan) ? plan.tokens_per_ms : 0;
    if (row->bucket.tokens_per_ms > 0 && !was_responsible) {
        delay_first_token(state, row);
    }
}

static void
log_change(struct ct_state *state, struct ct_cold_row *row,
           const struct ct_upstream_row *upstream, ct_ms left_ms)
{
    if (!row->cold) {
        if (row->logged_ms) {
            ct_emit_log(state, CT_LOG_UPSTREAM_WARM, &upstream->conf.name,
                        NULL, 0);
        }
        return;
    }
    ct_increment_counter(state, CT_COUNTER_COLD_UPSTREAMS);
    if (ct_log_is_due(state->now_ms, &row->logged_ms)) {
        ct_emit_log(state, CT_LOG_UPSTREAM_COLD, &upstream->conf.name, NULL,
                    left_ms);
    }
}

/*
 * An upstream whose zone is restored counts as cold until this host has read
 * an entry of it that was written since.
 */
static void
follow_evacuation(struct ct_state *state, struct ct_cold_row *row)
{
    bool evacuated = ct_evacuation_bars(state, row->upstream);

    if (row->evacuated && !evacuated) {
        row->told_until_ms = MAX(row->told_until_ms,
                                 state->now_ms + state->self.bounds.steady_ms);
    }
    row->evacuated = evacuated;
}

static void
update_row(struct ct_state *state, struct ct_cold_row *row)
{
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, row->upstream);
    const struct ct_pool_row *pool = cold_pool(state, upstream);
    ct_ms left_ms = pool ? cold_until_ms(row, pool) - state->now_ms : 0;
    bool was_cold = row->cold;

    row->cold = left_ms > 0;
    if (upstream && row->cold != was_cold) {
        log_change(state, row, upstream, left_ms);
    }
    if (row->cold) {
        set_rate(state, row, upstream, pool, !was_cold);
    }
}

/*
 * Sets when an upstream started. Without a start in its entry that is when the
 * entry was first read, unless it existed when this host started.
 */
static void
set_start(struct ct_state *state, struct ct_cold_row *row,
          const struct ct_upstream_entry *entry)
{
    ct_ms wall_ms = ct_wall_clock_ms(&state->wall_clock, state->now_ms);

    if (row->entry_started_ms >= STARTED_MIN_MS) {
        row->start_known = true;
        row->started_ms =
            state->now_ms - MAX(wall_ms - row->entry_started_ms, 0);
    }
    else if (entry->added_ms > 0) {
        row->start_known = true;
        row->started_ms = entry->added_ms;
    }
}

/* Copies what the upstream's entry says. */
static void
follow_entry(struct ct_state *state, struct ct_handle handle,
             const struct ct_upstream_row *upstream)
{
    struct ct_cold_upstreams *cold = &state->cold_upstreams;
    const struct ct_upstream_entry *entry =
        ct_upstream_registry_entry(state, &upstream->conf.name);
    struct ct_cold_row *row = find_row(cold, handle);

    if (handle.index >= cold->rows->len) {
        g_array_set_size(cold->rows, handle.index + 1);
    }
    if (!row || (entry && entry->started_ms != row->entry_started_ms)) {
        row = &g_array_index(cold->rows, struct ct_cold_row, handle.index);
        *row = (struct ct_cold_row){.upstream = handle};
        if (entry) {
            row->entry_started_ms = entry->started_ms;
            set_start(state, row, entry);
        }
    }
    if (entry) {
        row->told_until_ms = MAX(row->told_until_ms, entry->cold_until_ms);
    }
}

static void
follow_entries(struct ct_state *state)
{
    struct ct_cold_upstreams *cold = &state->cold_upstreams;
    const struct ct_upstream_row *upstream;
    struct ct_handle handle;
    uint32_t cursor = 0;

    cold->registry_revision = state->upstream_registry.revision;
    cold->config_offset = state->config.offset;
    while ((upstream =
                ct_table_next(&state->config.upstreams, &cursor, &handle))) {
        if (upstream->configured && cold_pool(state, upstream)) {
            follow_entry(state, handle, upstream);
        }
    }
}

/* Logs when the member list becomes too old, and when it no longer is. */
static void
log_list(struct ct_state *state, bool any_cold)
{
    struct ct_cold_upstreams *cold = &state->cold_upstreams;
    bool is_old = any_cold && !is_list_current(state);

    if (is_old != cold->list_old) {
        cold->list_old = is_old;
        ct_emit_log(state,
                    is_old ? CT_LOG_COLD_LIST_OLD : CT_LOG_COLD_LIST_CURRENT,
                    NULL, NULL, 0);
    }
}

void
ct_cold_upstreams_update(struct ct_state *state)
{
    struct ct_cold_upstreams *cold = &state->cold_upstreams;
    bool changed =
        cold->registry_revision != state->upstream_registry.revision ||
        cold->config_offset != state->config.offset;
    bool any_cold = false;

    if (!state->relaying ||
        (!changed && state->now_ms - cold->updated_ms < UPDATE_PERIOD_MS)) {
        return;
    }
    if (changed) {
        follow_entries(state);
    }
    cold->updated_ms = state->now_ms;
    for (guint i = 0; i < cold->rows->len; i++) {
        struct ct_cold_row *row =
            &g_array_index(cold->rows, struct ct_cold_row, i);

        follow_evacuation(state, row);
        update_row(state, row);
        any_cold |= row->cold;
    }
    log_list(state, any_cold);
}

void
ct_cold_upstreams_on_head(struct ct_state *state, struct ct_handle upstream,
                          const struct ct_upstream_notice *notice)
{
    struct ct_cold_row *row = find_row(&state->cold_upstreams, upstream);
    ct_ms cold_ms =
        MIN(notice->cold_ms, state->self.bounds.upstream_pause_max_ms);

    if (row && cold_ms > 0) {
        row->told_until_ms = MAX(row->told_until_ms, state->now_ms + cold_ms);
        update_row(state, row);
    }
}

/*
 * Returns the row of an upstream if it shows what is known now. An upstream
 * that was listed a moment ago has no row yet; the row of one whose zone was
 * restored a moment ago does not show it yet.
 */
static const struct ct_cold_row *
current_row(const struct ct_state *state, struct ct_handle upstream)
{
    const struct ct_cold_row *row = find_row(&state->cold_upstreams, upstream);

    return row && row->evacuated && !ct_evacuation_bars(state, upstream) ? NULL
                                                                         : row;
}

/* Returns how long the upstream is still cold, 1 if it has no current row. */
static ct_ms
cold_left_ms(const struct ct_state *state, struct ct_handle handle,
             const struct ct_cold_row **row)
{
    const struct ct_pool_row *pool =
        cold_pool(state, ct_table_get(&state->config.upstreams, handle));

    *row = current_row(state, handle);
    if (!pool) {
        return 0;
    }
    if (!*row) {
        return 1;
    }
    return MAX(cold_until_ms(*row, pool) - state->now_ms, 0);
}

bool
ct_cold_upstreams_bar(const struct ct_state *state, struct ct_handle upstream,
                      uint32_t rank)
{
    const struct ct_upstream_row *conf =
        ct_table_get(&state->config.upstreams, upstream);
    const struct ct_cold_row *row;

    if (cold_left_ms(state, upstream, &row) == 0) {
        return false;
    }
    return !row || row->bucket.tokens_per_ms == 0 ||
           tokens_now(row, state->now_ms) < CT_TOKEN ||
           ct_upstream_notices_must_yield(state, conf->pool, rank);
}

ct_ms
ct_cold_upstreams_free_in_ms(const struct ct_state *state,
                             struct ct_handle upstream)
{
    const struct ct_cold_row *row;
    ct_ms left_ms = cold_left_ms(state, upstream, &row);

    if (left_ms == 0 || !row) {
        return left_ms;
    }
    if (row->bucket.tokens_per_ms == 0) {
        return MIN(left_ms, NOT_RESPONSIBLE_RETRY_MS);
    }
    return MIN(left_ms, ct_token_bucket_wait_ms(
                            &row->bucket, tokens_now(row, state->now_ms)));
}

void
ct_cold_upstreams_on_attempt(struct ct_state *state, struct ct_handle upstream)
{
    struct ct_cold_row *row = find_row(&state->cold_upstreams, upstream);

    if (!row) {
        return;
    }
    if (row->cold) {
        ct_increment_counter(state, CT_COUNTER_COLD_ATTEMPTS);
        if (row->unsent > 0) {
            /* None were added while the earlier request waited. */
            row->bucket.filled_ms = state->now_ms;
        }
        ct_token_bucket_take(&row->bucket, state->now_ms);
    }
    row->unsent++;
}

void
ct_cold_upstreams_on_sent(struct ct_state *state, struct ct_handle upstream)
{
    struct ct_cold_row *row = find_row(&state->cold_upstreams, upstream);

    if (row && row->unsent > 0) {
        row->unsent--;
        row->bucket.filled_ms = state->now_ms;
    }
}
