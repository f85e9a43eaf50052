#include "limited-log.h"

#include "state.h"

#define LOG_INTERVAL_MS 10000

void
ct_limited_log(struct ct_state *state, enum ct_log_event event,
               const char *reason)
{
    unsigned i = event - CT_LIMITED_LOG_FIRST;

    state->limited_logs.kinds[i].occurrences++;
    if (state->limited_logs.kinds[i].logged &&
        state->now_ms - state->limited_logs.kinds[i].logged_ms <
            LOG_INTERVAL_MS) {
        return;
    }
    ct_emit_log(state, event, NULL, reason,
                state->limited_logs.kinds[i].occurrences);
    state->limited_logs.kinds[i].logged = true;
    state->limited_logs.kinds[i].logged_ms = state->now_ms;
    state->limited_logs.kinds[i].occurrences = 0;
}
