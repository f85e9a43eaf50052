#include "upstream-notices.h"

#include <string.h>

#include "error.h"
#include "state.h"

/*
 * Hosts that share a limit. Each may send one request at once after a pause,
 * so the fewer there are, the less a small limit can be exceeded.
 */
#define SHARERS_MIN 5
#define SHARERS_PER_REQUEST 2
/* Size of the group before its members are known. */
#define UNKNOWN_GROUP 100
/* A limit below this would keep the hosts from hearing of its end. */
#define LIMIT_MIN_PERMILLE 20
#define SHARE_PERIOD_MS 1000
/* A host without a share forgets a limit that it has not heard for so long. */
#define FORGET_MS 120000
/* How long less urgent calls yield to one that found no upstream. */
#define TIER_HOLD_MS 1000

void
ct_upstream_notices_init(struct ct_upstream_notices *notices)
{
    memset(notices, 0, sizeof(*notices));
    notices->rows = g_array_new(FALSE, TRUE, sizeof(struct ct_notice_row));
    notices->pools = g_array_new(FALSE, TRUE, sizeof(struct ct_notice_pool));
}

void
ct_upstream_notices_free(struct ct_upstream_notices *notices)
{
    g_array_free(notices->pools, TRUE);
    g_array_free(notices->rows, TRUE);
}

static struct ct_notice_pool *
get_pool(struct ct_upstream_notices *notices, struct ct_handle pool)
{
    if (pool.index >= notices->pools->len) {
        g_array_set_size(notices->pools, pool.index + 1);
    }
    return &g_array_index(notices->pools, struct ct_notice_pool, pool.index);
}

/* Returns the row of an upstream; a new upstream gets a cleared one. */
static struct ct_notice_row *
get_row(struct ct_upstream_notices *notices, struct ct_handle upstream)
{
    struct ct_notice_row *row;

    if (upstream.index >= notices->rows->len) {
        g_array_set_size(notices->rows, upstream.index + 1);
    }
    row = &g_array_index(notices->rows, struct ct_notice_row, upstream.index);
    if (!ct_handle_eq(row->upstream, upstream)) {
        *row = (struct ct_notice_row){.upstream = upstream};
    }
    return row;
}

/* Returns the row of an upstream that has sent a head, or NULL. */
static const struct ct_notice_row *
find_row(const struct ct_upstream_notices *notices, struct ct_handle upstream)
{
    const struct ct_notice_row *row;

    if (upstream.index >= notices->rows->len) {
        return NULL;
    }
    row = &g_array_index(notices->rows, struct ct_notice_row, upstream.index);
    return ct_handle_eq(row->upstream, upstream) ? row : NULL;
}

static void
log_notice(struct ct_state *state, enum ct_log_event event,
           struct ct_handle upstream, const char *reason, int64_t number)
{
    const struct ct_upstream_row *row =
        ct_table_get(&state->config.upstreams, upstream);

    ct_emit_log(state, event, &row->conf.name, reason, number);
}

static void
log_invalid(struct ct_state *state, struct ct_handle upstream)
{
    struct ct_upstream_notices *notices = &state->upstream_notices;

    if (ct_log_is_due(state->now_ms, &notices->invalid_logged_ms)) {
        log_notice(state, CT_LOG_UPSTREAM_NOTICE_BAD, upstream, NULL, 0);
    }
}

/* Sets the rate of the bucket to this host's share of the limit. */
static void
share_limit(struct ct_state *state, struct ct_notice_row *row)
{
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, row->upstream);
    int64_t limit_permille = MAX(row->limit_permille, LIMIT_MIN_PERMILLE);
    uint32_t hosts =
        ct_group_is_known(state) ? ct_group_size(state) : UNKNOWN_GROUP;
    uint32_t sharers =
        (uint32_t)MIN((int64_t)hosts, SHARERS_MIN + SHARERS_PER_REQUEST *
                                                        limit_permille / 1000);

    ct_token_bucket_set(&row->bucket,
                        ct_token_bucket_tokens(&row->bucket, state->now_ms),
                        state->now_ms);
    row->bucket.tokens_per_ms = 0;
    if (upstream &&
        ct_group_is_among_first(state, upstream->name_hash, sharers)) {
        row->bucket.tokens_per_ms = limit_permille / sharers;
    }
}

static void
end_limit(struct ct_state *state, struct ct_notice_row *row,
          const char *reason)
{
    row->limited = false;
    if (ct_table_get(&state->config.upstreams, row->upstream)) {
        log_notice(state, CT_LOG_UPSTREAM_UNLIMITED, row->upstream, reason, 0);
    }
}

/* The upstream's last response announced a limit, which may be a new one. */
static void
apply_limit(struct ct_state *state, struct ct_notice_row *row,
            int64_t limit_permille)
{
    if (row->limited && row->limit_permille == limit_permille) {
        return;
    }
    if (!row->limited) {
        /* The response belongs to a request, which counts for the limit. */
        row->limited = true;
        row->bucket = (struct ct_token_bucket){.filled_ms = state->now_ms};
    }
    row->limit_permille = limit_permille;
    share_limit(state, row);
    ct_increment_counter(state, CT_COUNTER_NOTICES_LIMIT);
    log_notice(state, CT_LOG_UPSTREAM_LIMITED, row->upstream, NULL,
               limit_permille);
}

/*
 * A response without the notice may have been sent before one with it, so only
 * time ends this.
 */
