#ifndef LIB_STATE_H
#define LIB_STATE_H

#include "lib-deployment.h"

/* State of the hosts and the platform of a deployment, as they report it. */

/* A number of GET /state, such as "config_offset"; -1 without a response. */
int64_t state_number(const struct deployment *d, int i, const char *name);

/* Whether GET /health gives this state, such as "starting". */
bool state_is(const struct deployment *d, int i, const char *health);

/* Newest offset of the platform's log; fails the test during an outage. */
int64_t state_log_head(const struct deployment *d);

/* Waits until every running host has applied the log up to its end. */
void state_await_log(const struct deployment *d);

/* Kills a host and starts it again on its ports; does not wait until ready. */
void state_replace_host(struct deployment *d, int i);

/* Number of times the host process logged this event of the role. */
int state_count_leases(const struct deployment *d, int host, const char *event,
                       int role);

/*
 * The first host, other than except, that holds the role by its own log; -1
 * for none.
 */
int state_lease_holder(const struct deployment *d, int role, int except);

#endif
