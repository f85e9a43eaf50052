#ifndef CT_ANSWER_H
#define CT_ANSWER_H

#include "event.h"

/*
 * Answers that a caller asks for again, by request id and offset: through the
 * host that has them, or by a redirect to that host.
 */

/* How long an answer is kept after its end. */
#define CT_ANSWER_KEPT_MS 60000

/* How long a host waits for peers to say that they have an answer. */
#define CT_ANSWER_ASK_MS 1000

/* A caller who waits for peers to say who keeps an answer. */
struct ct_answer_wait {
    struct ct_answer_ask ask;
    ct_ms deadline_ms;
};

struct ct_state;

void ct_answer_on_asked(struct ct_state *state,
                        const struct ct_answer_ask *ask);

/* A peer asks for, or says that it keeps, the answer of a request. */
void ct_answer_on_peer_ask(struct ct_state *state,
                           const struct ct_peer_message *message);
void ct_answer_on_peer_here(struct ct_state *state,
                            const struct ct_peer_message *message);

/* CT_TIMER_ANSWER_ASK */
void ct_answer_on_ask_timer(struct ct_state *state, struct ct_handle handle);

/* The caller of this number left while it waited. */
void ct_answer_on_gone(struct ct_state *state, uint64_t caller);

/* CT_TIMER_ANSWER_KEPT */
void ct_answer_on_kept_timer(struct ct_state *state, struct ct_handle handle);

#endif
