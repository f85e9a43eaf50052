#include "relay.h"

#include <string.h>

#include "error.h"
#include "relay-backup.h"
#include "relay-choice.h"
#include "relay-end.h"
#include "relay-quarantine.h"
#include "retry.h"
#include "state.h"

/*
 * Attempts of one call that may fail before any byte is sent, because the
 * connection is refused or times out.
 */
#define UNSENT_ATTEMPTS_MAX 4
/* A call with less time left than this is not retried. */
#define RETRY_MIN_REMAINING_MS 50
/* How long a call waits at this host for a limited upstream, and in steps. */
#define LIMIT_WAIT_MAX_MS 400
#define LIMIT_WAIT_STEP_MS 10
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421
#define FIRST_SERVER_ERROR 500

static void
emit_attempt_start(struct ct_state *state, const struct ct_relay *relay,
                   const struct ct_relay_choice *choice)
{
    const struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, choice->upstream);
    const struct ct_upstream_row *cache_donor =
        ct_table_get(&state->config.upstreams, choice->cache_donor);
    const struct ct_upstream_row *backup =
        ct_table_get(&state->config.upstreams, choice->backup);
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, relay->organisation);
    struct ct_relay_start *start =
        &ct_emit_effect(state, CT_EFFECT_RELAY_START_ATTEMPT)->u.relay;

    start->attempt = relay->attempt;
    start->caller = relay->stored_caller;
    start->request_id = relay->id;
    start->upstream = upstream->conf.name;
    start->address = upstream->conf.address;
    if (organisation) {
        start->organisation = organisation->conf.name;
    }
    start->rank = relay->rank;
    start->stream = relay->stream;
    start->deadline_ms = relay->deadline_ms;
    start->after_event = relay->last_event;
    if (cache_donor) {
        start->cache_donor = cache_donor->conf.address;
    }
    if (backup) {
        start->cache_backup = backup->conf.address;
    }
    start->from_backup = choice->from_backup;
}

/*
 * No upstream can take the call: it waits if one is limited and free soon,
 * else it fails.
 */
static void
wait_or_fail(struct ct_state *state, struct ct_handle handle)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    ct_ms wait_ms = ct_relay_upstream_free_in_ms(state, relay);
    ct_ms waited_ms =
        relay->waiting_since_ms ? state->now_ms - relay->waiting_since_ms : 0;

    if (wait_ms > 0) {
        ct_upstream_notices_on_wait(state, relay->pool, relay->rank);
    }
    if (wait_ms > 0 && waited_ms + wait_ms <= LIMIT_WAIT_MAX_MS) {
        relay->waiting_since_ms = state->now_ms - waited_ms;
        ct_arm_timer(state, MAX(wait_ms, LIMIT_WAIT_STEP_MS),
                     CT_TIMER_RELAY_WAIT, handle);
        return;
    }
    if (relay->may_have_run) {
        ct_relay_fail(state, handle, CT_REFUSAL_UPSTREAM_FAILED);
        return;
    }
    ct_relay_fail(state, handle, ct_relay_no_choice_reason(state, relay));
}

static void
start_attempt(struct ct_state *state, struct ct_handle handle,
              const struct ct_relay_choice *choice)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    struct ct_handle chosen = choice->upstream;
    struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, chosen);
    struct ct_relay_attempt *attempt;
    int err;

    if (!upstream) {
        wait_or_fail(state, handle);
        return;
    }
    relay->waiting_since_ms = 0;
    err = ct_table_add(&state->relays.attempts, &relay->attempt);
    if (err < 0) {
        state->out->err = err;
        return;
    }
    attempt = ct_table_get(&state->relays.attempts, relay->attempt);
    attempt->relay = handle;
    attempt->upstream = chosen;
    attempt->started_ms = state->now_ms;
    attempt->timing.resumes = relay->last_event > 0;
    relay->backup = choice->backup;
    if (relay->n_tried < CT_RELAY_TRIED_MAX) {
        relay->tried[relay->n_tried++] = chosen;
    }
    ct_table_ref(&state->config.upstreams, chosen);
    upstream->in_flight++;
    ct_increment_counter(state, CT_COUNTER_ATTEMPTS);
    ct_upstream_notices_on_attempt(state, chosen);
    ct_cold_upstreams_on_attempt(state, chosen);
    state->relay_balance->ops->started(state->relay_balance, chosen,
                                       state->now_ms);
    emit_attempt_start(state, relay, choice);
}

void
ct_relay_on_wait_timer(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);

    if (relay && relay->waiting_since_ms) {
        ct_relay_send(state, handle);
    }
}

void
ct_relay_send(struct ct_state *state, struct ct_handle handle)
{
    const struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    struct ct_relay_choice choice = ct_relay_choose_upstream(state, relay);

    start_attempt(state, handle, &choice);
}

