#ifndef CT_UNREAD_RESPONSES_H
#define CT_UNREAD_RESPONSES_H

#include <glib.h>

#include "clock.h"
#include "relay-types.h"
#include "table.h"

/*
 * Responses that callers read more slowly than they arrive. What the front end
 * buffers of streams is charged to the memory budget; complete responses are
 * charged as a whole until they are delivered. When the budget is short, the
 * largest response without progress is cut off.
 */

struct ct_unread_response {
    uint64_t caller;
    uint32_t bytes;
    /* When the caller last read a part of it. */
    ct_ms progress_ms;
};

struct ct_unread_responses {
    /* struct ct_unread_response, by caller */
    struct ct_table rows;
    GHashTable *by_caller;
};

struct ct_state;

void ct_unread_responses_init(struct ct_unread_responses *unread);
void ct_unread_responses_free(struct ct_unread_responses *unread);

/* CT_EVENT_RELAY_RESPONSE_UNREAD */
void ct_unread_responses_on_report(struct ct_state *state,
                                   const struct ct_unread_report *report);
/* The caller has its response or is gone. */
void ct_unread_responses_close(struct ct_state *state, uint64_t caller);
/*
 * Cuts off responses without progress, the largest first, until a call of this
 * rank may start.
 */
void ct_unread_responses_make_room(struct ct_state *state, uint32_t rank);

#endif
