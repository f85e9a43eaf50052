#include "slot-loan.h"

#include <string.h>

#include "error.h"

/* Part of its base share that a host never lends, but at least one slot. */
#define NOT_LENDABLE_PERCENT 25
/*
 * Delay before the next request for slots to a peer that granted fewer than
 * requested.
 */
#define UNMET_REQUEST_DELAY_MS 500
/* Time for which slots are owed to a peer unless it requests again. */
#define OWED_TIMEOUT_MS 1000

static uint32_t
count_waiting_up_to(const struct ct_slot_demand *demand, uint32_t tier)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i <= tier && i < CT_TIERS; i++) {
        n += demand->waiting[i];
    }
    return n;
}

/* Returns the highest tier with waiting requests, or CT_TIERS. */
static uint32_t
highest_waiting_tier(const uint32_t *waiting)
{
    uint32_t tier = 0;

    while (tier < CT_TIERS && waiting[tier] == 0) {
        tier++;
    }
    return tier;
}

static void
fill_slot_row(const struct ct_slot_loans *slot_loans,
              const struct ct_slot_pool *pool,
              const struct ct_slot_demand *demand, ct_ms now_ms,
              struct ct_slot_row *row)
{
    memset(row, 0, sizeof(*row));
    row->pool = pool->name;
    row->cheap = pool->cheap;
    row->slots_held = ct_slot_loans_owned(slot_loans, pool, now_ms);
    row->slots_busy = demand->busy;
    memcpy(row->waiting, demand->waiting, sizeof(row->waiting));
}

/*
 * Returns the peer whose loan must be renewed or ended because half of its
 * term has passed, or -1.
 */
static int
find_loan_to_renew(const struct ct_slot_loans *slot_loans,
                   const struct ct_slot_pool *pool, ct_ms now_ms)
{
    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        const struct ct_slot_loan *loan = &pool->loans[i];

        if (ct_slot_loan_borrowed(loan, now_ms) > 0 &&
            slot_loans->hosts[i].up &&
            loan->borrowed_until_ms - now_ms < CT_SLOT_LOAN_MS / 2 &&
            (!loan->awaiting_grant ||
             now_ms - loan->requested_ms >= CT_SLOT_REQUEST_TIMEOUT_MS)) {
            return (int)i;
        }
    }
    return -1;
}

/*
 * Returns the next peer in round-robin order that may have slots to lend, or
 * -1.
 */
static int
find_peer_to_request(const struct ct_slot_loans *slot_loans,
                     const struct ct_slot_pool *pool, ct_ms now_ms)
{
    for (uint32_t n = 1; n <= slot_loans->n_hosts; n++) {
        uint32_t i = (pool->last_peer + n) % slot_loans->n_hosts;
        const struct ct_slot_loan *loan = &pool->loans[i];
        bool awaiting_grant =
            loan->awaiting_grant &&
            now_ms - loan->requested_ms < CT_SLOT_REQUEST_TIMEOUT_MS;

        if (!slot_loans->hosts[i].self && slot_loans->hosts[i].up &&
            !awaiting_grant && loan->no_request_until_ms <= now_ms) {
            return (int)i;
        }
    }
    return -1;
}

static void
fill_slot_request(struct ct_slot_loans *slot_loans, struct ct_slot_pool *pool,
                  uint32_t peer, uint32_t wanted,
                  const struct ct_slot_demand *demand, ct_ms now_ms,
                  struct ct_slot_message *message)
{
    struct ct_slot_loan *loan = &pool->loans[peer];

    /*
     * The borrower stops using these slots before the lender learns of it, so
     * that no slot is in use at two hosts.
     */
    if (wanted < loan->borrowed) {
        loan->borrowed = wanted;
    }
    loan->request_number = ++slot_loans->next_request_number;
    loan->requested_ms = now_ms;
    loan->awaiting_grant = true;
    loan->requested_slots = wanted;
    pool->last_request_ms = now_ms;
    pool->last_peer = peer;
    message->peer = slot_loans->hosts[peer].name;
    message->type = CT_PEER_SLOT_REQUEST;
    fill_slot_row(slot_loans, pool, demand, now_ms, &message->row);
    message->row.slots = wanted;
    message->row.request_number = loan->request_number;
}

bool
ct_slot_loans_next_request(struct ct_slot_loans *slot_loans, uint32_t index,
                           const struct ct_slot_demand *demand, ct_ms now_ms,
                           struct ct_slot_message *message)
{
    struct ct_slot_pool *pool = &slot_loans->pools[index];
    uint32_t waiting = count_waiting_up_to(demand, CT_TIERS - 1);
    uint32_t held = ct_slot_loans_held(slot_loans, index, now_ms);
    uint32_t unused = held > demand->busy ? held - demand->busy : 0;
    struct ct_slot_loan *loan;
    uint32_t wanted;
    int peer;

