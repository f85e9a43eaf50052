#ifndef CT_RELAY_REROUTE_H
#define CT_RELAY_REROUTE_H

struct ct_state;

/*
 * A zone was evacuated or became unreachable: takes back the attempts at its
 * upstreams of which no byte was sent yet, and chooses other upstreams for
 * their calls. Otherwise they would be sent when their connection is
 * established, up to the time-out of a connection later, or fail then.
 */
void ct_relay_reroute_unsent(struct ct_state *state);

#endif
