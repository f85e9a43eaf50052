#ifndef CT_RANK_LIMIT_H
#define CT_RANK_LIMIT_H

#include <glib.h>

#include "clock.h"
#include "table.h"

/*
 * Limits the calls of a rank while more urgent calls of the same pool get
 * their first event late. An engine admits urgent calls first, but then reads
 * the prompts of all admitted calls in turn, so an urgent call waits behind
 * the long prompts that were admitted before it. What a limit holds back waits
 * at this host, in order of rank and arrival.
 *
 * Answers a burst of long prompts of a less urgent rank that engines share
 * with short prompts of a more urgent one. Each host changes its limits by
 * the waits of its own calls alone; all hosts see the same engines.
 */

/* Ranks from this one on share the last limit. */
#define CT_RANK_LIMIT_RANKS 10

struct ct_rank_load {
    /* Prompt tokens of the calls at upstreams that await their first event. */
    uint64_t awaited_tokens;
    /* Maximum of awaited_tokens since the limit was changed. */
    uint64_t peak_tokens;
    /* Limit of awaited_tokens; UINT64_MAX for none. */
    uint64_t limit_tokens;
    ct_ms changed_ms;
    /* Moving average of the share of first events that came late. */
    uint32_t late_permille;
    ct_ms sampled_ms;
    /* struct ct_rank_waiting; those before first_waiting have left. */
    GArray *waiting;
    guint first_waiting;
};

/* The limits of one pool; zeroed memory is a valid initial value. */
struct ct_rank_limit {
    bool initialised;
    struct ct_rank_load ranks[CT_RANK_LIMIT_RANKS];
};

/* A call that waits at this host; its handle may have become stale. */
struct ct_rank_waiting {
    struct ct_handle call;
    uint32_t tokens;
};

void ct_rank_limit_free(struct ct_rank_limit *limit);

/*
 * Whether a call may be sent now. It may not pass calls of its rank or of a
 * more urgent one that wait. One call of a rank is always admitted, so that no
 * rank starves.
 */
bool ct_rank_limit_admits(struct ct_rank_limit *limit, uint32_t rank,
                          uint32_t tokens);
/* Adds a call that was not admitted. */
void ct_rank_limit_wait(struct ct_rank_limit *limit, uint32_t rank,
                        struct ct_handle call, uint32_t tokens);
/*
 * Removes the next waiting call that may be sent now and stores its handle.
 * Returns false if there is none.
 */
bool ct_rank_limit_next(struct ct_rank_limit *limit, struct ct_handle *call);
/* Whether calls wait, or left while they waited. */
bool ct_rank_limit_has_waiting(const struct ct_rank_limit *limit);

/* A call was sent to an upstream. */
void ct_rank_limit_sent(struct ct_rank_limit *limit, uint32_t rank,
                        uint32_t tokens);
/*
 * The call's first event arrived, late or not as measured by its route's
 * target; or the call ended without one, which counts as late if it had
 * waited as long.
 */
void ct_rank_limit_first_event(struct ct_rank_limit *limit, uint32_t rank,
                               uint32_t tokens, bool late, ct_ms now_ms);
/* The call ended early, before its first event. */
void ct_rank_limit_ended(struct ct_rank_limit *limit, uint32_t rank,
                         uint32_t tokens);

#endif
