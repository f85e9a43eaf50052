#ifndef CT_LEADERSHIP_H
#define CT_LEADERSHIP_H

#include "event.h"

/*
 * Which host acts for all. The platform's store deals the parts of a group to
 * its members; the holder of one certain part acts, with the group's
 * generation as its fencing number. It believes in its part only as long as
 * the store must still keep it for it, counted from before it asked, and
 * waits after it got it, so that two hosts do not take turns quickly.
 */

struct ct_leadership {
    bool joining;
    int64_t generation;
    /* When the generation was last seen to change. */
    ct_ms changed_ms;
    bool holds;
    /* Since when the part is held without a gap. */
    ct_ms held_ms;
    /* The store keeps the part for this host until then. */
    ct_ms until_ms;
    /* Highest number with which a call was refused for being too old. */
    int64_t refused_fence;
    bool acting;
    uint32_t failures;
};

struct ct_state;

void ct_leadership_start(struct ct_state *state);
/* CT_TIMER_JOIN */
void ct_leadership_on_timer(struct ct_state *state);
void ct_leadership_on_join_done(struct ct_state *state,
                                const struct ct_store_join_done *joined);
/* A call with this number was refused: another host acts with a higher one. */
void ct_leadership_on_fenced(struct ct_state *state, int64_t fence);

/* Whether this host may act for all now; its number is the generation. */
bool ct_leadership_is_held(const struct ct_state *state);
/* Whether changes of the group are heard of, with the answers to joins. */
bool ct_leadership_sees_group_changes(const struct ct_state *state);
/* Until when it may, at the least. */
ct_ms ct_leadership_valid_until_ms(const struct ct_state *state);

#endif
