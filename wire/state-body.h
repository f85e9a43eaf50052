#ifndef CT_STATE_BODY_H
#define CT_STATE_BODY_H

#include <glib.h>

#include "state-view.h"

/* Metrics and state of a host, for operators. */

/* Appends all counters, refusal reasons and latencies, also those at 0. */
void ct_counters_text(const struct ct_counters *counters, GString *out);

/* Appends one line: coriandertrack_<name> value. */
void ct_gauge_text(const char *name, uint64_t value, GString *out);

/* Appends the state as JSON. */
void ct_state_body(const struct ct_state *state, const struct ct_name *host,
                   ct_ms now_ms, GString *out);

#endif
