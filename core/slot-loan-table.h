#ifndef CT_SLOT_LOAN_TABLE_H
#define CT_SLOT_LOAN_TABLE_H

#include "clock.h"
#include "name.h"

/*
 * The hosts that share slots, the pools, and what each pair of hosts has lent
 * each other; see slot-loan.h. Sends nothing.
 */

/* Least interval between two requests of a host for slots of one pool. */
#define CT_SLOT_REQUEST_INTERVAL_MS 100
/* The base share of a host that is down for this long goes to the others. */
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

/* Returns the index of a host. Errors: CT_ERR_NOT_FOUND. */
int ct_slot_loans_find_host(const struct ct_slot_loans *slot_loans,
                            const struct ct_name *name);

/*
 * Returns this host's part of the pool's slots. The parts fit together on all
 * hosts that agree about which hosts are down.
 */
uint32_t ct_slot_loans_base_share(const struct ct_slot_loans *slot_loans,
                                  const struct ct_slot_pool *pool,
                                  ct_ms now_ms);

/* Returns the slots that belong to this host now, including those it owes. */
uint32_t ct_slot_loans_owned(const struct ct_slot_loans *slot_loans,
                             const struct ct_slot_pool *pool, ct_ms now_ms);

/* The slots of a loan whose term has not ended. */
uint32_t ct_slot_loan_lent(const struct ct_slot_loan *loan, ct_ms now_ms);
uint32_t ct_slot_loan_borrowed(const struct ct_slot_loan *loan, ct_ms now_ms);
uint32_t ct_slot_loan_owed(const struct ct_slot_loan *loan, ct_ms now_ms);

#endif
