#include "state.h"

#include <stdlib.h>

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
ct_emit(struct ct_state *state, enum ct_effect_type type)
{
    return ct_effects_add(state->out, type);
}

void
ct_emit_log(struct ct_state *state, enum ct_log_event event,
            const struct ct_name *name, const char *reason, int64_t number)
{
    struct ct_effect *effect = ct_emit(state, CT_EFFECT_LOG_EVENT);

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
ct_arm(struct ct_state *state, ct_ms delay_ms, enum ct_timer_kind kind,
       struct ct_handle handle)
{
    int err;

    err =
        ct_timers_add(&state->timers, state->now_ms + delay_ms, kind, handle);
    if (err < 0) {
        state->out->err = err;
    }
}

struct ct_state *
ct_state_new(const struct ct_self *self)
{
    struct ct_state *state = calloc(1, sizeof(*state));

    if (!state) {
        return NULL;
    }
    state->self = *self;
    state->random = self->seed;
    state->wake_ms = CT_MS_NEVER;
    ct_timers_init(&state->timers);
    return state;
}

void
ct_state_free(struct ct_state *state)
{
    if (!state) {
        return;
    }
    ct_timers_free(&state->timers);
    free(state);
}
