#include "request.h"

#include <string.h>

#include "admission.h"
#include "stored-response.h"
#include "attempt.h"
#include "dispatch.h"
#include "error.h"
#include "index.h"
#include "state.h"

#define RETRY_AFTER_MS 1000

static void
set_caller(struct ct_state *state, struct ct_handle handle,
           struct ct_request *request, uint64_t caller)
{
    struct ct_requests *requests = &state->requests;

    if (request->caller) {
        g_hash_table_remove(requests->by_caller, &request->caller);
    }
    request->caller = caller;
    if (caller) {
        ct_index_add(requests->by_caller, &request->caller, handle);
    }
}

/*
 * Fills in the fields of a refusal's record that come from the rows the
 * request refers to.
 */
static void
fill_refusal_context(const struct ct_state *state,
                     const struct ct_request *request,
                     struct ct_refusal_row *row)
{
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, request->organisation);
    const struct ct_class_row *klass =
        ct_table_get(&state->config.classes, request->klass);
    const struct ct_route_row *route =
        ct_table_get(&state->config.routes, request->route);
    const struct ct_pool_row *pool =
        ct_table_get(&state->config.pools, request->pool);
    struct ct_queue_totals totals = {0};

    if (organisation) {
        row->organisation = organisation->conf.name;
    }
    if (klass) {
        row->class_name = klass->conf.name;
        row->tier = klass->conf.tier;
    }
    if (route) {
        row->path = route->conf.path;
    }
    if (pool) {
        state->queue->ops->totals(state->queue, request->pool.index, &totals);
        row->queue_length = totals.queued;
        row->slots_busy = pool->slots_busy;
        row->slots_total = pool->slots_total;
    }
    row->waited_ms = state->now_ms - request->arrived_ms;
}

/* Sends a refusal to the caller, counts it and records it. */
static void
refuse_request(struct ct_state *state, const struct ct_request *request,
               enum ct_refusal reason, ct_ms retry_after_ms)
{
    struct ct_refusal_row row;
    struct ct_effect *effect;

    memset(&row, 0, sizeof(row));
    row.request_id = request->id;
    row.host = state->self.host;
    row.wall_ms = state->wall_ms;
    row.reason = reason;
    row.run_state = request->may_have_run ? CT_MAY_HAVE_RUN : CT_NOT_RUN;
    row.expected_wait_ms = request->expected_wait_ms;
    row.log_offset = state->log.applied;
    fill_refusal_context(state, request, &row);
    state->counters.refusals[reason]++;
    ct_refusal_log_add(state, &row, row.organisation.text[0] != '\0');
    effect = ct_emit_effect(state, CT_EFFECT_LOG_EVENT);
    effect->u.log.event = CT_LOG_REFUSED;
    effect->u.log.request_id = request->id;
    effect->u.log.name = row.organisation;
    effect->u.log.other = row.class_name;
    CT_TEXT_SET(effect->u.log.reason, ct_refusal_text(reason));
    if (request->caller) {
        ct_emit_refusal(state, request->caller, &request->id, reason,
                        row.run_state, retry_after_ms);
    }
}

/*
 * References the configuration rows that a request uses, so that they outlive
 * a change of the configuration.
 */
static void
ref_config_rows(struct ct_state *state, const struct ct_request *request)
{
    ct_table_ref(&state->config.organisations, request->organisation);
    ct_table_ref(&state->config.classes, request->klass);
    ct_table_ref(&state->config.routes, request->route);
    ct_table_ref(&state->config.pools, request->pool);
}

static void
unref_config_rows(struct ct_state *state, const struct ct_request *request)
{
    ct_table_unref(&state->config.organisations, request->organisation);
    ct_table_unref(&state->config.classes, request->klass);
    ct_table_unref(&state->config.routes, request->route);
    ct_table_unref(&state->config.pools, request->pool);
}

/*
 * Handles a request whose key is claimed already. If this host has the first
 * request, the caller receives its response; else the caller learns that the
 * request may have run.
 */
static bool
handle_duplicate(struct ct_state *state, const struct ct_call *call,
                 struct ct_request *request)
{
    const struct ct_claim_row *claim;
    struct ct_handle first;