    if (now_ms - pool->last_request_ms < CT_SLOT_REQUEST_INTERVAL_MS) {
        return false;
    }
    peer = find_loan_to_renew(slot_loans, pool, now_ms);
    if (peer < 0 && waiting > unused) {
        peer = find_peer_to_request(slot_loans, pool, now_ms);
    }
    if (peer < 0) {
        return false;
    }
    loan = &pool->loans[peer];
    wanted = ct_slot_loan_borrowed(loan, now_ms);
    if (waiting > unused) {
        wanted += waiting - unused;
    }
    else {
        wanted -= wanted < unused - waiting ? wanted : unused - waiting;
    }
    fill_slot_request(slot_loans, pool, (uint32_t)peer, wanted, demand, now_ms,
                      message);
    return true;
}

/* Returns how many more slots of its base share the host may lend. */
static uint32_t
lendable_slots(const struct ct_slot_loans *slot_loans,
               const struct ct_slot_pool *pool, ct_ms now_ms)
{
    uint32_t base = ct_slot_loans_base_share(slot_loans, pool, now_ms);
    uint32_t not_lendable = base * NOT_LENDABLE_PERCENT / 100;

    not_lendable = not_lendable > 0 ? not_lendable : 1;
    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        not_lendable += ct_slot_loan_lent(&pool->loans[i], now_ms);
    }
    /* Borrowed slots are not lent on: their term is set by another host. */
    return base > not_lendable ? base - not_lendable : 0;
}

/* Returns the free slots that may be lent for requests of this tier. */
static uint32_t
spare_slots(const struct ct_slot_loans *slot_loans,
            const struct ct_slot_pool *pool,
            const struct ct_slot_demand *demand, uint32_t tier, ct_ms now_ms)
{
    uint32_t own = ct_slot_loans_owned(slot_loans, pool, now_ms);
    uint32_t used = demand->busy + count_waiting_up_to(demand, tier);
    uint32_t spare = own > used ? own - used : 0;
    uint32_t limit = lendable_slots(slot_loans, pool, now_ms);

    return spare < limit ? spare : limit;
}

static void
fill_slot_grant(const struct ct_slot_loans *slot_loans,
                const struct ct_slot_pool *pool, uint32_t host,
                uint64_t request_number, const struct ct_slot_demand *demand,
                ct_ms now_ms, struct ct_slot_message *message)
{
    message->peer = slot_loans->hosts[host].name;
    message->type = CT_PEER_SLOT_GRANT;
    fill_slot_row(slot_loans, pool, demand, now_ms, &message->row);
    message->row.slots = ct_slot_loan_lent(&pool->loans[host], now_ms);
    message->row.request_number = request_number;
}

static void
record_owed_slots(struct ct_slot_loan *loan, uint32_t slots, uint32_t limit,
                  uint32_t tier, uint64_t request_number, ct_ms now_ms)
{
    loan->owed = slots < limit ? slots : limit;
    loan->owed_tier = tier;
    loan->owed_until_ms = now_ms + OWED_TIMEOUT_MS;
    loan->owed_request_number = request_number;
}

/*
 * Fills in a request that returns free borrowed slots to their lender: a
 * request for fewer slots than are borrowed. Returns false if no slots can be
 * returned.
 */
static bool
return_borrowed_slots(struct ct_slot_loans *slot_loans,
                      struct ct_slot_pool *pool, uint32_t host,
                      const struct ct_slot_demand *demand, ct_ms now_ms,
                      struct ct_slot_message *message)
{
    struct ct_slot_loan *loan = &pool->loans[host];
    uint32_t own = ct_slot_loans_owned(slot_loans, pool, now_ms);
    uint32_t used = demand->busy;
    uint32_t slots = ct_slot_loan_borrowed(loan, now_ms);

    /* The lender is served before waiting requests of the same tier. */
    if (loan->owed_tier > 0) {
        used += count_waiting_up_to(demand, loan->owed_tier - 1);
    }
    slots = slots < loan->owed ? slots : loan->owed;
    if (own <= used || slots == 0) {
        return false;
    }
    slots = slots < own - used ? slots : own - used;
    loan->owed -= slots;
    loan->borrowed -= slots;
    fill_slot_request(slot_loans, pool, host, loan->borrowed, demand, now_ms,
                      message);
    return true;
}

/*
 * Lends free slots. If requests of lower tiers wait at this host, further
 * slots are owed, so that slots that become free go to the peer before they go
 * to those requests.
 */
static void
lend_slots(const struct ct_slot_loans *slot_loans,
           const struct ct_slot_pool *pool, struct ct_slot_loan *loan,
           uint32_t more, const struct ct_slot_row *row,
           const struct ct_slot_demand *demand, ct_ms now_ms)
{
    uint32_t tier = highest_waiting_tier(row->waiting);
    uint32_t spare = spare_slots(slot_loans, pool, demand, tier, now_ms);

    spare = spare < more ? spare : more;
    loan->lent += spare;
    if (count_waiting_up_to(demand, CT_TIERS - 1) >
        count_waiting_up_to(demand, tier)) {
        record_owed_slots(loan, more - spare,
                          lendable_slots(slot_loans, pool, now_ms), tier,
                          row->request_number, now_ms);
    }
}

