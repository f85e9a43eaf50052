#ifndef LIB_STATE_H
#define LIB_STATE_H

#include "lib-deployment.h"

/* What the hosts and the platform of a deployment say about themselves. */

/* A number of GET /state, such as "config_offset"; -1 without an answer. */
int64_t state_number(const struct deployment *d, int i, const char *name);

/* Whether GET /health gives this state, such as "starting". */
bool state_is(const struct deployment *d, int i, const char *health);

/* Newest offset of the platform's log; fails the test in an outage. */
int64_t state_log_head(const struct deployment *d);

/* Waits until every running host has applied the log up to its end. */
void state_await_log(const struct deployment *d);

/* Kills a host and starts it again on its ports; does not wait until ready. */
void state_replace_host(struct deployment *d, int i);

/* How often the host, since its start, logged this event of the role. */
int state_count_leases(const struct deployment *d, int host, const char *event,
                       int role);

/* The host that believes that it holds the role, but for one; -1 for none. */
int state_holder(const struct deployment *d, int role, int except);

#endif
