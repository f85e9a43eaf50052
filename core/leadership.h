#ifndef CT_LEADERSHIP_H
#define CT_LEADERSHIP_H

#include "event.h"

/*
 * Leader election. The platform's store assigns the slots of a group to its
 * members. The host that holds the leader slot is the leader and uses the
 * group's generation as its fencing token. It relies on the slot only for as
 * long as the store must reserve it, counted from before the join was sent,
 * and waits after it received the slot, so that leadership does not alternate
 * quickly between two hosts.
 */

struct ct_leadership {
    bool joining;
    int64_t generation;
    /* When the generation was last seen to change. */
    ct_ms changed_ms;
    bool holds_slot;
    /* Since when the slot is held without a gap. */
    ct_ms slot_held_since_ms;
    /* The store reserves the slot for this host until then. */
    ct_ms slot_until_ms;
    /* Highest fencing token with which a call was refused as too old. */
    int64_t refused_fence;
    bool leading;
    /* This host became the leader and has not begun its duties yet. */
    bool duties_pending;
    uint32_t failures;
    /* When the last join that succeeded was sent; 0 for never. */
    ct_ms joined_ms;
};

struct ct_state;

void ct_leadership_join(struct ct_state *state);
/* CT_TIMER_JOIN */
void ct_leadership_on_timer(struct ct_state *state);
/*
 * Returns whether the group has changed, or may change unseen because joins
 * have begun to fail.
 */
bool ct_leadership_on_join_done(struct ct_state *state,
                                const struct ct_store_join_done *joined);
/*
 * Handles the refusal of a call with this fencing token: another leader has a
 * higher one.
 */
void ct_leadership_on_fenced(struct ct_state *state, int64_t fence);

/* Whether this host is the leader now; its fencing token is the generation. */
bool ct_leadership_is_held(const struct ct_state *state);
/* Returns true once after this host became the leader: its duties begin. */
bool ct_leadership_take_duties(struct ct_state *state);
/* Whether joins succeed, whose responses show changes of the group. */
bool ct_leadership_sees_group_changes(const struct ct_state *state);
/*
 * Returns the time until which the leader slot is at least reserved for this
 * host.
 */
ct_ms ct_leadership_valid_until_ms(const struct ct_state *state);

#endif
