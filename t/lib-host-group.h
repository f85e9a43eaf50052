#ifndef T_LIB_HOST_GROUP_H
#define T_LIB_HOST_GROUP_H

#include "lib-relay.h"

/*
 * A group of relaying hosts whose links, messages and store reads are
 * simulated, with one steady clock for all.
 */

#define T_GROUP_HOSTS_MAX 48
#define T_GROUP_STEP_MS 10

struct t_group_arrival;

struct t_group {
    struct t_core hosts[T_GROUP_HOSTS_MAX];
    /* A frozen host gets its events, in order, when it goes on. */
    bool frozen[T_GROUP_HOSTS_MAX];
    /* dialled[i][j]: host i opened a link to j. */
    bool dialled[T_GROUP_HOSTS_MAX][T_GROUP_HOSTS_MAX];
    uint32_t n;
    ct_ms now_ms;
    /* struct t_group_arrival, in the order of their times */
    GQueue *arrivals;
    /* Messages about load that were sent so far. */
    uint32_t load_messages;
    /* The last CT_PEER_LOAD that arrived, without its rows. */
    struct ct_event last_report;
};

/*
 * Creates hosts "h00" and so on in availability zones of zone_size hosts; the
 * first n_sharing share their load. All know the group and 2 upstreams in each
 * pool.
 */
struct t_group *t_group_new(uint32_t n, uint32_t zone_size,
                            uint32_t n_sharing);
void t_group_free(struct t_group *group);

/* Advances the time by one step, or by a multiple of it. */
void t_group_step(struct t_group *group);
void t_group_run(struct t_group *group, ct_ms for_ms);

/* Posts an event to a host and carries out its effects on the others. */
void t_group_post(struct t_group *group, uint32_t host,
                  struct ct_event *event);
/* Posts the list of the hosts that are not frozen to all of these. */
void t_group_post_members(struct t_group *group);
uint32_t t_group_find(const struct t_group *group, const struct ct_name *name);

#endif
