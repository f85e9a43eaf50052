#include "attempt.h"

#include <string.h>

#include "error.h"
#include "retry.h"
#include "state.h"

#define ATTEMPTS_MAX 4
/* Time limit from the dispatch decision to the first byte of the request. */
#define START_LIMIT_MS 5000
#define BACKOFF_MS 20
#define DEFAULT_GAP_TIMEOUT_MS 10000

static struct ct_attempt *
get_attempt(const struct ct_state *state, struct ct_handle handle)
{
    return ct_table_get(&state->requests.attempts, handle);
}

static struct ct_class_row *
class_of(const struct ct_state *state, const struct ct_request *request)
{
    return ct_table_get(&state->config.classes, request->klass);
}

static void
emit_start_attempt(struct ct_state *state, struct ct_handle handle,
                   const struct ct_attempt *attempt)
{
    const struct ct_request *request = ct_request_get(state, attempt->request);
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, attempt->upstream);
    const struct ct_route_row *route =
        ct_table_get(&state->config.routes, request->route);
    const struct ct_class_row *klass = class_of(state, request);
    ct_ms gap_ms = klass->conf.gap_timeout_ms ? klass->conf.gap_timeout_ms
                                              : DEFAULT_GAP_TIMEOUT_MS;
    struct ct_attempt_effect *start =
        &ct_emit_effect(state, CT_EFFECT_START_ATTEMPT)->u.attempt;

    start->attempt = handle;
    start->request = attempt->request;
    start->caller = request->body_caller;
    start->request_id = request->id;
    start->kind = request->kind;
    start->path = route->conf.path;
    start->upstream = upstream->conf.name;
    start->pool = upstream->conf.pool;
    start->address = upstream->conf.address;
    start->priority = request->tier;
    start->at_most_once = !request->idempotent;
    start->resume_offset = request->response_bytes;
    start->gap_timeout_ms = gap_ms;
    start->total_timeout_ms = MAX(gap_ms, klass->conf.total_target_ms);
    start->not_after_ms = state->now_ms + START_LIMIT_MS;
}

struct ct_handle
ct_attempt_start(struct ct_state *state, struct ct_handle request_handle,
                 struct ct_handle upstream_handle)
{
    struct ct_request *request = ct_request_get(state, request_handle);
    struct ct_class_row *klass = class_of(state, request);
    struct ct_upstream_row *upstream;
    struct ct_attempt *attempt;
    struct ct_handle handle;
    ct_ms hedge_ms;
    int err;

    err = ct_table_add(&state->requests.attempts, &handle);
    if (err < 0) {
        state->out->err = err;
        return CT_NO_HANDLE;
    }
    attempt = get_attempt(state, handle);
    attempt->request = request_handle;
    attempt->upstream = upstream_handle;
    attempt->started_ms = state->now_ms;
    attempt->last_token_ms = state->now_ms;
    ct_table_ref(&state->config.upstreams, upstream_handle);
    upstream = ct_table_get(&state->config.upstreams, upstream_handle);
    upstream->in_flight++;
    ct_increment_counter(state, CT_COUNTER_ATTEMPTS);
    state->balance->ops->started(state->balance, upstream_handle,
                                 state->now_ms);
    if (request->attempts++ == 0) {
        ct_retry_count_first_attempt(&klass->retry);
        hedge_ms = ct_hedge_delay_ms(&klass->retry, request->idempotent);
        if (hedge_ms >= 0) {
            ct_arm_timer(state, hedge_ms, CT_TIMER_HEDGE, request_handle);
        }
    }
    emit_start_attempt(state, handle, attempt);
    return handle;
}

/* Removes an attempt; later events of it are dropped. */
static void
end_attempt(struct ct_state *state, struct ct_handle handle,
            enum ct_outcome outcome)
{
    struct ct_attempt *attempt = get_attempt(state, handle);
    struct ct_upstream_row *upstream;

    if (!attempt) {
        return;
    }
    upstream = ct_table_get(&state->config.upstreams, attempt->upstream);
    upstream->in_flight--;
    state->balance->ops->ended(state->balance, attempt->upstream, outcome,
                               state->now_ms);
    ct_table_unref(&state->config.upstreams, attempt->upstream);
    ct_table_unref(&state->requests.attempts, handle);
}