/*
 * Returns the attempt of an event and its call; counts events of attempts
 * that have ended and returns NULL for them.
 */
static struct ct_relay_attempt *
find_attempt(struct ct_state *state, const struct ct_relay_progress *progress,
             struct ct_relay **relay)
{
    struct ct_relay_attempt *attempt =
        ct_table_get(&state->relays.attempts, progress->attempt);

    if (!attempt) {
        ct_increment_counter(state, CT_COUNTER_LATE_EVENTS);
        return NULL;
    }
    *relay = ct_table_get(&state->relays.rows, attempt->relay);
    return attempt;
}

void
ct_relay_on_sent(struct ct_state *state,
                 const struct ct_relay_progress *progress)
{
    struct ct_relay *relay;
    struct ct_relay_attempt *attempt = find_attempt(state, progress, &relay);

    if (!attempt) {
        return;
    }
    if (!attempt->sent) {
        ct_cold_upstreams_on_sent(state, attempt->upstream);
    }
    attempt->sent = true;
    relay->sent_attempts++;
    relay->may_have_run = true;
}

struct ct_handle
ct_relay_attempt_upstream(const struct ct_state *state,
                          const struct ct_relay_progress *progress)
{
    const struct ct_relay_attempt *attempt =
        ct_table_get(&state->relays.attempts, progress->attempt);

    return attempt ? attempt->upstream : CT_NO_HANDLE;
}

static void
count_usage(struct ct_state *state, struct ct_relay *relay)
{
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, relay->organisation);

    if (relay->usage_counted) {
        return;
    }
    relay->usage_counted = true;
    relay->first_event_ms = state->now_ms - relay->arrived_ms;
    ct_latency_add(&state->counters.latencies[CT_LATENCY_FIRST],
                   relay->first_event_ms);
    if (organisation) {
        ct_tally_add(state, &organisation->conf.name);
    }
}

static void
forward_response(struct ct_state *state, struct ct_relay *relay,
                 uint32_t bytes, bool ends)
{
    struct ct_relay_forward *forward =
        &ct_emit_effect(state, CT_EFFECT_RELAY_FORWARD_RESPONSE)->u.forward;

    forward->caller = relay->caller;
    forward->attempt = relay->attempt;
    forward->bytes = bytes;
    forward->is_first = !relay->response_started;
    forward->is_last = ends;
    relay->response_started = true;
}

/* Returns the running call of whose response most bytes are held. */
static struct ct_handle
find_largest_response(const struct ct_state *state)
{
    const struct ct_relays *relays = &state->relays;
    struct ct_handle largest = CT_NO_HANDLE;
    const struct ct_relay *relay;
    struct ct_handle handle;
    uint64_t most = 0;
    uint32_t cursor = 0;

    while ((relay = ct_table_next(&relays->rows, &cursor, &handle))) {
        uint64_t bytes =
            ct_memory_budget_response(&relays->budget, relay->caller);

        if (bytes > most && !ct_handle_is_none(relay->attempt)) {
            most = bytes;
            largest = handle;
        }
    }
    return largest;
}

/* Ends the call; its upstream counts as one that failed. */
static void
end_for_memory(struct ct_state *state, struct ct_handle handle)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);

    ct_increment_counter(state, CT_COUNTER_RESPONSES_OVER_MEMORY);
    ct_emit_effect(state, CT_EFFECT_RELAY_CANCEL_ATTEMPT)->u.relay.attempt =
        relay->attempt;
    ct_memory_budget_set_response(&state->relays.budget, relay->caller, 0);
    ct_relay_end_attempt(state, relay, CT_OUTCOME_CONNECTION_LOST);
    ct_relay_fail(state, handle, CT_REFUSAL_UPSTREAM_FAILED);
}

void
ct_relay_on_held(struct ct_state *state,
                 const struct ct_relay_progress *progress)
{
    struct ct_relays *relays = &state->relays;
    struct ct_relay *relay;
    struct ct_handle largest;

    if (!find_attempt(state, progress, &relay)) {
        return;
    }
    ct_memory_budget_set_response(&relays->budget, relay->caller,
                                  progress->bytes);
    ct_bodies_shed(state);
    ct_unread_responses_make_room(state, 0);
    while (
        ct_memory_budget_is_exceeded(&relays->budget, &state->self.bounds)) {
        largest = find_largest_response(state);
        if (ct_handle_is_none(largest)) {
            return;
        }
        end_for_memory(state, largest);
    }
}

