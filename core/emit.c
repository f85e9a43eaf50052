#include "emit.h"

#include "state.h"

uint64_t
ct_state_random(struct ct_state *state)
{
    /* splitmix64 */
    uint64_t z = (state->random += UINT64_C(0x9e3779b97f4a7c15));

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

struct ct_effect *
ct_emit_effect(struct ct_state *state, enum ct_effect_type type)
{
    return ct_effects_add(state->out, type);
}

void
ct_emit_log(struct ct_state *state, enum ct_log_event event,
            const struct ct_name *name, const char *reason, int64_t number)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_LOG_EVENT);

    effect->u.log.event = event;
    if (name) {
        effect->u.log.name = *name;
    }
    if (reason) {
        CT_TEXT_SET(effect->u.log.reason, reason);
    }
    effect->u.log.number = number;
}

void
ct_emit_refusal(struct ct_state *state, uint64_t caller,
                const struct ct_request_id *id, enum ct_refusal reason,
                enum ct_run_state run_state, ct_ms retry_after_ms)
{
    struct ct_refuse_effect *refuse =
        &ct_emit_effect(state, CT_EFFECT_REFUSE_REQUEST)->u.refuse;

    refuse->caller = caller;
    refuse->request_id = *id;
    refuse->reason = reason;
    refuse->run_state = run_state;
    refuse->retry_after_ms = retry_after_ms;
}

struct ct_peer_message *
ct_peer_message_to(struct ct_state *state, const struct ct_name *host,
                   enum ct_peer_message_type type, struct ct_rows rows)
{
    struct ct_effect *effect =
        ct_emit_effect(state, CT_EFFECT_SEND_PEER_MESSAGE);
    int err;

    effect->u.peer.peer = *host;
    effect->u.peer.message.type = type;
    effect->u.peer.message.sender = state->self.host;
    if (rows.n > 0) {
        err = ct_effect_set_rows(state->out, effect, rows);
        if (err < 0) {
            state->out->err = err;
        }
    }
    return &effect->u.peer.message;
}

void
ct_peer_message_repeat_to(struct ct_state *state, const struct ct_name *host)
{
    uint32_t last = state->out->n - 1;
    struct ct_effect *effect =
        ct_emit_effect(state, CT_EFFECT_SEND_PEER_MESSAGE);

    /* Adding an effect may move the others. */
    effect->u.peer = state->out->items[last].u.peer;
    effect->u.peer.peer = *host;
    effect->u.peer.repeats = true;
    effect->rows = state->out->items[last].rows;
    effect->rows_borrowed = true;
}

void
ct_arm_timer(struct ct_state *state, ct_ms delay_ms, enum ct_timer_kind kind,
             struct ct_handle handle)
{
    int err;

    err =
        ct_timers_add(&state->timers, state->now_ms + delay_ms, kind, handle);
    if (err < 0) {
        state->out->err = err;
    }
}
