#ifndef T_LIB_REPLICATION_H
#define T_LIB_REPLICATION_H

#include "lib-relay.h"

/*
 * Hosts of one availability zone that replicate what they read from the store
 * to each other, driven by a test.
 */

#define T_REPLICATION_HOSTS 6

/* Creates host "hN" of zone-a with a configuration and upstreams. */
void t_replication_host(struct t_core *core, guint n);

/*
 * Posts that the group has the members "h1" to "hN"; those from number other
 * on are in another zone.
 */
void t_replication_members(struct t_core *core, guint n, guint other);
void t_replication_link(struct t_core *core, const char *peer, bool up);

/*
 * Delivers the nth peer message that the last event of a host sent to another
 * host; false if there is none.
 */
bool t_replication_deliver(struct t_core *from, uint32_t nth,
                           struct t_core *to);
void t_replication_deliver_all(struct t_core *from, struct t_core *to);

/* The one peer that the last event requested a link to, or NULL. */
const struct ct_host *t_replication_requested_peer(const struct t_core *core);

/* Whether the last event of the host started a read of the topic. */
bool t_replication_is_reading(const struct t_core *core, enum ct_topic topic);

/* Completes the reads that the host has in progress. */
void t_replication_complete_reads(struct t_core *core);

/* "h1", which reads the store, and "h2", which follows it. */
struct t_replication_pair {
    struct t_core source;
    struct t_core follower;
};

void t_replication_init(struct t_replication_pair *pair);
void t_replication_free(struct t_replication_pair *pair);

/* Advances the time of both hosts. */
void t_replication_tick(struct t_replication_pair *pair, ct_ms by_ms);

/*
 * Completes a read of the source without records and delivers its updates to
 * the follower.
 */
void t_replication_confirm(struct t_replication_pair *pair,
                           enum ct_topic topic);

#endif
