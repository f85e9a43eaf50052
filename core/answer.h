#ifndef CT_ANSWER_H
#define CT_ANSWER_H

#include "event.h"

/*
 * Answers that a caller asks for again, by request id and offset: through the
 * host that has them, or by a redirect to that host.
 */

/* How long an answer is kept after its end. */
#define CT_ANSWER_KEPT_MS 60000

struct ct_state;

void ct_answer_on_asked(struct ct_state *state,
                        const struct ct_answer_ask *ask);

/* CT_TIMER_ANSWER_KEPT */
void ct_answer_on_kept_timer(struct ct_state *state, struct ct_handle handle);

#endif