    if (request->idempotent) {
        return false;
    }
    claim = ct_claims_find(&state->claims, &request->claim);
    if (!claim) {
        return false;
    }
    first = ct_request_find(state, &claim->claim.request_id);
    if (ct_request_get(state, first)) {
        ct_request_attach_caller(state, first, call->caller, 0);
        return true;
    }
    request->may_have_run = true;
    refuse_request(state, request, CT_REFUSAL_DUPLICATE, 0);
    return true;
}

void
ct_requests_on_arrived(struct ct_state *state, const struct ct_call *call)
{
    struct ct_requests *requests = &state->requests;
    struct ct_request request;
    enum ct_refusal reason;
    struct ct_handle handle;
    struct ct_request *row;

    ct_increment_counter(state, CT_COUNTER_CALLS);
    requests->last_arrival_ms = state->now_ms;
    memset(&request, 0, sizeof(request));
    request.id = call->request_id;
    request.caller = call->caller;
    request.body_caller = call->caller;
    request.stream = call->stream;
    request.prefix_hash = call->prefix_hash;
    request.prompt_tokens = call->prompt_tokens;
    request.max_tokens = call->max_tokens;
    request.arrived_ms = state->now_ms;
    request.first_token_ms = -1;
    reason = ct_admission_check_call(state, call, &request);
    if (reason != CT_REFUSAL_COUNT) {
        refuse_request(state, &request, reason, RETRY_AFTER_MS);
        return;
    }
    if (handle_duplicate(state, call, &request)) {
        return;
    }
    if (ct_table_add(&requests->rows, &handle) < 0) {
        refuse_request(state, &request, CT_REFUSAL_TABLE_FULL, RETRY_AFTER_MS);
        return;
    }
    row = ct_table_get(&requests->rows, handle);
    *row = request;
    row->caller = 0;
    set_caller(state, handle, row, call->caller);
    ct_index_add(requests->by_id, row->id.text, handle);
    ref_config_rows(state, row);
    requests->active++;
    ct_dispatch_enqueue(state, handle);
}

void
ct_requests_on_rejected(struct ct_state *state,
                        const struct ct_call_rejected *rejected)
{
    struct ct_request request;

    memset(&request, 0, sizeof(request));
    request.id = rejected->request_id;
    request.caller = rejected->caller;
    request.arrived_ms = state->now_ms;
    refuse_request(state, &request, rejected->reason, 0);
}

/*
 * Appends the result of a claimed request to the log, where all hosts read it.
 */
static void
append_claim_result(struct ct_state *state, const struct ct_request *request)
{
    struct ct_claim claim = {
        .digest = request->claim,
        .request_id = request->id,
        .host = state->self.host,
        .key_wall_ms = request->key_wall_ms,
    };
    int32_t status = CT_CLAIM_NOT_RUN;

    if (request->may_have_run) {
        status = request->status ? (int32_t)request->status : CT_CLAIM_UNKNOWN;
    }
    ct_dispatch_append_claim_done(state, &claim, status);
}

/* Retains a response, and removes the oldest ones beyond the limits. */
static void
retain_response(struct ct_state *state, struct ct_handle handle,
                const struct ct_request *request)
{
    struct ct_requests *requests = &state->requests;

    g_queue_push_tail(&requests->retained, ct_handle_pack(handle));
    requests->retained_bytes += request->response_bytes;
    while (requests->retained.length > CT_RETAINED_MAX ||
           (requests->retained_bytes > CT_RETAINED_BYTES_MAX &&
            requests->retained.length > 1)) {
        ct_request_remove(
            state, ct_handle_unpack(g_queue_peek_head(&requests->retained)));
    }
}

/* Moves a request to its final state and arms the timer that removes it. */
static void
finish_request(struct ct_state *state, struct ct_handle handle, bool complete)
{
    struct ct_request *request = ct_request_get(state, handle);
    enum ct_request_state before = request->state;

    request->state = CT_REQUEST_RETAINED;
    request->complete = complete;
    request->finished_ms = state->now_ms;
    state->requests.active--;
    set_caller(state, handle, request, 0);
    if (request->claimed) {
        append_claim_result(state, request);
    }
    ct_arm_timer(state, CT_RESPONSE_RETENTION_MS, CT_TIMER_RESPONSE_RETENTION,
                 handle);
    retain_response(state, handle, request);
    if (before == CT_REQUEST_QUEUED) {
        ct_dispatch_dequeue(state, handle);
        return;
    }
    ct_attempts_cancel(state, handle);
    ct_dispatch_release_slot(state, handle, complete);
}