static void
emit_cancel_attempt(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_attempt *attempt = get_attempt(state, handle);
    const struct ct_request *request = ct_request_get(state, attempt->request);
    struct ct_attempt_effect *effect =
        &ct_emit_effect(state, CT_EFFECT_CANCEL_ATTEMPT)->u.attempt;

    effect->attempt = handle;
    effect->request = attempt->request;
    effect->kind = request->kind;
    effect->request_id = request->id;
}

static void
cancel_attempt(struct ct_state *state, struct ct_handle *handle)
{
    if (get_attempt(state, *handle)) {
        emit_cancel_attempt(state, *handle);
        end_attempt(state, *handle, CT_OUTCOME_CANCELLED);
    }
    *handle = CT_NO_HANDLE;
}

void
ct_attempts_cancel(struct ct_state *state, struct ct_handle request_handle)
{
    struct ct_request *request = ct_request_get(state, request_handle);

    cancel_attempt(state, &request->attempt);
    cancel_attempt(state, &request->hedge);
}

/*
 * Returns the request of a running attempt. If the attempt has ended, counts
 * the late event and returns NULL.
 */
static struct ct_request *
request_of_event(struct ct_state *state, const struct ct_attempt_event *event)
{
    const struct ct_attempt *attempt = get_attempt(state, event->attempt);

    if (!attempt) {
        /* The end of a cancelled attempt is expected, so it is not counted. */
        if (event->outcome != CT_OUTCOME_CANCELLED) {
            ct_increment_counter(state, CT_COUNTER_LATE_EVENTS);
        }
        return NULL;
    }
    return ct_request_get(state, attempt->request);
}

void
ct_attempt_on_sent(struct ct_state *state,
                   const struct ct_attempt_event *event)
{
    struct ct_request *request = request_of_event(state, event);

    if (request) {
        request->may_have_run = true;
        get_attempt(state, event->attempt)->sent = true;
    }
}

void
ct_attempt_on_head(struct ct_state *state,
                   const struct ct_attempt_event *event)
{
    if (request_of_event(state, event)) {
        get_attempt(state, event->attempt)->status = event->status;
    }
}

/*
 * Cancels the loser of an attempt and its hedge: the first of them that
 * returns data or completes is used and the other is cancelled.
 */
static void
cancel_losing_attempt(struct ct_state *state, struct ct_request *request,
                      struct ct_handle winner)
{
    struct ct_handle loser;

    if (ct_handle_is_none(request->hedge)) {
        return;
    }
    loser = ct_handle_eq(request->attempt, winner) ? request->hedge
                                                   : request->attempt;
    ct_increment_counter(state, CT_COUNTER_HEDGES_WASTED);
    cancel_attempt(state, &loser);
    request->attempt = winner;
    request->hedge = CT_NO_HANDLE;
}

static void
record_tokens(struct ct_state *state, struct ct_request *request,
              struct ct_attempt *attempt, uint32_t tokens)
{
    ct_ms wait_ms = state->now_ms - attempt->started_ms;

    if (tokens == 0) {
        return;
    }
    if (!attempt->got_data) {
        attempt->got_data = true;
        state->balance->ops->first_token(state->balance, attempt->upstream,
                                         wait_ms, state->now_ms);
        ct_retry_record_first_token(&class_of(state, request)->retry, wait_ms);
        if (request->first_token_ms < 0) {
            request->first_token_ms = wait_ms;
        }
    }
    else {
        state->balance->ops->token_gap(
            state->balance, attempt->upstream, tokens,
            state->now_ms - attempt->last_token_ms, state->now_ms);
    }
    attempt->last_token_ms = state->now_ms;
    request->response_tokens += tokens;
    state->counters.values[CT_COUNTER_TOKENS_OUT] += tokens;
}

