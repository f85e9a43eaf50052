#include "relay.h"

#include <string.h>

#include "candidates.h"
#include "error.h"
#include "retry.h"
#include "state.h"

/* Connections that may be refused or time out for one call. */
#define UNSENT_MAX 4
/* With less time left than this a call is not sent once more. */
#define REPEAT_MIN_LEFT_MS 50
#define STATUS_OK 200
#define FIRST_SERVER_ERROR 500

/* Those that run; where there are none, those that may have gone. */
static uint32_t
candidates_of(const struct ct_state *state, const struct ct_relay *relay,
              struct ct_candidate *out)
{
    struct ct_candidate_filter filter = {
        .pool = relay->pool,
        .wanted = CT_UPSTREAM_RUNNING,
        .zone = &state->self.zone,
        .tried = relay->tried,
        .n_tried = relay->n_tried,
    };
    uint32_t n = ct_candidates_list(state, &filter, out, CT_CANDIDATES_MAX);

    if (n > 0) {
        return n;
    }
    filter.wanted = CT_UPSTREAM_UNCONFIRMED;
    return ct_candidates_list(state, &filter, out, CT_CANDIDATES_MAX);
}

/* Those that leave and were not tried: they still have what they keep. */
static uint32_t
leaving_of(const struct ct_state *state, const struct ct_relay *relay,
           struct ct_candidate *out, uint32_t max)
{
    const struct ct_candidate_filter filter = {
        .pool = relay->pool,
        .wanted = CT_UPSTREAM_LEAVING,
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

struct choice {
    struct ct_handle upstream;
    /* One that may keep parts of the prompt which the other lacks. */
    struct ct_handle keeper;
};

static struct choice
choose(struct ct_state *state, const struct ct_relay *relay)
{
    const struct ct_balance_policy_ops *ops = state->relay_balance->ops;
    struct ct_candidate candidates[CT_CANDIDATES_MAX];
    uint32_t n = candidates_of(state, relay, candidates);
    struct choice choice = {CT_NO_HANDLE, CT_NO_HANDLE};
    const struct ct_balance_request ask = {
        .now_ms = state->now_ms,
        .prefix_hash = relay->prefix_hash,
        .prompt_tokens = relay->prompt_tokens,
        .tier = relay->rank,
        .hosts = ct_group_size(state),
        .cheap_allowed = true,
        .may_probe = true,
    };
    int chosen = ops->choose(state->relay_balance, &ask, candidates, n);
    int keeper;

    if (chosen < 0) {
        return choice;
    }
    choice.upstream = candidates[chosen].upstream;
    if (relay->prefix_hash) {
        n += leaving_of(state, relay, &candidates[n], CT_CANDIDATES_MAX - n);
        keeper = ops->keeper(state->relay_balance, &ask, candidates, n,
                             (uint32_t)chosen);
        if (keeper >= 0) {
            choice.keeper = candidates[keeper].upstream;
        }
    }
    return choice;
}

static void
emit_start(struct ct_state *state, const struct ct_relay *relay,
           const struct ct_upstream_row *upstream,
           const struct ct_upstream_row *keeper)
{
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
    start->until_ms = relay->until_ms;
    start->after_event = relay->last_event;
    if (keeper) {
        start->keeper = keeper->conf.address;
    }
}

void
ct_relay_send(struct ct_state *state, struct ct_handle handle)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);
    struct choice choice = choose(state, relay);
    struct ct_handle chosen = choice.upstream;
    struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, chosen);
    struct ct_relay_attempt *attempt;
    int err;

    if (!upstream) {
        ct_relay_fail(state, handle,
                      relay->may_have_run ? CT_REFUSAL_UPSTREAM_FAILED
                                          : CT_REFUSAL_NO_UPSTREAM);
        return;
    }
    err = ct_table_add(&state->relays.attempts, &relay->attempt);
    if (err < 0) {
        state->out->err = err;
        return;
    }
    attempt = ct_table_get(&state->relays.attempts, relay->attempt);
    attempt->relay = handle;
    attempt->upstream = chosen;
    attempt->started_ms = state->now_ms;
    if (relay->n_tried < CT_RELAY_TRIED_MAX) {
        relay->tried[relay->n_tried++] = chosen;
    }
    ct_table_ref(&state->config.upstreams, chosen);
    upstream->in_flight++;
    ct_increment_counter(state, CT_COUNTER_ATTEMPTS);
    state->relay_balance->ops->started(state->relay_balance, chosen,
                                       state->now_ms);
    emit_start(state, relay, upstream,
               ct_table_get(&state->config.upstreams, choice.keeper));
}