int
ct_slot_loans_on_request(struct ct_slot_loans *slot_loans,
                         const struct ct_name *peer,
                         const struct ct_slot_row *row,
                         const struct ct_slot_demand *demand, ct_ms now_ms,
                         struct ct_slot_message *message)
{
    int index = ct_slot_loans_find_pool(slot_loans, &row->pool, row->cheap);
    int host = ct_slot_loans_find_host(slot_loans, peer);
    struct ct_slot_pool *pool;
    struct ct_slot_loan *loan;
    uint32_t tier = highest_waiting_tier(row->waiting);
    uint32_t more;

    if (index < 0 || host < 0 || slot_loans->hosts[host].self) {
        return CT_ERR_NOT_FOUND;
    }
    pool = &slot_loans->pools[index];
    loan = &pool->loans[host];
    loan->awaiting_grant = false;
    loan->owed = 0;
    loan->lent = ct_slot_loan_lent(loan, now_ms);
    if (row->slots < loan->lent) {
        loan->lent = row->slots;
    }
    /*
     * This host must not use a lent slot again before its term ends at the
     * borrower.
     */
    loan->lent_until_ms = now_ms + CT_SLOT_LOAN_MS + CT_SLOT_LOAN_MARGIN_MS;
    more = row->slots - loan->lent;
    if (ct_slot_loan_borrowed(loan, now_ms) > 0 && more > 0) {
        /*
         * No slots are owed to the lender while requests of a higher tier wait
         * at this host.
         */
        if (tier == 0 || count_waiting_up_to(demand, tier - 1) == 0) {
            record_owed_slots(loan, more, ct_slot_loan_borrowed(loan, now_ms),
                              tier, row->request_number, now_ms);
        }
        if (return_borrowed_slots(slot_loans, pool, (uint32_t)host, demand,
                                  now_ms, message)) {
            return CT_OK;
        }
    }
    else {
        lend_slots(slot_loans, pool, loan, more, row, demand, now_ms);
    }
    fill_slot_grant(slot_loans, pool, (uint32_t)host, row->request_number,
                    demand, now_ms, message);
    return CT_OK;
}

bool
ct_slot_loans_next_owed(struct ct_slot_loans *slot_loans, uint32_t index,
                        const struct ct_slot_demand *demand, ct_ms now_ms,
                        struct ct_slot_message *message)
{
    struct ct_slot_pool *pool = &slot_loans->pools[index];

    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        struct ct_slot_loan *loan = &pool->loans[i];
        uint32_t owed = ct_slot_loan_owed(loan, now_ms);
        uint32_t spare;

        if (owed == 0) {
            continue;
        }
        if (ct_slot_loan_borrowed(loan, now_ms) > 0) {
            if (return_borrowed_slots(slot_loans, pool, i, demand, now_ms,
                                      message)) {
                return true;
            }
            continue;
        }
        spare = spare_slots(slot_loans, pool, demand, loan->owed_tier, now_ms);
        if (spare == 0) {
            continue;
        }
        spare = spare < owed ? spare : owed;
        loan->owed -= spare;
        loan->lent = ct_slot_loan_lent(loan, now_ms) + spare;
        loan->lent_until_ms =
            now_ms + CT_SLOT_LOAN_MS + CT_SLOT_LOAN_MARGIN_MS;
        fill_slot_grant(slot_loans, pool, i, loan->owed_request_number, demand,
                        now_ms, message);
        return true;
    }
    return false;
}

int
ct_slot_loans_on_grant(struct ct_slot_loans *slot_loans,
                       const struct ct_name *peer,
                       const struct ct_slot_row *row, ct_ms now_ms)
{
    int index = ct_slot_loans_find_pool(slot_loans, &row->pool, row->cheap);
    int host = ct_slot_loans_find_host(slot_loans, peer);
    struct ct_slot_loan *loan;

    if (index < 0 || host < 0) {
        return CT_ERR_NOT_FOUND;
    }
    loan = &slot_loans->pools[index].loans[host];
    if (row->request_number != loan->request_number ||
        !slot_loans->hosts[host].up) {
        return CT_ERR_INVALID;
    }
    loan->awaiting_grant = false;
    if (row->slots < loan->requested_slots) {
        loan->no_request_until_ms = now_ms + UNMET_REQUEST_DELAY_MS;
    }
    loan->borrowed = row->slots;
    loan->borrowed_until_ms = loan->requested_ms + CT_SLOT_LOAN_MS;
    if (loan->borrowed_until_ms <= now_ms) {
        loan->borrowed = 0;
    }
    return CT_OK;
}
