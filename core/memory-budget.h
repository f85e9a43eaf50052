#ifndef CT_MEMORY_BUDGET_H
#define CT_MEMORY_BUDGET_H

#include <glib.h>

#include "bounds.h"
#include "table.h"

/*
 * Bytes that the front end holds of calls and of their responses, charged to
 * the call from the first bytes of its body until its caller has the whole
 * response or is gone. The limit follows from the memory of the host.
 */

struct ct_memory_charge {
    uint64_t caller;
    uint64_t request_bytes;
    uint64_t response_bytes;
    uint64_t unread_bytes;
};

struct ct_memory_budget {
    /* struct ct_memory_charge, by caller */
    struct ct_table charges;
    GHashTable *by_caller;
    /* Sum of all charges. */
    uint64_t used_bytes;
};

void ct_memory_budget_init(struct ct_memory_budget *budget);
void ct_memory_budget_free(struct ct_memory_budget *budget);

/* Returns the limit in bytes. */
uint64_t ct_memory_budget_limit(const struct ct_bounds *bounds);

bool ct_memory_budget_is_exceeded(const struct ct_memory_budget *budget,
                                  const struct ct_bounds *bounds);

/*
 * Whether another call may start: the less urgent its rank, of so many, the
 * more must be left of the budget.
 */
bool ct_memory_budget_has_room(const struct ct_memory_budget *budget,
                               const struct ct_bounds *bounds, uint32_t rank,
                               uint32_t ranks);

/*
 * Sets what is held of a call, and adds its charge if it has none. Errors:
 * CT_ERR_NO_MEMORY.
 */
int ct_memory_budget_add(struct ct_memory_budget *budget, uint64_t caller,
                         uint64_t request_bytes);
/* Sets what is held of a call's response; ignored if the call has no charge.
 */
void ct_memory_budget_set_response(struct ct_memory_budget *budget,
                                   uint64_t caller, uint64_t bytes);
/*
 * Sets what is buffered of a stream for a caller that reads slowly; ignored if
 * the call has no charge.
 */
void ct_memory_budget_set_unread(struct ct_memory_budget *budget,
                                 uint64_t caller, uint64_t bytes);
/* Whether the call has a charge. */
bool ct_memory_budget_has(const struct ct_memory_budget *budget,
                          uint64_t caller);
/* Returns what is held of a call's response. */
uint64_t ct_memory_budget_response(const struct ct_memory_budget *budget,
                                   uint64_t caller);
void ct_memory_budget_remove(struct ct_memory_budget *budget, uint64_t caller);

#endif
