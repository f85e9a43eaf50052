#include "dispatch.h"

#include <string.h>

#include "attempt.h"
#include "candidates.h"
#include "error.h"
#include "slot-sharing.h"
#include "state.h"

/* Time limit for reading an appended claim back from the log. */
#define CLAIM_TIMEOUT_MS 4000

/* Interval at which the usable slots are recounted. */
#define SLOT_RECOUNT_PERIOD_MS 1000

#define BACKOFF_RETRY_AFTER_MS 1000
/*
 * Delay before a pool is served again after no upstream could take a request.
 */
#define NO_UPSTREAM_RETRY_MS 100

static struct ct_queue_request
make_waiting_request(const struct ct_request *request, struct ct_handle handle)
{
    return (struct ct_queue_request){
        .request = handle,
        .organisation = request->organisation.index,
        .klass = request->klass.index,
        .pool = request->pool.index,
        .arrived_ms = request->arrived_ms,
        .prompt_tokens = request->prompt_tokens,
        .max_tokens = request->max_tokens,
    };
}

/*
 * Starts a request that has just been given a slot. A request that may run
 * only once is claimed first.
 */
static void
claim_or_start(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);
    struct ct_record record;

    request->placed_ms = state->now_ms;
    if (request->idempotent) {
        ct_dispatch_start_attempt(state, handle);
        return;
    }
    request->state = CT_REQUEST_CLAIMING;
    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CLAIM;
    record.u.claim.digest = request->claim;
    record.u.claim.request_id = request->id;
    record.u.claim.host = state->self.host;
    record.u.claim.key_wall_ms = request->key_wall_ms;
    request->claim_sequence =
        ct_log_append(state, &record, state->now_ms + CLAIM_TIMEOUT_MS);
    ct_arm_timer(state, CLAIM_TIMEOUT_MS, CT_TIMER_CLAIM, handle);
}

void
ct_dispatch_append_claim_done(struct ct_state *state,
                              const struct ct_claim *claim, int32_t status)
{
    struct ct_record record;

    memset(&record, 0, sizeof(record));
    record.type = CT_RECORD_CLAIM_DONE;
    record.u.claim = *claim;
    record.u.claim.done = true;
    record.u.claim.status = status;
    ct_log_append(state, &record, CT_MS_NEVER);
}

static void
refuse_shed_request(struct ct_state *state,
                    const struct ct_queue_refusal *shed)
{
    ct_request_fail(state, shed->request, shed->reason, shed->retry_after_ms);
}

void
ct_dispatch_enqueue(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);
    struct ct_queue_request w = make_waiting_request(request, handle);
    struct ct_queue_decision decision;
    int err;

    memset(&decision, 0, sizeof(decision));
    request->state = CT_REQUEST_QUEUED;
    err =
        state->queue->ops->arrive(state->queue, &w, state->now_ms, &decision);
    if (err < 0) {
        ct_request_fail(state, handle, CT_REFUSAL_TABLE_FULL,
                        BACKOFF_RETRY_AFTER_MS);
        return;
    }
    if (decision.has_shed) {
        refuse_shed_request(state, &decision.shed);
    }
    switch (decision.admission) {
    case CT_ADMITTED:
        claim_or_start(state, handle);
        return;
    case CT_QUEUED:
        ct_arm_timer(state, decision.wait_deadline_ms - state->now_ms,
                     CT_TIMER_QUEUE, handle);
        ct_slot_sharing_request_slots(state, request->pool);
        return;
    case CT_REFUSED:
    default:
        request->expected_wait_ms = decision.expected_wait_ms;
        ct_request_fail(state, handle, decision.reason,
                        decision.retry_after_ms);
        return;
    }
}

/* Lists the running upstreams of the request's pool. */
static uint32_t
list_candidates(const struct ct_state *state, const struct ct_request *request,
                struct ct_candidate *out)
{
    const struct ct_host_conf_row *self =
        ct_table_get(&state->config.hosts,
                     ct_config_host(&state->config, &state->self.host));
    const struct ct_candidate_filter filter = {
        .pool = request->pool,
        .state = CT_UPSTREAM_RUNNING,
        .zone = self ? &self->conf.zone : NULL,
        .tried = request->tried,
        .n_tried = request->n_tried,
    };

