#ifndef CT_GROUP_H
#define CT_GROUP_H

#include "event.h"
#include "table.h"

/*
 * The hosts that take callers, as members of a group in the platform's store.
 * A host that leaves says so; one that falls silent is dropped by the store.
 * The generation that comes with each join tells whether the group is still
 * the same; only then its members are asked for again.
 */

struct ct_group_row {
    struct ct_member member;
    bool listed;
    /* Answers in a row that did not name it. */
    uint32_t misses;
};

struct ct_group {
    struct ct_table rows;
    ct_ms asked_ms;
    /* When another host passed on what it was told; 0 for never. */
    ct_ms told_ms;
    /* Time of the next question; 0 for none. */
    ct_ms ask_at_ms;
};

struct ct_state;

void ct_group_init(struct ct_group *roster);
void ct_group_free(struct ct_group *roster);

/* Asks for the members, and again from then on. */
void ct_group_start(struct ct_state *state);
/* The group has changed, or may have: asks again soon. */
void ct_group_refresh_soon(struct ct_state *state);
/* CT_TIMER_MEMBERS */
void ct_group_on_timer(struct ct_state *state);
/* An answer of the store; rows: struct ct_member */
void ct_group_on_members_read(struct ct_state *state, int32_t result,
                              struct ct_rows rows);
/* Another host passes the members on as it read them. */
void ct_group_on_members_update(struct ct_state *state, struct ct_rows rows);

/* Hosts that are known, this one included; 1 or more. */
uint32_t ct_group_size(const struct ct_state *state);

/* Answers a caller who asks where to connect. */
void ct_group_on_addresses_requested(struct ct_state *state, uint64_t caller);

#endif