static void
write_response_end(struct ct_state *state, const struct ct_request *request,
                   bool complete, enum ct_refusal reason)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_WRITE_END);

    effect->u.write.caller = request->caller;
    effect->u.write.request_id = request->id;
    effect->u.write.complete = complete;
    effect->u.write.reason = reason;
}

void
ct_request_fail(struct ct_state *state, struct ct_handle handle,
                enum ct_refusal reason, ct_ms retry_after_ms)
{
    struct ct_request *request = ct_request_get(state, handle);

    if (!request || request->state == CT_REQUEST_RETAINED) {
        return;
    }
    request->reason = reason;
    if (!request->head_written) {
        refuse_request(state, request, reason, retry_after_ms);
    }
    else {
        ct_increment_counter(state, CT_COUNTER_RESPONSES_ABORTED);
        ct_emit_log(state, CT_LOG_ANSWER_BROKEN, NULL, ct_refusal_text(reason),
                    (int64_t)request->response_bytes);
        if (request->caller) {
            write_response_end(state, request, false, reason);
        }
    }
    finish_request(state, handle, false);
}

/*
 * Writes the response from the first byte that the caller lacks, after the
 * head if that was not written yet.
 */
static void
write_response(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);
    struct ct_effect *effect;

    if (!request->head_written) {
        request->head_written = true;
        effect = ct_emit_effect(state, CT_EFFECT_WRITE_HEAD);
        effect->u.write.caller = request->caller;
        effect->u.write.request = handle;
        effect->u.write.request_id = request->id;
        effect->u.write.status = request->status;
        effect->u.write.stream = request->stream;
    }
    if (request->response_bytes > request->written_bytes) {
        effect = ct_emit_effect(state, CT_EFFECT_WRITE_DATA);
        effect->u.write.caller = request->caller;
        effect->u.write.request = handle;
        effect->u.write.request_id = request->id;
        effect->u.write.offset = request->written_bytes;
        effect->u.write.bytes =
            (uint32_t)(request->response_bytes - request->written_bytes);
        request->written_bytes = request->response_bytes;
    }
}

/* Counts a request as usage. Only complete responses are billed. */
static void
count_usage(struct ct_state *state, const struct ct_request *request)
{
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, request->organisation);

    if (organisation) {
        ct_usage_add(state, &organisation->conf.name, 1,
                     request->prompt_tokens, request->response_tokens);
    }
}

void
ct_request_complete(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);

    ct_increment_counter(state, CT_COUNTER_RESPONSES_COMPLETE);
    count_usage(state, request);
    if (request->caller) {
        write_response(state, handle);
        write_response_end(state, request, true, CT_REFUSAL_COUNT);
    }
    finish_request(state, handle, true);
}

void
ct_request_write_progress(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_request *request = ct_request_get(state, handle);

    /*
     * Without streaming, nothing is written before the response is complete.
     */
    if (request->caller && request->stream) {
        write_response(state, handle);
    }
}

/* Ends the response to a caller whose request another connection took over. */
static void
end_replaced_caller(struct ct_state *state, const struct ct_request *request)
{
    if (request->head_written) {
        write_response_end(state, request, false, CT_REFUSAL_DUPLICATE);
        return;
    }
    ct_emit_refusal(state, request->caller, &request->id, CT_REFUSAL_DUPLICATE,
                    CT_MAY_HAVE_RUN, 0);
}

/* Resumes a request that was stopped because its caller had disconnected. */
static void
resume_request(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);

    state->requests.retained_bytes -= request->response_bytes;
    g_queue_remove(&state->requests.retained, ct_handle_pack(handle));
    request->abandoned = false;
    request->attempts = 0;
    request->n_tried = 0;
    if (request->kind != CT_CALL_CHAT || !request->stream) {
        request->response_bytes = 0;
    }
    state->requests.active++;
    ct_dispatch_enqueue(state, handle);
    request = ct_request_get(state, handle);
    if (request && request->state != CT_REQUEST_RETAINED &&
        request->response_bytes) {
        ct_request_write_progress(state, handle);
    }
}

