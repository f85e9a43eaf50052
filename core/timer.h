#ifndef CT_TIMER_H
#define CT_TIMER_H

#include <stdint.h>

#include "clock.h"
#include "table.h"

/*
 * Timers of the reducer: a heap of due times. Timers are not cancelled; when
 * one fires, its owner checks whether the row still exists and still waits.
 */

enum ct_timer_kind {
    CT_TIMER_QUEUE = 1,
    CT_TIMER_HEDGE,
    CT_TIMER_RETRY,
    CT_TIMER_RESPONSE_RETENTION,
    CT_TIMER_RESPONSE_LOOKUP,
    CT_TIMER_CLAIM,
    CT_TIMER_HEARTBEAT,
    CT_TIMER_LOG,
    CT_TIMER_REFUSALS,
    CT_TIMER_LEASE,
    CT_TIMER_USAGE,
    CT_TIMER_ORDERS,
    CT_TIMER_SNAPSHOT,
    CT_TIMER_SLOT_SHARING,
    CT_TIMER_SLOT_RECOUNT,
    CT_TIMER_DRAIN,
    CT_TIMER_RELAY,
    CT_TIMER_STORE,
    CT_TIMER_JOIN,
    CT_TIMER_MEMBERS,
    CT_TIMER_TALLY,
    CT_TIMER_DUTY,
    CT_TIMER_REPLICATION,
    CT_TIMER_FORWARDED_TALLIES,
    CT_TIMER_QUARANTINE,
    CT_TIMER_RELAY_WAIT,
    CT_TIMER_EVACUATION,
    CT_TIMER_LOAD,
    CT_TIMER_BODIES,
};

struct ct_timer {
    ct_ms due_ms;
    /* Order of insertion, which decides between equal due times. */
    uint64_t sequence;
    enum ct_timer_kind kind;
    struct ct_handle handle;
};

struct ct_timers {
    struct ct_timer *heap;
    uint32_t n;
    uint32_t cap;
    uint64_t next_sequence;
};

void ct_timers_init(struct ct_timers *timers);
void ct_timers_free(struct ct_timers *timers);

/* Adds a timer. Errors: CT_ERR_NO_MEMORY. */
int ct_timers_add(struct ct_timers *timers, ct_ms due_ms,
                  enum ct_timer_kind kind, struct ct_handle handle);

/*
 * Returns the due time of the earliest timer, or CT_MS_NEVER if there is none.
 */
ct_ms ct_timers_next_ms(const struct ct_timers *timers);

/*
 * Removes the earliest timer if it is due at now_ms; returns 1, or 0 if none
 * is due.
 */
int ct_timers_pop(struct ct_timers *timers, ct_ms now_ms,
                  struct ct_timer *timer);

#endif