static enum ct_counter
retry_counter(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_NOT_SENT:
        return CT_COUNTER_RETRY_NOT_SENT;
    case CT_OUTCOME_DECLINED:
        return CT_COUNTER_RETRY_DECLINED;
    case CT_OUTCOME_FAILED:
        return CT_COUNTER_RETRY_FAILED;
    case CT_OUTCOME_GAP_TIMEOUT:
        return CT_COUNTER_RETRY_GAP_TIMEOUT;
    case CT_OUTCOME_MISMATCH:
        return CT_COUNTER_RETRY_MISMATCH;
    case CT_OUTCOME_EXPIRED:
        return CT_COUNTER_RETRY_EXPIRED;
    case CT_OUTCOME_CONNECTION_LOST:
    case CT_OUTCOME_COMPLETE:
    case CT_OUTCOME_CANCELLED:
    default:
        return CT_COUNTER_RETRY_CONNECTION_LOST;
    }
}

static enum ct_refusal
failure_reason(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_NOT_SENT:
    case CT_OUTCOME_DECLINED:
    case CT_OUTCOME_EXPIRED:
        return CT_REFUSAL_NO_UPSTREAM;
    case CT_OUTCOME_GAP_TIMEOUT:
        return CT_REFUSAL_UPSTREAM_SILENT;
    case CT_OUTCOME_COMPLETE:
    case CT_OUTCOME_FAILED:
    case CT_OUTCOME_CONNECTION_LOST:
    case CT_OUTCOME_MISMATCH:
    case CT_OUTCOME_CANCELLED:
    default:
        return CT_REFUSAL_UPSTREAM_FAILED;
    }
}

/*
 * Whether another attempt can continue the response. Engines resume a stream
 * at a byte offset. Any other response starts from its first byte, which is
 * possible only while the caller has received nothing; its progress is then
 * reset.
 */
static bool
can_resume(struct ct_request *request)
{
    if (request->response_bytes == 0) {
        return true;
    }
    if (request->kind == CT_CALL_CHAT && request->stream) {
        return true;
    }
    if (request->written_bytes == 0) {
        request->response_bytes = 0;
        request->response_tokens = 0;
        return true;
    }
    return false;
}

static bool
may_retry(struct ct_state *state, struct ct_request *request,
          enum ct_outcome outcome)
{
    struct ct_class_row *klass = class_of(state, request);

    if (request->attempts >= ATTEMPTS_MAX || !can_resume(request)) {
        return false;
    }
    if (!ct_retry_allowed(&klass->retry, outcome, request->idempotent)) {
        if (request->idempotent) {
            ct_increment_counter(state, CT_COUNTER_RETRY_OVER_BUDGET);
        }
        return false;
    }
    return true;
}

static void
add_tried_upstream(struct ct_request *request, struct ct_handle upstream)
{
    if (request->n_tried < G_N_ELEMENTS(request->tried)) {
        request->tried[request->n_tried++] = upstream;
    }
}

/*
 * Returns the step of a further attempt: from the third attempt on, the timer
 * starts it after a delay.
 */
static enum ct_attempt_step
retry_request(struct ct_state *state, struct ct_handle handle,
              enum ct_outcome outcome)
{
    struct ct_request *request = ct_request_get(state, handle);
    ct_ms delay_ms;

    ct_increment_counter(state, retry_counter(outcome));
    if (request->response_bytes) {
        ct_increment_counter(state, CT_COUNTER_RESUMES);
    }
    if (request->attempts < 2) {
        return CT_ATTEMPT_STEP_RETRY;
    }
    request->state = CT_REQUEST_BACKOFF;
    delay_ms = (ct_ms)BACKOFF_MS << request->attempts;
    delay_ms += (ct_ms)(ct_state_random(state) % (uint64_t)delay_ms);
    ct_arm_timer(state, delay_ms, CT_TIMER_RETRY, handle);
    return CT_ATTEMPT_STEP_NONE;
}

/*
 * Recomputes may_have_run after a failed attempt. It is cleared if no attempt
 * may have run the request, as after an attempt that the upstream declined.
 */
static void
update_may_have_run(const struct ct_state *state, struct ct_request *request)
{
    const struct ct_attempt *other = get_attempt(state, request->attempt);

    request->may_have_run =
        request->earlier_may_have_run || (other && other->sent);
}

