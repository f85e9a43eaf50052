#ifndef CT_GROUP_H
#define CT_GROUP_H

#include "event.h"
#include "table.h"

/*
 * The hosts that accept callers, as members of a group in the platform's
 * store. A host that stops leaves the group; one that no longer joins is
 * dropped by the store. The response to each join has the group's generation,
 * which shows whether the group has changed; a change causes a new read of its
 * members.
 */

struct ct_group_row {
    struct ct_member member;
    bool listed;
    /* Consecutive member lists without the host. */
    uint32_t missed_lists;
};

struct ct_group {
    struct ct_table rows;
    ct_ms last_read_ms;
    /* When the source last sent its member list; 0 for never. */
    ct_ms updated_ms;
    /* Time of the next read of the members; 0 if none is scheduled. */
    ct_ms next_read_ms;
    /* The group's generation when the members were last read. */
    int64_t read_generation;
    /*
     * Time and generation for which the member list holds; 0 before the first
     * list.
     */
    ct_ms list_ms;
    int64_t list_generation;
};

struct ct_state;

void ct_group_init(struct ct_group *group);
void ct_group_free(struct ct_group *group);

/* Reads the members of the group and schedules the next read. */
void ct_group_read_members(struct ct_state *state);
/* Schedules an early read because the group has or may have changed. */
void ct_group_refresh_soon(struct ct_state *state);
/* CT_TIMER_MEMBERS */
void ct_group_on_timer(struct ct_state *state);
/* Handles the response of the store; rows: struct ct_member */
void ct_group_on_members_read(struct ct_state *state, int32_t result,
                              struct ct_rows rows);
/* Handles the member list that the source sent; rows: struct ct_member */
void ct_group_on_members_update(struct ct_state *state, struct ct_rows rows);

/* Returns the number of known hosts, including this one; at least 1. */
uint32_t ct_group_size(const struct ct_state *state);
/* Whether a member list was read since the start. */
bool ct_group_is_known(const struct ct_state *state);

/*
 * Returns how old the member list is, counted from the last join whose
 * response shows that the group is still the same; CT_MS_NEVER without a list.
 */
ct_ms ct_group_list_age_ms(const struct ct_state *state);
/*
 * Whether this host is one of the first n in an order of all hosts that
 * depends on the seed.
 */
bool ct_group_is_among_first(const struct ct_state *state, uint64_t seed,
                             uint32_t n);
/* Whether the member list contains this host. */
bool ct_group_lists_self(const struct ct_state *state);

/* Replies to a caller with the addresses of the hosts. */
void ct_group_on_addresses_requested(struct ct_state *state, uint64_t caller);

#endif
