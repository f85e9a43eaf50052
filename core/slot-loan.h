#ifndef CT_SLOT_LOAN_H
#define CT_SLOT_LOAN_H

#include "peer-message.h"
#include "slot-loan-table.h"

/*
 * Divides the slots of a pool among the hosts, and lends slots between them.
 * Each host computes the same base share from the list of hosts. A host with
 * waiting requests requests slots from one peer at a time; the peer lends, for
 * a limited time, what it does not need for requests of the same or a higher
 * tier. A lender whose own requests wait requests its slots in the same way,
 * and gets them back as requests of the same or a lower tier end.
 *
 * The borrower's term of a loan runs from its request, the lender's from its
 * grant plus a margin. So a slot is in use at one host at a time even if
 * messages are lost; a lost message leaves the slot idle until the loan ends.
 * The base share of a host that is down for CT_SLOT_HOST_DEAD_MS goes to the
 * others. While hosts disagree about which hosts are down, the base shares
 * may add up to more than the pool has.
 *
 * Messages: per host and pool, at most one request in
 * CT_SLOT_REQUEST_INTERVAL_MS, one reply to each request, and a further grant
 * if slots were owed.
 */

#define CT_SLOT_LOAN_MS 4000
#define CT_SLOT_LOAN_MARGIN_MS 1000
#define CT_SLOT_REQUEST_TIMEOUT_MS 500

/* Use of a pool by this host, and requests that wait for it. */
struct ct_slot_demand {
    uint32_t busy;
    /* Waiting requests that could use the slots, by tier. */
    uint32_t waiting[CT_TIERS];
};

/* A message to send, of type CT_PEER_SLOT_REQUEST or CT_PEER_SLOT_GRANT. */
struct ct_slot_message {
    struct ct_name peer;
    enum ct_peer_message_type type;
    struct ct_slot_row row;
};

/*
 * Fills in a request to a peer for more slots, or to renew or end a loan.
 * Returns false if there is none to send.
 */
bool ct_slot_loans_next_request(struct ct_slot_loans *slot_loans,
                                uint32_t pool,
                                const struct ct_slot_demand *demand,
                                ct_ms now_ms, struct ct_slot_message *message);

/*
 * Handles a peer's slot request and fills in the reply. The caller recomputes
 * the pool's slots afterwards. Errors: CT_ERR_NOT_FOUND for an unknown pool or
 * peer.
 */
int ct_slot_loans_on_request(struct ct_slot_loans *slot_loans,
                             const struct ct_name *peer,
                             const struct ct_slot_row *row,
                             const struct ct_slot_demand *demand, ct_ms now_ms,
                             struct ct_slot_message *message);

/*
 * Fills in a message that lends or returns owed slots that are free now, or
 * returns false if there is none. Call it until it returns false whenever a
 * slot became free, before the slot is used again.
 */
bool ct_slot_loans_next_owed(struct ct_slot_loans *slot_loans, uint32_t pool,
                             const struct ct_slot_demand *demand, ct_ms now_ms,
                             struct ct_slot_message *message);

/*
 * Applies a peer's grant. Errors: CT_ERR_NOT_FOUND; CT_ERR_INVALID if the
 * grant is for an older request or the link is down.
 */
int ct_slot_loans_on_grant(struct ct_slot_loans *slot_loans,
                           const struct ct_name *peer,
                           const struct ct_slot_row *row, ct_ms now_ms);

#endif
