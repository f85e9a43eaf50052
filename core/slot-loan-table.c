#include "slot-loan-table.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"

void
ct_slot_loans_init(struct ct_slot_loans *slot_loans)
{
    memset(slot_loans, 0, sizeof(*slot_loans));
}

void
ct_slot_loans_free(struct ct_slot_loans *slot_loans)
{
    for (uint32_t i = 0; i < slot_loans->n_pools; i++) {
        free(slot_loans->pools[i].loans);
    }
    free(slot_loans->pools);
    free(slot_loans->hosts);
}

int
ct_slot_loans_find_host(const struct ct_slot_loans *slot_loans,
                        const struct ct_name *name)
{
    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        if (ct_name_eq(&slot_loans->hosts[i].name, name)) {
            return (int)i;
        }
    }
    return CT_ERR_NOT_FOUND;
}

static int
compare_hosts(const void *a, const void *b)
{
    const struct ct_slot_host *x = a;
    const struct ct_slot_host *y = b;

    return strcmp(x->name.text, y->name.text);
}

/* Copies the loans of a pool into the order of a new list of hosts. */
static struct ct_slot_loan *
move_loans(const struct ct_slot_loans *slot_loans,
           const struct ct_slot_pool *pool, const struct ct_slot_host *hosts,
           uint32_t n)
{
    struct ct_slot_loan *loans = calloc(n ? n : 1, sizeof(*loans));

    for (uint32_t i = 0; loans && i < n; i++) {
        int old = ct_slot_loans_find_host(slot_loans, &hosts[i].name);

        if (old >= 0) {
            loans[i] = pool->loans[old];
        }
    }
    return loans;
}

int
ct_slot_loans_set_hosts(struct ct_slot_loans *slot_loans,
                        const struct ct_name *names, uint32_t n,
                        const struct ct_name *self, ct_ms now_ms)
{
    struct ct_slot_host *hosts = calloc(n ? n : 1, sizeof(*hosts));

    if (!hosts) {
        return CT_ERR_NO_MEMORY;
    }
    for (uint32_t i = 0; i < n; i++) {
        int old = ct_slot_loans_find_host(slot_loans, &names[i]);

        hosts[i].name = names[i];
        hosts[i].down_ms = now_ms;
        if (old >= 0) {
            hosts[i] = slot_loans->hosts[old];
        }
        hosts[i].self = ct_name_eq(&names[i], self);
    }
    qsort(hosts, n, sizeof(*hosts), compare_hosts);
    for (uint32_t i = 0; i < slot_loans->n_pools; i++) {
        struct ct_slot_loan *loans =
            move_loans(slot_loans, &slot_loans->pools[i], hosts, n);

        if (!loans) {
            free(hosts);
            return CT_ERR_NO_MEMORY;
        }
        free(slot_loans->pools[i].loans);
        slot_loans->pools[i].loans = loans;
        slot_loans->pools[i].last_peer = 0;
    }
    free(slot_loans->hosts);
    slot_loans->hosts = hosts;
    slot_loans->n_hosts = n;
    return CT_OK;
}

int
ct_slot_loans_find_pool(const struct ct_slot_loans *slot_loans,
                        const struct ct_name *name, bool cheap)
{
    for (uint32_t i = 0; i < slot_loans->n_pools; i++) {
        if (slot_loans->pools[i].cheap == cheap &&
            ct_name_eq(&slot_loans->pools[i].name, name)) {
            return (int)i;
        }
    }
    return CT_ERR_NOT_FOUND;
}