    return ct_candidates_list(state, &filter, out, CT_CANDIDATES_MAX);
}

/*
 * Chooses an upstream. Upstreams that failed this request are used only if
 * there is no other.
 */
static struct ct_handle
choose_upstream(struct ct_state *state, const struct ct_request *request)
{
    const struct ct_class_row *klass =
        ct_table_get(&state->config.classes, request->klass);
    struct ct_candidate candidates[CT_CANDIDATES_MAX];
    uint32_t n = list_candidates(state, request, candidates);
    struct ct_balance_request balance_request = {
        .now_ms = state->now_ms,
        .prefix_hash = request->prefix_hash,
        .tier = request->tier,
        .cheap_allowed = klass->conf.cheap_allowed,
        .may_probe = request->idempotent,
    };
    uint32_t i;
    int chosen;

    chosen = state->balance->ops->choose_upstream(
        state->balance, &balance_request, candidates, n);
    if (chosen < 0 && request->n_tried) {
        for (i = 0; i < n; i++) {
            candidates[i].excluded = false;
        }
        chosen = state->balance->ops->choose_upstream(
            state->balance, &balance_request, candidates, n);
    }
    return chosen < 0 ? CT_NO_HANDLE : candidates[chosen].upstream;
}

/*
 * Returns a request that holds a slot to the queue because no upstream can
 * take the request, such as after the loss of several upstreams. One timer per
 * pool serves the queue again for all such requests. Returns false if the
 * request cannot be queued again.
 */
static bool
requeue_request(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);
    struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, request->pool);

    if (!request->idempotent || state->queue->ops->give_back(
                                    state->queue, handle, state->now_ms) < 0) {
        return false;
    }
    request->state = CT_REQUEST_QUEUED;
    if (state->now_ms >= pool->serve_again_at_ms) {
        pool->serve_again_at_ms = state->now_ms + NO_UPSTREAM_RETRY_MS;
        ct_arm_timer(state, NO_UPSTREAM_RETRY_MS, CT_TIMER_QUEUE, handle);
    }
    return true;
}

void
ct_dispatch_start_attempt(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);
    const struct ct_upstream_row *row;
    struct ct_handle upstream;

    /* The key may have been withdrawn while the request waited. */
    if (!ct_keys_usable(&state->keys, request->key)) {
        ct_request_fail(state, handle, CT_REFUSAL_KEY_WITHDRAWN, 0);
        return;
    }
    upstream = choose_upstream(state, request);
    row = ct_table_get(&state->config.upstreams, upstream);
    if (!row && request->attempts == 0 && requeue_request(state, handle)) {
        return;
    }
    if (!row) {
        ct_request_fail(state, handle, CT_REFUSAL_NO_UPSTREAM,
                        BACKOFF_RETRY_AFTER_MS);
        return;
    }
    state->queue->ops->set_placement(state->queue, handle, row->conf.cheap);
    request->state = CT_REQUEST_RUNNING;
    request->attempt = ct_attempt_start(state, handle, upstream);
}

/*
 * Returns an upstream for a hedge of the running attempt, or CT_NO_HANDLE if
 * no other upstream is available.
 */
static struct ct_handle
choose_hedge(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);
    struct ct_handle upstream = choose_upstream(state, request);

    return ct_candidate_was_tried(request->tried, request->n_tried, upstream)
               ? CT_NO_HANDLE
               : upstream;
}

static void
update_busy_slots(struct ct_state *state, struct ct_handle handle)
{
    struct ct_pool_row *pool = ct_table_get(&state->config.pools, handle);
    struct ct_queue_totals totals = {0};

    if (pool) {
        state->queue->ops->totals(state->queue, handle.index, &totals);
        pool->slots_busy = totals.running;
        state->counters.values[CT_COUNTER_TIER_INVERSIONS] +=
            totals.inversions - pool->inversions;
        pool->inversions = totals.inversions;
    }
}

