#ifndef CT_SLOT_LOAN_H
#define CT_SLOT_LOAN_H

#include "clock.h"
#include "name.h"
#include "peer-message.h"

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
#define CT_SLOT_REQUEST_INTERVAL_MS 100
#define CT_SLOT_REQUEST_TIMEOUT_MS 500
#define CT_SLOT_HOST_DEAD_MS 15000

struct ct_slot_host {
    struct ct_name name;
    bool self;
    bool up;
    /*
     * When it went down; its base share goes to the other hosts after
     * CT_SLOT_HOST_DEAD_MS.
     */
    ct_ms down_ms;
};

/* Slots of one pool that this host and a peer have lent each other. */
struct ct_slot_loan {
    uint32_t lent;
    ct_ms lent_until_ms;
    /* Owed to the peer: lent or returned as slots become free. */
    uint32_t owed;
    uint32_t owed_tier;
    ct_ms owed_until_ms;
    uint64_t owed_request_number;
    uint32_t borrowed;
    ct_ms borrowed_until_ms;
    /* The last slot request, and whether its grant is outstanding. */
    uint64_t request_number;
    ct_ms requested_ms;
    uint32_t requested_slots;
    bool awaiting_grant;
    /*
     * The peer granted fewer slots than requested: no further request for new
     * slots goes to it before this time.
     */
    ct_ms no_request_until_ms;
};

/* The firm or the cheap slots of one pool. */
struct ct_slot_pool {
    struct ct_name name;
    bool cheap;
    uint32_t slots;
    ct_ms last_request_ms;
    uint32_t last_peer;
    /* One per host, in the order of the hosts. */
    struct ct_slot_loan *loans;
};

struct ct_slot_loans {
    struct ct_slot_host *hosts;
    uint32_t n_hosts;
    struct ct_slot_pool *pools;
    uint32_t n_pools;
    uint64_t next_request_number;
};

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

void ct_slot_loans_init(struct ct_slot_loans *slot_loans);
void ct_slot_loans_free(struct ct_slot_loans *slot_loans);

/*
 * Sets the hosts, in any order and including this one. Loans with hosts that
 * remain are preserved. Errors: CT_ERR_NO_MEMORY.
 */
int ct_slot_loans_set_hosts(struct ct_slot_loans *slot_loans,
                            const struct ct_name *hosts, uint32_t n,
                            const struct ct_name *self, ct_ms now_ms);

/*
 * Adds a pool or sets its slots; returns its index. Errors: CT_ERR_NO_MEMORY.
 */
int ct_slot_loans_set_pool(struct ct_slot_loans *slot_loans,
                           const struct ct_name *name, bool cheap,
                           uint32_t slots);
/* Returns the index of a pool. Errors: CT_ERR_NOT_FOUND. */
int ct_slot_loans_find_pool(const struct ct_slot_loans *slot_loans,
                            const struct ct_name *name, bool cheap);

/*
 * Handles a link to a peer that came up or went down, which voids the slots
 * borrowed from or owed to the peer.
 */
void ct_slot_loans_on_link(struct ct_slot_loans *slot_loans,
                           const struct ct_name *peer, bool up, ct_ms now_ms);

/*
 * Returns the number of slots that this host may fill now. It falls without a
 * message when a loan ends.
 */
uint32_t ct_slot_loans_held(const struct ct_slot_loans *slot_loans,
                            uint32_t pool, ct_ms now_ms);

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