int
ct_slot_loans_set_pool(struct ct_slot_loans *slot_loans,
                       const struct ct_name *name, bool cheap, uint32_t slots)
{
    int found = ct_slot_loans_find_pool(slot_loans, name, cheap);
    struct ct_slot_pool *pools;
    struct ct_slot_loan *loans;

    if (found >= 0) {
        slot_loans->pools[found].slots = slots;
        return found;
    }
    loans =
        calloc(slot_loans->n_hosts ? slot_loans->n_hosts : 1, sizeof(*loans));
    if (!loans) {
        return CT_ERR_NO_MEMORY;
    }
    pools =
        realloc(slot_loans->pools, (slot_loans->n_pools + 1) * sizeof(*pools));
    if (!pools) {
        free(loans);
        return CT_ERR_NO_MEMORY;
    }
    slot_loans->pools = pools;
    pools[slot_loans->n_pools] = (struct ct_slot_pool){
        .name = *name, .cheap = cheap, .slots = slots, .loans = loans};
    pools[slot_loans->n_pools].last_request_ms = -CT_SLOT_REQUEST_INTERVAL_MS;
    return (int)slot_loans->n_pools++;
}

void
ct_slot_loans_on_link(struct ct_slot_loans *slot_loans,
                      const struct ct_name *peer, bool up, ct_ms now_ms)
{
    int host = ct_slot_loans_find_host(slot_loans, peer);

    if (host < 0) {
        return;
    }
    slot_loans->hosts[host].up = up;
    slot_loans->hosts[host].down_ms = now_ms;
    for (uint32_t i = 0; i < slot_loans->n_pools; i++) {
        struct ct_slot_loan *loan = &slot_loans->pools[i].loans[host];

        loan->borrowed = 0;
        loan->awaiting_grant = false;
        loan->owed = 0;
        loan->no_request_until_ms = 0;
        /* Lent slots stay lent, because the peer may still use them. */
    }
}

static bool
has_base_share(const struct ct_slot_host *host, ct_ms now_ms)
{
    return host->self || host->up ||
           now_ms - host->down_ms < CT_SLOT_HOST_DEAD_MS;
}

uint32_t
ct_slot_loans_base_share(const struct ct_slot_loans *slot_loans,
                         const struct ct_slot_pool *pool, ct_ms now_ms)
{
    uint64_t rotation = ct_name_hash(CT_HASH_SEED, &pool->name);
    uint32_t n = 0;
    uint32_t rank = 0;

    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        if (slot_loans->hosts[i].self) {
            rank = n;
        }
        n += has_base_share(&slot_loans->hosts[i], now_ms);
    }
    if (n == 0) {
        return pool->slots;
    }
    rank = (uint32_t)((rank + rotation) % n);
    return pool->slots / n + (rank < pool->slots % n ? 1 : 0);
}

uint32_t
ct_slot_loan_lent(const struct ct_slot_loan *loan, ct_ms now_ms)
{
    return loan->lent_until_ms > now_ms ? loan->lent : 0;
}

uint32_t
ct_slot_loan_borrowed(const struct ct_slot_loan *loan, ct_ms now_ms)
{
    return loan->borrowed_until_ms > now_ms ? loan->borrowed : 0;
}

uint32_t
ct_slot_loan_owed(const struct ct_slot_loan *loan, ct_ms now_ms)
{
    return loan->owed_until_ms > now_ms ? loan->owed : 0;
}

uint32_t
ct_slot_loans_owned(const struct ct_slot_loans *slot_loans,
                    const struct ct_slot_pool *pool, ct_ms now_ms)
{
    uint32_t slots = ct_slot_loans_base_share(slot_loans, pool, now_ms);
    uint32_t lent = 0;

    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        slots += ct_slot_loan_borrowed(&pool->loans[i], now_ms);
        lent += ct_slot_loan_lent(&pool->loans[i], now_ms);
    }
    return slots > lent ? slots - lent : 0;
}

uint32_t
ct_slot_loans_held(const struct ct_slot_loans *slot_loans, uint32_t index,
                   ct_ms now_ms)
{
    const struct ct_slot_pool *pool = &slot_loans->pools[index];
    uint32_t slots = ct_slot_loans_owned(slot_loans, pool, now_ms);
    uint32_t owed = 0;

    for (uint32_t i = 0; i < slot_loans->n_hosts; i++) {
        owed += ct_slot_loan_owed(&pool->loans[i], now_ms);
    }
    return slots > owed ? slots - owed : 0;
}