void
ct_dispatch_serve_pool(struct ct_state *state, struct ct_handle pool)
{
    const struct ct_request *request;
    struct ct_queue_request w;
    struct ct_queue_refusal shed;

    while (state->queue->ops->expire(state->queue, state->now_ms, &shed) > 0) {
        refuse_shed_request(state, &shed);
    }
    while (state->queue->ops->next(state->queue, pool.index, state->now_ms,
                                   &w) > 0) {
        claim_or_start(state, w.request);
        request = ct_request_get(state, w.request);
        if (request && request->state == CT_REQUEST_QUEUED) {
            break;
        }
    }
    update_busy_slots(state, pool);
}

void
ct_dispatch_release_slot(struct ct_state *state, struct ct_handle handle,
                         bool complete)
{
    const struct ct_request *request = ct_request_get(state, handle);
    struct ct_queue_result served = {
        .request = handle,
        .first_token_ms = request->first_token_ms,
        .prompt_tokens = request->prompt_tokens,
        .output_tokens = request->response_tokens,
        .complete = complete,
    };

    state->queue->ops->release_slot(state->queue, &served, state->now_ms);
    if (ct_slot_sharing_grant_owed(state, request->pool)) {
        ct_dispatch_update_slots(state, request->pool);
    }
    ct_dispatch_serve_pool(state, request->pool);
}

void
ct_dispatch_dequeue(struct ct_state *state, struct ct_handle handle)
{
    /* An error is expected here if the policy itself removed the request. */
    state->queue->ops->remove_queued(state->queue, handle);
}

void
ct_dispatch_update_slots(struct ct_state *state, struct ct_handle handle)
{
    struct ct_pool_row *pool = ct_table_get(&state->config.pools, handle);
    uint32_t firm = 0;
    uint32_t cheap = 0;
    uint32_t i;
    int err;

    if (!pool) {
        return;
    }
    for (i = 0; i < pool->n_upstreams; i++) {
        const struct ct_upstream_row *row =
            ct_table_get(&state->config.upstreams, pool->upstreams[i]);

        if (!row || row->state != CT_UPSTREAM_RUNNING ||
            !state->balance->ops->usable(state->balance, pool->upstreams[i],
                                         state->now_ms)) {
            continue;
        }
        if (row->conf.cheap) {
            cheap += row->conf.slots;
        }
        else {
            firm += row->conf.slots;
        }
    }
    pool->slots_total = firm + cheap;
    err = ct_slot_sharing_held(state, &pool->conf.name, firm, cheap, &firm,
                               &cheap);
    if (err < 0) {
        state->out->err = err;
        return;
    }
    pool->slots_held = firm + cheap;
    state->queue->ops->set_pool(state->queue, handle.index, firm, cheap);
}

void
ct_dispatch_configure(struct ct_state *state)
{
    struct ct_queue_policy *queue = state->queue;
    const struct ct_organisation_row *organisation;
    const struct ct_class_row *klass;
    struct ct_handle handle;
    uint32_t cursor = 0;

    ct_slot_sharing_configure(state);
    while ((organisation = ct_table_next(&state->config.organisations, &cursor,
                                         &handle))) {
        queue->ops->set_organisation(queue, handle.index,
                                     organisation->conf.weight);
    }
    cursor = 0;
    while ((klass = ct_table_next(&state->config.classes, &cursor, &handle))) {
        queue->ops->set_class(queue, handle.index, &klass->conf);
    }
    if (!state->slot_recount_armed) {
        state->slot_recount_armed = true;
        ct_dispatch_on_slot_recount_timer(state);
        return;
    }
    cursor = 0;
    while (ct_table_next(&state->config.pools, &cursor, &handle)) {
        ct_dispatch_update_slots(state, handle);
        ct_dispatch_serve_pool(state, handle);
    }
}

void
ct_dispatch_on_queue_timer(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);

    if (request && request->state == CT_REQUEST_QUEUED) {
        ct_dispatch_serve_pool(state, request->pool);
    }
}

