#include "reduce.h"

#include "error.h"
#include "state.h"

static int
apply(struct ct_state *state, const struct ct_event *event)
{
    (void)state;
    switch (event->type) {
    default:
        return CT_ERR_INVALID;
    }
}

/* Asks for a tick when the earliest timer changed. */
static void
update_wake(struct ct_state *state)
{
    ct_ms next_ms = ct_timers_next_ms(&state->timers);

    if (next_ms == state->wake_ms || next_ms == CT_MS_NEVER) {
        return;
    }
    state->wake_ms = next_ms;
    ct_emit(state, CT_EFFECT_WAKE)->u.at_ms = next_ms;
}

int
ct_reduce(struct ct_state *state, const struct ct_event *event,
          struct ct_effects *effects)
{
    int err;

    state->now_ms = event->now_ms;
    state->wall_ms = event->wall_ms;
    state->out = effects;
    err = apply(state, event);
    update_wake(state);
    state->out = NULL;
    if (err < 0) {
        return err;
    }
    return effects->err;
}
