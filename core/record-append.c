#include "record-append.h"

#include "state.h"

uint64_t
ct_log_append(struct ct_state *state, const struct ct_record *record,
              ct_ms not_after_ms)
{
    struct ct_effect *effect = ct_emit_effect(state, CT_EFFECT_APPEND_LOG);
    struct ct_record *copy = &effect->u.log_append.record;
    uint64_t sequence = ++state->log.next_sequence;

    *copy = *record;
    copy->writer = state->self.writer;
    copy->sequence = sequence;
    copy->wall_ms = state->wall_ms;
    copy->rows = CT_NO_ROWS;
    effect->u.log_append.not_after_ms = not_after_ms;
    ct_effect_set_rows(state->out, effect, record->rows);
    return sequence;
}

ct_ms
ct_log_age_ms(const struct ct_state *state)
{
    if (state->log.head == 0 && state->log.last_read_sent_ms == 0) {
        return CT_MS_NEVER;
    }
    return state->now_ms - state->log.last_read_sent_ms;
}
