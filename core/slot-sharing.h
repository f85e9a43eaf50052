#ifndef CT_SLOT_SHARING_H
#define CT_SLOT_SHARING_H

#include "config.h"
#include "event.h"

/*
 * Puts slot-loan.h to use: which slots of a pool this host may fill, and the
 * messages that move slots between hosts before anything is shed.
 */

struct ct_state;

/* Follows the hosts of the configuration. */
void ct_slot_sharing_configure(struct ct_state *state);

/*
 * Slots that this host holds of a pool that has so many in all. Errors:
 * CT_ERR_NO_MEMORY.
 */
int ct_slot_sharing_held(struct ct_state *state, const struct ct_name *pool,
                         uint32_t firm, uint32_t cheap, uint32_t *held_firm,
                         uint32_t *held_cheap);

/* Requests wait in the pool: asks a peer for slots, now or soon. */
void ct_slot_sharing_request_slots(struct ct_state *state,
                                   struct ct_handle pool);

/*
 * A slot became free: gives it away where it was promised, before it is used
 * again. The caller counts the pool's slots anew where this returns true.
 */
bool ct_slot_sharing_grant_owed(struct ct_state *state, struct ct_handle pool);

void ct_slot_sharing_on_link(struct ct_state *state,
                             const struct ct_name *peer, bool up);
void ct_slot_sharing_on_message(struct ct_state *state,
                                const struct ct_peer_message *message);

/* CT_TIMER_SLOT_SHARING */
void ct_slot_sharing_on_timer(struct ct_state *state);

#endif
