#ifndef CT_BODY_ADMISSION_H
#define CT_BODY_ADMISSION_H

#include <glib.h>

#include "clock.h"
#include "event.h"
#include "table.h"

/*
 * Admission of request bodies that are not complete yet. The front end reads
 * only as much of a body as was granted to it; each grant is charged to the
 * memory budget before the bytes are read. When the budget is short, bodies
 * wait unread, and those without progress are refused as not run.
 */

/* Row of one body from the end of its head until it is complete. */
struct ct_body {
    uint64_t caller;
    struct ct_request_id request_id;
    /* IP address of the caller; 0 if it is not known. */
    uint64_t peer;
    struct ct_handle organisation;
    uint32_t rank;
    /* Declared size, or the largest one allowed for a body in chunks. */
    uint32_t size_bytes;
    bool chunked;
    uint32_t received_bytes;
    uint32_t granted_bytes;
    /* When the last byte was received, or reading was resumed. */
    ct_ms last_byte_ms;
    /* When so many bytes were reached, see PROGRESS_STEP_BYTES. */
    uint32_t progress_bytes;
    ct_ms progress_ms;
    /* Grant that the body waits for; 0 if it does not wait. */
    uint32_t wanted_bytes;
    ct_ms waiting_since_ms;
    /* End of the caller's time limit, or CT_MS_NEVER. */
    ct_ms deadline_ms;
};

struct ct_bodies {
    /* struct ct_body, by caller */
    struct ct_table rows;
    GHashTable *by_caller;
    uint32_t waiting;
    /* Sum of all grants. */
    uint64_t granted_bytes;
    /* uint64_t: sums by organisation; calls without one come first. */
    GArray *granted_by_organisation;
    /* Time for a head, from the configuration in force. */
    ct_ms head_timeout_ms;
    bool timer_armed;
};

struct ct_state;

void ct_bodies_init(struct ct_bodies *bodies);
void ct_bodies_free(struct ct_bodies *bodies);

void ct_bodies_set_head_timeout(struct ct_state *state, ct_ms head_timeout_ms);

/*
 * Adds the body of a call whose head was admitted. Grants its first bytes, or
 * lets it wait; refuses the call if its peer has too many.
 */
void ct_bodies_open(struct ct_state *state, const struct ct_relay_call *call,
                    struct ct_handle organisation, uint32_t rank);
/* CT_EVENT_RELAY_BODY_PROGRESS */
void ct_bodies_on_progress(struct ct_state *state,
                           const struct ct_body_progress *progress);
/*
 * The body is complete or its caller is gone. The charge stays in the memory
 * budget until it is set or removed there.
 */
void ct_bodies_close(struct ct_state *state, uint64_t caller);
/* Grants what waiting bodies want, as far as the budget allows. */
void ct_bodies_grant(struct ct_state *state);
/*
 * Refuses calls with incomplete bodies until the budget is no longer exceeded;
 * none if that does not suffice.
 */
void ct_bodies_shed(struct ct_state *state);
/* CT_TIMER_BODIES */
void ct_bodies_on_timer(struct ct_state *state);

#endif
