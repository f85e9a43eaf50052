#include "relay-backup.h"

#include "candidates.h"
#include "state.h"

/* The cache of a longer prompt takes too long to copy and too much memory. */
#define BACKUP_PROMPT_MAX_TOKENS 4096

/* Whether a backup is worth its copy: the call could not be retried. */
static bool
wants_backup(const struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, relay->pool);

    return pool->conf.backs_up && relay->stream &&
           relay->repeat == CT_REPEAT_NEVER && relay->prompt_tokens > 0 &&
           relay->prompt_tokens <= BACKUP_PROMPT_MAX_TOKENS;
}

/* Returns the chosen upstream's index among the candidates, or n. */
static uint32_t
find_candidate(const struct ct_candidate *candidates, uint32_t n,
               struct ct_handle chosen)
{
    uint32_t i = 0;

    while (i < n && !ct_handle_eq(candidates[i].upstream, chosen)) {
        i++;
    }
    return i;
}

struct ct_handle
ct_relay_backup_choose(struct ct_state *state, const struct ct_relay *relay,
                       const struct ct_balance_request *request,
                       struct ct_handle chosen)
{
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, chosen);
    const struct ct_candidate_filter filter = {
        .pool = relay->pool,
        .state = CT_UPSTREAM_RUNNING,
        .zone = &upstream->conf.zone,
        .tried = relay->tried,
        .n_tried = relay->n_tried,
        .rank = relay->rank,
    };
    struct ct_candidate candidates[CT_CANDIDATES_MAX];
    uint32_t n;
    int backup;

    if (!wants_backup(state, relay)) {
        return CT_NO_HANDLE;
    }
    n = ct_candidates_list(state, &filter, candidates, CT_CANDIDATES_MAX);
    backup = state->relay_balance->ops->choose_backup(
        state->relay_balance, request, candidates, n,
        find_candidate(candidates, n, chosen));
    return backup < 0 ? CT_NO_HANDLE : candidates[backup].upstream;
}

bool
ct_relay_backup_needed(const struct ct_relay *relay)
{
    return relay->response_started && relay->repeat == CT_REPEAT_NEVER;
}

bool
ct_relay_backup_usable(const struct ct_state *state,
                       const struct ct_relay *relay)
{
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, relay->backup);

    return upstream && upstream->state != CT_UPSTREAM_LEAVING &&
           !ct_candidate_is_barred(state, relay->backup, relay->rank);
}
