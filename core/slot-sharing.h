#ifndef CT_SLOT_SHARING_H
#define CT_SLOT_SHARING_H

#include "config.h"
#include "event.h"

/*
 * Applies slot-loan.h to the pools: computes which slots this host may fill,
 * and sends the messages that move slots between hosts before requests are
 * shed.
 */

struct ct_state;

/* Updates the hosts from the configuration. */
void ct_slot_sharing_configure(struct ct_state *state);

/*
 * Computes the slots that this host holds of a pool with the given totals.
 * Errors: CT_ERR_NO_MEMORY.
 */
int ct_slot_sharing_held(struct ct_state *state, const struct ct_name *pool,
                         uint32_t firm, uint32_t cheap, uint32_t *held_firm,
                         uint32_t *held_cheap);

/*
 * Requests slots from a peer while requests wait in the pool, now or by the
 * timer.
 */
void ct_slot_sharing_request_slots(struct ct_state *state,
                                   struct ct_handle pool);

/*
 * Lends or returns slots that are owed. Call it when a slot became free,
 * before the slot is used again. If it returns true, the caller recomputes the
 * pool's slots.
 */
bool ct_slot_sharing_grant_owed(struct ct_state *state, struct ct_handle pool);

void ct_slot_sharing_on_link(struct ct_state *state,
                             const struct ct_name *peer, bool up);
/*
 * Handles a request or a grant. Returns the pool, whose slots the caller
 * recomputes; CT_NO_HANDLE if this host does not know it.
 */
struct ct_handle
ct_slot_sharing_on_message(struct ct_state *state,
                           const struct ct_peer_message *message);

/* The timer has expired; ct_slot_sharing_next_active() starts it again. */
void ct_slot_sharing_on_timer(struct ct_state *state);

/*
 * Finds the next pool whose slots are lent, borrowed, owed or busy, sends its
 * requests for slots and starts the timer. The caller recomputes the pool's
 * slots. *cursor begins at 0. Returns false if there is no further pool.
 */
bool ct_slot_sharing_next_active(struct ct_state *state, uint32_t *cursor,
                                 struct ct_handle *pool);

#endif