static struct ct_attempt_result
handle_failed_attempt(struct ct_state *state, struct ct_handle attempt_handle,
                      enum ct_outcome outcome)
{
    const struct ct_attempt *attempt = get_attempt(state, attempt_handle);
    struct ct_request *request = ct_request_get(state, attempt->request);
    struct ct_attempt_result result = {.request = attempt->request,
                                       .pool = request->pool,
                                       .reason = failure_reason(outcome)};
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, attempt->upstream);

    ct_emit_log(state, CT_LOG_ATTEMPT_FAILED, &upstream->conf.name,
                ct_refusal_text(result.reason), outcome);
    request->earlier_may_have_run |=
        attempt->sent && ct_outcome_may_have_run(outcome);
    add_tried_upstream(request, attempt->upstream);
    end_attempt(state, attempt_handle, outcome);
    if (ct_handle_eq(request->attempt, attempt_handle)) {
        request->attempt = request->hedge;
    }
    request->hedge = CT_NO_HANDLE;
    update_may_have_run(state, request);
    if (!ct_handle_is_none(request->attempt)) {
        return result;
    }
    result.step = may_retry(state, request, outcome)
                      ? retry_request(state, result.request, outcome)
                      : CT_ATTEMPT_STEP_FAIL;
    return result;
}

struct ct_attempt_result
ct_attempt_on_data(struct ct_state *state,
                   const struct ct_attempt_event *event)
{
    struct ct_request *request = request_of_event(state, event);
    struct ct_attempt_result result = {0};
    struct ct_attempt *attempt;

    if (!request) {
        return result;
    }
    attempt = get_attempt(state, event->attempt);
    cancel_losing_attempt(state, request, event->attempt);
    if (event->offset < request->response_bytes) {
        ct_increment_counter(state, CT_COUNTER_LATE_EVENTS);
        return result;
    }
    if (event->offset > request->response_bytes) {
        /*
         * Bytes are missing; another attempt resumes after the last byte
         * received.
         */
        emit_cancel_attempt(state, event->attempt);
        return handle_failed_attempt(state, event->attempt,
                                     CT_OUTCOME_MISMATCH);
    }
    request->status = attempt->status;
    request->response_bytes = event->offset + event->bytes;
    record_tokens(state, request, attempt, event->tokens);
    result.step = CT_ATTEMPT_STEP_WRITE;
    result.request = attempt->request;
    return result;
}

struct ct_attempt_result
ct_attempt_on_done(struct ct_state *state,
                   const struct ct_attempt_event *event)
{
    struct ct_request *request = request_of_event(state, event);
    struct ct_attempt_result result = {0};
    const struct ct_attempt *attempt;

    if (!request) {
        return result;
    }
    if (event->outcome != CT_OUTCOME_COMPLETE) {
        return handle_failed_attempt(state, event->attempt, event->outcome);
    }
    attempt = get_attempt(state, event->attempt);
    result.step = CT_ATTEMPT_STEP_COMPLETE;
    result.request = attempt->request;
    cancel_losing_attempt(state, request, event->attempt);
    request->status = attempt->status;
    if (event->total_tokens) {
        request->response_tokens = event->total_tokens;
    }
    if (event->prompt_tokens) {
        request->prompt_tokens = event->prompt_tokens;
    }
    state->counters.values[CT_COUNTER_TOKENS_IN] += request->prompt_tokens;
    end_attempt(state, event->attempt, event->outcome);
    request->attempt = CT_NO_HANDLE;
    return result;
}

bool
ct_attempt_awaits_hedge(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);
    const struct ct_attempt *first;

    if (!request || request->state != CT_REQUEST_RUNNING ||
        request->response_bytes || request->attempts != 1) {
        return false;
    }
    first = get_attempt(state, request->attempt);
    if (!first) {
        return false;
    }
    add_tried_upstream(request, first->upstream);
    return true;
}

void
ct_attempt_start_hedge(struct ct_state *state, struct ct_handle handle,
                       struct ct_handle upstream)
{
    struct ct_request *request = ct_request_get(state, handle);

    if (!ct_hedge_allowed(&class_of(state, request)->retry,
                          request->idempotent)) {
        return;
    }
    ct_increment_counter(state, CT_COUNTER_HEDGES);
    request->hedge = ct_attempt_start(state, handle, upstream);
}