/* Forgets the call's attempt; later events of it are dropped. */
static void
end_attempt(struct ct_state *state, struct ct_relay *relay,
            enum ct_outcome outcome)
{
    struct ct_relay_attempt *attempt =
        ct_table_get(&state->relays.attempts, relay->attempt);
    struct ct_upstream_row *upstream =
        ct_table_get(&state->config.upstreams, attempt->upstream);

    upstream->in_flight--;
    state->relay_balance->ops->ended(state->relay_balance, attempt->upstream,
                                     outcome, state->now_ms);
    ct_table_unref(&state->config.upstreams, attempt->upstream);
    ct_table_unref(&state->relays.attempts, relay->attempt);
    relay->attempt = CT_NO_HANDLE;
}

void
ct_relay_cancel(struct ct_state *state, struct ct_relay *relay)
{
    if (ct_handle_is_none(relay->attempt)) {
        return;
    }
    ct_emit_effect(state, CT_EFFECT_RELAY_CANCEL_ATTEMPT)->u.relay.attempt =
        relay->attempt;
    end_attempt(state, relay, CT_OUTCOME_CANCELLED);
}

/* The live attempt that an event is about, and its call; counts events that
 * come late. */
static struct ct_relay_attempt *
attempt_of(struct ct_state *state, const struct ct_relay_progress *progress,
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
    struct ct_relay_attempt *attempt = attempt_of(state, progress, &relay);

    if (!attempt) {
        return;
    }
    attempt->sent = true;
    relay->sends++;
    relay->may_have_run = true;
}

static void
count_usage(struct ct_state *state, struct ct_relay *relay)
{
    const struct ct_organisation_row *organisation =
        ct_table_get(&state->config.organisations, relay->organisation);

    if (relay->counted) {
        return;
    }
    relay->counted = true;
    relay->first_event_ms = state->now_ms - relay->arrived_ms;
    ct_latency_add(&state->counters.latencies[CT_LATENCY_FIRST],
                   relay->first_event_ms);
    if (organisation) {
        ct_tally_add(state, &organisation->conf.name);
    }
}

static void
forward(struct ct_state *state, struct ct_relay *relay, uint32_t bytes,
        bool ends)
{
    struct ct_relay_forward *forward =
        &ct_emit_effect(state, CT_EFFECT_RELAY_FORWARD_RESPONSE)->u.forward;

    forward->caller = relay->caller;
    forward->attempt = relay->attempt;
    forward->bytes = bytes;
    forward->begins = !relay->begun;
    forward->ends = ends;
    relay->begun = true;
}

void
ct_relay_on_data(struct ct_state *state,
                 const struct ct_relay_progress *progress)
{
    struct ct_relay *relay;
    struct ct_relay_attempt *attempt = attempt_of(state, progress, &relay);

    if (!attempt) {
        return;
    }
    count_usage(state, relay);
    if (!attempt->heard) {
        attempt->heard = true;
        state->relay_balance->ops->first_token(
            state->relay_balance, attempt->upstream,
            state->now_ms - attempt->started_ms, state->now_ms);
    }
    if (progress->last_event <= relay->last_event) {
        /* A run that begins again or joins in elsewhere: not this stream. */
        ct_relay_fail(state, attempt->relay, CT_REFUSAL_UPSTREAM_FAILED);
        return;
    }
    relay->last_event = progress->last_event;
    forward(state, relay, progress->bytes, false);
}

/* What the end of an attempt means for the call. */
enum verdict {
    /* The answer goes to the caller as it is. */
    VERDICT_PASS,
    VERDICT_REPEAT,
    VERDICT_FAIL,
};

/* Whether the route allows one more run after this one may have run. */
static bool
may_run_again(const struct ct_relay *relay)
{
    if (relay->begun) {
        return relay->repeat == CT_REPEAT_RESUME;
    }
    return relay->repeat != CT_REPEAT_NEVER;
}

/* Whether attempts, time and the budget allow to send the call once more. */
static bool
may_send_again(struct ct_state *state, const struct ct_relay *relay)
{
    if (relay->sends >= relay->attempts_max ||
        relay->until_ms - state->now_ms < REPEAT_MIN_LEFT_MS) {
        return false;
    }
    if (!ct_retry_window_take_repeat(ct_relay_window(state, relay->pool),
                                     &state->self.bounds, ct_group_size(state),
                                     state->now_ms)) {
        ct_increment_counter(state, CT_COUNTER_RETRY_OVER_BUDGET);
        return false;
    }
    return true;
}

