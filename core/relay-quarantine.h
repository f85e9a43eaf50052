#ifndef CT_RELAY_QUARANTINE_H
#define CT_RELAY_QUARANTINE_H

#include "relay.h"

struct ct_state;

/*
 * Tells the quarantine of prompts whether the attempt that ends was answered,
 * or whether its upstream failed before it answered.
 */
void ct_relay_report_to_quarantine(struct ct_state *state,
                                   const struct ct_relay *relay,
                                   const struct ct_relay_attempt *attempt,
                                   const struct ct_relay_progress *progress);

#endif
