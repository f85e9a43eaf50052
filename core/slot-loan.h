#ifndef CT_SLOT_LOAN_H
#define CT_SLOT_LOAN_H

#include "clock.h"
#include "name.h"
#include "peer-message.h"

/*
 * Shares of a pool's slots, one a host. Each host computes the same base
 * share from the list of hosts. A host whose requests wait asks one peer at a
 * time for slots; the peer lends what it does not need for requests of the
 * same or a higher tier, for a limited time. A lender whose own requests
 * wait asks for its slots in the same way, and gets them back as requests of
 * the same or a lower tier end.
 *
 * The borrower counts the loan from when it asked, the lender, with a margin,
 * from when it answered. So a slot is in use at one host at a time whatever
 * messages are lost; a lost message keeps it idle until the loan ends. The
 * base shares of a host that is down for SHARE_DEAD_MS go to the others; for
 * as long as hosts differ about who is down, shares may add up to more than
 * the pool has.
 *
 * Messages: at most one ask in SHARE_ASK_INTERVAL_MS a host and pool, one
 * answer to each, and one more where slots were promised.
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
    /* Since when it is down; its base share lapses after a while. */
    ct_ms down_ms;
};

/* What this host and a peer have lent each other of one pool. */
struct ct_slot_loan {
    uint32_t lent;
    ct_ms lent_until_ms;
    /* Promised, to be lent or returned as slots become free. */
    uint32_t owed;
    uint32_t owed_tier;
    ct_ms owed_until_ms;
    uint64_t owed_epoch;
    uint32_t borrowed;
    ct_ms borrowed_until_ms;
    /* The last ask, and whether its answer is still awaited. */
    uint64_t epoch;
    ct_ms asked_ms;
    uint32_t asked_slots;
    bool awaited;
    /* The peer gave less than it was asked for: not to be asked until then. */
    ct_ms empty_until_ms;
};

/* The firm, or the cheap, slots of one pool. */
struct ct_slot_pool {
    struct ct_name name;
    bool cheap;
    uint32_t slots;
    ct_ms last_ask_ms;
    uint32_t last_peer;
    /* One a host, in the order of the hosts. */
    struct ct_slot_loan *loans;
};

struct ct_slot_loans {
    struct ct_slot_host *hosts;
    uint32_t n_hosts;
    struct ct_slot_pool *pools;
    uint32_t n_pools;
    uint64_t next_epoch;
};

/* Use of a pool by this host. */
struct ct_slot_demand {
    uint32_t busy;
    /* Requests waiting that could use the slots, by tier. */
    uint32_t waiting[CT_TIERS];
};

/* A message to be sent, of type CT_PEER_SLOT_REQUEST or CT_PEER_SLOT_GRANT. */
struct ct_slot_message {
    struct ct_name peer;
    enum ct_peer_message_type type;
    struct ct_share_row row;
};

void ct_slot_loans_init(struct ct_slot_loans *shares);
void ct_slot_loans_free(struct ct_slot_loans *shares);

/*
 * Sets the hosts, in any order, this one among them. Loans with hosts that
 * stay are kept. Errors: CT_ERR_NO_MEMORY.
 */
int ct_slot_loans_set_hosts(struct ct_slot_loans *shares,
                            const struct ct_name *hosts, uint32_t n,
                            const struct ct_name *self, ct_ms now_ms);

/* Adds a pool or sets its slots; returns its index. CT_ERR_NO_MEMORY. */
int ct_slot_loans_set_pool(struct ct_slot_loans *shares,
                           const struct ct_name *name, bool cheap,
                           uint32_t slots);
/* Errors: CT_ERR_NOT_FOUND. */
int ct_slot_loans_find_pool(const struct ct_slot_loans *shares,
                            const struct ct_name *name, bool cheap);

/* A link to a peer came up or went down: what it lent is void. */
void ct_slot_loans_on_link(struct ct_slot_loans *shares,
                           const struct ct_name *peer, bool up, ct_ms now_ms);

/*
 * Slots in which this host may hold or start requests now. Falls without a
 * message when a loan ends.
 */
uint32_t ct_slot_loans_held(const struct ct_slot_loans *shares, uint32_t pool,
                            ct_ms now_ms);

/* Whether to ask a peer for slots, to renew a loan or to end one. */
bool ct_slot_loans_next_request(struct ct_slot_loans *shares, uint32_t pool,
                                const struct ct_slot_demand *demand,
                                ct_ms now_ms, struct ct_slot_message *send);

/*
 * Answers a peer's ask; the caller sets the pool's slots anew afterwards.
 * Errors: CT_ERR_NOT_FOUND for an unknown pool or peer.
 */
int ct_slot_loans_on_request(struct ct_slot_loans *shares,
                             const struct ct_name *peer,
                             const struct ct_share_row *row,
                             const struct ct_slot_demand *demand, ct_ms now_ms,
                             struct ct_slot_message *send);

/*
 * Whether slots that were promised are free now and go to a peer; to be
 * called until false when a slot became free, before it is used again.
 */
bool ct_slot_loans_next_owed(struct ct_slot_loans *shares, uint32_t pool,
                             const struct ct_slot_demand *demand, ct_ms now_ms,
                             struct ct_slot_message *send);

/* Takes what a peer gave. Errors: CT_ERR_NOT_FOUND; CT_ERR_INVALID: late. */
int ct_slot_loans_on_grant(struct ct_slot_loans *shares,
                           const struct ct_name *peer,
                           const struct ct_share_row *row, ct_ms now_ms);

#endif