void
ct_relay_on_data(struct ct_state *state,
                 const struct ct_relay_progress *progress)
{
    struct ct_relay *relay;
    struct ct_relay_attempt *attempt = find_attempt(state, progress, &relay);

    if (!attempt) {
        return;
    }
    count_usage(state, relay);
    if (!attempt->first_event_seen) {
        attempt->first_event_seen = true;
        ct_prompt_quarantine_on_answer(state, &relay->parts);
        state->relay_balance->ops->first_token(
            state->relay_balance, attempt->upstream,
            state->now_ms - attempt->started_ms, state->now_ms);
    }
    if (progress->last_event <= relay->last_event) {
        /*
         * The event ids do not continue the stream: the upstream restarted it
         * or resumed it after another event.
         */
        ct_relay_fail(state, attempt->relay, CT_REFUSAL_UPSTREAM_FAILED);
        return;
    }
    relay->last_event = progress->last_event;
    ct_stream_timing_add(&attempt->timing, progress->events, state->now_ms);
    forward_response(state, relay, progress->bytes, false);
}

/* What to do with a call after an attempt ended. */
enum next_step {
    /* Forward the response to the caller unchanged. */
    STEP_PASS_RESPONSE,
    STEP_RETRY,
    /* Continue the run at the upstream that holds its backup. */
    STEP_USE_BACKUP,
    STEP_FAIL,
};

/* Whether the route allows a retry of a call that may have run. */
static bool
may_run_again(const struct ct_relay *relay)
{
    if (relay->response_started) {
        return relay->repeat == CT_REPEAT_RESUME;
    }
    return relay->repeat != CT_REPEAT_NEVER;
}

/*
 * Checks whether time and the retry budget allow one more attempt, and spends
 * one retry of the budget if so.
 */
static bool
try_spend_budget(struct ct_state *state, const struct ct_relay *relay)
{
    if (relay->deadline_ms - state->now_ms < RETRY_MIN_REMAINING_MS) {
        return false;
    }
    if (!ct_retry_window_spend_retry(ct_relay_retry_window(state, relay->pool),
                                     &state->self.bounds, ct_group_size(state),
                                     state->now_ms)) {
        ct_increment_counter(state, CT_COUNTER_RETRY_OVER_BUDGET);
        return false;
    }
    return true;
}

static bool
try_spend_retry(struct ct_state *state, const struct ct_relay *relay)
{
    return relay->sent_attempts < relay->attempts_max &&
           try_spend_budget(state, relay);
}

/* A run that a backup continues counts as the same attempt of the call. */
static enum next_step
step_after_loss(struct ct_state *state, const struct ct_relay *relay)
{
    if (may_run_again(relay)) {
        return try_spend_retry(state, relay) ? STEP_RETRY : STEP_FAIL;
    }
    return ct_relay_backup_needed(relay) &&
                   ct_relay_backup_usable(state, relay) &&
                   try_spend_budget(state, relay)
               ? STEP_USE_BACKUP
               : STEP_FAIL;
}

static enum next_step
step_after_response(struct ct_state *state, const struct ct_relay *relay,
                    const struct ct_relay_progress *progress)
{
    bool failed = progress->status >= FIRST_SERVER_ERROR;

    if (relay->response_started && progress->status != STATUS_OK) {
        /* An error response cannot continue a stream that has started. */
        return STEP_FAIL;
    }
    if (failed && may_run_again(relay) && try_spend_retry(state, relay)) {
        return STEP_RETRY;
    }
    return STEP_PASS_RESPONSE;
}

static enum next_step
step_after_attempt(struct ct_state *state, const struct ct_relay *relay,
                   const struct ct_relay_progress *progress)
{
    if (progress->outcome != CT_OUTCOME_COMPLETE &&
        ct_prompt_quarantine_blocks(state, &relay->parts)) {
        return STEP_FAIL;
    }
    switch (progress->outcome) {
    case CT_OUTCOME_COMPLETE:
        return step_after_response(state, relay, progress);
    case CT_OUTCOME_NOT_SENT:
        return !ct_relay_backup_needed(relay) &&
                       relay->unsent_attempts < UNSENT_ATTEMPTS_MAX
                   ? STEP_RETRY
                   : STEP_FAIL;
    case CT_OUTCOME_DECLINED:
        return !ct_relay_backup_needed(relay) &&
                       relay->unsent_attempts < UNSENT_ATTEMPTS_MAX &&
                       try_spend_retry(state, relay)
                   ? STEP_RETRY
                   : STEP_FAIL;
    default:
        return step_after_loss(state, relay);
    }
}

