#include "limited-log.h"

#include "state.h"

#define LOG_INTERVAL_MS 10000

bool
ct_log_is_due(ct_ms now_ms, ct_ms *logged_ms)
{
    if (*logged_ms && now_ms - *logged_ms < LOG_INTERVAL_MS) {
        return false;
    }
    *logged_ms = now_ms;
    return true;
}

void
ct_limited_log(struct ct_state *state, enum ct_log_event event,
               const char *reason)
{
    unsigned i = event - CT_LIMITED_LOG_FIRST;

    state->limited_logs.kinds[i].occurrences++;
    if (!ct_log_is_due(state->now_ms,
                       &state->limited_logs.kinds[i].logged_ms)) {
        return;
    }
    ct_emit_log(state, event, NULL, reason,
                state->limited_logs.kinds[i].occurrences);
    state->limited_logs.kinds[i].occurrences = 0;
}