static enum verdict
judge_answer(struct ct_state *state, const struct ct_relay *relay,
             const struct ct_relay_progress *progress)
{
    bool failed = progress->status >= FIRST_SERVER_ERROR;

    if (relay->begun && progress->status != STATUS_OK) {
        /* It belongs to no stream that has begun. */
        return VERDICT_FAIL;
    }
    if (failed && may_run_again(relay) && may_send_again(state, relay)) {
        return VERDICT_REPEAT;
    }
    return VERDICT_PASS;
}

static enum verdict
judge(struct ct_state *state, const struct ct_relay *relay,
      const struct ct_relay_progress *progress)
{
    switch (progress->outcome) {
    case CT_OUTCOME_COMPLETE:
        return judge_answer(state, relay, progress);
    case CT_OUTCOME_NOT_SENT:
        return relay->unsent < UNSENT_MAX ? VERDICT_REPEAT : VERDICT_FAIL;
    case CT_OUTCOME_DECLINED:
        return may_send_again(state, relay) ? VERDICT_REPEAT : VERDICT_FAIL;
    default:
        return may_run_again(relay) && may_send_again(state, relay)
                   ? VERDICT_REPEAT
                   : VERDICT_FAIL;
    }
}

static enum ct_counter
repeat_counter(enum ct_outcome outcome)
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
        return CT_COUNTER_RETRY_BROKEN;
    }
}

static enum ct_refusal
failure_reason(const struct ct_relay *relay, enum ct_outcome outcome)
{
    if (relay->may_have_run) {
        return CT_REFUSAL_UPSTREAM_FAILED;
    }
    return outcome == CT_OUTCOME_DECLINED ? CT_REFUSAL_UPSTREAM_FULL
                                          : CT_REFUSAL_NO_UPSTREAM;
}

static void
log_repeat(struct ct_state *state, const struct ct_relay *relay,
           const struct ct_relay_progress *progress)
{
    struct ct_log_effect *log = ct_relay_log(
        state, relay,
        relay->begun ? CT_LOG_RELAY_RESUMED : CT_LOG_RELAY_REPEATED);

    log->status = progress->status;
    log->number = (int64_t)relay->last_event;
}

static void
repeat(struct ct_state *state, struct ct_handle handle,
       const struct ct_relay_progress *progress)
{
    struct ct_relay *relay = ct_table_get(&state->relays.rows, handle);

    ct_increment_counter(state, repeat_counter(progress->outcome));
    if (relay->begun) {
        ct_increment_counter(state, CT_COUNTER_RESUMES);
    }
    log_repeat(state, relay, progress);
    ct_relay_send(state, handle);
}

/* What an attempt that the upstream declined leaves behind: nothing. */
static void
note_end(struct ct_relay *relay, const struct ct_relay_attempt *attempt,
         enum ct_outcome outcome)
{
    if (!attempt->sent) {
        relay->unsent++;
        return;
    }
    relay->ran_before |= outcome != CT_OUTCOME_DECLINED;
    relay->may_have_run = relay->ran_before;
}

void
ct_relay_on_done(struct ct_state *state,
                 const struct ct_relay_progress *progress)
{
    struct ct_relay *relay;
    struct ct_relay_attempt *attempt = attempt_of(state, progress, &relay);
    const struct ct_upstream_row *upstream;
    struct ct_handle handle;
    enum verdict verdict;

    if (!attempt) {
        return;
    }
    handle = attempt->relay;
    upstream = ct_table_get(&state->config.upstreams, attempt->upstream);
    relay->last_upstream = upstream->conf.name;
    relay->last_outcome = progress->outcome;
    note_end(relay, attempt, progress->outcome);
    verdict = judge(state, relay, progress);
    if (verdict == VERDICT_PASS) {
        count_usage(state, relay);
        if (relay->caller) {
            forward(state, relay, progress->rest, true);
        }
    }
    /* Its bytes are of no more use. */
    ct_emit_effect(state, CT_EFFECT_RELAY_CANCEL_ATTEMPT)->u.relay.attempt =
        relay->attempt;
    end_attempt(state, relay, progress->outcome);
    if (verdict == VERDICT_PASS) {
        ct_relay_complete(state, handle, progress->status);
        return;
    }
    if (verdict == VERDICT_REPEAT) {
        repeat(state, handle, progress);
        return;
    }
    ct_relay_fail(state, handle, failure_reason(relay, progress->outcome));
}
