#include "relay-choice.h"

#include "candidates.h"
#include "relay-backup.h"
#include "state.h"

/*
 * A call with less time left does not test whether a zone can be reached. The
 * connection of a test may take its whole time-out, 1 s.
 */
#define ZONE_TEST_MIN_REMAINING_MS 4000

/* Selects the running upstreams of the call's pool. */
static struct ct_candidate_filter
filter_running(const struct ct_state *state, const struct ct_relay *relay)
{
    return (struct ct_candidate_filter){
        .pool = relay->pool,
        .state = CT_UPSTREAM_RUNNING,
        .zone = &state->self.zone,
        .tried = relay->tried,
        .n_tried = relay->n_tried,
        .rank = relay->rank,
    };
}

/* Whether all of the candidates are in evacuated zones. */
static bool
are_evacuated(const struct ct_state *state,
              const struct ct_candidate *candidates, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        if (!ct_evacuation_bars(state, candidates[i].upstream)) {
            return false;
        }
    }
    return true;
}

/*
 * Lists the running upstreams of the pool or, if there are none outside of
 * evacuated zones, the unconfirmed ones.
 */
static uint32_t
list_candidates(const struct ct_state *state, const struct ct_relay *relay,
                struct ct_candidate *out)
{
    struct ct_candidate_filter filter = filter_running(state, relay);
    uint32_t n = ct_candidates_list(state, &filter, out, CT_CANDIDATES_MAX);

    if (!are_evacuated(state, out, n)) {
        return n;
    }
    filter.state = CT_UPSTREAM_UNCONFIRMED;
    return ct_candidates_list(state, &filter, out, CT_CANDIDATES_MAX);
}

/*
 * Lists the leaving upstreams. All are excluded from the choice, but those
 * not tried are marked as leaving: their caches can still be copied from.
 */
static uint32_t
list_leaving(const struct ct_state *state, const struct ct_relay *relay,
             struct ct_candidate *out, uint32_t max)
{
    const struct ct_candidate_filter filter = {
        .pool = relay->pool,
        .state = CT_UPSTREAM_LEAVING,
        .tried = relay->tried,
        .n_tried = relay->n_tried,
    };
    uint32_t n = ct_candidates_list(state, &filter, out, max);

    for (uint32_t i = 0; i < n; i++) {
        out[i].leaving = !out[i].excluded;
        out[i].excluded = true;
    }
    return n;
}

/* Whether no other route to the pool has a shorter gap target. */
static bool
has_tight_gap(const struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_prefix_route_row *route =
        ct_table_get(&state->config.prefix_routes, relay->route);
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, relay->pool);

    return route->conf.gap_target_ms <= pool->tightest_gap_ms;
}

/* Whether a route to the pool has a longer gap target than the call's. */
static bool
has_short_gap(const struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_prefix_route_row *route =
        ct_table_get(&state->config.prefix_routes, relay->route);
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, relay->pool);

    return route->conf.gap_target_ms > 0 &&
           route->conf.gap_target_ms < pool->longest_gap_ms;
}

static struct ct_balance_request
describe_request(struct ct_state *state, const struct ct_relay *relay)
{
    return (struct ct_balance_request){
        .now_ms = state->now_ms,
        .prefix_hash = relay->prefix_hash,
        .prompt_tokens = relay->prompt_tokens,
        .tight_gap = has_tight_gap(state, relay),
        .short_gap = has_short_gap(state, relay),
        .tier = relay->rank,
        .hosts = ct_group_size(state),
        .cheap_allowed = true,
        .may_probe = true,
        .random = state->self.share_load ? ct_state_random(state) : 0,
    };
}

/* Whether the call has time for a connection that is not established. */
static bool
may_test_zone(const struct ct_state *state, const struct ct_relay *relay)
{
    return relay->n_tried == 0 &&
           relay->deadline_ms - state->now_ms >= ZONE_TEST_MIN_REMAINING_MS;
}

struct ct_relay_choice
ct_relay_choose_upstream(struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_balance_policy_ops *ops = state->relay_balance->ops;
    const struct ct_balance_request request = describe_request(state, relay);
    struct ct_candidate candidates[CT_CANDIDATES_MAX];
    struct ct_relay_choice choice = {.upstream = CT_NO_HANDLE};
    uint32_t n;
    int chosen;
    int donor;

    ct_upstream_notices_share(state);
    ct_upstream_speed_compare(state);
    n = list_candidates(state, relay, candidates);
    ct_zone_reachability_filter(state, may_test_zone(state, relay), candidates,
                                n);
    chosen =
        ops->choose_upstream(state->relay_balance, &request, candidates, n);
    if (chosen < 0) {
        return choice;
    }
    choice.upstream = candidates[chosen].upstream;
    choice.backup =
        ct_relay_backup_choose(state, relay, &request, choice.upstream);
    if (relay->prefix_hash) {
        n += list_leaving(state, relay, &candidates[n], CT_CANDIDATES_MAX - n);
        donor = ops->cache_donor(state->relay_balance, &request, candidates, n,
                                 (uint32_t)chosen);
        if (donor >= 0) {
            choice.cache_donor = candidates[donor].upstream;
        }
    }
    return choice;
}

struct ct_relay_choice
ct_relay_choose_backup(struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_balance_request request = describe_request(state, relay);

    return (struct ct_relay_choice){
        .upstream = relay->backup,
        .backup =
            ct_relay_backup_choose(state, relay, &request, relay->backup),
        .from_backup = true,
    };
}

ct_ms
ct_relay_upstream_free_in_ms(const struct ct_state *state,
                             const struct ct_relay *relay)
{
    const struct ct_candidate_filter filter = filter_running(state, relay);

    return ct_candidates_free_in_ms(state, &filter);
}

enum ct_refusal
ct_relay_no_choice_reason(const struct ct_state *state,
                          const struct ct_relay *relay)
{
    if (ct_relay_upstream_free_in_ms(state, relay) > 0) {
        return CT_REFUSAL_UPSTREAM_LIMITED;
    }
    return ct_evacuation_bars_pool(state, relay->pool)
               ? CT_REFUSAL_ZONE_EVACUATED
               : CT_REFUSAL_NO_UPSTREAM;
}

ct_ms
ct_relay_new_call_in_ms(const struct ct_state *state,
                        const struct ct_relay *relay)
{
    struct ct_candidate_filter filter = filter_running(state, relay);

    filter.n_tried = 0;
    return ct_candidates_free_in_ms(state, &filter);
}
