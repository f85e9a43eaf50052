#ifndef CT_EMIT_H
#define CT_EMIT_H

#include "effect.h"
#include "timer.h"

/*
 * What any module may do while an event is applied: add effects, arm timers
 * and draw random numbers.
 */

struct ct_state;

/* Returns the next number of the state's own deterministic random sequence. */
uint64_t ct_state_random(struct ct_state *state);

/* Adds an effect of the event being applied. */
struct ct_effect *ct_emit_effect(struct ct_state *state,
                                 enum ct_effect_type type);

/* Adds a log event about name; name and reason may be NULL. */
void ct_emit_log(struct ct_state *state, enum ct_log_event event,
                 const struct ct_name *name, const char *reason,
                 int64_t number);

/* Sends a refusal to a caller; the calling module counts and records it. */
void ct_emit_refusal(struct ct_state *state, uint64_t caller,
                     const struct ct_request_id *id, enum ct_refusal reason,
                     enum ct_run_state run_state, ct_ms retry_after_ms);

/*
 * Adds a message from this host to another. The caller sets the members that
 * the message type needs before it adds another effect.
 */
struct ct_peer_message *ct_peer_message_to(struct ct_state *state,
                                           const struct ct_name *host,
                                           enum ct_peer_message_type type,
                                           struct ct_rows rows);

/* Sends the message that was added last to a further host. */
void ct_peer_message_repeat_to(struct ct_state *state,
                               const struct ct_name *host);

/* Arms a reducer timer that is due delay_ms after the current event. */
void ct_arm_timer(struct ct_state *state, ct_ms delay_ms,
                  enum ct_timer_kind kind, struct ct_handle handle);

#endif
