#include "memory-budget.h"

#include <string.h>

#include "error.h"
#include "index.h"

#define BYTES_PER_MB (1024 * 1024)
/* Memory of the process besides calls: code, tables, connections. */
#define PROCESS_MB 40
#define LEAST_MB 16
/* Share of the rest for calls, which buffers that grow exceed for a moment. */
#define CALLS_DIVISOR 2
/* Part of the budget that is kept for calls of more urgent ranks. */
#define URGENT_DIVISOR 4

void
ct_memory_budget_init(struct ct_memory_budget *budget)
{
    memset(budget, 0, sizeof(*budget));
    ct_table_init(&budget->charges, sizeof(struct ct_memory_charge), 0, NULL);
    budget->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void
ct_memory_budget_free(struct ct_memory_budget *budget)
{
    g_hash_table_destroy(budget->by_caller);
    ct_table_free(&budget->charges);
}

uint64_t
ct_memory_budget_limit(const struct ct_bounds *bounds)
{
    uint64_t memory_mb = MAX(bounds->memory_mb, PROCESS_MB + LEAST_MB);

    return (memory_mb - PROCESS_MB) * BYTES_PER_MB / CALLS_DIVISOR;
}

bool
ct_memory_budget_is_exceeded(const struct ct_memory_budget *budget,
                             const struct ct_bounds *bounds)
{
    return budget->used_bytes > ct_memory_budget_limit(bounds);
}

bool
ct_memory_budget_has_room(const struct ct_memory_budget *budget,
                          const struct ct_bounds *bounds, uint32_t rank,
                          uint32_t ranks)
{
    uint64_t limit = ct_memory_budget_limit(bounds);
    uint64_t kept = limit / URGENT_DIVISOR * rank / MAX(ranks, 1);

    return budget->used_bytes <= limit - kept;
}

static struct ct_memory_charge *
find_charge(const struct ct_memory_budget *budget, uint64_t caller)
{
    return ct_table_get(&budget->charges,
                        ct_index_get(budget->by_caller, &caller));
}

int
ct_memory_budget_add(struct ct_memory_budget *budget, uint64_t caller,
                     uint64_t request_bytes)
{
    struct ct_memory_charge *charge = find_charge(budget, caller);
    struct ct_handle handle;

    if (charge) {
        budget->used_bytes += request_bytes - charge->request_bytes;
        charge->request_bytes = request_bytes;
        return CT_OK;
    }
    if (ct_table_add(&budget->charges, &handle) < 0) {
        return CT_ERR_NO_MEMORY;
    }
    charge = ct_table_get(&budget->charges, handle);
    charge->caller = caller;
    charge->request_bytes = request_bytes;
    ct_index_add(budget->by_caller, &charge->caller, handle);
    budget->used_bytes += request_bytes;
    return CT_OK;
}

void
ct_memory_budget_set_response(struct ct_memory_budget *budget, uint64_t caller,
                              uint64_t bytes)
{
    struct ct_memory_charge *charge = find_charge(budget, caller);

    if (charge) {
        budget->used_bytes += bytes - charge->response_bytes;
        charge->response_bytes = bytes;
    }
}

void
ct_memory_budget_set_unread(struct ct_memory_budget *budget, uint64_t caller,
                            uint64_t bytes)
{
    struct ct_memory_charge *charge = find_charge(budget, caller);

    if (charge) {
        budget->used_bytes += bytes - charge->unread_bytes;
        charge->unread_bytes = bytes;
    }
}

bool
ct_memory_budget_has(const struct ct_memory_budget *budget, uint64_t caller)
{
    return find_charge(budget, caller) != NULL;
}

uint64_t
ct_memory_budget_response(const struct ct_memory_budget *budget,
                          uint64_t caller)
{
    const struct ct_memory_charge *charge = find_charge(budget, caller);

    return charge ? charge->response_bytes : 0;
}

void
ct_memory_budget_remove(struct ct_memory_budget *budget, uint64_t caller)
{
    struct ct_handle handle = ct_index_get(budget->by_caller, &caller);
    struct ct_memory_charge *charge = ct_table_get(&budget->charges, handle);

    if (!charge) {
        return;
    }
    budget->used_bytes -=
        charge->request_bytes + charge->response_bytes + charge->unread_bytes;
    g_hash_table_remove(budget->by_caller, &charge->caller);
    ct_table_unref(&budget->charges, handle);
}
