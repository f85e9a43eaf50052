#ifndef T_LIB_FEED_H
#define T_LIB_FEED_H

#include "lib-relay.h"

/*
 * Hosts of one availability zone that pass on what they read, driven by hand.
 */

#define T_FEED_HOSTS 6

/* Host "hN" of the availability zone, with a configuration and upstreams. */
void t_feed_host(struct t_core *core, guint n);

/* Tells it the first n hosts, those from the given one on in another zone. */
void t_feed_members(struct t_core *core, guint n, guint other);
void t_feed_link(struct t_core *core, const char *peer, bool up);

/* Hands the nth message of the last event of one host to another. */
bool t_feed_deliver(struct t_core *from, uint32_t nth, struct t_core *to);
void t_feed_deliver_all(struct t_core *from, struct t_core *to);

/* The link that the last event asked for, NULL for none. */
const struct ct_host *t_feed_wanted(const struct t_core *core);

/* Ends the reads that the host has under way. */
void t_feed_rest(struct t_core *core);

/* "h1", which reads, and "h2", which it tells. */
struct t_feed {
    struct t_core source;
    struct t_core follower;
};

void t_feed_init(struct t_feed *pair);
void t_feed_free(struct t_feed *pair);

/* Time passes at both. */
void t_feed_tick(struct t_feed *pair, ct_ms by_ms);

/* The source's read of a topic ends without records; the news go out. */
void t_feed_confirm(struct t_feed *pair, enum ct_topic topic);

#endif
