#include "candidates.h"

#include "load-sharing.h"
#include "state.h"

bool
ct_candidate_was_tried(const struct ct_handle *tried, uint32_t n_tried,
                       struct ct_handle upstream)
{
    for (uint32_t i = 0; i < n_tried; i++) {
        if (ct_handle_eq(tried[i], upstream)) {
            return true;
        }
    }
    return false;
}

bool
ct_candidate_is_barred(const struct ct_state *state, struct ct_handle upstream,
                       uint32_t rank)
{
    return ct_evacuation_bars(state, upstream) ||
           ct_upstream_notices_bar(state, upstream, rank) ||
           ct_cold_upstreams_bar(state, upstream, rank);
}

static void
set_shared_load(const struct ct_state *state, struct ct_candidate *candidate)
{
    struct ct_shared_load load;

    if (ct_load_sharing_get(state, candidate->upstream, &load)) {
        candidate->load_known = true;
        candidate->others_in_flight = load.others_in_flight;
        candidate->load_age_ms = load.age_ms;
    }
}

uint32_t
ct_candidates_list(const struct ct_state *state,
                   const struct ct_candidate_filter *filter,
                   struct ct_candidate *out, uint32_t max)
{
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, filter->pool);
    uint32_t n = 0;

    for (uint32_t i = 0; i < pool->n_upstreams && n < max; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        if (!upstream || upstream->state != filter->state) {
            continue;
        }
        out[n] = (struct ct_candidate){
            .upstream = pool->upstreams[i],
            .name_hash = upstream->name_hash,
            .slots = upstream->conf.slots,
            .cheap = upstream->conf.cheap,
            .same_zone =
                filter->zone && ct_name_eq(filter->zone, &upstream->conf.zone),
            .excluded = ct_candidate_was_tried(filter->tried, filter->n_tried,
                                               pool->upstreams[i]),
            .barred = ct_candidate_is_barred(state, pool->upstreams[i],
                                             filter->rank),
            .speed_percent =
                ct_upstream_speed_percent(state, pool->upstreams[i]),
        };
        set_shared_load(state, &out[n++]);
    }
    return n;
}

ct_ms
ct_candidates_free_in_ms(const struct ct_state *state,
                         const struct ct_candidate_filter *filter)
{
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, filter->pool);
    ct_ms least_ms = 0;

    for (uint32_t i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *upstream =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);
        ct_ms free_in_ms;

        if (!upstream || upstream->state != filter->state ||
            ct_evacuation_bars(state, pool->upstreams[i]) ||
            ct_candidate_was_tried(filter->tried, filter->n_tried,
                                   pool->upstreams[i])) {
            continue;
        }
        free_in_ms =
            MAX(ct_upstream_notices_free_in_ms(state, pool->upstreams[i]),
                ct_cold_upstreams_free_in_ms(state, pool->upstreams[i]));
        if (free_in_ms > 0 && (least_ms == 0 || free_in_ms < least_ms)) {
            least_ms = free_in_ms;
        }
    }
    return least_ms;
}