static enum ct_counter
retry_counter(enum ct_outcome outcome)
{
    switch (outcome) {
    case CT_OUTCOME_NOT_SENT:
        return CT_COUNTER_RETRY_NOT_SENT;
    case CT_OUTCOME_DECLINED:
        return CT_COUNTER_RETRY_DECLINED;
    case CT_OUTCOME_COMPLETE:
    case CT_OUTCOME_FAILED:
        return CT_COUNTER_RETRY_FAILED;
    case CT_OUTCOME_MISMATCH:
        return CT_COUNTER_RETRY_MISMATCH;
    default:
        return CT_COUNTER_RETRY_CONNECTION_LOST;
    }
}

static enum ct_refusal
failure_reason(const struct ct_state *state, const struct ct_relay *relay,
               enum ct_outcome outcome)
{
    if (relay->may_have_run) {
        return CT_REFUSAL_UPSTREAM_FAILED;
    }
    if (ct_prompt_quarantine_blocks(state, &relay->parts)) {
        return CT_REFUSAL_PROMPT_QUARANTINED;
    }
    return outcome == CT_OUTCOME_DECLINED ? CT_REFUSAL_UPSTREAM_FULL
                                          : CT_REFUSAL_NO_UPSTREAM;
}

static void
log_retry(struct ct_state *state, const struct ct_relay *relay,
          const struct ct_relay_progress *progress)
{
    struct ct_log_effect *log =
        ct_relay_log(state, relay,
                     relay->response_started ? CT_LOG_RELAY_RESUMED
                                             : CT_LOG_RELAY_REPEATED);

    log->status = progress->status;
    log->number = (int64_t)relay->last_event;
}

static void
retry_call(struct ct_state *state, struct ct_handle handle,
           const struct ct_relay_progress *progress, bool from_backup)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    struct ct_relay_choice choice;

    ct_increment_counter(state, retry_counter(progress->outcome));
    if (relay->response_started) {
        ct_increment_counter(state, CT_COUNTER_RESUMES);
    }
    log_retry(state, relay, progress);
    choice = from_backup ? ct_relay_choose_backup(state, relay)
                         : ct_relay_choose_upstream(state, relay);
    start_attempt(state, handle, &choice);
}

/*
 * Whether another process has the upstream's address, which says that it is
 * not the one that the call names.
 */
static bool
is_misdirected(const struct ct_relay_progress *progress)
{
    return progress->outcome == CT_OUTCOME_DECLINED &&
           progress->status == STATUS_MISDIRECTED;
}

/*
 * Records whether the call may have run; a declined attempt did not run. A
 * misdirected one did not reach its upstream, as if it were not sent.
 */
static void
record_attempt_end(struct ct_relay *relay,
                   const struct ct_relay_attempt *attempt,
                   const struct ct_relay_progress *progress)
{
    if (!attempt->sent) {
        relay->unsent_attempts++;
        return;
    }
    if (is_misdirected(progress)) {
        relay->sent_attempts--;
        relay->unsent_attempts++;
    }
    relay->earlier_may_have_run |= progress->outcome != CT_OUTCOME_DECLINED;
    relay->may_have_run = relay->earlier_may_have_run;
}

void
ct_relay_on_done(struct ct_state *state,
                 const struct ct_relay_progress *progress)
{
    struct ct_relay *relay;
    struct ct_relay_attempt *attempt = find_attempt(state, progress, &relay);
    const struct ct_upstream_row *upstream;
    struct ct_handle handle;
    enum next_step next_step;

    if (!attempt) {
        return;
    }
    handle = attempt->relay;
    upstream = ct_table_get(&state->config.upstreams, attempt->upstream);
    relay->last_upstream = upstream->conf.name;
    relay->last_outcome = progress->outcome;
    record_attempt_end(relay, attempt, progress);
    ct_relay_report_to_quarantine(state, relay, attempt, progress);
    next_step = step_after_attempt(state, relay, progress);
    if (next_step == STEP_PASS_RESPONSE) {
        count_usage(state, relay);
        if (relay->caller) {
            ct_memory_budget_set_response(&state->relays.budget, relay->caller,
                                          progress->remaining_bytes);
            forward_response(state, relay, progress->remaining_bytes, true);
        }
    }
    /* Frees the bytes that the front end holds for the attempt. */
    ct_emit_effect(state, CT_EFFECT_RELAY_CANCEL_ATTEMPT)->u.relay.attempt =
        relay->attempt;
    ct_relay_end_attempt(state, relay,
                         is_misdirected(progress) ? CT_OUTCOME_NOT_SENT
                                                  : progress->outcome);
    if (next_step == STEP_PASS_RESPONSE) {
        ct_relay_complete(state, handle, progress->status);
        return;
    }
    ct_memory_budget_set_response(&state->relays.budget, relay->caller, 0);
    if (next_step != STEP_FAIL) {
        retry_call(state, handle, progress, next_step == STEP_USE_BACKUP);
        return;
    }
    ct_relay_fail(state, handle,
                  failure_reason(state, relay, progress->outcome));
}