void
ct_dispatch_on_claim_timer(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);

    if (request && request->state == CT_REQUEST_CLAIMING) {
        ct_request_fail(state, handle, CT_REFUSAL_LOG_UNAVAILABLE,
                        BACKOFF_RETRY_AFTER_MS);
    }
}

void
ct_dispatch_on_append_done(struct ct_state *state,
                           const struct ct_append_done *done)
{
    const struct ct_request *request;
    struct ct_handle handle;
    uint32_t cursor = 0;

    if (done->result == CT_OK) {
        return;
    }
    while (
        (request = ct_table_next(&state->requests.rows, &cursor, &handle))) {
        if (request->state == CT_REQUEST_CLAIMING &&
            request->claim_sequence == done->sequence) {
            ct_request_fail(state, handle, CT_REFUSAL_LOG_UNAVAILABLE,
                            BACKOFF_RETRY_AFTER_MS);
            return;
        }
    }
}

void
ct_dispatch_on_slot_recount_timer(struct ct_state *state)
{
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (ct_table_next(&state->config.pools, &cursor, &handle)) {
        ct_dispatch_update_slots(state, handle);
        ct_dispatch_serve_pool(state, handle);
    }
    ct_arm_timer(state, SLOT_RECOUNT_PERIOD_MS, CT_TIMER_SLOT_RECOUNT,
                 CT_NO_HANDLE);
}

void
ct_dispatch_on_slot_message(struct ct_state *state,
                            const struct ct_peer_message *message)
{
    struct ct_handle pool = ct_slot_sharing_on_message(state, message);

    if (!ct_handle_is_none(pool)) {
        ct_dispatch_update_slots(state, pool);
        ct_dispatch_serve_pool(state, pool);
    }
}

void
ct_dispatch_on_slot_sharing_timer(struct ct_state *state)
{
    struct ct_handle pool;
    uint32_t cursor = 0;

    ct_slot_sharing_on_timer(state);
    while (ct_slot_sharing_next_active(state, &cursor, &pool)) {
        ct_dispatch_update_slots(state, pool);
        ct_dispatch_serve_pool(state, pool);
    }
}

void
ct_dispatch_on_retry_timer(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);

    if (request && request->state == CT_REQUEST_BACKOFF) {
        ct_dispatch_start_attempt(state, handle);
    }
}

void
ct_dispatch_on_hedge_timer(struct ct_state *state, struct ct_handle handle)
{
    struct ct_handle upstream;

    if (!ct_attempt_awaits_hedge(state, handle)) {
        return;
    }
    upstream = choose_hedge(state, handle);
    if (!ct_handle_is_none(upstream)) {
        ct_attempt_start_hedge(state, handle, upstream);
    }
}

static void
take_attempt_step(struct ct_state *state,
                  const struct ct_attempt_result *result)
{
    ct_dispatch_update_slots(state, result->pool);
    switch (result->step) {
    case CT_ATTEMPT_STEP_WRITE:
        ct_request_write_progress(state, result->request);
        return;
    case CT_ATTEMPT_STEP_RETRY:
        ct_dispatch_start_attempt(state, result->request);
        return;
    case CT_ATTEMPT_STEP_FAIL:
        ct_request_fail(state, result->request, result->reason, 0);
        return;
    case CT_ATTEMPT_STEP_COMPLETE:
        ct_request_complete(state, result->request);
        return;
    case CT_ATTEMPT_STEP_NONE:
    default:
        return;
    }
}

void
ct_dispatch_on_attempt_data(struct ct_state *state,
                            const struct ct_attempt_event *event)
{
    struct ct_attempt_result result = ct_attempt_on_data(state, event);

    take_attempt_step(state, &result);
}

void
ct_dispatch_on_attempt_done(struct ct_state *state,
                            const struct ct_attempt_event *event)
{
    struct ct_attempt_result result = ct_attempt_on_done(state, event);

    take_attempt_step(state, &result);
}
