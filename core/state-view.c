#include "state-view.h"

#include <string.h>

#include "admission.h"
#include "relay-ready.h"
#include "state.h"

enum ct_health
ct_state_health(const struct ct_state *state, ct_ms now_ms)
{
    if (state->draining) {
        return CT_HEALTH_DRAINING;
    }
    if (state->relaying) {
        return ct_relay_is_ready(state, now_ms) ? CT_HEALTH_READY
               : state->store.config_known      ? CT_HEALTH_NOT_CURRENT
                                                : CT_HEALTH_STARTING;
    }
    if (!state->log.ready) {
        return CT_HEALTH_STARTING;
    }
    return ct_admission_may_serve(state, now_ms) ? CT_HEALTH_READY
                                                 : CT_HEALTH_NOT_CURRENT;
}

const char *
ct_health_text(enum ct_health health)
{
    switch (health) {
    case CT_HEALTH_STARTING:
        return "starting";
    case CT_HEALTH_READY:
        return "ready";
    case CT_HEALTH_NOT_CURRENT:
        return "not-current";
    case CT_HEALTH_DRAINING:
    default:
        return "draining";
    }
}

const struct ct_counters *
ct_state_counters(const struct ct_state *state)
{
    return &state->counters;
}

void
ct_state_summarise(const struct ct_state *state, ct_ms now_ms,
                   struct ct_state_summary *summary)
{
    memset(summary, 0, sizeof(*summary));
    summary->health = ct_state_health(state, now_ms);
    summary->log_applied = state->log.applied;
    summary->log_head = state->log.head;
    summary->config_offset = state->config.offset;
    summary->organisations = state->config.organisations.live;
    summary->keys = state->keys.rows.live;
    summary->claims = state->claims.rows.live;
    summary->requests_active = state->requests.active;
    summary->requests_retained =
        state->requests.rows.live - state->requests.active;
    summary->attempts = state->requests.attempts.live;
    summary->refusals_pending = state->refusals.pending->len;
    summary->refusals_dropped = state->refusals.dropped;
    summary->zones_evacuated = state->evacuations.rows.live;
}

bool
ct_state_next_upstream(const struct ct_state *state, ct_ms now_ms,
                       uint32_t *cursor, struct ct_upstream_view *view)
{
    const struct ct_upstream_row *row;
    const struct ct_pool_row *pool;
    struct ct_handle handle;

    do {
        row = ct_table_next(&state->config.upstreams, cursor, &handle);
        if (!row) {
            return false;
        }
    } while (!row->configured);
    memset(view, 0, sizeof(*view));
    pool = ct_table_get(&state->config.pools, row->pool);
    view->conf = row->conf;
    view->kind = pool ? pool->conf.kind : CT_POOL_PLAIN;
    view->in_flight = row->in_flight;
    view->usable = state->balance->ops->usable(state->balance, handle, now_ms);
    view->leaving = row->state == CT_UPSTREAM_LEAVING;
    return true;
}

bool
ct_state_next_pool(const struct ct_state *state, uint32_t *cursor,
                   struct ct_pool_view *view)
{
    struct ct_queue_totals totals = {0};
    const struct ct_pool_row *row;
    struct ct_handle handle;

    do {
        row = ct_table_next(&state->config.pools, cursor, &handle);
        if (!row) {
            return false;
        }
    } while (!row->configured);
    memset(view, 0, sizeof(*view));
    state->queue->ops->totals(state->queue, handle.index, &totals);
    view->name = row->conf.name;
    view->slots_busy = totals.running;
    view->slots_held = row->slots_held;
    view->slots_total = row->slots_total;
    view->queued = totals.queued;
    return true;
}
