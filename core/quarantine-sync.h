#ifndef CT_QUARANTINE_SYNC_H
#define CT_QUARANTINE_SYNC_H

#include "store-types.h"

/*
 * Follows the topic in which hosts tell each other about prompt parts that
 * crash upstreams: its newest records first, then by reads that wait at its
 * end. Records are rare, so reads wait long; a read that may have been lost is
 * replaced when the store comes back, or when a record of this host does not
 * return by it.
 */

struct ct_quarantine_sync {
    /* The newest record of each key was read. */
    bool listed;
    /* During that: the key after which the next page begins. */
    struct ct_name after;
    /* Next offset to read. */
    int64_t next;
    /* Number of the last read; responses to earlier ones are ignored. */
    uint32_t read_id;
    bool reading;
    /* When that read was sent. */
    ct_ms sent_ms;
    /* Time of the next read, while none is in progress. */
    ct_ms next_read_ms;
    /* Consecutive reads that failed. */
    uint32_t failures;
    /* The read must return a record of this host by then; 0 for none. */
    ct_ms expected_by_ms;
};

struct ct_state;

void ct_quarantine_sync_start(struct ct_state *state);
void ct_quarantine_sync_on_read(struct ct_state *state,
                                const struct ct_store_read_done *read);
/* The store received a record of this host, or failed to. */
void ct_quarantine_sync_on_appended(struct ct_state *state, int32_t result);
/* The store responds again after an outage. */
void ct_quarantine_sync_on_store_back(struct ct_state *state);
/* CT_TIMER_QUARANTINE */
void ct_quarantine_sync_on_timer(struct ct_state *state);

#endif