static void
apply_leaving(struct ct_state *state, struct ct_notice_row *row)
{
    if (row->leaving_until_ms <= state->now_ms) {
        ct_increment_counter(state, CT_COUNTER_NOTICES_LEAVING);
        log_notice(state, CT_LOG_UPSTREAM_SAYS_LEAVING, row->upstream, NULL,
                   0);
    }
    row->leaving_until_ms =
        state->now_ms + state->self.bounds.upstream_pause_max_ms;
}

static void
apply_pause(struct ct_state *state, struct ct_notice_row *row, ct_ms pause_ms)
{
    ct_ms max_ms = state->self.bounds.upstream_pause_max_ms;

    if (pause_ms > max_ms) {
        log_invalid(state, row->upstream);
        pause_ms = max_ms;
    }
    if (row->paused_until_ms <= state->now_ms) {
        ct_increment_counter(state, CT_COUNTER_NOTICES_PAUSE);
        log_notice(state, CT_LOG_UPSTREAM_PAUSED, row->upstream, NULL,
                   pause_ms);
    }
    row->paused_until_ms = MAX(row->paused_until_ms, state->now_ms + pause_ms);
}

void
ct_upstream_notices_on_head(struct ct_state *state, struct ct_handle upstream,
                            const struct ct_upstream_notice *notice)
{
    struct ct_notice_row *row;

    if (ct_handle_is_none(upstream)) {
        return;
    }
    if (notice->invalid) {
        log_invalid(state, upstream);
    }
    row = get_row(&state->upstream_notices, upstream);
    row->heard_ms = state->now_ms;
    if (notice->leaving) {
        apply_leaving(state, row);
    }
    if (notice->pause_ms > 0) {
        apply_pause(state, row, notice->pause_ms);
    }
    if (notice->limited) {
        apply_limit(state, row, notice->limit_permille);
    }
    else if (row->limited && !notice->invalid) {
        end_limit(state, row, "unnamed");
    }
}

void
ct_upstream_notices_share(struct ct_state *state)
{
    struct ct_upstream_notices *notices = &state->upstream_notices;

    if (state->now_ms - notices->shared_ms < SHARE_PERIOD_MS) {
        return;
    }
    notices->shared_ms = state->now_ms;
    for (guint i = 0; i < notices->rows->len; i++) {
        struct ct_notice_row *row =
            &g_array_index(notices->rows, struct ct_notice_row, i);

        if (!row->limited) {
            continue;
        }
        share_limit(state, row);
        if (!ct_table_get(&state->config.upstreams, row->upstream) ||
            (row->bucket.tokens_per_ms == 0 &&
             state->now_ms - row->heard_ms > FORGET_MS)) {
            end_limit(state, row, "expired");
        }
    }
}

/* Returns the pool's row, or NULL if no call of it has waited. */
static const struct ct_notice_pool *
find_pool(const struct ct_state *state, struct ct_handle pool)
{
    const GArray *pools = state->upstream_notices.pools;

    return pool.index < pools->len
               ? &g_array_index(pools, struct ct_notice_pool, pool.index)
               : NULL;
}

/* Whether a call must leave what is free to a more urgent one. */
static bool
must_yield(const struct ct_state *state, const struct ct_notice_pool *pool,
           uint32_t rank)
{
    return pool && pool->waited_ms > 0 && pool->waiting_rank < rank &&
           state->now_ms - pool->waited_ms < TIER_HOLD_MS;
}

bool
ct_upstream_notices_must_yield(const struct ct_state *state,
                               struct ct_handle pool, uint32_t rank)
{
    return must_yield(state, find_pool(state, pool), rank);
}

bool
ct_upstream_notices_bar(const struct ct_state *state,
                        struct ct_handle upstream, uint32_t rank)
{
    const struct ct_notice_row *row =
        find_row(&state->upstream_notices, upstream);
    const struct ct_upstream_row *conf =
        ct_table_get(&state->config.upstreams, upstream);
    const struct ct_notice_pool *pool =
        conf ? find_pool(state, conf->pool) : NULL;

    if (!row) {
        return false;
    }
    if (row->leaving_until_ms > state->now_ms ||
        row->paused_until_ms > state->now_ms) {
        return true;
    }
    return row->limited &&
           (ct_token_bucket_tokens(&row->bucket, state->now_ms) < CT_TOKEN ||
            must_yield(state, pool, rank));
}

void
ct_upstream_notices_on_attempt(struct ct_state *state,
                               struct ct_handle upstream)
{
    struct ct_notice_row *row;

    if (!find_row(&state->upstream_notices, upstream)) {
        return;
    }
    row = get_row(&state->upstream_notices, upstream);
    if (row->limited) {
        ct_token_bucket_take(&row->bucket, state->now_ms);
    }
}

/* Returns the time until the bucket has a token; 0 if it has no limit. */
static ct_ms
token_in_ms(const struct ct_notice_row *row, ct_ms now_ms)
{
    return row->limited ? ct_token_bucket_wait_ms(
                              &row->bucket,
                              ct_token_bucket_tokens(&row->bucket, now_ms))
                        : 0;
}

ct_ms
ct_upstream_notices_free_in_ms(const struct ct_state *state,
                               struct ct_handle upstream)
{
    const struct ct_notice_row *row =
        find_row(&state->upstream_notices, upstream);

    if (!row || row->leaving_until_ms > state->now_ms) {
        return 0;
    }
    return MAX(token_in_ms(row, state->now_ms),
               MAX(row->paused_until_ms - state->now_ms, 0));
}

void
ct_upstream_notices_on_wait(struct ct_state *state, struct ct_handle pool,
                            uint32_t rank)
{
    struct ct_notice_pool *row = get_pool(&state->upstream_notices, pool);

    if (!must_yield(state, row, rank)) {
        row->waited_ms = state->now_ms;
        row->waiting_rank = rank;
    }
}