void
ct_request_attach_caller(struct ct_state *state, struct ct_handle handle,
                         uint64_t caller, uint64_t offset)
{
    struct ct_request *request = ct_request_get(state, handle);

    if (request->caller) {
        end_replaced_caller(state, request);
    }
    set_caller(state, handle, request, caller);
    request->head_written = false;
    request->written_bytes = offset;
    if (request->state != CT_REQUEST_RETAINED) {
        if (request->response_bytes) {
            ct_request_write_progress(state, handle);
        }
        return;
    }
    if (request->abandoned) {
        resume_request(state, handle);
        return;
    }
    if (request->complete) {
        write_response(state, handle);
        write_response_end(state, request, true, CT_REFUSAL_COUNT);
    }
    else {
        refuse_request(state, request, request->reason, 0);
    }
    set_caller(state, handle, request, 0);
}

void
ct_requests_on_caller_disconnected(struct ct_state *state, uint64_t caller)
{
    struct ct_handle handle = ct_index_get(state->requests.by_caller, &caller);
    struct ct_request *request = ct_request_get(state, handle);

    if (!request) {
        return;
    }
    ct_increment_counter(state, CT_COUNTER_CALLERS_DISCONNECTED);
    set_caller(state, handle, request, 0);
    /*
     * A call that must not be repeated runs to its end and its response is
     * retained.
     */
    if (!request->idempotent && request->may_have_run) {
        return;
    }
    request->reason = CT_REFUSAL_UPSTREAM_FAILED;
    /* Without an attempt there is no stored response to resume. */
    request->abandoned = request->idempotent && request->attempts > 0;
    finish_request(state, handle, false);
}

void
ct_requests_on_key_withdrawn(struct ct_state *state, struct ct_handle key)
{
    struct ct_request *request;
    struct ct_handle handle;
    uint32_t cursor = 0;

    while (
        (request = ct_table_next(&state->requests.rows, &cursor, &handle))) {
        if (!ct_handle_eq(request->key, key) ||
            request->state == CT_REQUEST_RETAINED) {
            continue;
        }
        if (request->idempotent || !request->may_have_run) {
            ct_request_fail(state, handle, CT_REFUSAL_KEY_WITHDRAWN, 0);
            continue;
        }
        /*
         * The upstream call runs to its end, but the caller gets no more of
         * the response.
         */
        if (request->caller && request->head_written) {
            write_response_end(state, request, false,
                               CT_REFUSAL_KEY_WITHDRAWN);
        }
        else if (request->caller) {
            refuse_request(state, request, CT_REFUSAL_KEY_WITHDRAWN, 0);
        }
        set_caller(state, handle, request, 0);
    }
}

void
ct_requests_on_config_changed(struct ct_state *state)
{
    ct_dispatch_configure(state);
}

void
ct_requests_on_claim_read(struct ct_state *state,
                          const struct ct_record *record,
                          enum ct_claim_result result)
{
    const struct ct_claim *claim = &record->u.claim;
    struct ct_handle handle = ct_request_find(state, &claim->request_id);
    struct ct_request *request = ct_request_get(state, handle);

    /* Claims of an earlier process on this host are not ended here. */
    if (!ct_name_eq(&record->writer, &state->self.writer)) {
        return;
    }
    if (!request || request->state != CT_REQUEST_CLAIMING) {
        /* The claim arrived after its request had been refused as not run. */
        if (result == CT_CLAIM_WON && (!request || !request->may_have_run)) {
            ct_dispatch_append_claim_done(state, claim, CT_CLAIM_NOT_RUN);
        }
        return;
    }
    if (result == CT_CLAIM_WON) {
        request->claimed = true;
        ct_dispatch_start_attempt(state, handle);
        return;
    }
    if (result == CT_CLAIM_LOST) {
        /* The request that won has the same key and may have run. */
        request->may_have_run = true;
        ct_request_fail(state, handle, CT_REFUSAL_DUPLICATE, 0);
        return;
    }
    ct_request_fail(state, handle, CT_REFUSAL_KEY_TOO_OLD, 0);
}

void
ct_request_remove(struct ct_state *state, struct ct_handle handle)
{
    struct ct_request *request = ct_request_get(state, handle);

    if (!request || request->state != CT_REQUEST_RETAINED) {
        return;
    }
    set_caller(state, handle, request, 0);
    state->requests.retained_bytes -= request->response_bytes;
    g_queue_remove(&state->requests.retained, ct_handle_pack(handle));
    g_hash_table_remove(state->requests.by_id, request->id.text);
    unref_config_rows(state, request);
    ct_emit_effect(state, CT_EFFECT_FREE_RESPONSE)->u.request = handle;
    ct_table_unref(&state->requests.rows, handle);
}
