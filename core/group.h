#ifndef CT_ROSTER_H
#define CT_ROSTER_H

#include "event.h"
#include "table.h"

/*
 * The hosts that take callers, as members of a group in the platform's store.
 * A host that leaves says so; one that falls silent is dropped by the store.
 * The generation that comes with each join tells whether the group is still
 * the same; only then its members are asked for again.
 */

struct ct_roster_row {
    struct ct_member member;
    bool listed;
    /* Answers in a row that did not name it. */
    uint32_t misses;
};

struct ct_roster {
    struct ct_table rows;
    ct_ms asked_ms;
    /* When another host passed on what it was told; 0 for never. */
    ct_ms told_ms;
    /* Time of the next question; 0 for none. */
    ct_ms ask_at_ms;
};

struct ct_state;

void ct_roster_init(struct ct_roster *roster);
void ct_roster_free(struct ct_roster *roster);

/* Asks for the members, and again from then on. */
void ct_roster_start(struct ct_state *state);
/* The group has changed, or may have: asks again soon. */
void ct_roster_ask_again(struct ct_state *state);
/* CT_TIMER_MEMBERS */
void ct_roster_on_timer(struct ct_state *state);
/* An answer of the store; rows: struct ct_member */
void ct_roster_on_members(struct ct_state *state, int32_t result,
                          struct ct_rows rows);
/* Another host passes the members on as it read them. */
void ct_roster_on_told(struct ct_state *state, struct ct_rows rows);

/* Hosts that are known, this one included; 1 or more. */
uint32_t ct_roster_size(const struct ct_state *state);

/* Answers a caller who asks where to connect. */
void ct_roster_on_asked(struct ct_state *state, uint64_t caller);

#endif
